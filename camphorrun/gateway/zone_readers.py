"""Fetches the store's records from the gateway that reads the store for a zone."""

import asyncio

from ..core import EventLog, TimerService
from ..metrics import Metrics
from ..platform import CONFIGURATION_TOPIC, REPLICA_TOPIC
from ..routing import reader_preference
from .errors import LargeAnswerError, PeerError
from .messages import SyncMessage
from .peers import (
    MAX_SYNC_BYTES,
    Peers,
    address_weights,
    member_address,
    member_zone,
)
from .state import GatewayState

# Gateways that are queried before this one reads the store itself.
MAX_CANDIDATES = 3
# A reader in the same zone normally answers within milliseconds.
READER_TIMEOUT_SECONDS = 0.3
# A reader that gave no fresh answer is skipped for this long.
READER_AVOIDANCE_SECONDS = 1.5
# Time for which a gateway reads the store itself because the answer of its reader is
# large. The readers have only the same large answer until the store was read.
LARGE_ANSWER_SECONDS = 2.0
# Greatest time since the confirmation by the store at which records are accepted.
# Registrations are polled twice a second; with the interval of the queries and a read
# of the store, their limit must stay below the time within which a new version is in
# force. The configuration is read by long polls of one second. A confirmation counts
# from the request, so the last one may be two polls old.
MAX_AGE_SECONDS = {REPLICA_TOPIC: 1.0, CONFIGURATION_TOPIC: 2.6}


class ZoneReaders:
    """Selects the gateway of the availability zone that reads the store for this one.

    The members of a zone have a common order of preference. A gateway queries the
    members that precede it and reads the store only if none of them has fresh records.
    The next member therefore takes over from a reader that has stopped, does not
    answer, or can't reach the store.
    """

    def __init__(
        self,
        state: GatewayState,
        peers: Peers,
        zone: str,
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._state = state
        self._peers = peers
        self._zone = zone
        self._own_address = member_address(state.member)
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._candidates = [self._own_address]
        self._avoided_until: dict[str, float] = {}
        self._reader = ""
        self._reads_store = asyncio.Event()
        self._reads_store.set()
        self._reads_store_until = float("-inf")
        state.subscribe(members=self._update_candidates)

    @property
    def follows_reader(self) -> bool:
        """Whether another gateway currently reads the store for this one."""
        return bool(self._reader)

    async def wait_for_loss(self) -> None:
        """Wait until no other gateway reads the store for this one."""
        await self._reads_store.wait()

    def stop_following(self) -> None:
        """Read the store directly until another gateway has answered again."""
        self._set_reader("")

    async def refresh(self) -> bool:
        """Fetch the records from a reader; return whether one gave fresh ones.

        If the first one gives none, the loss is known to ``wait_for_loss`` at once, so
        the time-outs of the others don't delay a read of the store.
        """
        reads_store = self._timers.now() < self._reads_store_until
        if not self._state.ready or reads_store:
            self._set_reader("")
            return False
        for address in self._candidates[:MAX_CANDIDATES]:
            if address == self._own_address:
                break
            if self._timers.now() < self._avoided_until.get(address, 0.0):
                continue
            try:
                is_fresh = await self._sync_from(address)
            except LargeAnswerError:
                self._metrics.drops.labels("large_answer").inc()
                now = self._timers.now()
                self._reads_store_until = now + LARGE_ANSWER_SECONDS
                break
            if is_fresh:
                self._set_reader(address)
                return True
            self._set_reader("")
            self._avoided_until[address] = self._timers.now() + READER_AVOIDANCE_SECONDS
        self._set_reader("")
        return False

    async def _sync_from(self, address: str) -> bool:
        asked_at = self._timers.now()
        try:
            answer = await self._peers.sync_from(
                address, READER_TIMEOUT_SECONDS, MAX_SYNC_BYTES
            )
        except LargeAnswerError:
            raise
        except PeerError:
            self._metrics.drops.labels("reader_silent").inc()
            return False
        if not _is_fresh(answer):
            self._metrics.drops.labels("reader_outdated").inc()
            return False
        if self._is_behind(answer):
            # The reader polls the store at the interval of these queries, so it will
            # have seen the new era by the next query.
            self._metrics.drops.labels("reader_behind").inc()
            return True
        for topic, age_s in answer.ages_s.items():
            # The process may have been paused since the answer was sent.
            self._state.confirm(topic, asked_at - max(0.0, age_s))
        if answer.members:
            self._state.set_members(tuple(answer.members))
        return True

    def _is_behind(self, answer: SyncMessage) -> bool:
        """Return whether a reader has not seen the known era of the store yet."""
        return any(
            answer.topics[topic].era < view.era
            for topic, view in self._state.views.items()
            if topic in answer.topics
        )

    def _set_reader(self, address: str) -> None:
        if address != self._reader:
            self._reader = address
            if address:
                self._reads_store.clear()
            else:
                self._reads_store.set()
            self._events.log_state_change(
                "store_reader", reader=address or "this gateway"
            )

    def _update_candidates(self) -> None:
        addresses = {
            member_address(member)
            for member in self._state.members
            if member_zone(member) == self._zone
        }
        weights = address_weights({*self._state.members, self._state.member})
        self._candidates = reader_preference(
            {*addresses, self._own_address} - {""}, weights
        )
        self._avoided_until = {
            address: until
            for address, until in self._avoided_until.items()
            if address in addresses
        }


def _is_fresh(answer: SyncMessage) -> bool:
    return all(
        answer.ages_s.get(topic, float("inf")) <= limit_s
        for topic, limit_s in MAX_AGE_SECONDS.items()
    )
