"""Encoding of the records that gateways exchange.

Load pattern: a configuration of thousands of routes is published, or all gateways start
again, and each of them needs half a megabyte over a link of a few megabits per second.
The text of a configuration shrinks to about a tenth.
"""

import zlib

import msgspec

from .messages import SyncMessage

# Smaller answers take a packet or two, so compressing them saves no time.
MIN_COMPRESSED_BYTES = 4096
MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024
# The fastest level; higher ones save a few percent of a configuration.
COMPRESSION_LEVEL = 1


def encode_sync(answer: SyncMessage, *, accepts_compressed: bool) -> bytes:
    """Return an encoded answer, compressed if it is large and the asker accepts it."""
    data = msgspec.msgpack.encode(answer)
    if not accepts_compressed or len(data) < MIN_COMPRESSED_BYTES:
        return data
    compressed = zlib.compress(data, COMPRESSION_LEVEL)
    return msgspec.msgpack.encode(SyncMessage({}, compressed=compressed))


def decode_sync(data: bytes) -> SyncMessage:
    """Return a decoded answer.

    Raises
    ------
    msgspec.DecodeError
        If it can't be decoded, or has more than ``MAX_DECOMPRESSED_BYTES``.
    """
    answer = msgspec.msgpack.decode(data, type=SyncMessage)
    if not answer.compressed:
        return answer
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(answer.compressed, MAX_DECOMPRESSED_BYTES)
    except zlib.error as exc:
        raise msgspec.DecodeError(f"compressed answer: {exc}") from exc
    if not decompressor.eof:
        raise msgspec.DecodeError(
            "compressed answer: expected a complete one of up to "
            f"{MAX_DECOMPRESSED_BYTES} bytes"
        )
    return msgspec.msgpack.decode(data, type=SyncMessage)
