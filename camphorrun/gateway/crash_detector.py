"""Tells crashes of replicas from other broken connections."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ..catalog import Boot
from ..core import EventLog, TimerService
from ..http1 import HttpError, connect
from ..metrics import Metrics
from ..quarantine import Suspects
from .evacuations import EVACUATED
from .replica_handle import ReplicaHandle
from .state import GatewayState

PROBE_TIMEOUT_SECONDS = 0.4
# A replica that accepts connections may have started again already. Its registration
# shows that within this time.
RESTART_SECONDS = 4.0
MAX_SUSPECTED_BOOTS = 256
# Reasons for which a replica ends although nothing has crashed it.
_PLANNED_ENDS = frozenset({"draining", "leaving", EVACUATED})


@dataclass(slots=True)
class _SuspectedCrash:
    """Requests that one start of a replica broke off before it had begun to answer."""

    at: float
    sent_at: float
    requests: set[Suspects] = field(default_factory=set)
    is_confirmed: bool = False


class CrashDetector:
    """Reports the requests at a crash once it is certain that the replica has ended.

    A connection may also break because of a fault of the network, or of a replica that
    lives on. A crash has happened if the replica refuses new connections, or if a later
    start of it registers.

    Parameters
    ----------
    report : callable
        Called with the replica, the time at which the last request was sent, the time
        of the crash and fingerprints of the requests; again for further requests.
    """

    def __init__(
        self,
        state: GatewayState,
        report: Callable[[str, float, float, Collection[Suspects]], None],
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._state = state
        self._report = report
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._suspected: OrderedDict[Boot, _SuspectedCrash] = OrderedDict()
        self._probes: set[asyncio.Task] = set()
        state.subscribe(replicas=self._check_registrations)

    def add_broken_request(
        self, handle: ReplicaHandle, suspects: Suspects, sent_at: float
    ) -> None:
        """Record that a replica closed a connection before it had begun to answer."""
        if not suspects or handle.unavailable_reason in _PLANNED_ENDS:
            return
        boot = handle.replica.boot
        crash = self._suspected.get(boot)
        if crash is None or sent_at > crash.at:
            # The registration may be older than the last start of the replica.
            crash = _SuspectedCrash(self._timers.now(), sent_at)
            self._suspected[boot] = crash
            self._start_probe(handle, crash)
        crash.requests.add(suspects)
        crash.sent_at = max(crash.sent_at, sent_at)
        if crash.is_confirmed:
            self._report(boot[0], sent_at, crash.at, [suspects])

    def _start_probe(self, handle: ReplicaHandle, crash: _SuspectedCrash) -> None:
        while len(self._suspected) > MAX_SUSPECTED_BOOTS:
            self._suspected.popitem(last=False)
        probe = asyncio.ensure_future(self._probe(handle, crash))
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    def close(self) -> None:
        """Cancel the probes."""
        for probe in self._probes:
            probe.cancel()

    async def _probe(self, handle: ReplicaHandle, crash: _SuspectedCrash) -> None:
        """Confirm the crash if the replica refuses a connection."""
        replica = handle.replica
        try:
            conn = await connect(
                replica.host, replica.port, self._timers, PROBE_TIMEOUT_SECONDS
            )
        except HttpError as exc:
            if exc.code == "connect_failed":
                self._confirm(replica.boot, crash, "refused")
                return
        else:
            conn.abort()
        await self._timers.sleep(RESTART_SECONDS)
        is_current = self._suspected.get(replica.boot) is crash
        if is_current and not crash.is_confirmed:
            del self._suspected[replica.boot]

    def _check_registrations(self) -> None:
        for boot, crash in list(self._suspected.items()):
            replica = self._state.replicas.get(boot[0])
            if replica is not None and replica.boot != boot and not crash.is_confirmed:
                self._confirm(boot, crash, "restarted")

    def _confirm(self, boot: Boot, crash: _SuspectedCrash, evidence: str) -> None:
        if crash.is_confirmed:
            return
        crash.is_confirmed = True
        self._metrics.replica_crashes.labels(evidence).inc()
        self._events.log_state_change(
            "replica_crash",
            replica=boot[0],
            started_ms=boot[1],
            evidence=evidence,
            requests=len(crash.requests),
        )
        self._report(boot[0], crash.sent_at, crash.at, crash.requests)
