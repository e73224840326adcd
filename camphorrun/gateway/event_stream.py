"""Splits a stream into its events."""

from .errors import EventError

EVENT_END = b"\n\n"
# Far above the events of any model; the host holds one for each stream at most.
MAX_EVENT_BYTES = 256 * 1024


class EventBuffer:
    r"""Holds back the bytes of an event until it is whole.

    A replica may stop in the middle of an event; the part must not reach the caller,
    because the stream may go on at another replica.

    Examples
    --------
    >>> buffer = EventBuffer()
    >>> buffer.feed(b"id: 1\ndata: a\n\nid: 2")
    [b'id: 1\ndata: a\n\n']
    >>> buffer.remainder
    b'id: 2'
    """

    __slots__ = ("_pending", "_scan_start")

    def __init__(self):
        self._pending = bytearray()
        # Bytes at the start of the pending ones that hold no end of an event.
        self._scan_start = 0

    @property
    def remainder(self) -> bytes:
        """Bytes that are no whole event yet."""
        return bytes(self._pending)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are whole now.

        Raises
        ------
        EventError
            If an event is longer than ``MAX_EVENT_BYTES``.
        """
        self._pending += data
        events = []
        while (end := self._pending.find(EVENT_END, self._scan_start)) >= 0:
            end += len(EVENT_END)
            events.append(bytes(self._pending[:end]))
            del self._pending[:end]
            self._scan_start = 0
        self._scan_start = max(0, len(self._pending) - len(EVENT_END) + 1)
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events
