"""Timestamps in idempotency keys, and the claim keys derived from them.

A key prefix holds the log service's clock at the time of issue and a keyed digest, so
that a caller cannot invent a timestamp. Only the clock of the log service is used: the
timestamp and the time of every claim record come from the same clock, so the age of a
key at a record is the same number for every reader. A host clock that is wrong, or a
process that was paused, can then neither extend nor shorten the life of a key.
"""

import base64
import hashlib
import hmac
import re
from dataclasses import dataclass

from ..messages import KeyRing, MessageError, SharedKey
from .errors import ClaimError

MAX_KEY_CHARACTERS = 128
KEY_LIFETIME_MS = 24 * 3600 * 1000
DIGEST_BYTES = 16

_FORMAT = 1
_TIME_BYTES = 6
# 24 bytes are 32 base64 characters without padding, so each prefix has one spelling.
_PREFIX_CHARACTERS = 32
_PERSON = b"camphorrun-key"
_KEY_PATTERN = re.compile(r"([A-Za-z0-9_-]{32})\.([A-Za-z0-9._~-]+)")
_CLAIM_PATTERN = re.compile(r"([0-9a-f]{32})-([0-9]{1,15})")


@dataclass(frozen=True, slots=True)
class KeyStamp:
    """Verified timestamp of a key; ``text`` is the part chosen by the caller."""

    time_ms: int
    text: str

    def require_alive(
        self, log_time_ms: int, lifetime_ms: int = KEY_LIFETIME_MS
    ) -> None:
        """Raise ``ClaimError`` (``key_expired``) if the key is past its lifetime."""
        if log_time_ms > self.time_ms + lifetime_ms:
            raise ClaimError(
                f"key was issued {log_time_ms - self.time_ms} ms ago; "
                f"keys are valid for {lifetime_ms} ms",
                code="key_expired",
                field="Idempotency-Key",
            )


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Key of one non-idempotent call: a digest and the key timestamp.

    ``str()`` gives the form that a ``Dispatch`` carries; ``parse_claim_key`` reads it.
    """

    digest: bytes
    stamp_ms: int

    def __str__(self) -> str:
        return f"{self.digest.hex()}-{self.stamp_ms}"


def new_key_prefix(ring: KeyRing, log_time_ms: int) -> str:
    """Return a key prefix that holds the log service's clock in milliseconds.

    Examples
    --------
    >>> from camphorrun.messages import SharedKey
    >>> ring = KeyRing((SharedKey(1, b"secret"),))
    >>> parse_key(ring, new_key_prefix(ring, 5000) + ".renewal-17")
    KeyStamp(time_ms=5000, text='renewal-17')
    """
    key = ring.active
    head = bytes((_FORMAT, key.key_id)) + log_time_ms.to_bytes(_TIME_BYTES, "big")
    return base64.urlsafe_b64encode(head + _stamp_digest(key, head)).decode()


def parse_key(ring: KeyRing, key: str) -> KeyStamp:
    """Verify a caller's key of the form ``<prefix>.<text>``.

    Raises
    ------
    ClaimError
        With code ``bad_key``. Expiry is checked by ``KeyStamp.require_alive``.
    """
    match = _KEY_PATTERN.fullmatch(key) if len(key) <= MAX_KEY_CHARACTERS else None
    if match is None:
        raise _bad_key(
            f"expected <prefix>.<text> of at most {MAX_KEY_CHARACTERS} characters"
        )
    raw = base64.urlsafe_b64decode(match[1])
    head, digest = raw[: 2 + _TIME_BYTES], raw[2 + _TIME_BYTES :]
    try:
        shared = ring.find(head[1])
    except MessageError as exc:
        raise _bad_key("the prefix was issued with an unknown shared key") from exc
    expected = _stamp_digest(shared, head)
    if head[0] != _FORMAT or not hmac.compare_digest(digest, expected):
        raise _bad_key("the prefix was not issued by this system")
    return KeyStamp(int.from_bytes(head[2:], "big"), match[2])


def claim_key(
    ring: KeyRing, client_account: str, caller_key: str, stage: str
) -> ClaimKey:
    """Return the claim key of one stage of a keyed request.

    Raises
    ------
    ClaimError
        With code ``bad_key``.
    """
    stamp = parse_key(ring, caller_key)
    parts = (client_account.encode(), caller_key.encode(), stage.encode())
    return ClaimKey(_digest_parts(parts), stamp.time_ms)


def parse_claim_key(text: str) -> ClaimKey:
    """Return the claim key that ``str`` produced.

    Raises
    ------
    ClaimError
        With code ``bad_key``.
    """
    match = _CLAIM_PATTERN.fullmatch(text)
    if match is None:
        raise _bad_key("expected a claim key of 32 hexadecimal digits and a timestamp")
    return ClaimKey(bytes.fromhex(match[1]), int(match[2]))


def digest_body(client_account: str, body: bytes) -> bytes:
    """Return the digest that detects the reuse of a key with another body."""
    return _digest_parts((client_account.encode(), body))


def _digest_parts(parts: tuple[bytes, ...]) -> bytes:
    """Digest length-prefixed parts, so that moving a boundary changes the digest."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()


def _stamp_digest(key: SharedKey, head: bytes) -> bytes:
    state = hashlib.blake2b(
        head, key=key.secret, digest_size=DIGEST_BYTES, person=_PERSON
    )
    return state.digest()


def _bad_key(message: str) -> ClaimError:
    return ClaimError(message, code="bad_key", field="Idempotency-Key")
