"""Appends claim records in batches, so that daemons share the log's append rate."""

import asyncio
from collections import deque

from ..core import LogError, LogStore, TimerService, with_timeout
from .errors import ClaimError
from .records import MAX_BATCH_RECORDS, ClaimRecord, Position, encode_batch

CLAIMS_STREAM = "claims"
MAX_QUEUED_RECORDS = 4096
# The log service takes several hundred appends a second from all daemons together.
APPENDS_PER_SECOND = 20.0
BURST_APPENDS = 5.0
APPEND_TIMEOUT_SECONDS = 2.0


class Submission:
    """A record on its way into the log.

    Attributes
    ----------
    sent : bool
        The record was part of an append, so it may be in the log.
    fut : asyncio.Future
        Resolves to the ``Position``, or fails with ``ClaimError``.
    """

    __slots__ = ("fut", "record", "sent")

    def __init__(self, record: ClaimRecord):
        self.record = record
        self.sent = False
        self.fut: asyncio.Future[Position] = asyncio.get_running_loop().create_future()


class ClaimAppender:
    """Batches records: one append is in flight while the next batch accumulates.

    Parameters
    ----------
    log : LogStore
        The log service.
    timers : TimerService
        Clock of the rate limit and the append timeout.
    appends_per_s : float
        Rate limit of this daemon, with a burst of ``BURST_APPENDS``.
    max_queued : int
        Records that may wait; more are refused with ``claims_overloaded``.

    Attributes
    ----------
    counters : dict of str to int
        ``appends``, ``records``, ``bytes``, ``refused`` and failures by code.
    """

    def __init__(
        self,
        log: LogStore,
        timers: TimerService,
        *,
        stream: str = CLAIMS_STREAM,
        appends_per_s: float = APPENDS_PER_SECOND,
        max_queued: int = MAX_QUEUED_RECORDS,
    ):
        self._log = log
        self._timers = timers
        self._stream = stream
        self._rate = appends_per_s
        self._max_queued = max_queued
        self._queue: deque[Submission] = deque()
        self._tokens = BURST_APPENDS
        self._refilled_at = timers.now()
        self._pump: asyncio.Task | None = None
        self.counters: dict[str, int] = {}

    def submit(self, record: ClaimRecord) -> Submission:
        """Queue a record.

        Cancelling the future of the returned submission before it was sent removes
        the record from the queue.

        Raises
        ------
        ClaimError
            With code ``claims_overloaded`` if the queue is full.
        """
        if len(self._queue) >= self._max_queued:
            self._count("refused")
            raise ClaimError("too many claim records queued", code="claims_overloaded")
        submission = Submission(record)
        self._queue.append(submission)
        if self._pump is None or self._pump.done():
            self._pump = asyncio.get_running_loop().create_task(self._run())
        return submission

    async def append(self, record: ClaimRecord) -> Position:
        """Append a record and return its position.

        Raises
        ------
        ClaimError
            With code ``claims_overloaded``, ``log_unavailable`` or
            ``append_uncertain``.
        """
        return await self.submit(record).fut

    async def close(self) -> None:
        """Stop appending; queued records fail with ``log_unavailable``."""
        if self._pump is not None:
            self._pump.cancel()
            await asyncio.wait([self._pump])
        _fail(list(self._queue), ClaimError("the appender was closed"))
        self._queue.clear()

    async def _run(self) -> None:
        while self._queue:
            await self._take_token()
            batch = self._next_batch()
            if batch:
                await self._send(batch)

    async def _take_token(self) -> None:
        self._refill()
        while self._tokens < 1.0:
            # The extra microsecond keeps rounding from causing a wait of zero.
            await self._timers.sleep((1.0 - self._tokens) / self._rate + 1e-6)
            self._refill()
        self._tokens -= 1.0

    def _refill(self) -> None:
        now = self._timers.now()
        earned = (now - self._refilled_at) * self._rate
        self._tokens = min(BURST_APPENDS, self._tokens + earned)
        self._refilled_at = now

    def _next_batch(self) -> list[Submission]:
        batch: list[Submission] = []
        while self._queue and len(batch) < MAX_BATCH_RECORDS:
            submission = self._queue.popleft()
            if not submission.fut.done():
                submission.sent = True
                batch.append(submission)
        return batch

    async def _send(self, batch: list[Submission]) -> None:
        value = encode_batch([submission.record for submission in batch])
        self._count("appends")
        self._count("records", len(batch))
        self._count("bytes", len(value))
        try:
            offset = await self._append(value)
        except ClaimError as exc:
            self._count(exc.code)
            _fail(batch, exc)
            return
        except asyncio.CancelledError:
            _fail(batch, ClaimError("append cancelled", code="append_uncertain"))
            raise
        for index, submission in enumerate(batch):
            if not submission.fut.done():
                submission.fut.set_result(Position(offset, index))

    async def _append(self, value: bytes) -> int:
        """Append one value; only a clear refusal proves that it had no effect."""
        call = self._log.append(self._stream, [value])
        try:
            return await with_timeout(self._timers, call, APPEND_TIMEOUT_SECONDS)
        except LogError as exc:
            raise ClaimError(str(exc), code=exc.code) from exc
        except Exception as exc:
            raise ClaimError(f"append: {exc!r}", code="append_uncertain") from exc

    def _count(self, reason: str, amount: int = 1) -> None:
        self.counters[reason] = self.counters.get(reason, 0) + amount


def _fail(batch: list[Submission], error: ClaimError) -> None:
    for submission in batch:
        if not submission.fut.done():
            submission.fut.set_exception(ClaimError(str(error), code=error.code))
