"""What a gateway knows: configuration, replicas and members."""

from collections.abc import Callable

from absl import logging

from ..catalog import Deployment, RecordPage, RecordView, Replica
from ..core import EventLog
from ..metrics import Metrics
from ..platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    REPLICA_TOPIC,
    DecodeError,
    decode_deployment,
    decode_replica,
)

Listener = Callable[[], None]

# A replica whose entry the store lost writes it again within two seconds of the store's
# return, if it lives and reaches it; polls of the store take up to another second.
REREGISTRATION_SECONDS = 3.0
# Bounds a line of the log; the count tells the rest.
MAX_LOGGED_MEMBERS = 8


class GatewayState:
    """Records of the store, decoded, whatever way they came.

    Attributes
    ----------
    deployment : Deployment or None
        The newest configuration that could be read; None before the first one.
    replicas : dict of str to Replica
        Registered replicas by identifier.
    members : tuple of str
        Daemons that share the work, sorted, this one included.
    peers_queried : bool
        Whether the peers that are known at the start were asked for their records.
    """

    def __init__(self, member: str, metrics: Metrics, events: EventLog):
        self.member = member
        self.deployment: Deployment | None = None
        self.replicas: dict[str, Replica] = {}
        self.members: tuple[str, ...] = (member,)
        self.peers_queried = False
        self.views = {CONFIGURATION_TOPIC: RecordView(), REPLICA_TOPIC: RecordView()}
        # When the store last confirmed what is known of a topic.
        self._confirmed_at: dict[str, float] = {}
        # When a replica was first missing from the present era of the store.
        self._missing_since: dict[str, float] = {}
        self._unconfirmed_topics: set[str] = set()
        self._metrics = metrics
        self._events = events
        self._deployment_listeners: list[Listener] = []
        self._replica_listeners: list[Listener] = []
        self._member_listeners: list[Listener] = []

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        known = self.deployment is not None and self.views[REPLICA_TOPIC].is_initialised
        return known and self.peers_queried and not self.awaits_confirmation

    @property
    def awaits_confirmation(self) -> bool:
        """Whether a topic was not confirmed since the last pause of the process."""
        return bool(self._unconfirmed_topics)

    def require_confirmation(self) -> None:
        """Serve nothing until every topic that is known was confirmed again."""
        self._unconfirmed_topics = {
            topic for topic, view in self.views.items() if view.is_initialised
        }

    def end_confirmation(self) -> None:
        """Serve with what is known."""
        self._unconfirmed_topics.clear()

    @property
    def era(self) -> int:
        """Era of the store from which the registrations are known."""
        return self.views[REPLICA_TOPIC].era

    def subscribe(
        self,
        *,
        deployment: Listener | None = None,
        replicas: Listener | None = None,
        members: Listener | None = None,
    ) -> None:
        """Call listeners after the respective change."""
        if deployment is not None:
            self._deployment_listeners.append(deployment)
        if replicas is not None:
            self._replica_listeners.append(replicas)
        if members is not None:
            self._member_listeners.append(members)

    def apply(self, topic: str, page: RecordPage, source: str) -> None:
        """Take over records that were read from the store or from a peer."""
        view = self.views[topic]
        era, was_known = view.era, view.is_initialised
        if page.era < era:
            self._metrics.drops.labels("old_era").inc()
        changed = view.apply(page)
        if view.era != era and was_known:
            self._log_era_change(topic, era, source)
        self._apply_changes(topic, changed, source)

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

    def confirm(self, topic: str, at: float) -> None:
        """Note that what is known of a topic was the store's at a time."""
        self._confirmed_at[topic] = max(at, self._confirmed_at.get(topic, at))
        self._unconfirmed_topics.discard(topic)
        if topic == REPLICA_TOPIC:
            self._remove_unregistered(self._confirmed_at[topic])

    def _remove_unregistered(self, confirmed_at: float) -> None:
        """Drop replicas that did not register again after the store lost their entry.

        The time is that of the store's answers, so it stands still while the store is
        away once more. Configurations stay in force until there is a newer one.
        """
        view = self.views[REPLICA_TOPIC]
        since = self._missing_since
        self._missing_since = {
            key: since.get(key, confirmed_at) for key in view.missing_from_store
        }
        expired = [
            key
            for key, at in self._missing_since.items()
            if confirmed_at - at >= REREGISTRATION_SECONDS and view.remove_missing(key)
        ]
        self._apply_changes(REPLICA_TOPIC, expired, "not registered again")

    def ages_s(self, now: float) -> dict[str, float]:
        """Return the seconds since the store confirmed each topic."""
        return {topic: now - at for topic, at in self._confirmed_at.items()}

    def set_members(self, members: tuple[str, ...]) -> None:
        """Take over the members of the group; this daemon is always one."""
        members = tuple(sorted({*members, self.member}))
        if members == self.members:
            return
        previous, self.members = set(self.members), members
        # A large group is named once, by those who come and go.
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
            if CONFIGURATION_KEY in keys:
                self._apply_deployment(source)
        else:
            self._apply_replicas(keys, source)

    def _apply_deployment(self, source: str) -> None:
        record = self.views[CONFIGURATION_TOPIC].get(CONFIGURATION_KEY)
        if record is None:
            return
        try:
            deployment = decode_deployment(record.value)
        except DecodeError as exc:
            # The newest good configuration stays in force.
            self._metrics.config_records.labels("unreadable").inc()
            logging.error("configuration at offset %d: %s", record.offset, exc)
            self._events.log_state_change(
                "configuration_unreadable", offset=record.offset, error=str(exc)
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

    def _apply_replica(self, key: str, source: str) -> bool:
        record = self.views[REPLICA_TOPIC].get(key)
        previous = self.replicas.get(key)
        new = None
        if record is not None:
            try:
                new = decode_replica(key, record.value)
            except DecodeError as exc:
                # Another writer's entry names no replica to use.
                self._metrics.drops.labels("registration").inc()
                logging.warning("%s", exc)
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


def _notify(listeners: list[Listener]) -> None:
    for listener in listeners:
        listener()
