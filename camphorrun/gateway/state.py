"""Configuration, replicas and members that are known to a gateway."""

import asyncio
from collections import Counter
from collections.abc import Callable

import msgspec
from absl import logging

from ..catalog import Boot, Deployment, Record, RecordPage, RecordView, Replica
from ..core import EventLog
from ..limits import ColdBounds
from ..metrics import Metrics
from ..platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    REPLICA_TOPIC,
    DecodeError,
    decode_deployment,
    decode_replica,
    evacuated_zone,
)
from ..quarantine import Quarantine
from ..routing import EngineLoads
from .evacuations import EVACUATION_REWRITE_SECONDS, Evacuations
from .membership import Membership
from .messages import ColdMessage, QuarantineMessage, RateLimitMessage
from .quarantine_messages import merge_quarantine
from .rate_limits import RateLimits
from .replica_starts import ReplicaStarts

Listener = Callable[[], None]

# Time in which replicas whose registration the store lost must register again. A
# replica that is alive and reaches the store does so within two seconds of the store's
# return; polling the store takes up to another second.
REREGISTRATION_SECONDS = 3.0
# Time of the store's answers for which a record stays in force that it has lost.
REWRITE_SECONDS = {
    CONFIGURATION_TOPIC: EVACUATION_REWRITE_SECONDS,
    REPLICA_TOPIC: REREGISTRATION_SECONDS,
}
# Bounds the length of a log line; its field ``count`` has the full number.
MAX_LOGGED_MEMBERS = 8


class GatewayState:
    """Decoded records of the store, received from the store or from peers.

    Attributes
    ----------
    deployment : Deployment or None
        Newest configuration that could be decoded; None before the first one.
    replicas : dict of str to Replica
        Registered replicas by identifier.
    members : tuple of str
        Names of the gateways that share the work, sorted, including this one.
    members_known : bool
        Whether the members have been learned from the store or from a peer.
    peers_queried : bool
        Whether the peers known at start-up have been queried for their records.
    quarantine_queried : bool
        Whether the store has been queried for blocks, or a peer has told them.
    views : dict of str to RecordView
        Newest records by topic.
    check_pause : callable
        Requires a confirmation at once if this process was paused. The daemon sets it.
    evacuations : Evacuations
        Availability zones that the operator evacuated.
    rate_limits : RateLimits
        Rate limits that replicas name in their answers, and those of cold replicas.
    membership : Membership
        Since when and until when this gateway is a member of the group.
    quarantine : Quarantine
        Fingerprints of requests that crash replicas.
    engine_loads : EngineLoads
        Load and speed of engines.
    """

    def __init__(
        self,
        member: str,
        metrics: Metrics,
        events: EventLog,
        cold_bounds: ColdBounds = ColdBounds(),  # noqa: B008
    ):
        self.member = member
        self.deployment: Deployment | None = None
        self.replicas: dict[str, Replica] = {}
        self.members: tuple[str, ...] = (member,)
        self.members_known = False
        self.peers_queried = False
        self.quarantine_queried = False
        self.views = {
            # An evacuation that only a peer knows, of an earlier era, is in force.
            CONFIGURATION_TOPIC: RecordView(adopts_unranked=True),
            REPLICA_TOPIC: RecordView(self._accepts_registration),
        }
        self._starts = ReplicaStarts()
        self.evacuations = Evacuations(metrics, events)
        self.rate_limits = RateLimits(cold_bounds)
        self.membership = Membership()
        self.quarantine = Quarantine()
        self.engine_loads = EngineLoads()
        # Time at which the store last confirmed the known records of a topic.
        self._confirmed_at: dict[str, float] = {}
        # By topic and key, when a record was first missing from the current era.
        self._missing_since: dict[str, dict[str, float]] = {}
        self.check_pause: Listener = _no_op
        self._unconfirmed_topics: set[str] = set()
        self._all_confirmed = asyncio.Event()
        self._all_confirmed.set()
        # Confirmations from before this time don't count after a pause.
        self._confirmation_required_at = float("-inf")
        self._metrics = metrics
        self._events = events
        self._deployment_listeners: list[Listener] = []
        self._replica_listeners: list[Listener] = []
        self._member_listeners: list[Listener] = []
        self._evacuation_listeners: list[Listener] = []

    @property
    def ready(self) -> bool:
        """Whether requests can be served.

        Configuration and registrations must be known and confirmed, and peers and
        stored blocks queried.
        """
        return self.initialised and not self.awaits_confirmation

    @property
    def initialised(self) -> bool:
        """Whether all that must be read after the start has been read once."""
        known = self.deployment is not None and self.views[REPLICA_TOPIC].is_initialised
        return known and self.peers_queried and self.quarantine_queried

    @property
    def awaits_confirmation(self) -> bool:
        """Whether a topic is unconfirmed since the last pause of the process."""
        return bool(self._unconfirmed_topics)

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Availability zones whose replicas get nothing."""
        return self.evacuations.zones

    def require_confirmation(self, now: float) -> None:
        """Clear ``ready`` until every known topic is confirmed as of ``now``."""
        self._confirmation_required_at = now
        self._unconfirmed_topics = {
            topic for topic, view in self.views.items() if view.is_initialised
        }
        if self._unconfirmed_topics:
            self._all_confirmed.clear()

    async def wait_until_confirmed(self) -> None:
        """Wait until no topic is unconfirmed since the last pause of the process.

        What waited during a pause goes on before the periodic check notices the pause,
        so it is checked here, too.
        """
        self.check_pause()
        while self.awaits_confirmation:
            await self._all_confirmed.wait()
            self.check_pause()

    def end_confirmation(self) -> None:
        """Accept the known records, whether they were confirmed again or not."""
        self._unconfirmed_topics.clear()
        self._all_confirmed.set()

    @property
    def era(self) -> int:
        """Era of the store to which the known registrations belong.

        A store that is restored from an older copy of itself starts a new era.
        """
        return self.views[REPLICA_TOPIC].era

    def subscribe(
        self,
        *,
        deployment: Listener | None = None,
        replicas: Listener | None = None,
        members: Listener | None = None,
        evacuations: Listener | None = None,
    ) -> None:
        """Register listeners that are called after changes of the named part."""
        if deployment is not None:
            self._deployment_listeners.append(deployment)
        if replicas is not None:
            self._replica_listeners.append(replicas)
        if members is not None:
            self._member_listeners.append(members)
        if evacuations is not None:
            self._evacuation_listeners.append(evacuations)

    def apply(self, topic: str, page: RecordPage, source: str) -> None:
        """Apply records that were read from the store or from a peer."""
        view = self.views[topic]
        era, was_known = view.era, view.is_initialised
        if page.era < era:
            self._metrics.drops.labels("old_era").inc()
        changed = view.apply(page)
        if view.era != era and was_known:
            self._log_era_change(topic, era, source)
        if topic == REPLICA_TOPIC:
            self._remove_returned(page, changed, source)
        self._apply_changes(topic, changed, source)

    def _remove_returned(
        self, page: RecordPage, changed: list[str], source: str
    ) -> None:
        """Remove replicas whose registrations a page both ends and has again.

        Without it, one that was lost and returned between two reads would seem to have
        been there all the time.
        """
        ended = {record.key for record in page.records if not record.value}
        view = self.views[REPLICA_TOPIC]
        # A key that changed once did not end now: its end was known before.
        returned = [
            key
            for key, times in Counter(changed).items()
            if times > 1 and key in ended and key in self.replicas and view.get(key)
        ]
        for key in returned:
            del self.replicas[key]
        if returned:
            self._events.log_state_change(
                "replicas_returned",
                count=len(returned),
                replicas=returned[:MAX_LOGGED_MEMBERS],
                source=source,
            )
            _notify(self._replica_listeners)

    def _log_era_change(self, topic: str, earlier: int, source: str) -> None:
        view = self.views[topic]
        self._metrics.store_returns.inc()
        self._events.log_state_change(
            "store_era",
            topic=topic,
            era=view.era,
            earlier=earlier,
            unwritten=len(view.missing_from_store),
            source=source,
        )

    def count_home_stop(self, service: str) -> None:
        """Count a send that was stopped because its replica is in no home region."""
        self._metrics.home_stops.labels(service).inc()

    def is_registered(self, boot: Boot) -> bool:
        """Return whether a start of a replica is the one that is registered."""
        replica = self.replicas.get(boot[0])
        return replica is not None and replica.boot == boot

    def merge_rate_limits(
        self, messages: list[RateLimitMessage], now: float, source: str
    ) -> None:
        """Apply the rate limits that another gateway knows."""
        for boot in self.rate_limits.merge(messages, now):
            per_s = self.rate_limits.get(boot)
            self._events.log_state_change(
                "rate_limit", replica=boot[0], per_s=per_s, source=source
            )

    def merge_cold(self, messages: list[ColdMessage], now: float, source: str) -> None:
        """Apply what another gateway knows of cold replicas.

        What it is uncertain of counts only if the replica is not registered here.
        """
        known = [
            msgspec.structs.replace(message, is_certain=True)
            if message.replica not in self.replicas
            else message
            for message in messages
        ]
        for boot in self.rate_limits.merge_cold(known, now):
            self._events.log_state_change(
                "replica_cold", replica=boot[0], reason="told", source=source
            )

    def merge_quarantine(
        self, message: QuarantineMessage, now: float, source: str
    ) -> None:
        """Apply what another gateway knows of requests that crash replicas."""
        for cause in merge_quarantine(self.quarantine, message, now):
            self._events.log_state_change(
                "quarantine", cause=sorted(cause), change="blocked", source=source
            )

    def confirm(self, topic: str, at: float) -> None:
        """Record that the known records of a topic matched the store at ``at``."""
        self._confirmed_at[topic] = max(at, self._confirmed_at.get(topic, at))
        if at >= self._confirmation_required_at:
            self._unconfirmed_topics.discard(topic)
            if not self._unconfirmed_topics:
                self._all_confirmed.set()
        self._remove_unwritten(topic, self._confirmed_at[topic])

    def _remove_unwritten(self, topic: str, confirmed_at: float) -> None:
        """Remove records that were not written again after the store lost them.

        ``confirmed_at`` is the time of the store's last answer, so the time allowed for
        writing again does not run while the store is unavailable. A configuration stays
        in force until there is a newer one.
        """
        view = self.views[topic]
        since = self._missing_since.get(topic, {})
        missing = view.missing_from_store - {CONFIGURATION_KEY}
        self._missing_since[topic] = {k: since.get(k, confirmed_at) for k in missing}
        expired = [
            key
            for key, at in self._missing_since[topic].items()
            if confirmed_at - at >= REWRITE_SECONDS[topic] and view.remove_missing(key)
        ]
        reason = "registered" if topic == REPLICA_TOPIC else "written"
        self._apply_changes(topic, expired, f"not {reason} again")

    def ages_s(self, now: float) -> dict[str, float]:
        """Return the seconds since the store last confirmed each topic."""
        return {topic: now - at for topic, at in self._confirmed_at.items()}

    def set_members(self, members: tuple[str, ...]) -> None:
        """Replace the member list; this gateway is always a member."""
        members = tuple(sorted({*members, self.member}))
        if members == self.members and self.members_known:
            return
        self.members_known = True
        previous, self.members = set(self.members), members
        # Logs only the differences, because the full list of a large group is long.
        self._events.log_state_change(
            "members",
            count=len(members),
            joined=sorted(set(members) - previous)[:MAX_LOGGED_MEMBERS],
            left=sorted(previous - set(members))[:MAX_LOGGED_MEMBERS],
        )
        _notify(self._member_listeners)

    def _apply_changes(self, topic: str, keys: list[str], source: str) -> None:
        if not keys:
            return
        if topic == CONFIGURATION_TOPIC:
            self._apply_evacuations(keys, source)
            if CONFIGURATION_KEY in keys:
                self._apply_deployment(source)
        else:
            self._apply_replicas(keys, source)

    def _apply_evacuations(self, keys: list[str], source: str) -> None:
        if not any(map(evacuated_zone, keys)):
            return
        records = self.views[CONFIGURATION_TOPIC].live_records()
        if self.evacuations.update((record.key for record in records), source):
            _notify(self._evacuation_listeners)

    def _apply_deployment(self, source: str) -> None:
        record = self.views[CONFIGURATION_TOPIC].get(CONFIGURATION_KEY)
        if record is None:
            return
        try:
            deployment = decode_deployment(record.value)
        except DecodeError as exc:
            # The last configuration that could be decoded stays in force.
            self._metrics.config_records.labels("unreadable").inc()
            logging.error(
                "cannot decode the configuration at offset %d: %s", record.offset, exc
            )
            self._events.log_state_change(
                "configuration_unreadable", offset=record.offset, error=str(exc)
            )
            return
        in_force = self.deployment
        if in_force is not None and deployment.version < in_force.version:
            # A restored store may list an older version beside an unreadable one.
            self._metrics.config_records.labels("older").inc()
            self._events.log_state_change(
                "configuration_older",
                version=deployment.version,
                in_force=in_force.version,
                source=source,
            )
            return
        self.deployment = deployment
        self._metrics.config_records.labels("applied").inc()
        self._events.log_state_change(
            "configuration",
            version=deployment.version,
            offset=record.offset,
            routes=len(deployment.routes),
            source=source,
        )
        _notify(self._deployment_listeners)

    def _apply_replicas(self, keys: list[str], source: str) -> None:
        changed = False
        for key in keys:
            changed = self._apply_replica(key, source) or changed
        if changed:
            _notify(self._replica_listeners)

    def _accepts_registration(self, record: Record) -> bool:
        """Return whether an entry is a registration that its replica has written.

        Other programs write to the topic, too. An entry that is no valid registration
        neither names a replica nor ends the registration before it. Once a replica has
        told its start, neither does one without a start. An earlier start counts: the
        clock of the replica's host may have been set back.
        """
        try:
            replica = decode_replica(record.key, record.value)
        except DecodeError as exc:
            text = str(exc)
        else:
            if replica.started_ms:
                return self._observe_start(replica, record)
            if not self._starts.has_time(record.key):
                return self._observe_start(replica, record)
            text = f"registration {record.key!r}: expected the time of its start"
        self._metrics.drops.labels("registration").inc()
        logging.warning("%s", text)
        return False

    def _observe_start(self, replica: Replica, record: Record) -> bool:
        """Record the start, as the next record of the same page is compared with it."""
        self._starts.observe(replica, record.era)
        return True

    def _apply_replica(self, key: str, source: str) -> bool:
        record = self.views[REPLICA_TOPIC].get(key)
        previous = self.replicas.get(key)
        new = None
        if record is not None:
            new = self._starts.with_restarts(decode_replica(key, record.value))
        if new == previous:
            return False
        if new is None:
            del self.replicas[key]
        else:
            self.replicas[key] = new
        if (
            new is None
            or previous is None
            or new.state != previous.state
            or new.boot != previous.boot
        ):
            self._events.log_state_change(
                "replica",
                replica=key,
                service=(new or previous).service,
                zone=(new or previous).availability_zone,
                state=new.state.value if new else "gone",
                offset=record.offset if record else 0,
                source=source,
            )
        return True


def _no_op() -> None:
    """Do nothing; default of ``check_pause``."""


def _notify(listeners: list[Listener]) -> None:
    for listener in listeners:
        listener()
