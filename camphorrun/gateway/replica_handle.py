"""Connections, load, notices and permits of one start of a replica."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from weakref import WeakSet

from ..catalog import Replica, ReplicaState, is_home
from ..core import TimerService
from ..http1 import ClientConnection, ConnectionPool, HttpError, ResponseHead
from ..platform import ReplicaNotice, decode_replica_notice
from ..routing import EndpointState, ReportedLoad
from .cold_replicas import ColdReplicas
from .errors import PermitRefusedError, ReplicaUnavailableError
from .evacuations import EVACUATED
from .permits import Permit, Permits
from .state import GatewayState

# A permit is requested again after this time, although it may be expected later: the
# rate of the owner grows when more gateways lend their shares.
MAX_REFUSAL_SECONDS = 0.5
# Exceeds the results that a replica makes while a duplicate answer may still arrive.
MAX_RECENT_RESULTS = 512
# A permit that is requested in advance may become valid this much later.
MAX_ADVANCE_SECONDS = 0.2


class RecentResults:
    """Names of the latest results of a replica, to detect duplicate answers.

    Examples
    --------
    >>> recent = RecentResults()
    >>> recent.add(["a", "b"]), recent.add(["c"]), recent.add(["b"])
    (True, True, False)
    """

    __slots__ = ("_names",)

    def __init__(self):
        self._names: OrderedDict[str, None] = OrderedDict()

    def add(self, names: list[str]) -> bool:
        """Add the result names of an answer; return whether all of them were new.

        Nothing is added if one is a duplicate.
        """
        if any(name in self._names for name in names):
            return False
        self._names.update(dict.fromkeys(names))
        while len(self._names) > MAX_RECENT_RESULTS:
            self._names.popitem(last=False)
        return True


class NoticeState:
    """Notices from one start of a replica: that it shuts down, or asks for a pause.

    The state is kept when the registration is removed, because a store failure may
    remove a registration and restore it later.

    Attributes
    ----------
    leaving_since : float or None
        When the replica first announced that it shuts down.
    paused_until : float
        End of the pause that the replica asked for.
    """

    __slots__ = ("leaving_since", "paused_until")

    def __init__(self):
        self.leaving_since: float | None = None
        self.paused_until = float("-inf")

    def unavailable_reason(self, now: float) -> str:
        """Return why no request may be sent now, empty if one may."""
        if self.leaving_since is not None:
            return "leaving"
        return "resting" if now < self.paused_until else ""


class ReplicaHandle:
    """Connections and state of one start of a replica.

    Attributes
    ----------
    replica : Replica
        Latest registration of the replica.
    endpoint : EndpointState
        Load and health as observed by this gateway.
    pool : ConnectionPool
        Connections to the replica.
    notice_state : NoticeState
        Shutdown and pause that the replica announced.
    recent_results : RecentResults
        Stage results that the replica named in its latest answers.
    rejection_backoff_until : float
        End of the back-off after the replica rejected a request. Without it, its low
        load would attract all further requests.
    asked : WeakSet of ClientConnection
        Connections on which the replica was asked for its start.
    proven : WeakSet of ClientConnection
        Those of them that are known to lead to this start of the replica.
    restarted : WeakSet of ClientConnection
        Those of them that lead to another start, whose registration is not known yet.
    permit_refused_until : float
        Until when no permit is requested, if the replica has a rate limit.
    reported_load : ReportedLoad
        Load and speed that the replica reported last.
    permit_expected_at : float
        When a permit is expected after the last refusal.
    """

    __slots__ = (
        "_on_notice",
        "_advance_permit",
        "_is_requesting",
        "_tasks",
        "_cold_replicas",
        "_connections_before_loss",
        "_permits",
        "_state",
        "_timers",
        "_waits",
        "asked",
        "notice_state",
        "endpoint",
        "permit_expected_at",
        "permit_refused_until",
        "pool",
        "proven",
        "reported_load",
        "rejection_backoff_until",
        "restarted",
        "replica",
        "recent_results",
    )

    def __init__(
        self,
        replica: Replica,
        timers: TimerService,
        connections: int,
        notice_state: NoticeState,
        permits: Permits,
        on_notice: Callable[["ReplicaHandle", ReplicaNotice, str, float | None], None],
        state: GatewayState,
        cold_replicas: ColdReplicas,
    ):
        self.replica = replica
        self.notice_state = notice_state
        self.recent_results = RecentResults()
        self._timers = timers
        self._permits = permits
        self._on_notice = on_notice
        self._state = state
        self._waits: set[_InterruptibleWait] = set()
        self._cold_replicas = cold_replicas
        self._advance_permit: Permit | None = None
        self._is_requesting = False
        self._tasks: set[asyncio.Task] = set()
        self._connections_before_loss: WeakSet[ClientConnection] | None = None
        self.asked: WeakSet[ClientConnection] = WeakSet()
        self.proven: WeakSet[ClientConnection] = WeakSet()
        self.restarted: WeakSet[ClientConnection] = WeakSet()
        self.permit_refused_until = float("-inf")
        self.permit_expected_at = float("-inf")
        self.rejection_backoff_until = float("-inf")
        self.endpoint = EndpointState(
            replica.identifier, replica.availability_zone, replica.service
        )
        self.reported_load = ReportedLoad()
        self.pool = ConnectionPool(replica.host, replica.port, timers, connections)

    @property
    def is_available(self) -> bool:
        """Whether new requests may be sent now."""
        return not self.unavailable_reason

    @property
    def unavailable_reason(self) -> str:
        """Why no new request may be sent now, empty if one may."""
        if self.replica.state is not ReplicaState.READY or self.pool.closed:
            return "draining"
        now = self._timers.now()
        reason = self.notice_state.unavailable_reason(now)
        if reason != "leaving" and self.is_evacuated:
            return EVACUATED
        if not reason and now < self.permit_refused_until and self.is_limited:
            return "limited"
        return reason

    @property
    def is_evacuated(self) -> bool:
        """Whether the availability zone of the replica is evacuated."""
        return self.replica.availability_zone in self._state.evacuated_zones

    @property
    def is_limited(self) -> bool:
        """Whether the replica has a rate limit, so that requests need a permit."""
        return self._permits.is_required(self.replica.boot)

    @property
    def is_cold(self) -> bool:
        """Whether the replica is cold, so that its times say nothing of warm ones."""
        return self._permits.is_cold(self.replica.boot)

    @property
    def has_advance_permit(self) -> bool:
        """Whether a permit that was requested in advance is valid now."""
        permit = self._advance_permit
        return permit is not None and self._timers.now() <= permit.valid_until

    @property
    def available_at(self) -> float:
        """When the pause of the replica ends and a permit is expected."""
        permitted_at = self.permit_expected_at if self.is_limited else float("-inf")
        return max(self.notice_state.paused_until, permitted_at)

    async def acquire_permit(self, max_wait_s: float = 0.0) -> Permit | None:
        """Return a permit to send one request, None if the replica has no rate limit.

        Raises
        ------
        ReplicaUnavailableError
            If no permit is available within ``max_wait_s``, or the availability zone
            is evacuated meanwhile.
        """
        try:
            with self.interruptible_wait():
                return await self._permits.acquire(self.replica.boot, max_wait_s)
        except PermitRefusedError as exc:
            now = self._timers.now()
            refused_s = min(exc.retry_after_s, MAX_REFUSAL_SECONDS)
            self.permit_refused_until = now + refused_s
            self.permit_expected_at = now + exc.retry_after_s
            raise self._unavailable_error("limited") from exc

    def on_connection(self, conn: ClientConnection) -> None:
        """Take note of a connection that works, before anything is sent on it.

        A new one after a loss of contact may lead to a process that has started since,
        which its registration tells later. It is the same process if a connection from
        before is still open.
        """
        if self._connections_before_loss is None or conn.requests:
            return
        is_same_process = any(c.is_open for c in self._connections_before_loss)
        self._connections_before_loss = None
        if is_same_process:
            self._cold_replicas.on_proven_connection(self.replica)
        else:
            self._cold_replicas.on_reconnection(self.replica)

    def on_connection_error(self, error: HttpError) -> None:
        """Take note of a connection that failed or ended without an answer."""
        if self._cold_replicas.on_connection_error(self.replica, error):
            self._connections_before_loss = WeakSet(self.pool.open_connections())

    def request_permit(self) -> None:
        """Request a permit in advance, unless one is there, requested or refused.

        It is returned to its owner if no request takes it in time.
        """
        if self._is_requesting or self._advance_permit or not self.is_available:
            return
        self._is_requesting = True
        task = asyncio.ensure_future(self._keep_advance_permit())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def take_permit(self) -> Permit | None:
        """Return the permit that was requested in advance, None without a valid one."""
        if not self.has_advance_permit:
            return None
        permit, self._advance_permit = self._advance_permit, None
        return permit

    async def _keep_advance_permit(self) -> None:
        try:
            permit = await self.acquire_permit(MAX_ADVANCE_SECONDS)
        except ReplicaUnavailableError:
            return
        finally:
            self._is_requesting = False
        if permit is None:
            return
        self._advance_permit = permit
        await self._timers.sleep(permit.valid_until - self._timers.now())
        if self._advance_permit is permit:
            self._advance_permit = None
            await self._permits.give_back(self.replica.boot, permit)

    def close(self) -> None:
        """Close the idle connections and drop the permit that is kept."""
        self.pool.close()
        for task in self._tasks:
            task.cancel()

    def ensure_available(
        self,
        permit: Permit | None = None,
        home_zones: frozenset[str] | None = None,
    ) -> None:
        """Check immediately before a request is sent that the replica accepts it.

        The process may have waited or been paused since the replica was chosen or the
        permit was granted. After a pause the records must be confirmed first. The
        replica must be in one of ``home_zones``, in any zone if it is None.

        Raises
        ------
        ReplicaUnavailableError
            If it accepts no request, or none without a valid permit.
        """
        self._state.check_pause()
        if self._state.awaits_confirmation:
            raise self._unavailable_error("unconfirmed")
        if not is_home(self.replica.availability_zone, home_zones):
            self._state.count_home_stop(self.replica.service)
            raise self._unavailable_error("not_home")
        reason = self.unavailable_reason
        if reason in ("", "limited"):
            reason = "" if self._is_permitted(permit) else "limited"
        if reason == EVACUATED:
            raise self.stopped_by_evacuation()
        if reason:
            raise self._unavailable_error(reason)

    def stopped_by_evacuation(self) -> ReplicaUnavailableError:
        """Count a send that an evacuation stopped, and return its error."""
        self._state.evacuations.count_stop(self.replica.service)
        return self._unavailable_error(EVACUATED)

    async def wait_until_confirmed(self) -> None:
        """Wait until the known records are confirmed after a pause of this process.

        A send that waited during the pause is checked again only then, because the
        records may have been replaced.
        """
        await self._state.wait_until_confirmed()

    def interruptible_wait(self) -> "_InterruptibleWait":
        """Return a context manager for a wait that precedes a send to the replica.

        If the availability zone is evacuated, the wait is cancelled and the context
        manager raises ``ReplicaUnavailableError``.
        """
        return _InterruptibleWait(self)

    def interrupt_waits(self) -> None:
        """Cancel the waits that precede a send to the replica."""
        for wait in list(self._waits):
            wait.interrupt()

    def _is_permitted(self, permit: Permit | None) -> bool:
        if not self.is_limited:
            return True
        return permit is not None and self._timers.now() <= permit.valid_until

    def _unavailable_error(self, reason: str) -> ReplicaUnavailableError:
        name = self.replica.identifier
        return ReplicaUnavailableError(
            f"replica {name} accepts no requests: {reason}", code=f"replica_{reason}"
        )

    def apply_notice(
        self,
        head: ResponseHead,
        request_id: str = "",
        *,
        sent_at: float | None = None,
    ) -> None:
        """Apply what a response head says about the replica.

        Its load is applied, and an answer without a rate limit withdraws an earlier
        one, only if the time at which its request was sent is given. It must not be
        given for an answer that may be a duplicate of an earlier one.
        """
        notice = decode_replica_notice(head)
        if notice is not None:
            self._on_notice(self, notice, request_id, sent_at)


class _InterruptibleWait:
    """Wait of the current task for a replica, which an evacuation ends."""

    __slots__ = ("_cancellations", "_handle", "_is_interrupted", "_task")

    def __init__(self, handle: ReplicaHandle):
        self._handle = handle
        self._is_interrupted = False

    def __enter__(self) -> None:
        self._task = asyncio.current_task()
        self._cancellations = self._task.cancelling()
        self._handle._waits.add(self)

    def __exit__(self, exc_type, exc, traceback) -> None:
        self._handle._waits.discard(self)
        if not self._is_interrupted:
            return
        # A task that was also cancelled by another one must end.
        is_cancelled = self._task.uncancel() > self._cancellations
        if exc_type is asyncio.CancelledError and not is_cancelled:
            raise self._handle.stopped_by_evacuation() from exc

    def interrupt(self) -> None:
        """Cancel the wait."""
        if not self._is_interrupted:
            self._is_interrupted = True
            self._task.cancel()
