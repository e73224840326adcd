"""Ranks: the order that writers give their own records, independent of offsets."""

import msgspec

from .decoding import Integer, decode_json
from .errors import DecodeError
from .topics import CONFIGURATION_KEY, CONFIGURATION_TOPIC, REPLICA_TOPIC


class _ConfigurationVersion(msgspec.Struct):
    version: Integer = msgspec.field(name="Version")


class _RegistrationSequence(msgspec.Struct):
    sequence: Integer = msgspec.field(name="Sequence")
    # Start time of the replica in Unix milliseconds; some replicas don't tell it.
    born: Integer = 0


def record_rank(topic: str, key: str, value: bytes) -> tuple[int, ...]:
    """Return the rank of a record, empty if it has none or can't be decoded.

    The rank of a configuration is its version. That of a registration is the start
    time of the replica, then the sequence number.

    Examples
    --------
    >>> record_rank("keyed.op", "config", b'{"Version": 7}')
    (7,)
    >>> record_rank("keyed.servers", "i-1", b'{"Sequence": 4, "born": 99}')
    (99, 4)
    >>> record_rank("keyed.servers", "i-1", b"")
    ()
    """
    try:
        if topic == CONFIGURATION_TOPIC and key == CONFIGURATION_KEY:
            return (decode_json(value, _ConfigurationVersion, "version").version,)
        if topic == REPLICA_TOPIC:
            entry = decode_json(value, _RegistrationSequence, "sequence")
            return entry.born, entry.sequence
    except DecodeError:
        return ()
    return ()
