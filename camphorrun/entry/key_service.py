"""Key prefixes for non-idempotent requests, and what the log says of a key."""

import msgspec

from ..claims import (
    ClaimDecision,
    ClaimError,
    ClaimFollower,
    ClaimState,
    new_key_prefix,
)
from ..messages import KeyRing
from ..pipeline import Outcome, OutcomeStatus
from .claim_resolver import LogClaimResolver
from .errors import RequestError


class KeyService:
    """Mints key prefixes and looks up recorded outcomes.

    Parameters
    ----------
    ring : KeyRing
        Authenticates key prefixes.
    follower : ClaimFollower
        Source of the log service's clock.
    resolver : LogClaimResolver
        Decisions by key.
    """

    def __init__(
        self, ring: KeyRing, follower: ClaimFollower, resolver: LogClaimResolver
    ):
        self._ring = ring
        self._follower = follower
        self._resolver = resolver

    async def mint(self) -> str:
        """Return a fresh key prefix.

        Raises
        ------
        RequestError
            With code ``log_unavailable`` while the log's clock is not known.
        """
        ledger = self._follower.ledger
        if ledger.log_time_ms <= 0:
            await self._read_log_clock()
        return new_key_prefix(self._ring, ledger.log_time_ms)

    async def _read_log_clock(self) -> None:
        try:
            await self._follower.read_to_end()
        except ClaimError as exc:
            raise RequestError(str(exc), code=exc.code, http_status=503) from exc

    def recorded_outcome(
        self, account: str, key: str, stages: list[str]
    ) -> Outcome | None:
        """Return the outcome that the claims of a key prove, None if there is none.

        A request with several non-idempotent stages is answered only if its outcome is
        cached; the claims alone tell at least whether something ran.
        """
        decisions = {}
        for stage in stages:
            decision = self._resolver.decision(key, account, stage)
            if decision is not None and decision.state is not ClaimState.UNCLAIMED:
                decisions[stage] = decision
        if not decisions:
            return None
        return _outcome_of(key, decisions)


def _outcome_of(key: str, decisions: dict[str, ClaimDecision]) -> Outcome:
    """Return the outcome for the decided claims of one request."""
    if all(decision.never_runs for decision in decisions.values()):
        return Outcome(key, OutcomeStatus.NOT_RUN, code="key_voided")
    results = {
        stage: decision.result.data
        for stage, decision in decisions.items()
        if decision.result is not None
        and decision.result.ok
        and decision.result.data is not None
    }
    if len(results) < len(decisions):
        return Outcome(
            key,
            OutcomeStatus.OUTCOME_UNKNOWN,
            code="in_progress",
            safe_to_repeat=False,
        )
    if len(results) == 1:
        output = next(iter(results.values()))
    else:
        output = msgspec.json.encode(
            {stage: msgspec.Raw(data) for stage, data in results.items()}
        )
    return Outcome(key, OutcomeStatus.ANSWERED, output=output)
