"""Decodes the registrations of replicas.

The topic may also hold records of other writers. A record that is not a valid
registration is rejected with ``DecodeError``.
"""

import ipaddress

import msgspec

from ..catalog import Replica, ReplicaState
from .decoding import Count, Integer, Number, Text, decode_json, is_plain_text
from .errors import DecodeError

MAX_PORT = 2**16 - 1
MAX_PORT_DIGITS = 5

_REPLICA_STATES = {"ready": ReplicaState.READY, "draining": ReplicaState.DRAINING}


class _Registration(msgspec.Struct, rename="pascal"):
    """Entry of a replica.

    Only ``born`` may be absent: the replicas of some deployments don't tell their start
    anywhere. Without any other field the entry is not a replica's own.
    """

    service: Text
    address: Text
    zone: Text
    # Version of the replica's software.
    version: Text
    slots: Count
    state: Text
    cold_remaining_ms: Number
    # Rises with each entry of one start; see ``record_rank``.
    sequence: Integer
    # Start time of the replica in Unix milliseconds. It is the only field whose name
    # is in lower case.
    born: Integer = msgspec.field(name="born", default=0)


def decode_replica(identifier: str, data: bytes) -> Replica:
    """Return the replica that a record describes.

    Raises
    ------
    DecodeError
        If the record is not a valid registration.
    """
    subject = f"registration {identifier[:40]!r}"
    if not is_plain_text(identifier):
        raise DecodeError(f"{subject}: expected an identifier of printable characters")
    raw = decode_json(data, _Registration, subject)
    if raw.state not in _REPLICA_STATES:
        raise DecodeError(
            f"{subject}: expected state ready or draining, got {raw.state!r}",
            field="state",
        )
    if not _is_address(raw.address) or not raw.service:
        raise DecodeError(
            f"{subject}: expected a service and an address IP:PORT, "
            f"got {raw.service!r} at {raw.address!r}",
            field="address",
        )
    return Replica(
        identifier,
        raw.service,
        raw.address,
        raw.zone,
        raw.slots,
        _REPLICA_STATES[raw.state],
        raw.born,
        raw.cold_remaining_ms / 1000,
        raw.version,
        raw.sequence,
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > MAX_PORT_DIGITS:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT
