"""Reads the claims stream into a ledger and lets callers wait for its progress."""

import asyncio
import contextlib
from collections.abc import Callable

from absl import logging

from ..core import LogError, LogPage, LogStore, TimerService, with_timeout
from .batcher import CLAIMS_STREAM
from .errors import ClaimError
from .ledger import ClaimLedger

POLL_SECONDS = 10.0
READ_TIMEOUT_SECONDS = 2.0
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0
PAGE_RECORDS = 500
MAX_WAITERS = 10_000


class ClaimFollower:
    """Follows the claims stream with long polls.

    Parameters
    ----------
    log : LogStore
        The log service.
    ledger : ClaimLedger
        Receives the records. Overlapping reads are harmless because the ledger
        ignores records that it has applied.
    timers : TimerService
        Clock of waits and retries.

    Attributes
    ----------
    counters : dict of str to int
        ``pages``, ``read_failed``, ``wait_expired`` and ``refused``.
    """

    def __init__(
        self,
        log: LogStore,
        ledger: ClaimLedger,
        timers: TimerService,
        *,
        stream: str = CLAIMS_STREAM,
    ):
        self.ledger = ledger
        self._log = log
        self._timers = timers
        self._stream = stream
        self._waiters: dict[asyncio.Future, Callable[[], bool]] = {}
        self._listeners: list[Callable[[], None]] = []
        self._is_available: bool | None = None
        self.counters: dict[str, int] = {}

    def add_listener(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each applied page."""
        self._listeners.append(callback)

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        delay_s = RETRY_SECONDS
        # The first read does not wait, so that a quiet log delays no start.
        wait_s = 0.0
        while True:
            try:
                await self._read_page(wait_s)
                delay_s, wait_s = RETRY_SECONDS, POLL_SECONDS
            except ClaimError:
                await self._timers.sleep(delay_s)
                delay_s = min(MAX_RETRY_SECONDS, 2 * delay_s)

    async def read_to_end(self) -> None:
        """Read at once to the end of the stream as of this call.

        Raises
        ------
        ClaimError
            With code ``log_unavailable``.
        """
        page = await self._read_page(0.0)
        end_offset = page.end_offset
        while self.ledger.position + 1 < end_offset:
            await self._read_page(0.0)

    async def wait_until(
        self, predicate: Callable[[], bool], timeout_s: float, *, prompt: bool = False
    ) -> bool:
        """Wait until ``predicate`` holds for the ledger; return whether it does.

        With ``prompt`` the stream is read at once and again after failures, instead
        of waiting for the long poll, whose connection may be unresponsive.

        Raises
        ------
        ClaimError
            With code ``claims_overloaded`` if too many callers wait.
        """
        if predicate():
            return True
        if len(self._waiters) >= MAX_WAITERS:
            self._count("refused")
            raise ClaimError("too many waits on claims", code="claims_overloaded")
        fut = asyncio.get_running_loop().create_future()
        self._waiters[fut] = predicate
        reader = None
        if prompt:
            reader = asyncio.get_running_loop().create_task(self._read_until(fut))
        try:
            await with_timeout(self._timers, fut, timeout_s)
            return True
        except TimeoutError:
            self._count("wait_expired")
            return predicate()
        finally:
            self._waiters.pop(fut, None)
            if reader is not None:
                reader.cancel()

    async def wait_applied(
        self, offset: int, timeout_s: float, *, prompt: bool = True
    ) -> bool:
        """Wait until the ledger has applied ``offset``; return whether it has."""
        return await self.wait_until(
            lambda: self.ledger.position >= offset, timeout_s, prompt=prompt
        )

    async def _read_until(self, fut: asyncio.Future) -> None:
        while not fut.done():
            with contextlib.suppress(ClaimError):
                await self.read_to_end()
            if not fut.done():
                await self._timers.sleep(RETRY_SECONDS)

    async def _read_page(self, wait_s: float) -> LogPage:
        offset = self.ledger.position + 1
        call = self._log.read(self._stream, offset, PAGE_RECORDS, wait_s)
        try:
            page = await with_timeout(self._timers, call, wait_s + READ_TIMEOUT_SECONDS)
        except (LogError, TimeoutError) as exc:
            self._count("read_failed")
            self._note_available(False)
            raise ClaimError(f"claims stream: {exc}") from exc
        self._note_available(True)
        self._apply(page)
        return page

    def _apply(self, page: LogPage) -> None:
        self._count("pages")
        self.ledger.apply_page(page)
        for fut, predicate in list(self._waiters.items()):
            if not fut.done() and predicate():
                fut.set_result(None)
        for listener in self._listeners:
            listener()

    def _note_available(self, is_available: bool) -> None:
        if is_available is not self._is_available:
            self._is_available = is_available
            state = "readable" if is_available else "not readable"
            logging.info("claims stream is %s", state)

    def _count(self, reason: str) -> None:
        self.counters[reason] = self.counters.get(reason, 0) + 1
