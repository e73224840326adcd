"""Reads the store's records and keeps the membership in the group of gateways."""

import asyncio
from random import Random

from ..core import EventLog, TimerService, with_timeout
from ..metrics import Metrics
from ..platform import (
    CONFIGURATION_TOPIC,
    REPLICA_TOPIC,
    StoreClient,
    StoreError,
)
from .state import GatewayState
from .zone_readers import ZoneReaders

GATEWAY_GROUP = "gateways"
# The store assigns the partitions of these topics to the members; nothing is written to
# them. The others do not see a member without a partition, so it moves to the next
# topic.
MEMBER_TOPIC = "gateways"
MAX_MEMBER_TOPICS = 16
# Joins without a partition before a member moves to the next topic. Partitions are only
# reassigned when their holders join again, so the first joins may bring none.
MAX_EMPTY_JOINS = 4
# Time that the store waits for a changed configuration, which ends the poll at once.
# Together with the time-outs of a read it bounds how late a version is known after the
# end of an outage or a cut.
CONFIGURATION_WAIT_SECONDS = 1.0
# Replicas write about every second, and each write would end a long poll. A fixed
# interval costs fewer calls and is short enough to notice draining replicas in time.
REPLICA_POLL_SECONDS = 0.5
RETRY_DELAY_SECONDS = 0.25
JOINS_PER_LEASE = 3.0
# The lease grows with the group, which bounds the rate of joins in a large group. The
# callers of a lost member notice the loss before the lease ends.
LEASE_SECONDS_PER_MEMBER = 0.1
# Error codes after which the known position in a topic is invalid and the topic is
# listed.
INVALID_POSITION_CODES = frozenset({"trimmed", "new_era"})
# Error codes of answers that are dropped because of their era.
ERA_ERROR_CODES = frozenset({"old_era", "bad_era"})
# When the store has come back in a new era, each member joins again after a random
# delay up to this, so that the joins are spread.
MAX_REJOIN_DELAY_SECONDS = 0.5
# Longest time after a pause of this process during which requests are refused because
# the records have not been confirmed yet.
CONFIRMATION_TIMEOUT_SECONDS = 1.0


class StoreSync:
    """Reads configuration and registrations, and keeps this gateway in its group.

    Attributes
    ----------
    failing_since : dict of str to float
        Time of the first failure in a row, by topic; failed joins count under
        ``members``. A success removes the entry.
    """

    def __init__(
        self,
        store: StoreClient,
        state: GatewayState,
        readers: ZoneReaders,
        *,
        ttl_s: float,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
        seed: int = 0,
    ):
        self._store = store
        self._state = state
        self._readers = readers
        self._ttl_s = ttl_s
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._rng = Random(seed)
        self._generation = 0
        self._members_generation = 0
        self._joined_era = 0
        self._keep_members_until = float("-inf")
        self._empty_joins = 0
        self._member_topics = 1
        self._has_left = False
        # Held during a join, so that the store gets none after the order to leave.
        self._join_lock = asyncio.Lock()
        self.failing_since: dict[str, float] = {}

    async def follow_configuration(self) -> None:
        """Read configuration records until cancelled.

        While another gateway reads the store for this one, only wait.
        """
        while True:
            await self._readers.wait_for_loss()
            await self._read_topic(CONFIGURATION_TOPIC, CONFIGURATION_WAIT_SECONDS)

    async def follow_replicas(self) -> None:
        """Update registrations until cancelled, from a zone reader or the store."""
        while True:
            if await self._readers.refresh():
                for topic in list(self.failing_since):
                    self._record_recovery(topic)
            elif not await self._read_topic(REPLICA_TOPIC, 0.0):
                continue
            await self._timers.sleep(REPLICA_POLL_SECONDS)

    async def read_replicas(self) -> None:
        """Read the registrations up to now.

        Raises
        ------
        StoreError
            If the store can't be read.
        """
        is_complete = False
        while not is_complete:
            is_complete = await self._read_page(REPLICA_TOPIC, 0.0)

    async def confirm_all_topics(self) -> None:
        """Read all topics immediately after a pause of this process.

        Records may have been withdrawn during the pause, so requests are refused until
        the store has answered, for at most ``CONFIRMATION_TIMEOUT_SECONDS``.
        """
        self._readers.stop_following()
        self._state.require_confirmation(self._timers.now())
        try:
            await with_timeout(
                self._timers, self._read_until_confirmed(), CONFIRMATION_TIMEOUT_SECONDS
            )
        except TimeoutError:
            self._events.log_state_change(
                "not_confirmed", seconds=CONFIRMATION_TIMEOUT_SECONDS
            )
        self._state.end_confirmation()

    async def _read_until_confirmed(self) -> None:
        while self._state.awaits_confirmation:
            for topic in self._state.views:
                await self._read_topic(topic, 0.0)

    async def keep_membership(self) -> None:
        """Renew the membership and update the member list until cancelled."""
        while True:
            try:
                await self._update_membership()
                self._record_recovery("members")
            except StoreError as exc:
                self._record_failure("members", exc)
            await self._wait_for_next_join()

    async def _wait_for_next_join(self) -> None:
        """Wait for a fraction of the lease; less if the store enters a new era."""
        next_at = self._timers.now() + self._lease_s / JOINS_PER_LEASE
        while self._timers.now() < next_at:
            if self._store.era > self._joined_era:
                self._reset_membership()
                next_at = (
                    self._timers.now() + MAX_REJOIN_DELAY_SECONDS * self._rng.random()
                )
            remaining_s = next_at - self._timers.now()
            await self._timers.sleep(
                min(MAX_REJOIN_DELAY_SECONDS, max(0.0, remaining_s))
            )

    def _reset_membership(self) -> None:
        """Reset the generations: the store may have lost the group and its members.

        Members that the store no longer lists are kept for one lease, in which they
        join again.
        """
        self._joined_era = self._store.era
        self._generation = 0
        self._members_generation = -1
        self._keep_members_until = self._timers.now() + self._lease_s
        # The members of a new era may not be those of the one before.
        self._state.membership.end()

    async def leave(self) -> None:
        """Leave the group, so that the other members take over the work at once.

        The gateway does not join again, and still learns of changes of the members. A
        join in progress ends first, as the store could apply it after the leave.
        """
        self._has_left = True
        self._state.membership.end()
        try:
            async with self._join_lock:
                await self._store.leave(GATEWAY_GROUP, self._state.member)
        except StoreError as exc:
            self._events.log_state_change("leave_failed", code=exc.code, error=str(exc))

    @property
    def _lease_s(self) -> float:
        return max(self._ttl_s, len(self._state.members) * LEASE_SECONDS_PER_MEMBER)

    async def _update_membership(self) -> None:
        """Join the group again, or only read its members after having left it."""
        async with self._join_lock:
            if not self._has_left:
                await self._join_group()
                return
        self._state.set_members(await self._store.members(GATEWAY_GROUP))

    async def _join_group(self) -> None:
        topic = MEMBER_TOPIC
        if self._member_topics > 1:
            topic = f"{MEMBER_TOPIC}-{self._member_topics}"
        joined_at, lease_s = self._timers.now(), self._lease_s
        joined = await self._store.join(
            GATEWAY_GROUP, topic, self._state.member, self._generation, lease_s
        )
        self._generation = joined.generation
        self._state.membership.renew(joined_at, lease_s)
        self._update_member_topic(joined.partitions)
        if (
            self._readers.follows_reader
            or joined.generation == self._members_generation
        ):
            return
        members = await self._store.members(GATEWAY_GROUP)
        if self._timers.now() < self._keep_members_until:
            members = (*members, *self._state.members)
        else:
            self._members_generation = joined.generation
        self._state.set_members(members)

    def _update_member_topic(self, count: int) -> None:
        """Move to the next topic after several joins without a partition.

        All partitions of the current topic then belong to other members.
        """
        self._empty_joins = 0 if count else self._empty_joins + 1
        if (
            self._empty_joins < MAX_EMPTY_JOINS
            or self._member_topics >= MAX_MEMBER_TOPICS
        ):
            return
        self._empty_joins = 0
        self._member_topics += 1
        self._events.log_state_change("member_topic", number=self._member_topics)

    async def _read_topic(self, topic: str, wait_s: float) -> bool:
        """Read one page of a topic; return whether its records are up to date."""
        try:
            return await self._read_page(topic, wait_s)
        except StoreError as exc:
            await self._back_off(topic, exc)
            return False

    async def _read_page(self, topic: str, wait_s: float) -> bool:
        view = self._state.views[topic]
        if not view.is_initialised or view.era < self._store.era:
            await self._list_topic(topic)
            return True
        requested_at = self._timers.now()
        try:
            page = await self._store.read_records(topic, view.era, view.end, wait_s)
        except StoreError as exc:
            if exc.code not in INVALID_POSITION_CODES:
                raise
            await self._list_topic(topic)
            return True
        self._record_recovery(topic)
        self._state.apply(topic, page, "store")
        if page.complete:
            # The process may have been paused since the answer was sent.
            self._state.confirm(topic, requested_at)
        return page.complete

    async def _list_topic(self, topic: str) -> None:
        requested_at = self._timers.now()
        page = await self._store.list_records(topic)
        if page.era < self._state.views[topic].era:
            raise StoreError(
                f"{topic}: listing of era {page.era}, but a later era is known",
                code="old_era",
            )
        self._record_recovery(topic)
        self._state.apply(topic, page, "store")
        self._state.confirm(topic, requested_at)

    async def _back_off(self, topic: str, exc: StoreError) -> None:
        self._record_failure(topic, exc)
        await self._timers.sleep(RETRY_DELAY_SECONDS * self._rng.uniform(0.8, 1.2))

    def _record_failure(self, topic: str, exc: StoreError) -> None:
        self._metrics.retries.labels("store").inc()
        if exc.code in ERA_ERROR_CODES:
            self._metrics.drops.labels(exc.code).inc()
        if topic not in self.failing_since:
            self.failing_since[topic] = self._timers.now()
            self._events.log_state_change(
                "store_lost", topic=topic, code=exc.code, error=str(exc)
            )

    def _record_recovery(self, topic: str) -> None:
        since = self.failing_since.pop(topic, None)
        if since is not None:
            outage_s = round(self._timers.now() - since, 3)
            self._events.log_state_change(
                "store_regained", topic=topic, after_s=outage_s
            )
