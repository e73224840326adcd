"""Announcement of an agent to entries whose host list doesn't contain it yet."""

import asyncio
import random
from collections.abc import Callable

import aiohttp
from absl import logging

from ..clients import HostEntry
from ..core import TimerService, with_timeout
from ..messages import KeyRing
from ..metrics import Metrics
from ..relay import Announce, RelayClient, RelayError

ANNOUNCE_INTERVAL_SECONDS = 30.0
# Random delay that spreads the announcements of many agents to a newly listed entry.
MAX_JITTER_SECONDS = 1.0


class Announcer:
    """Sends ``Announce`` to every listed entry until the entry acknowledges it.

    While the host list doesn't contain the agent itself, the announcement is repeated
    to all entries, because an entry loses it when it restarts.

    Parameters
    ----------
    message : Announce
        The announcement, which contains the incarnation of the agent.
    session : aiohttp.ClientSession
        HTTP session of the daemon.
    keys : KeyRing
        Keys that authenticate relay messages.
    timers, metrics
        Clock, and counters of failed announcements.
    is_open : callable
        Returns whether the agent accepts work; a draining agent is not announced.
    rng : random.Random, optional
        Source of the jitter.
    """

    def __init__(
        self,
        message: Announce,
        session: aiohttp.ClientSession,
        keys: KeyRing,
        timers: TimerService,
        metrics: Metrics,
        *,
        is_open: Callable[[], bool],
        rng: random.Random | None = None,
    ):
        self._message = message
        self._session = session
        self._keys = keys
        self._timers = timers
        self._metrics = metrics
        self._is_open = is_open
        self._rng = rng or random.Random()
        self._entries: frozenset[tuple[str, str]] = frozenset()
        self._acknowledged: set[tuple[str, str]] = set()
        self._is_listed = False
        self._new_entry = asyncio.Event()

    def update(self, hosts: tuple[HostEntry, ...]) -> None:
        """Apply a new host list; a new entry starts an announcement at once."""
        self._is_listed = any(entry.host == self._message.host for entry in hosts)
        entries = frozenset(
            (entry.host, entry.address)
            for entry in hosts
            if entry.role == "entry" and entry.address
        )
        self._acknowledged &= entries
        if entries - self._entries:
            self._new_entry.set()
        self._entries = entries

    async def run(self) -> None:
        """Announce periodically, and to new entries at once, until cancelled."""
        while True:
            await self._wait_for_next_round()
            self._new_entry.clear()
            await self._timers.sleep(self._rng.uniform(0.0, MAX_JITTER_SECONDS))
            if self._is_open():
                await self.announce_to_entries()

    def announcement_targets(self) -> list[tuple[str, str]]:
        """Return host and address of each entry to which an announcement is due."""
        if not self._is_listed:
            return sorted(self._entries)
        return sorted(self._entries - self._acknowledged)

    async def announce_to_entries(self) -> None:
        """Announce the agent to all target entries concurrently."""
        await asyncio.gather(
            *(self._announce(entry) for entry in self.announcement_targets())
        )

    async def _wait_for_next_round(self) -> None:
        interval_s = self._rng.uniform(0.75, 1.25) * ANNOUNCE_INTERVAL_SECONDS
        try:
            await with_timeout(self._timers, self._new_entry.wait(), interval_s)
        except TimeoutError:
            return

    async def _announce(self, entry: tuple[str, str]) -> None:
        host, address = entry
        client = RelayClient(self._session, address, self._keys)
        try:
            await client.announce(self._message)
        except RelayError as exc:
            self._metrics.drops.labels(f"announce_{exc.code}").inc()
            return
        if entry not in self._acknowledged:
            logging.info("entry %s acknowledged the announcement of this agent", host)
            self._acknowledged.add(entry)
