"""Structured event log: one JSON object per line on standard output.

A line is written for each decision on a request and for each change of the state that
the process knows. The number of lines per second is limited, and the descriptor is
non-blocking, so a slow reader never blocks the process: lines over the limit, and lines
that the pipe can't hold, are dropped and counted.
"""

import os

import msgspec

from .timers import TimerService

STANDARD_OUTPUT = 1
# Limits the cost of logging during a burst; all lines share the limit.
MAX_LINES_PER_SECOND = 400
# Part of the limit that only state changes may use, so that lines on requests can't
# displace them.
RESERVED_LINES_PER_SECOND = 100
MAX_PENDING_BYTES = 64 * 1024
FLUSH_SECONDS = 0.1


class EventLog:
    """Writes decisions and state changes as JSON lines.

    Parameters
    ----------
    host : str
        Name of the host, written in every line.
    timers : TimerService
        Clock. Lines contain its monotonic time in seconds; the log collector adds the
        wall-clock time, because the clocks of hosts differ.
    descriptor : int or None
        Open file descriptor, which is made non-blocking; None discards the lines.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last line that reported the number.
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
        """Log a decision on one request; ``fields`` become fields of the line."""
        limit = MAX_LINES_PER_SECOND - RESERVED_LINES_PER_SECOND
        self._write(limit, {"event": event, "request": request_id, **fields})

    def log_state_change(self, event: str, **fields: object) -> None:
        """Log a change of the known state; ``fields`` become fields of the line."""
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
        """Write the buffered lines, as far as the pipe can hold them."""
        self._flush_scheduled = False
        if self._descriptor is None or not self._pending_bytes:
            return
        try:
            written = os.write(self._descriptor, self._pending_bytes)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reading end is closed and there is no other destination.
            self.dropped += self._pending_bytes.count(b"\n")
            self._pending_bytes.clear()
            return
        del self._pending_bytes[:written]
        if self._pending_bytes and not self._flush_scheduled:
            self._flush_scheduled = True
            self._timers.call_after(FLUSH_SECONDS, self.flush)
