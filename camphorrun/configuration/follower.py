"""Reader of one configuration stream, from the log or from peers."""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable
from typing import Protocol

from absl import logging

from ..core import LogError, LogPage, LogRecord, LogStore, TimerService
from ..metrics import Metrics
from .view import ApplyResult, ConfigurationView, Key, SnapshotError

# A long poll bounds the age of a confirmed read, so a short one keeps views fresh;
# 370 daemons with two streams each cause 150 reads a second at this setting.
POLL_SECONDS = 5.0
PAGE_RECORDS = 500
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0
# Interval at which a reader asks peers for keys that are in doubt.
SNAPSHOT_RETRY_SECONDS = 30.0
# Time that the log gets to deliver what a peer already has.
PEER_GRACE_SECONDS = 0.5
# Interval at which peers are asked while the log is unavailable; a change must be in
# effect everywhere within 3 s, and one exchange takes up to 2 s with a lost peer.
PEER_POLL_SECONDS = 0.5
# Recent records kept for peers that are behind.
MAX_RECENT_BYTES = 1024 * 1024
MAX_REPLY_BYTES = 256 * 1024

ChangeListener = Callable[[set[Key]], None]


class SnapshotSource(Protocol):
    """Peers that answer while the log does not."""

    async def snapshot(self, stream: str, position: int) -> bytes | None:
        """Return the snapshot with the highest position, None if none is available.

        ``position`` is the caller's own; a source may skip peers that are behind it.
        """
        ...

    async def records(self, stream: str, offset: int) -> tuple[LogRecord, ...]:
        """Return consecutive records from ``offset`` on; empty if not available."""
        ...


class RecentRecords:
    """Consecutive records, bounded in bytes, that peers may fetch."""

    __slots__ = ("_bytes", "_max_bytes", "_records")

    def __init__(self, max_bytes: int = MAX_RECENT_BYTES):
        self._max_bytes = max_bytes
        self._bytes = 0
        self._records: deque[LogRecord] = deque()

    def add(self, record: LogRecord) -> None:
        """Add the next record; a gap forgets the records before it."""
        if self._records and record.offset <= self._records[-1].offset:
            return
        if self._records and record.offset != self._records[-1].offset + 1:
            self._records.clear()
            self._bytes = 0
        self._records.append(record)
        self._bytes += len(record.value)
        while self._bytes > self._max_bytes:
            self._bytes -= len(self._records.popleft().value)

    def since(self, offset: int) -> tuple[LogRecord, ...]:
        """Return records from ``offset`` on, empty if they are not all kept."""
        if not self._records or offset < self._records[0].offset:
            return ()
        selected: list[LogRecord] = []
        size = 0
        start = offset - self._records[0].offset
        for index in range(start, len(self._records)):
            size += len(self._records[index].value)
            if selected and size > MAX_REPLY_BYTES:
                break
            selected.append(self._records[index])
        return tuple(selected)


class StreamFollower:
    """Keeps a view at the end of its stream.

    ``run`` reads the log and ``run_catch_up`` fetches from peers what the log does
    not deliver; both are meant as children of a supervisor and may run concurrently,
    because a view ignores records that it has already applied.

    Parameters
    ----------
    log : LogStore
        The log service.
    view : ConfigurationView
        View to keep; it names the stream.
    timers : TimerService
        Clock and delays.
    source : SnapshotSource, optional
        Peers to ask while the log is unavailable or slow.
    metrics : Metrics, optional
        Counts records by result.
    rng : random.Random, optional
        Jitter of the backoff.
    """

    def __init__(
        self,
        log: LogStore,
        view: ConfigurationView,
        timers: TimerService,
        *,
        source: SnapshotSource | None = None,
        metrics: Metrics | None = None,
        rng: random.Random | None = None,
        poll_s: float = POLL_SECONDS,
    ):
        self.view = view
        self.recent = RecentRecords()
        self._log = log
        self._timers = timers
        self._source = source
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._poll_s = poll_s
        self._listeners: list[ChangeListener] = []
        self._synchronised = False
        self._log_available = True
        # Reads that began before a pause do not confirm anything after it.
        self._pause_count = 0
        self._confirmed_at: float | None = None
        self._next_snapshot_at = 0.0
        self._peer_position = 0
        self._peer_answer_count = 0
        self._peer_ahead = asyncio.Event()
        self._synchronised_listeners: list[Callable[[], None]] = []

    @property
    def stream(self) -> str:
        """Name of the stream."""
        return self.view.stream

    @property
    def position(self) -> int:
        """Offset of the last record applied."""
        return self.view.position

    @property
    def synchronised(self) -> bool:
        """Whether the stream was read to its end since the start or last pause."""
        return self._synchronised

    def read_age_s(self) -> float:
        """Return the seconds since the start of the last read that saw the end.

        The start of the read is used because the reply may have been on its way
        for the whole wait.
        """
        if self._confirmed_at is None:
            return float("inf")
        return self._timers.now() - self._confirmed_at

    def subscribe(self, listener: ChangeListener) -> None:
        """Call ``listener`` with the set of keys after each change."""
        self._listeners.append(listener)

    def subscribe_synchronised(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change of ``synchronised``."""
        self._synchronised_listeners.append(callback)

    def mark_paused(self) -> None:
        """Require another read to the end, after the process was stopped."""
        self._pause_count += 1
        self._confirmed_at = None
        # Heartbeats from before the pause may be outdated, too.
        self._peer_position = 0
        self._set_synchronised(False)

    def note_peer_position(self, position: int) -> None:
        """Take note of the position that a peer reported in a heartbeat."""
        self._peer_position = max(self._peer_position, position)
        if self._peer_position > self.position:
            self._peer_ahead.set()

    def note_peer_answer(self, position: int) -> None:
        """Take note of the position in a peer's answer to a request."""
        self._peer_answer_count += 1
        self.note_peer_position(position)

    async def run(self) -> None:
        """Read the stream until cancelled."""
        failures = 0
        while True:
            try:
                await self.read_once()
                failures = 0
            except LogError:
                if failures == 0:
                    await self.poll_peers()
                await self._timers.sleep(self._backoff(failures))
                failures += 1

    async def run_catch_up(self) -> None:
        """Fetch from peers what they have and the log has not delivered."""
        while True:
            await self._peer_ahead.wait()
            self._peer_ahead.clear()
            await self._timers.sleep(PEER_GRACE_SECONDS)
            if self._peer_position > self.position:
                await self.fetch_from_peers()

    async def run_peer_poll(self) -> None:
        """Ask peers while the log fails, and read again soon after a pause.

        Heartbeats reach neither an entry that lacks a stream which agents do not
        read, nor a daemon without links.
        """
        while True:
            await self._timers.sleep(self._rng.uniform(0.5, 1.0) * PEER_POLL_SECONDS)
            if not self._log_available:
                await self.poll_peers()
            elif self._pause_count and not self._synchronised:
                # The long poll from before the pause confirms nothing.
                with contextlib.suppress(LogError):
                    await self.read_once()

    async def poll_peers(self) -> None:
        """Fetch from peers; their position stands for the end of a failing log.

        Only an answer to this request counts. A heartbeat may have waited in a socket
        since before a pause.
        """
        pauses, answers = self._pause_count, self._peer_answer_count
        await self.fetch_from_peers()
        is_caught_up = self.position >= self._peer_position > 0
        if self._peer_answer_count == answers:
            return
        if is_caught_up and pauses == self._pause_count and not self._log_available:
            self._set_synchronised(True)

    async def read_once(self) -> LogPage:
        """Read and apply one page, waiting for new records only at the end.

        Raises
        ------
        LogError
            If the log is unavailable.
        """
        pauses, started_at = self._pause_count, self._timers.now()
        wait_s = self._poll_s if self._synchronised else 0.0
        try:
            page = await self._log.read(
                self.stream, self.position + 1, PAGE_RECORDS, wait_s
            )
        except LogError:
            self._set_log_available(available=False)
            raise
        self._set_log_available(available=True)
        self.apply_page(page)
        if page.next_offset >= page.end_offset and pauses == self._pause_count:
            self._confirmed_at = started_at
            await self._finish_read_to_end(pauses)
        return page

    def apply_page(self, page: LogPage) -> list[ApplyResult]:
        """Apply a page, also one that another component has read."""
        for record in page.records:
            self.recent.add(record)
        results = self.view.apply_page(page)
        self._report_results(results)
        return results

    async def fetch_from_peers(self) -> bool:
        """Apply records or a snapshot of peers; return whether there was progress."""
        if self._source is None:
            return False
        before = self.position
        records = ()
        if before > 0:
            records = await self._source.records(self.stream, before + 1)
        if records and records[0].offset <= self.position + 1:
            self._apply_records(records)
        else:
            await self._install_from_peers(self.position)
        return self.position > before

    def _apply_records(self, records: tuple[LogRecord, ...]) -> None:
        for record in records:
            self.recent.add(record)
        self._report_results([self.view.apply(record) for record in records])

    async def _finish_read_to_end(self, pauses: int) -> None:
        """Ask peers for what expired before this reader started."""
        now = self._timers.now()
        if not self.view.settled and now >= self._next_snapshot_at:
            self._next_snapshot_at = now + SNAPSHOT_RETRY_SECONDS
            # A settled snapshot at the same position is of use, too.
            await self._install_from_peers(self.position - 1)
        if pauses == self._pause_count:
            self._set_synchronised(True)

    def _set_synchronised(self, synchronised: bool) -> None:
        if synchronised is self._synchronised:
            return
        self._synchronised = synchronised
        for callback in self._synchronised_listeners:
            callback()

    async def _install_from_peers(self, position: int) -> None:
        if self._source is None:
            return
        data = await self._source.snapshot(self.stream, position)
        if data is None:
            return
        try:
            installed = self.view.install(data)
        except SnapshotError as exc:
            self._count("bad_snapshot")
            logging.warning("%s: snapshot of a peer refused: %s", self.stream, exc)
            return
        if installed:
            self._peer_position = max(self._peer_position, self.position)
            self._peer_answer_count += 1
            self._count("snapshot_installed")
            self._notify()

    def _report_results(self, results: list[ApplyResult]) -> None:
        for result in results:
            self._count(result.value)
        self._notify()

    def _notify(self) -> None:
        if self._metrics is not None:
            gauge = self._metrics.position.labels(self.stream)
            gauge.set(self.position)
        changed = self.view.pop_changed_keys()
        if changed:
            for listener in self._listeners:
                listener(changed)

    def _set_log_available(self, *, available: bool) -> None:
        if available != self._log_available:
            state = "available" if available else "unavailable"
            logging.warning("%s: log service is %s", self.stream, state)
        self._log_available = available

    def _count(self, result: str) -> None:
        if self._metrics is not None:
            self._metrics.config_records.labels(result).inc()

    def _backoff(self, failures: int) -> float:
        ceiling = min(
            MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2 ** min(failures, 9)
        )
        return self._rng.uniform(ceiling / 2, ceiling)
