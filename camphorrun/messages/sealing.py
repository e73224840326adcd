"""Frame authentication with shared keys.

A frame is: key id (1 byte), sequence number (8 bytes), BLAKE2b digest (16 bytes),
payload. After both hellos the digest key is derived from the shared key and the
nonces of both ends, so frames of another connection are refused.
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
    """A secret known to all processes of the system; ``key_id`` is 0 to 255."""

    key_id: int
    secret: bytes = field(repr=False)


class KeyRing:
    """The shared keys that are valid now; frames are sealed with the first.

    Raises
    ------
    ValueError
        If no key is given.
    """

    __slots__ = ("_keys", "active")

    def __init__(self, keys: tuple[SharedKey, ...]):
        if not keys:
            raise ValueError("keys: expected at least one shared key")
        self._keys = {key.key_id: key for key in keys}
        self.active = keys[0]

    def find(self, key_id: int) -> SharedKey:
        """Return the key with this id or raise ``MessageError`` (``unknown_key``)."""
        key = self._keys.get(key_id)
        if key is None:
            raise MessageError(f"unknown key id {key_id}", code="unknown_key")
        return key


class FrameSealer:
    """Seals and opens the frames of one end of one connection.

    Parameters
    ----------
    keys : KeyRing
        Shared keys.
    is_dialer : bool
        True on the side that opened the connection. It is part of the digest, so a
        frame cannot be reflected to its sender.
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
        """Bind all later frames to the nonces of this connection."""
        self._connection_nonces = dialer_nonce + listener_nonce

    def seal(self, payload: bytes) -> bytes:
        """Return the frame for a payload."""
        key = self._keys.active
        self._frames_sent += 1
        sequence = self._frames_sent.to_bytes(8, "big")
        digest = self._digest(key, self._is_dialer, sequence, payload)
        return bytes((key.key_id,)) + sequence + digest + payload

    def open(self, frame: bytes) -> bytes:
        """Return the payload of an authentic frame that is next in sequence.

        Raises
        ------
        MessageError
            With code ``truncated``, ``unknown_key``, ``bad_digest`` or
            ``bad_sequence``.
        """
        if len(frame) < HEADER_BYTES:
            raise MessageError(f"frame of {len(frame)} bytes", code="truncated")
        key = self._keys.find(frame[0])
        sequence, digest = frame[1:9], frame[9:HEADER_BYTES]
        payload = frame[HEADER_BYTES:]
        expected = self._digest(key, not self._is_dialer, sequence, payload)
        if not hmac.compare_digest(digest, expected):
            raise MessageError("digest does not match", code="bad_digest")
        if int.from_bytes(sequence, "big") != self._frames_received + 1:
            raise MessageError("frame out of sequence", code="bad_sequence")
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
