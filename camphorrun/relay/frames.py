"""Authentication of relay frames.

A request is: key id (1 byte), nonce (16 bytes), BLAKE2b digest (16 bytes), payload. A
reply is: key id, digest, payload; its digest covers the nonce of the request, so a
reply cannot be replayed to another request. A replayed request has no effect beyond
that of the first: fetches change nothing, and an announcement names its incarnation.
"""

import hashlib
import hmac
import secrets

from aiohttp import StreamReader

from ..messages import KeyRing, MessageError, SharedKey
from .messages import RelayError

NONCE_BYTES = 16
DIGEST_BYTES = 16
REQUEST_HEADER_BYTES = 1 + NONCE_BYTES + DIGEST_BYTES
REPLY_HEADER_BYTES = 1 + DIGEST_BYTES
# Requests only name a stream, an offset or an address.
MAX_REQUEST_BYTES = 4 * 1024
PAGE_BYTES = 512 * 1024
MAX_REPLY_BYTES = PAGE_BYTES + 4 * 1024

# Different personalisations prevent that a request is reflected as a reply.
_REQUEST_PERSON = b"relay-request"
_REPLY_PERSON = b"relay-reply"


async def read_frame(content: StreamReader, max_bytes: int) -> bytes:
    """Return a whole body, without holding more than ``max_bytes`` and one chunk.

    Raises
    ------
    RelayError
        With code ``oversized``.
    """
    parts = bytearray()
    async for chunk in content.iter_any():
        parts += chunk
        _check_size(parts, max_bytes)
    return bytes(parts)


def seal_request(keys: KeyRing, payload: bytes) -> tuple[bytes, bytes]:
    """Return the frame of a request and its nonce.

    Raises
    ------
    RelayError
        With code ``oversized``.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    digest = _digest(keys.active, _REQUEST_PERSON, nonce, payload)
    frame = bytes((keys.active.key_id,)) + nonce + digest + payload
    _check_size(frame, MAX_REQUEST_BYTES)
    return frame, nonce


def open_request(keys: KeyRing, frame: bytes) -> tuple[SharedKey, bytes, bytes]:
    """Return key, nonce and payload of an authentic request.

    Raises
    ------
    RelayError
        With code ``oversized``, ``truncated``, ``unknown_key`` or ``bad_digest``.
    """
    _check_size(frame, MAX_REQUEST_BYTES)
    key = _find_key(keys, frame, REQUEST_HEADER_BYTES)
    nonce = frame[1 : 1 + NONCE_BYTES]
    digest = frame[1 + NONCE_BYTES : REQUEST_HEADER_BYTES]
    payload = frame[REQUEST_HEADER_BYTES:]
    _check_digest(digest, _digest(key, _REQUEST_PERSON, nonce, payload))
    return key, nonce, payload


def seal_reply(key: SharedKey, nonce: bytes, payload: bytes) -> bytes:
    """Return the frame of the reply to the request with this nonce."""
    digest = _digest(key, _REPLY_PERSON, nonce, payload)
    frame = bytes((key.key_id,)) + digest + payload
    _check_size(frame, MAX_REPLY_BYTES)
    return frame


def open_reply(keys: KeyRing, nonce: bytes, frame: bytes) -> bytes:
    """Return the payload of an authentic reply to the request with this nonce.

    Raises
    ------
    RelayError
        With code ``oversized``, ``truncated``, ``unknown_key`` or ``bad_digest``.
    """
    _check_size(frame, MAX_REPLY_BYTES)
    key = _find_key(keys, frame, REPLY_HEADER_BYTES)
    payload = frame[REPLY_HEADER_BYTES:]
    expected = _digest(key, _REPLY_PERSON, nonce, payload)
    _check_digest(frame[1:REPLY_HEADER_BYTES], expected)
    return payload


def _find_key(keys: KeyRing, frame: bytes, header_bytes: int) -> SharedKey:
    if len(frame) < header_bytes:
        raise RelayError(f"frame of {len(frame)} bytes", code="truncated")
    try:
        return keys.find(frame[0])
    except MessageError as exc:
        raise RelayError(str(exc), code="unknown_key") from exc


def _check_size(frame: bytes | bytearray, max_bytes: int) -> None:
    if len(frame) > max_bytes:
        raise RelayError(f"frame of {len(frame)} bytes", code="oversized")


def _check_digest(digest: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(digest, expected):
        raise RelayError("digest does not match", code="bad_digest")


def _digest(key: SharedKey, person: bytes, nonce: bytes, payload: bytes) -> bytes:
    state = hashlib.blake2b(key=key.secret, digest_size=DIGEST_BYTES, person=person)
    state.update(nonce)
    state.update(payload)
    return state.digest()
