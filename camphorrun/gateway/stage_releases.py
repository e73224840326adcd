"""Releases stage results at the replicas that made them."""

import asyncio
from collections.abc import Callable
from functools import partial

from ..core import TimerService
from ..http1 import HttpError
from ..metrics import Metrics
from .errors import ReplicaUnavailableError
from .replica_handle import ReplicaHandle
from .replicas import ReplicaPool
from .stage_calls import release_results

# Results that become unused within this time are released in one call per replica.
RELEASE_DELAY_SECONDS = 0.01


class ResultReleaser:
    """Releases results in batches, one call for each replica that made some.

    Parameters
    ----------
    result_lifetime_s : float
        Time after which a replica drops unused results without a release.
    on_released : callable
        Called with the address of a replica and the results that it has freed.
    """

    def __init__(
        self,
        replicas: ReplicaPool,
        result_lifetime_s: float,
        on_released: Callable[[str, list[str]], None],
        *,
        timers: TimerService,
        metrics: Metrics,
    ):
        self.result_lifetime_s = result_lifetime_s
        self._replicas = replicas
        self._on_released = on_released
        self._timers = timers
        self._metrics = metrics
        # By address of the replica, the time until which it keeps each result.
        self._pending: dict[str, dict[str, float]] = {}
        self._tasks: set[asyncio.Task] = set()

    def schedule(self, handles: list[str]) -> None:
        """Release results after the batching delay."""
        expires_at = self._timers.now() + self.result_lifetime_s
        self._schedule(dict.fromkeys(handles, expires_at))

    def _schedule(self, expiry_times: dict[str, float]) -> None:
        """Release results after the batching delay, unless they have expired then."""
        for result, expires_at in expiry_times.items():
            address = result.partition("/")[0]
            if not self._pending:
                self._timers.call_after(RELEASE_DELAY_SECONDS, self._send_pending)
            self._pending.setdefault(address, {})[result] = expires_at

    def close(self) -> None:
        """Cancel the release calls in progress."""
        for task in self._tasks:
            task.cancel()

    def _send_pending(self) -> None:
        pending, self._pending = self._pending, {}
        now = self._timers.now()
        for address, expiry_times in pending.items():
            kept = {name: at for name, at in expiry_times.items() if at > now}
            handle = self._replicas.at_address(address)
            unavailable_reason = (
                handle.unavailable_reason if handle is not None else "removed"
            )
            if unavailable_reason in ("resting", "limited"):
                self._schedule_after_pause(handle, kept)
            elif kept and not unavailable_reason:
                # A replica that drains, shuts down or is removed needs no release: its
                # results end with its process.
                task = asyncio.ensure_future(self._release(handle, kept))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _schedule_after_pause(
        self, handle: ReplicaHandle, expiry_times: dict[str, float]
    ) -> None:
        """Release results after the replica's pause, unless they expire before."""
        pause_s = handle.available_at - self._timers.now()
        if expiry_times and pause_s < self.result_lifetime_s:
            reschedule = partial(self._schedule, expiry_times)
            self._timers.call_after(
                max(0.0, pause_s) + RELEASE_DELAY_SECONDS, reschedule
            )

    async def _release(
        self, handle: ReplicaHandle, expiry_times: dict[str, float]
    ) -> None:
        handles = list(expiry_times)
        try:
            await release_results(handle, handles, self._timers)
        except ReplicaUnavailableError:
            self._schedule(expiry_times)
        except (HttpError, TimeoutError):
            self._metrics.drops.labels("release").inc()
        else:
            self._on_released(handle.replica.address, handles)
