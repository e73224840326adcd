"""Decides what became of non-idempotent calls, by their claims in the log."""

from collections.abc import Callable
from functools import singledispatchmethod

from ..claims import (
    ClaimDecision,
    ClaimError,
    ClaimKey,
    ClaimLedger,
    ClaimState,
    Decided,
    Unknown,
    VoidCoordinator,
    Voided,
    claim_key,
    parse_claim_key,
)
from ..core import TimerService
from ..messages import KeyRing
from ..metrics import Metrics
from ..pipeline import (
    OutcomeStatus,
    PipelineError,
    PlannedStage,
    RequestPlan,
    StageCall,
)

OWNER_CHECK_SECONDS = 0.25


class LogClaimResolver:
    """``ClaimResolver`` over the claims stream.

    Parameters
    ----------
    ring : KeyRing
        Authenticates key prefixes.
    voids : VoidCoordinator
        Rules calls out and waits for outcomes.
    ledger : ClaimLedger
        What is known of each key.
    timers, metrics
        Clock and counters.
    is_gone : callable
        Whether the process of a host with an incarnation can no longer answer.
    """

    def __init__(
        self,
        ring: KeyRing,
        voids: VoidCoordinator,
        ledger: ClaimLedger,
        timers: TimerService,
        metrics: Metrics,
        *,
        is_gone: Callable[[str, str], bool],
    ):
        self._ring = ring
        self._voids = voids
        self._ledger = ledger
        self._timers = timers
        self._metrics = metrics
        self._is_gone = is_gone

    def claim_key(self, plan: RequestPlan, stage: PlannedStage) -> str:
        """Return the claim key of a stage of a request."""
        return str(claim_key(self._ring, plan.account, plan.key, stage.name))

    async def settle(
        self, call: StageCall, code: str, retry_after_s: float = 0.0
    ) -> bytes:
        """Return the output of the call, or raise what can truthfully be said.

        Parameters
        ----------
        call : StageCall
            The non-idempotent call.
        code : str
            Why the call is being settled; it becomes the code of a refusal.
        retry_after_s : float
            Delay after which the caller may come back, with another key.
        """
        key = parse_claim_key(self.claim_key(call.plan, call.stage))
        digest = bytes.fromhex(call.plan.body_digest)
        reply = await self._void(key, digest)
        self._metrics.claims.labels(f"settle_{type(reply).__name__.lower()}").inc()
        if isinstance(reply, Voided):
            call.started = False
            raise PipelineError(
                f"stage {call.stage.name}: {code}",
                code=code,
                retry_after_s=retry_after_s,
            )
        return await self._follow(reply, call, key)

    async def rule_out(self, plan: RequestPlan) -> PipelineError | None:
        """Make a refusal of a request that was not dispatched true for its keys.

        Returns
        -------
        PipelineError or None
            What must be said instead of ``not_run``, if a key was decided otherwise
            or could not be ruled out.
        """
        for stage in plan.stages:
            if stage.idempotent:
                continue
            key = parse_claim_key(self.claim_key(plan, stage))
            reply = await self._void(key, bytes.fromhex(plan.body_digest))
            error = _contradiction(reply)
            if error is not None:
                return error
        return None

    def decision(self, plan_key: str, account: str, stage: str) -> ClaimDecision | None:
        """Return what is known of a key of a client account, None for a bad key."""
        try:
            key = claim_key(self._ring, account, plan_key, stage)
            return self._ledger.decision(key)
        except ClaimError:
            return None

    async def _void(self, key: ClaimKey, digest: bytes) -> object:
        try:
            return await self._voids.void(key, digest)
        except ClaimError as exc:
            return Unknown(exc.code)

    @singledispatchmethod
    async def _follow(self, reply: object, call: StageCall, key: ClaimKey) -> bytes:
        raise TypeError(f"unexpected reply {type(reply).__name__}")

    @_follow.register
    async def _(self, reply: Unknown, call: StageCall, key: ClaimKey) -> bytes:
        raise _unknown(reply.code)

    @_follow.register
    async def _(self, reply: Decided, call: StageCall, key: ClaimKey) -> bytes:
        decision = reply.decision
        if decision.state is ClaimState.STARTED and not decision.key_reused:
            decision = await self._wait(key, call.plan.deadline_at, decision)
        return _output(decision, call)

    async def _wait(
        self, key: ClaimKey, deadline_at: float, decision: ClaimDecision
    ) -> ClaimDecision:
        """Wait for the outcome while its owner may still record one.

        Once the owner is gone, the caller is not kept waiting for the deadline.
        """
        while not decision.is_final:
            left_s = deadline_at - self._timers.now()
            gone = self._is_gone(decision.host, decision.incarnation)
            try:
                wait_s = min(OWNER_CHECK_SECONDS, max(0.0, left_s))
                decision = await self._voids.outcome(key, wait_s)
            except ClaimError:
                return decision
            if gone or left_s <= 0:
                return decision
        return decision


def _output(decision: ClaimDecision, call: StageCall) -> bytes:
    """Return the recorded output of a decided call, or raise what is known."""
    if decision.key_reused:
        call.started = False
        raise PipelineError(
            "the key was used with another body",
            code="key_reused",
            field="Idempotency-Key",
        )
    if decision.never_runs:
        call.started = False
        raise PipelineError("the key was ruled out before", code="key_voided")
    result = decision.result
    if result is None:
        raise _unknown("in_progress")
    if not result.ok:
        raise _unknown(result.code)
    if result.data is None:
        raise _unknown("result_not_kept")
    return result.data


def _contradiction(reply: object) -> PipelineError | None:
    """Return the error that replaces ``not_run``, None if ``not_run`` is true."""
    if isinstance(reply, Voided):
        return None
    if isinstance(reply, Unknown):
        return _unknown(reply.code)
    decision = reply.decision
    if decision.never_runs or decision.key_reused:
        return None
    return _unknown("in_progress" if decision.result is None else "already_run")


def _unknown(code: str) -> PipelineError:
    return PipelineError(
        f"the outcome of the call is not known: {code}",
        code=code,
        status=OutcomeStatus.OUTCOME_UNKNOWN,
        safe_to_repeat=False,
    )
