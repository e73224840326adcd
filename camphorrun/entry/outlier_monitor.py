"""Periodic ejection of slow and failing endpoints, service by service."""

from absl import logging

from ..core import TimerService
from ..metrics import Metrics
from ..routing import OutlierDetector
from .peer_pool import PeerPool

EVALUATE_SECONDS = 0.25


class OutlierMonitor:
    """Evaluates every service of a pool, counts the changes and logs them.

    Parameters
    ----------
    pool : PeerPool
        Endpoints by service.
    timers, metrics
        Clock and counters.
    detector : OutlierDetector, optional
        Decides on ejection and return.
    """

    def __init__(
        self,
        pool: PeerPool,
        timers: TimerService,
        metrics: Metrics,
        detector: OutlierDetector | None = None,
    ):
        self._pool = pool
        self._timers = timers
        self._metrics = metrics
        self._detector = detector or OutlierDetector()

    def start(self) -> None:
        """Evaluate from now on."""
        self._timers.subscribe(EVALUATE_SECONDS, self.evaluate)

    def evaluate(self) -> None:
        """Eject and reinstate endpoints."""
        now = self._timers.now()
        for service in self._pool.services():
            states = [peer.state for peer in self._pool.of_service(service)]
            for change in self._detector.evaluate(states, now):
                self._metrics.ejections.labels(service, change.reason).inc()
                logging.warning(
                    "endpoint %s of %s is %s: %s",
                    change.host,
                    service,
                    change.state.value,
                    change.reason,
                )
