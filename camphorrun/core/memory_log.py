"""In-memory log service with injectable faults, for tests and stand-ins."""

import asyncio
from collections import deque
from enum import Enum

from .log import LogError, LogPage, LogRecord
from .timers import TimerService


class AppendFault(Enum):
    """Fault injected into one append.

    ``REFUSED``: the call fails and nothing is appended. ``REPLY_LOST``: the records
    are appended but the call fails. ``LOST_BEFORE_EFFECT``: nothing is appended and
    the caller can't tell.
    """

    REFUSED = "refused"
    REPLY_LOST = "reply_lost"
    LOST_BEFORE_EFFECT = "lost_before_effect"


class _Stream:
    """Records of one stream and the events of readers that wait for an append."""

    __slots__ = ("first_offset", "next_offset", "records", "wakeups")

    def __init__(self):
        self.records: deque[LogRecord] = deque()
        self.first_offset = 1
        self.next_offset = 1
        self.wakeups: set[asyncio.Event] = set()


class MemoryLog:
    """A ``LogStore`` that keeps its records in memory.

    Parameters
    ----------
    timers : TimerService
        Clock of the log service; record times are its time in milliseconds.
    retention_s : float
        Age in seconds above which ``expire`` removes records.

    Attributes
    ----------
    available : bool
        False makes every call fail with ``log_unavailable``.
    delay_s : float
        Delay of every call in seconds.
    append_faults : list of AppendFault
        Faults of the next append calls, in order.
    append_count : int
        Number of append calls that took effect.
    """

    def __init__(self, timers: TimerService, retention_s: float = 7 * 86400.0):
        self._timers = timers
        self._retention_s = retention_s
        self._streams: dict[str, _Stream] = {}
        self.available = True
        self.delay_s = 0.0
        self.append_faults: list[AppendFault] = []
        self.append_count = 0

    async def append(self, stream: str, values: list[bytes]) -> int:
        """Append values and return the offset of the first one."""
        await self._delay_or_fail()
        fault = self.append_faults.pop(0) if self.append_faults else None
        if fault is AppendFault.REFUSED:
            raise LogError("append refused by an injected fault")
        if fault is AppendFault.LOST_BEFORE_EFFECT:
            raise LogError("no reply to append", code="append_uncertain")
        offset = self._append_records(stream, values)
        if fault is AppendFault.REPLY_LOST:
            raise LogError("no reply to append", code="append_uncertain")
        return offset

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        """Return records from ``offset`` on."""
        await self._delay_or_fail()
        stream_data = self._stream(stream)
        if wait_s > 0 and offset >= stream_data.next_offset:
            await self._wait_for_append(stream_data, wait_s)
            if not self.available:
                raise LogError("log service is down")
        return self._build_page(
            stream_data, max(offset, stream_data.first_offset), limit
        )

    def expire(self) -> None:
        """Remove records older than the retention time."""
        oldest_kept_ms = self._now_ms() - int(self._retention_s * 1000)
        for stream_data in self._streams.values():
            while (
                stream_data.records and stream_data.records[0].time_ms < oldest_kept_ms
            ):
                stream_data.first_offset = stream_data.records.popleft().offset + 1

    def _now_ms(self) -> int:
        return int(self._timers.now() * 1000)

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    async def _delay_or_fail(self) -> None:
        if self.delay_s > 0:
            await self._timers.sleep(self.delay_s)
        if not self.available:
            raise LogError("log service is down")

    def _append_records(self, stream: str, values: list[bytes]) -> int:
        stream_data = self._stream(stream)
        first = stream_data.next_offset
        now_ms = self._now_ms()
        for value in values:
            stream_data.records.append(
                LogRecord(stream_data.next_offset, now_ms, value)
            )
            stream_data.next_offset += 1
        self.append_count += 1
        for wakeup in stream_data.wakeups:
            wakeup.set()
        return first

    async def _wait_for_append(self, stream_data: _Stream, wait_s: float) -> None:
        # Each reader has its own event, so that the timeout of one wakes no other.
        wakeup = asyncio.Event()
        stream_data.wakeups.add(wakeup)
        handle = self._timers.call_after(wait_s, wakeup.set)
        try:
            await wakeup.wait()
        finally:
            handle.cancel()
            stream_data.wakeups.discard(wakeup)

    def _build_page(self, stream_data: _Stream, offset: int, limit: int) -> LogPage:
        skip = offset - stream_data.first_offset
        records = tuple(
            stream_data.records[index]
            for index in range(skip, min(len(stream_data.records), skip + limit))
        )
        next_offset = (
            records[-1].offset + 1 if records else min(offset, stream_data.next_offset)
        )
        return LogPage(
            records,
            next_offset,
            stream_data.next_offset,
            stream_data.first_offset,
            self._now_ms(),
        )
