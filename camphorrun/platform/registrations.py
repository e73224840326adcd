"""Decodes the registrations of replicas.

The topic may also hold records of other writers. A record that is not a valid
registration is rejected with ``DecodeError``.
"""

import msgspec

from ..catalog import Replica, ReplicaState
from .errors import DecodeError

_REPLICA_STATES = {"ready": ReplicaState.READY, "draining": ReplicaState.DRAINING}


class _Registration(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    cold_remaining_ms: float = 0
    # Version of the replica's software.
    version: str = ""
    # Start time of the replica in Unix milliseconds. It is the only field whose name
    # is in lower case.
    born: int = msgspec.field(name="born", default=0)


def decode_replica(identifier: str, data: bytes) -> Replica:
    """Return the replica that a record describes.

    Raises
    ------
    DecodeError
        If the record is not a valid registration.
    """
    try:
        raw = msgspec.json.decode(data, type=_Registration)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise DecodeError(f"registration {identifier!r}: {exc}") from exc
    host, _, port = raw.address.rpartition(":")
    if raw.state not in _REPLICA_STATES:
        raise DecodeError(
            f"registration {identifier!r}: expected state ready or draining, "
            f"got {raw.state!r}",
            field="state",
        )
    if not host or not port.isascii() or not port.isdigit() or not raw.service:
        raise DecodeError(
            f"registration {identifier!r}: expected a service and an address IP:PORT, "
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
    )
