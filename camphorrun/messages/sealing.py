"""Frame authentication with shared keys.

A frame consists of key id (1 byte), sequence number (8 bytes), keyed BLAKE2b digest (16
bytes) and payload. After both ``Hello`` messages the digest also covers the nonces of
both ends, so that frames of another connection are rejected.
"""

import hashlib
import hmac
from dataclasses import dataclass, field

from .codec import MessageError

DIGEST_BYTES = 16
HEADER_BYTES = 1 + 8 + DIGEST_BYTES
MAX_FRAME_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class SharedKey:
    """A secret that all processes of the system share; ``key_id`` is 0 to 255."""

    key_id: int
    secret: bytes = field(repr=False)


class KeyRing:
    """The valid shared keys; frames are sealed with the first one.

    Raises
    ------
    ValueError
        If there is no key.
    """

    __slots__ = ("_keys", "active")

    def __init__(self, keys: tuple[SharedKey, ...]):
        if not keys:
            raise ValueError("keys: expected at least one shared key")
        self._keys = {key.key_id: key for key in keys}
        self.active = keys[0]

    def find(self, key_id: int) -> SharedKey:
        """Return the key with an id, or raise ``MessageError`` (``unknown_key``)."""
        key = self._keys.get(key_id)
        if key is None:
            raise MessageError(
                f"frame: key id {key_id} is not in the key ring",
                code="unknown_key",
            )
        return key


class FrameSealer:
    """Seals outgoing frames and opens incoming ones at one end of a connection.

    Parameters
    ----------
    keys : KeyRing
        Shared keys.
    is_dialer : bool
        True at the end that opened the connection. The digest covers it, so that a
        frame can't be reflected to its sender.
    """

    __slots__ = (
        "_connection_nonces",
        "_is_dialer",
        "_keys",
        "_frames_received",
        "_frames_sent",
    )

    def __init__(self, keys: KeyRing, *, is_dialer: bool):
        self._keys = keys
        self._is_dialer = is_dialer
        self._connection_nonces = b""
        self._frames_sent = 0
        self._frames_received = 0

    def bind(self, dialer_nonce: bytes, listener_nonce: bytes) -> None:
        """Include the nonces of the connection in the digests of all later frames."""
        self._connection_nonces = dialer_nonce + listener_nonce

    def seal(self, payload: bytes) -> bytes:
        """Return the authenticated frame of a payload."""
        key = self._keys.active
        self._frames_sent += 1
        sequence = self._frames_sent.to_bytes(8, "big")
        digest = self._digest(key, self._is_dialer, sequence, payload)
        return bytes((key.key_id,)) + sequence + digest + payload

    def open(self, frame: bytes) -> bytes:
        """Return the payload of a frame if it is authentic and the next in sequence.

        Raises
        ------
        MessageError
            With code ``truncated``, ``unknown_key``, ``bad_digest`` or
            ``bad_sequence``.
        """
        if len(frame) < HEADER_BYTES:
            raise MessageError(
                f"frame: expected at least {HEADER_BYTES} bytes, got {len(frame)}",
                code="truncated",
            )
        key = self._keys.find(frame[0])
        sequence, digest = frame[1:9], frame[9:HEADER_BYTES]
        payload = frame[HEADER_BYTES:]
        expected = self._digest(key, not self._is_dialer, sequence, payload)
        if not hmac.compare_digest(digest, expected):
            raise MessageError("frame: digest does not match", code="bad_digest")
        if int.from_bytes(sequence, "big") != self._frames_received + 1:
            raise MessageError(
                f"frame: expected sequence number {self._frames_received + 1}, "
                f"got {int.from_bytes(sequence, 'big')}",
                code="bad_sequence",
            )
        self._frames_received += 1
        return payload

    def _digest(
        self, key: SharedKey, from_dialer: bool, sequence: bytes, payload: bytes
    ) -> bytes:
        state = hashlib.blake2b(key=key.secret, digest_size=DIGEST_BYTES)
        state.update(b"\x01" if from_dialer else b"\x00")
        state.update(self._connection_nonces)
        state.update(sequence)
        state.update(payload)
        return state.digest()
