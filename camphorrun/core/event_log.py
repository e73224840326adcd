"""Structured log of decisions: one JSON object a line on standard output.

A line is written for each decision that touches a request or changes what the host
believes. Volume is bounded and a reader that stalls never blocks the host: lines
over the bound, and lines that the pipe does not take, are counted and dropped.
"""

import os

import msgspec

from .timers import TimerService

STANDARD_OUTPUT = 1
# Bounds the cost of logging during a burst; lines of one level share it.
MAX_LINES_PER_SECOND = 400
# Kept free for changes of belief, so that requests can't crowd them out.
RESERVED_LINES_PER_SECOND = 100
MAX_PENDING_BYTES = 64 * 1024
FLUSH_SECONDS = 0.1


class EventLog:
    """Writes decision lines.

    Parameters
    ----------
    host : str
        Name of the host, in every line.
    timers : TimerService
        Clock; lines carry its monotonic seconds and the wall-clock time is left to the
        collector, because clocks of hosts differ.
    descriptor : int
        Open file descriptor; it is made non-blocking.
    """

    def __init__(
        self,
        host: str,
        timers: TimerService,
        descriptor: int | None = STANDARD_OUTPUT,
    ):
        self._host = host
        self._timers = timers
        self._descriptor = descriptor
        self._current_second = -1
        self._lines_this_second = 0
        self._pending_bytes = bytearray()
        self._flush_scheduled = False
        self.dropped = 0
        if descriptor is not None:
            os.set_blocking(descriptor, False)

    def log_decision(self, event: str, request_id: str, **fields: object) -> None:
        """Record a decision on one request."""
        limit = MAX_LINES_PER_SECOND - RESERVED_LINES_PER_SECOND
        self._write(limit, {"event": event, "request": request_id, **fields})

    def log_state_change(self, event: str, **fields: object) -> None:
        """Record a change of what the host believes."""
        self._write(MAX_LINES_PER_SECOND, {"event": event, **fields})

    def _write(self, limit: int, fields: dict[str, object]) -> None:
        now = self._timers.now()
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._lines_this_second = 0
        if (
            self._lines_this_second >= limit
            or len(self._pending_bytes) > MAX_PENDING_BYTES
        ):
            self.dropped += 1
            return
        self._lines_this_second += 1
        line = {"at": round(now, 4), "host": self._host, **fields}
        if self.dropped:
            line["dropped_lines"] = self.dropped
            self.dropped = 0
        self._pending_bytes += msgspec.json.encode(line) + b"\n"
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._timers.call_after(FLUSH_SECONDS, self.flush)

    def flush(self) -> None:
        """Write the pending lines as far as the reader takes them."""
        self._flush_scheduled = False
        if self._descriptor is None or not self._pending_bytes:
            return
        try:
            written = os.write(self._descriptor, self._pending_bytes)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; the lines have no other place to go.
            self.dropped += self._pending_bytes.count(b"\n")
            self._pending_bytes.clear()
            return
        del self._pending_bytes[:written]
        if self._pending_bytes and not self._flush_scheduled:
            self._flush_scheduled = True
            self._timers.call_after(FLUSH_SECONDS, self.flush)
