"""Log service held in memory, with faults, for tests and stand-ins."""

import asyncio
from collections import deque
from enum import Enum

from .log import LogError, LogPage, LogRecord
from .timers import TimerService


class AppendFault(Enum):
    """Fault of the next append."""

    REFUSED = "refused"
    REPLY_LOST = "reply_lost"
    LOST_BEFORE_EFFECT = "lost_before_effect"


class _Stream:
    """Records of one stream and the readers that wait for more."""

    __slots__ = ("first_offset", "next_offset", "records", "waiting")

    def __init__(self):
        self.records: deque[LogRecord] = deque()
        self.first_offset = 1
        self.next_offset = 1
        self.waiting: set[asyncio.Event] = set()


class MemoryLog:
    """A ``LogStore`` in memory.

    Parameters
    ----------
    timers : TimerService
        Clock of the log service; record times are its ``now`` in milliseconds.
    retention_s : float
        Records older than this are removed by ``expire``.

    Attributes
    ----------
    available : bool
        False makes every call fail with ``log_unavailable``.
    delay_s : float
        Delay of every call.
    append_faults : list of AppendFault
        Faults of the next appends, first one first.
    append_count : int
        Append calls that took effect.
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
        await self._enter()
        fault = self.append_faults.pop(0) if self.append_faults else None
        if fault is AppendFault.REFUSED:
            raise LogError("append refused")
        if fault is AppendFault.LOST_BEFORE_EFFECT:
            raise LogError("no reply to append", code="append_uncertain")
        offset = self._store(stream, values)
        if fault is AppendFault.REPLY_LOST:
            raise LogError("no reply to append", code="append_uncertain")
        return offset

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        """Return records from ``offset`` on."""
        await self._enter()
        kept = self._stream(stream)
        if wait_s > 0 and offset >= kept.next_offset:
            await self._wait(kept, wait_s)
            if not self.available:
                raise LogError("log service is down")
        return self._page(kept, max(offset, kept.first_offset), limit)

    def expire(self) -> None:
        """Remove records older than the retention time."""
        horizon_ms = self._now_ms() - int(self._retention_s * 1000)
        for kept in self._streams.values():
            while kept.records and kept.records[0].time_ms < horizon_ms:
                kept.first_offset = kept.records.popleft().offset + 1

    def _now_ms(self) -> int:
        return int(self._timers.now() * 1000)

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    async def _enter(self) -> None:
        if self.delay_s > 0:
            await self._timers.sleep(self.delay_s)
        if not self.available:
            raise LogError("log service is down")

    def _store(self, stream: str, values: list[bytes]) -> int:
        kept = self._stream(stream)
        first = kept.next_offset
        now_ms = self._now_ms()
        for value in values:
            kept.records.append(LogRecord(kept.next_offset, now_ms, value))
            kept.next_offset += 1
        self.append_count += 1
        for woken in kept.waiting:
            woken.set()
        return first

    async def _wait(self, kept: _Stream, wait_s: float) -> None:
        # Each reader has its own event: the end of one wait must not end others.
        woken = asyncio.Event()
        kept.waiting.add(woken)
        handle = self._timers.call_after(wait_s, woken.set)
        try:
            await woken.wait()
        finally:
            handle.cancel()
            kept.waiting.discard(woken)

    def _page(self, kept: _Stream, offset: int, limit: int) -> LogPage:
        skip = offset - kept.first_offset
        records = tuple(
            kept.records[index]
            for index in range(skip, min(len(kept.records), skip + limit))
        )
        following = records[-1].offset + 1 if records else min(offset, kept.next_offset)
        return LogPage(
            records, following, kept.next_offset, kept.first_offset, self._now_ms()
        )
