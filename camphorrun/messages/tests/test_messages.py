"""Tests of the message codec and of frame authentication."""

import msgspec
import pytest

from .. import (
    AttemptId,
    DrainNotice,
    FrameSealer,
    KeyRing,
    MessageError,
    NotStarted,
    SharedKey,
    decode_message,
    encode_message,
)

_RING = KeyRing((SharedKey(1, b"one"), SharedKey(2, b"two")))


def _pair() -> tuple[FrameSealer, FrameSealer]:
    dialer = FrameSealer(_RING, is_dialer=True)
    listener = FrameSealer(_RING, is_dialer=False)
    return dialer, listener


class TestCodec:
    """A decoded message equals the encoded one; invalid data is rejected."""

    def test_nested_message_round_trip(self):
        """Guards against fields that encoding or decoding loses."""
        message = NotStarted(AttemptId("req-1", 2, 3), "draining", retry_after_s=1.5)
        assert decode_message(encode_message(message)) == message

    def test_unknown_field_is_ignored(self):
        """Guards against an older peer that rejects the messages of a newer one."""
        data = msgspec.msgpack.encode((9, "DrainNotice", {"reason": "x", "new": 1}))
        assert decode_message(data) == DrainNotice("x")

    def test_unknown_kind_is_rejected(self):
        """Guards against a crash on a message kind of a newer program version."""
        with pytest.raises(MessageError) as caught:
            decode_message(msgspec.msgpack.encode((1, "Later", {})))
        assert caught.value.code == "unknown_kind"

    @pytest.mark.parametrize("data", [b"", b"\xff", b"\x93\x01", b"random bytes"])
    def test_malformed_data_is_rejected(self, data):
        """Guards against an exception other than MessageError."""
        with pytest.raises(MessageError):
            decode_message(data)


class TestFrameSealer:
    """Only frames of the peer, in order and on the same connection, are accepted."""

    def test_frames_are_accepted_in_order(self):
        """Guards against valid frames of the peer that are rejected."""
        dialer, listener = _pair()
        assert listener.open(dialer.seal(b"a")) == b"a"
        assert listener.open(dialer.seal(b"b")) == b"b"

    def test_replayed_frame_is_rejected(self):
        """Guards against a second execution of a dispatch by a replayed frame."""
        dialer, listener = _pair()
        frame = dialer.seal(b"a")
        listener.open(frame)
        with pytest.raises(MessageError) as caught:
            listener.open(frame)
        assert caught.value.code == "bad_sequence"

    def test_frame_of_another_connection_is_rejected(self):
        """Guards against frames that are replayed on another connection."""
        dialer, listener = _pair()
        dialer.bind(b"1" * 16, b"2" * 16)
        listener.bind(b"1" * 16, b"3" * 16)
        with pytest.raises(MessageError) as caught:
            listener.open(dialer.seal(b"a"))
        assert caught.value.code == "bad_digest"

    def test_any_valid_key_is_accepted(self):
        """Guards against links that fail during a key rotation.

        During a rotation one end seals with a key that is not the first of the other.
        """
        rotated = KeyRing((SharedKey(2, b"two"), SharedKey(1, b"one")))
        frame = FrameSealer(rotated, is_dialer=True).seal(b"a")
        assert _pair()[1].open(frame) == b"a"

    @pytest.mark.parametrize(
        ("frame", "code"),
        [(b"\x01short", "truncated"), (b"\x09" + bytes(40), "unknown_key")],
    )
    def test_invalid_frame_is_rejected(self, frame, code):
        """Guards against frames of processes that don't have the shared key."""
        with pytest.raises(MessageError) as caught:
            _pair()[1].open(frame)
        assert caught.value.code == code
