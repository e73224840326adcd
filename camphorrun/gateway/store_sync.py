"""Keeps the gateway's state up to date from the store."""

from random import Random

from ..core import EventLog, TimerService
from ..metrics import Metrics
from ..platform import (
    CONFIGURATION_TOPIC,
    REPLICA_TOPIC,
    StoreClient,
    StoreError,
)
from .state import GatewayState

GROUP = "gateways"
# Partitions of this topic are dealt to the members; nothing is written to it.
MEMBER_TOPIC = "gateways"
# A changed configuration ends the read at once; the wait bounds for how long a dead
# connection to the store goes unnoticed.
CONFIGURATION_WAIT_SECONDS = 3.0
# Replicas write about every second, so waiting would end with each of their reports;
# a fixed interval costs fewer calls and stays within the bound for draining replicas.
REPLICA_POLL_SECONDS = 0.5
RETRY_SECONDS = 0.25
JOINS_PER_TTL = 3.0


class StoreSync:
    """Reads configuration and registrations, and keeps this daemon in its group.

    Attributes
    ----------
    failing_since : dict of str to float
        Topics whose last read failed, with the time of the first failure.
    """

    def __init__(
        self,
        store: StoreClient,
        state: GatewayState,
        *,
        ttl_s: float,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
        seed: int = 0,
    ):
        self._store = store
        self._state = state
        self._ttl_s = ttl_s
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._rng = Random(seed)
        self._generation = 0
        self.failing_since: dict[str, float] = {}

    async def follow_configuration(self) -> None:
        """Read configuration records for ever."""
        while True:
            await self._read(CONFIGURATION_TOPIC, CONFIGURATION_WAIT_SECONDS)

    async def follow_replicas(self) -> None:
        """Read registrations for ever."""
        while True:
            if await self._read(REPLICA_TOPIC, 0.0):
                await self._timers.sleep(REPLICA_POLL_SECONDS)

    async def keep_membership(self) -> None:
        """Stay in the group and learn its members for ever."""
        while True:
            try:
                await self._join()
                self._regained("members")
            except StoreError as exc:
                self._lost("members", exc)
            await self._timers.sleep(self._ttl_s / JOINS_PER_TTL)

    async def leave(self) -> None:
        """Leave the group, so that others take over the work at once."""
        try:
            await self._store.leave(GROUP, self._state.member)
        except StoreError as exc:
            self._events.belief("leave_failed", code=exc.code, error=str(exc))

    async def _join(self) -> None:
        generation = await self._store.join(
            GROUP, MEMBER_TOPIC, self._state.member, self._generation, self._ttl_s
        )
        if generation != self._generation:
            members = await self._store.members(GROUP)
            self._generation = generation
            self._state.set_members(members)

    async def _read(self, topic: str, wait_s: float) -> bool:
        """Read one page; return whether the reader is up to date."""
        view = self._state.views[topic]
        try:
            if not view.known:
                await self._list(topic)
                return True
            page = await self._store.read_records(topic, view.end, wait_s)
        except StoreError as exc:
            if exc.code == "trimmed":
                return await self._list_after_trim(topic)
            await self._after_failure(topic, exc)
            return False
        self._regained(topic)
        self._state.apply(topic, page, "store")
        return page.complete

    async def _list_after_trim(self, topic: str) -> bool:
        try:
            await self._list(topic)
        except StoreError as exc:
            await self._after_failure(topic, exc)
            return False
        return True

    async def _list(self, topic: str) -> None:
        page = await self._store.list_records(topic)
        self._regained(topic)
        self._state.apply(topic, page, "store")

    async def _after_failure(self, topic: str, exc: StoreError) -> None:
        self._lost(topic, exc)
        await self._timers.sleep(RETRY_SECONDS * self._rng.uniform(0.8, 1.2))

    def _lost(self, topic: str, exc: StoreError) -> None:
        self._metrics.retries.labels("store").inc()
        if topic not in self.failing_since:
            self.failing_since[topic] = self._timers.now()
            self._events.belief(
                "store_lost", topic=topic, code=exc.code, error=str(exc)
            )

    def _regained(self, topic: str) -> None:
        since = self.failing_since.pop(topic, None)
        if since is not None:
            lost_s = round(self._timers.now() - since, 3)
            self._events.belief("store_regained", topic=topic, after_s=lost_s)
