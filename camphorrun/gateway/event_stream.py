"""Splitting of an event stream into complete events."""

import re

from .errors import EventError

# A blank line ends an event; lines end in any of three ways.
EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
MAX_EVENT_END_BYTES = 4
# Far above the event size of any model. Bounds the memory of the host, which buffers at
# most one incomplete event for each stream.
MAX_EVENT_BYTES = 256 * 1024


class EventBuffer:
    r"""Holds back the bytes of an event until it is complete.

    A replica may stop in the middle of an event. The incomplete event must not reach
    the caller, because the stream may be resumed at another replica.

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
        # Length of the prefix that is known to contain no end of an event.
        self._scan_start = 0

    @property
    def remainder(self) -> bytes:
        """Buffered bytes of an incomplete event."""
        return bytes(self._pending)

    @property
    def size(self) -> int:
        """Number of buffered bytes."""
        return len(self._pending)

    @property
    def is_within_event(self) -> bool:
        """Whether an event has begun and not ended; blank lines are no event."""
        return bool(self._pending.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the events that they complete.

        Raises
        ------
        EventError
            If an event is longer than ``MAX_EVENT_BYTES``.
        """
        self._pending += data
        events = []
        while match := EVENT_END.search(self._pending, self._scan_start):
            end = match.end()
            events.append(bytes(self._pending[:end]))
            del self._pending[:end]
            self._scan_start = 0
        self._scan_start = max(0, len(self._pending) - MAX_EVENT_END_BYTES + 1)
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventError(
                f"incomplete event of {len(self._pending)} bytes, at most "
                f"{MAX_EVENT_BYTES} are allowed"
            )
        return events
