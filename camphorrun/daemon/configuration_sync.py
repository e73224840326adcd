"""Readers of the configuration and claims streams of a daemon."""

from collections.abc import Callable

from absl import logging

from ..claims import ClaimFollower
from ..configuration import ConfigurationView, SnapshotSource, StreamFollower
from ..core import LogStore, PauseDetector, Supervisor, TimerService
from ..metrics import Metrics

POSITION_METRIC_SECONDS = 1.0
# The count visits all keys, among them those of up to 49,000 client accounts.
NOT_CURRENT_METRIC_SECONDS = 15.0


class ConfigurationSync:
    """Runs a follower for each stream that a daemon reads.

    Parameters
    ----------
    log : LogStore
        Log service from which the streams are read.
    streams : tuple of str
        Configuration streams to follow.
    claims : ClaimFollower
        Follower of the claims stream.
    source : SnapshotSource
        Peers that provide snapshots while the log service is unavailable.
    timers, metrics
        Clock and collectors.

    Attributes
    ----------
    followers : dict of str to StreamFollower
        Follower of each configuration stream.
    """

    def __init__(
        self,
        log: LogStore,
        streams: tuple[str, ...],
        claims: ClaimFollower,
        source: SnapshotSource | None,
        *,
        timers: TimerService,
        metrics: Metrics,
    ):
        self._claims = claims
        self._timers = timers
        self._metrics = metrics
        self.followers = {
            stream: StreamFollower(
                log, ConfigurationView(stream), timers, source=source, metrics=metrics
            )
            for stream in streams
        }
        self._pause_detector: PauseDetector | None = None
        self._state_listeners: list[Callable[[], None]] = []
        for follower in self.followers.values():
            follower.subscribe_synchronised(self._on_synchronised_change)

    @property
    def synchronised(self) -> bool:
        """Whether each stream was read to its end since the start or the last pause."""
        return all(follower.synchronised for follower in self.followers.values())

    def view(self, stream: str) -> ConfigurationView:
        """Return the configuration that a stream defines."""
        return self.followers[stream].view

    def positions(self) -> dict[str, int]:
        """Return the last applied offset of each configuration stream."""
        return {name: follower.position for name, follower in self.followers.items()}

    def not_current(self) -> list[tuple[str, str]]:
        """Return kind and name of the keys whose last change has a newer schema."""
        views = (follower.view for follower in self.followers.values())
        return [key for view in views for key in view.not_current()]

    def note_peer_positions(self, positions: dict[str, int]) -> None:
        """Pass on the stream positions that a peer reported in a heartbeat."""
        for name, position in positions.items():
            if name in self.followers:
                self.followers[name].note_peer_position(position)

    def note_peer_answer(self, stream: str, position: int) -> None:
        """Pass on the position in a peer's response to a snapshot request."""
        if stream in self.followers:
            self.followers[stream].note_peer_answer(position)

    def subscribe_state(self, callback: Callable[[], None]) -> None:
        """Register a callback for possible changes of ``synchronised``."""
        self._state_listeners.append(callback)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for each change of the configuration."""
        for follower in self.followers.values():
            follower.subscribe(lambda _keys: callback())

    def start(self, supervisor: Supervisor) -> None:
        """Add the followers to a supervisor, and start pause detection and metrics."""
        for name, follower in self.followers.items():
            supervisor.add(f"follow-{name}", follower.run)
            supervisor.add(f"catch-up-{name}", follower.run_catch_up)
            supervisor.add(f"poll-peers-{name}", follower.run_peer_poll)
        supervisor.add("follow-claims", self._claims.run)
        self._pause_detector = PauseDetector(self._timers, self._on_pause)
        self._timers.subscribe(POSITION_METRIC_SECONDS, self._update_position_metrics)
        self._timers.subscribe(
            NOT_CURRENT_METRIC_SECONDS, self.update_not_current_metric
        )

    def _on_pause(self, gap_s: float) -> None:
        logging.warning(
            "process was suspended for %.1f s; reading the log again", gap_s
        )
        for follower in self.followers.values():
            follower.mark_paused()

    def _on_synchronised_change(self) -> None:
        self._metrics.synchronised.set(self.synchronised)
        for callback in self._state_listeners:
            callback()

    def _update_position_metrics(self) -> None:
        for name, position in self.positions().items():
            self._metrics.position.labels(name).set(position)

    def update_not_current_metric(self) -> None:
        """Set the gauge of keys whose last change has a newer schema."""
        for name, follower in self.followers.items():
            count = len(follower.view.not_current())
            self._metrics.not_current.labels(name).set(count)
