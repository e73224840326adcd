"""Splits a stream into its events."""

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024


class EventBuffer:
    r"""Holds back the bytes of an event until it is whole.

    A replica may stop in the middle of an event; the part must not reach the caller,
    because the stream may go on at another replica.

    Examples
    --------
    >>> buffer = EventBuffer()
    >>> buffer.feed(b"id: 1\ndata: a\n\nid: 2")
    [b'id: 1\ndata: a\n\n']
    >>> buffer.rest
    b'id: 2'
    """

    __slots__ = ("_pending",)

    def __init__(self):
        self._pending = b""

    @property
    def rest(self) -> bytes:
        """Bytes that are no whole event yet."""
        return self._pending

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are whole now."""
        *events, self._pending = (self._pending + data).split(EVENT_END)
        return [event + EVENT_END for event in events]
