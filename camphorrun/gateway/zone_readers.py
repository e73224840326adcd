"""Takes the store's records from the gateway of the zone that reads them."""

from ..core import EventLog, TimerService
from ..metrics import Metrics
from ..platform import CONFIGURATION_TOPIC, REPLICA_TOPIC
from ..routing import reader_preference
from .errors import PeerError
from .messages import SyncMessage
from .peers import Peers, member_address, member_zone
from .state import GatewayState

# Gateways that are asked before this one reads the store itself.
MAX_CANDIDATES = 3
# A reader of the same zone answers in milliseconds.
READER_TIMEOUT_SECONDS = 0.3
# A reader that gave no fresh answer is passed over for this long.
READER_AVOIDANCE_SECONDS = 1.5
# Oldest knowledge that is taken over. Registrations are polled twice a second; a read
# of the configuration waits for changes, so its confirmation may be seconds old.
MAX_AGE_SECONDS = {REPLICA_TOPIC: 1.2, CONFIGURATION_TOPIC: 4.6}


class ZoneReaders:
    """The readers of this gateway's availability zone.

    The members of a zone have an order. A gateway asks those before itself and reads
    the store only if none of them has fresh knowledge, so the next one takes the place
    of a reader that is gone, silent, or cut off from the store.
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
        state.subscribe(members=self._update_candidates)

    @property
    def follows_reader(self) -> bool:
        """Whether another gateway reads the store for this one."""
        return bool(self._reader)

    def stop_following(self) -> None:
        """Read the store from now on, until another gateway answers again."""
        self._set_reader("")

    async def refresh(self) -> bool:
        """Return whether a reader brought the knowledge of this gateway up to date."""
        if not self._state.ready:
            self._set_reader("")
            return False
        for address in self._candidates[:MAX_CANDIDATES]:
            if address == self._own_address:
                break
            if self._timers.now() < self._avoided_until.get(address, 0.0):
                continue
            if await self._sync_from(address):
                self._set_reader(address)
                return True
            self._avoided_until[address] = self._timers.now() + READER_AVOIDANCE_SECONDS
        self._set_reader("")
        return False

    async def _sync_from(self, address: str) -> bool:
        try:
            answer = await self._peers.sync_from(address, READER_TIMEOUT_SECONDS)
        except PeerError:
            self._metrics.drops.labels("reader_silent").inc()
            return False
        if not _is_fresh(answer):
            self._metrics.drops.labels("reader_outdated").inc()
            return False
        if self._is_behind(answer):
            # It polls the store as often as this gateway asks, so it learns it next.
            self._metrics.drops.labels("reader_behind").inc()
            return True
        now = self._timers.now()
        for topic, age_s in answer.ages_s.items():
            self._state.confirm(topic, now - max(0.0, age_s))
        if answer.members:
            self._state.set_members(tuple(answer.members))
        return True

    def _is_behind(self, answer: SyncMessage) -> bool:
        """Return whether a reader has not noticed yet that the store came back."""
        return any(
            answer.topics[topic].era < view.era
            for topic, view in self._state.views.items()
            if topic in answer.topics
        )

    def _set_reader(self, address: str) -> None:
        if address != self._reader:
            self._reader = address
            self._events.log_state_change(
                "store_reader", reader=address or "this gateway"
            )

    def _update_candidates(self) -> None:
        addresses = {
            member_address(member)
            for member in self._state.members
            if member_zone(member) == self._zone
        }
        self._candidates = reader_preference({*addresses, self._own_address} - {""})
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
