"""Keeps requests that crash replicas away from them, together with other gateways."""

import asyncio
from collections.abc import Collection, Coroutine

import msgspec

from ..core import EventLog, TimerService
from ..metrics import Metrics
from ..quarantine import Cause, Quarantine, Suspects, cause_fingerprint
from ..routing import rendezvous_order
from .context import RequestContext, Trial
from .crash_detector import CrashDetector
from .errors import PeerError, RefusedError
from .messages import (
    ClearanceMessage,
    CrashMessage,
    QuarantineMessage,
    TrialOrder,
    TrialReply,
)
from .peers import Peers, member_address
from .quarantine_messages import encode_block
from .replica_handle import ReplicaHandle
from .state import GatewayState

EVALUATION_INTERVAL_SECONDS = 0.1
# A replica that lives for this time after the start of an answer was not crashed by it.
SURVIVAL_SECONDS = 0.25
SEND_TIMEOUT_SECONDS = 0.5
TRIAL_TIMEOUT_SECONDS = 0.25
# A trial must be sent within this time. The process may have been paused, or the stages
# of the request may have taken long.
TRIAL_LIFETIME_SECONDS = 10.0
QUARANTINED = "quarantined"
# Failures of attempts that may be due to a crash of the replica.
BROKEN_OFF_CODES = frozenset({"reset", "truncated"})


class QuarantineGuard:
    """Checks requests against the quarantine, and feeds it with crashes and answers.

    All gateways are told what one of them observes, so the crashes of all count. One of
    them, the owner by rendezvous order, decides on the trials of a cause.

    Attributes
    ----------
    detector : CrashDetector
        Detector of crashes at this gateway.
    """

    def __init__(
        self,
        state: GatewayState,
        peers: Peers,
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._state = state
        self._quarantine: Quarantine = state.quarantine
        self._peers = peers
        self._own_address = member_address(state.member)
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._tasks: set[asyncio.Task] = set()
        self.detector = CrashDetector(
            state, self._report_crash, timers=timers, metrics=metrics, events=events
        )
        timers.subscribe(EVALUATION_INTERVAL_SECONDS, self._evaluate)

    # Checks

    async def admit(self, ctx: RequestContext) -> None:
        """Refuse a quarantined request, unless it may be sent as a trial.

        Raises
        ------
        RefusedError
            With code ``quarantined`` if the request would crash a replica.
        """
        cause = self._quarantine.find_blocked(ctx.suspects)
        if cause is None:
            return
        now = self._timers.now()
        is_due = not self._quarantine.trial_wait_s(cause, now)
        if is_due and await self._request_trial(cause):
            ctx.trial = Trial(cause, now + TRIAL_LIFETIME_SECONDS)
            self._record_change(cause, "trial", ctx.request_id)
        self.check(ctx)

    def check(self, ctx: RequestContext) -> None:
        """Refuse a quarantined request immediately before it is sent.

        Raises
        ------
        RefusedError
            With code ``quarantined`` if the request would crash a replica.
        """
        trial = ctx.trial
        is_valid = trial is not None and self._timers.now() <= trial.valid_until
        exempt = trial.cause if is_valid else None
        cause = self._quarantine.find_blocked(ctx.suspects, exempt)
        if cause is not None:
            raise self.refusal(ctx, cause)

    def refusal(self, ctx: RequestContext, cause: Cause) -> RefusedError:
        """Return the error for a request that has a blocked cause."""
        wait_s = self._quarantine.trial_wait_s(cause, self._timers.now())
        return RefusedError(
            f"requests with {sorted(cause)} crash the replicas that run them",
            code=QUARANTINED,
            status=502 if ctx.may_have_run else 503,
            retry_after_s=wait_s,
        )

    async def _request_trial(self, cause: Cause) -> bool:
        """Return whether the owner of a cause allows a trial."""
        members = map(member_address, self._state.members)
        key = cause_fingerprint(cause)
        owner = rendezvous_order(key, set(filter(None, members)))[0]
        if owner == self._own_address:
            return self.answer_trial(TrialOrder(cause)).granted
        try:
            data = await self._peers.link(owner).call(
                "/trials", TrialOrder(cause), TRIAL_TIMEOUT_SECONDS
            )
            return msgspec.msgpack.decode(data, type=TrialReply).granted
        except (PeerError, msgspec.DecodeError) as exc:
            self._metrics.drops.labels("trial_call").inc()
            self._events.log_state_change(
                "trial_call_failed", gateway=owner, error=str(exc)
            )
            return False

    def answer_trial(self, order: TrialOrder) -> TrialReply:
        """Return whether one request may be sent, and tell the others if so."""
        now = self._timers.now()
        granted = self._quarantine.start_trial(order.cause, now)
        if granted:
            block = self._quarantine.get(order.cause)
            self._send_to_all(encode_block(order.cause, block, now))
        return TrialReply(granted)

    # Observations

    def observe_failure(
        self, ctx: RequestContext, handle: ReplicaHandle, code: str
    ) -> None:
        """Record a failed attempt; a broken connection may be due to a crash."""
        if code in BROKEN_OFF_CODES and not self._answer_survived(ctx):
            self.detector.add_broken_request(handle, ctx.suspects, ctx.sent_at)

    def observe_progress(self, ctx: RequestContext) -> None:
        """Clear the fingerprints of a request whose answer goes on."""
        if not ctx.has_cleared and self._answer_survived(ctx):
            self._clear(ctx, ctx.stream_started_at)

    def observe_answer(self, ctx: RequestContext) -> None:
        """Clear the fingerprints of a request that a replica has answered."""
        if not ctx.has_cleared:
            self._clear(ctx, ctx.stream_started_at or self._timers.now())

    def _answer_survived(self, ctx: RequestContext) -> bool:
        begun_at = ctx.stream_started_at
        return bool(begun_at) and self._timers.now() - begun_at >= SURVIVAL_SECONDS

    def _clear(self, ctx: RequestContext, begun_at: float) -> None:
        ctx.has_cleared = True
        suspects = ctx.shared_parts
        if self._quarantine.is_suspect(ctx.fingerprint):
            # Few requests come again, and other clearances would be forgotten for them.
            suspects = ctx.suspects
        cleared = [s for s in suspects if self._quarantine.clear(s, begun_at)]
        if not cleared:
            return
        self._record_change(cleared, "cleared", ctx.request_id)
        age_s = self._timers.now() - begun_at
        clearances = [ClearanceMessage(suspect, age_s) for suspect in cleared]
        self._send_to_all(QuarantineMessage(clearances=clearances))

    def _report_crash(
        self,
        replica: str,
        sent_at: float,
        at: float,
        requests: Collection[Suspects],
    ) -> None:
        new = self._quarantine.add_crash(replica, sent_at, at, requests)
        if new:
            now = self._timers.now()
            crash = CrashMessage(replica, now - at, now - sent_at, new)
            self._send_to_all(QuarantineMessage(crashes=[crash]))

    def _evaluate(self) -> None:
        for cause in self._quarantine.evaluate(self._timers.now()):
            self._record_change(cause, "blocked", "")

    def _record_change(
        self, fingerprints: Collection[str], change: str, request_id: str
    ) -> None:
        self._metrics.quarantine_changes.labels(change).inc()
        self._events.log_state_change(
            "quarantine", cause=sorted(fingerprints), change=change, request=request_id
        )

    # Other gateways

    def receive(self, message: QuarantineMessage) -> None:
        """Apply what another gateway has observed."""
        self._state.merge_quarantine(message, self._timers.now(), "peer")

    def _send_to_all(self, message: QuarantineMessage) -> None:
        """Send a message to all other gateways, without waiting for them.

        A gateway that does not get it learns the same from the exchange of records.
        """
        for address in self._peers.addresses():
            if address != self._own_address:
                self._start(self._send(address, message))

    async def _send(self, address: str, message: QuarantineMessage) -> None:
        link = self._peers.link(address)
        try:
            await link.call("/quarantine", message, SEND_TIMEOUT_SECONDS)
        except PeerError:
            self._metrics.drops.labels("quarantine_message").inc()

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel the messages that are being sent."""
        self.detector.close()
        for task in self._tasks:
            task.cancel()
