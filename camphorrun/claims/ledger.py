"""Ledger that decides each claim key from the records of the claims stream.

The first valid ``Start`` or ``Void`` of a key in log order decides it. The rules use
nothing but the records, their order and the log service's time of each record, so all
readers at the same position decide alike.
"""

import sys
from collections import deque
from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod

from ..core import LogPage, LogRecord
from .records import Finish, Position, Start, Void, Withdraw, decode_batch
from .stamps import KEY_LIFETIME_MS, ClaimKey

# Tolerates steps of the log service's clock; a key is forgotten this long after every
# later Start of it has become invalid.
FORGET_MARGIN_MS = 60_000
# Keys are forgotten in groups, so that expiry costs no ordering by timestamp.
FORGET_GROUP_MS = 60_000
MAX_RESULT_BYTES = 16 * 1024 * 1024


class ClaimState(Enum):
    """State of a key. ``EXPIRED`` means that this reader cannot decide any more."""

    UNCLAIMED = "unclaimed"
    VOIDED = "voided"
    STARTED = "started"
    FINISHED = "finished"
    WITHDRAWN = "withdrawn"
    EXPIRED = "expired"


@dataclass(slots=True)
class ClaimResult:
    """Outcome of a call; ``data`` is None if only the digest is held."""

    ok: bool
    code: str
    data: bytes | None
    digest: bytes


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """What the ledger knows of a key.

    Attributes
    ----------
    state : ClaimState
        State of the key.
    position : Position or None
        Position of the winning ``Start`` or ``Void``.
    host, incarnation, token : str
        Owner of the winning ``Start``.
    result : ClaimResult or None
        Outcome, if finished and not ``key_reused``.
    key_reused : bool
        The key was started with another body than the one asked for.
    """

    state: ClaimState
    position: Position | None = None
    host: str = ""
    incarnation: str = ""
    token: str = ""
    result: ClaimResult | None = None
    key_reused: bool = False

    @property
    def never_runs(self) -> bool:
        """Whether the log proves that the key did not run and never will."""
        return self.state in (ClaimState.VOIDED, ClaimState.WITHDRAWN)

    @property
    def is_final(self) -> bool:
        """Whether no later record can change the decision."""
        return self.state not in (ClaimState.UNCLAIMED, ClaimState.STARTED)


class _Claim:
    """Compact state of one key."""

    __slots__ = ("body_digest", "index", "offset", "owner", "result", "state")

    def __init__(self, state: ClaimState, position: Position):
        self.state = state
        self.offset = position.offset
        self.index = position.index
        self.body_digest = b""
        self.owner: tuple[str, str, str] = ("", "", "")
        self.result: ClaimResult | None = None


class ClaimLedger:
    """Applies claim records in log order and decides each key.

    Parameters
    ----------
    lifetime_ms : int
        A ``Start`` or ``Void`` later than this after its key's timestamp is invalid.
        All processes must use the same value.
    margin_ms : int
        Additional time for which decided keys are kept.
    max_result_bytes : int
        Total size of inline results held; the oldest are dropped first.

    Attributes
    ----------
    position : int
        Last applied offset.
    log_time_ms : int
        Latest time of the log service that was seen.
    counters : dict of str to int
        Records skipped, by reason.
    """

    def __init__(
        self,
        lifetime_ms: int = KEY_LIFETIME_MS,
        margin_ms: int = FORGET_MARGIN_MS,
        max_result_bytes: int = MAX_RESULT_BYTES,
    ):
        self._lifetime_ms = lifetime_ms
        self._margin_ms = margin_ms
        self._max_result_bytes = max_result_bytes
        self._claims: dict[bytes, _Claim] = {}
        self._groups: dict[int, list[bytes]] = {}
        self._forgotten_group = -1
        self._results: deque[ClaimResult] = deque()
        self._result_bytes = 0
        # Keys issued at or before this time may have records that were not read.
        self._unread_until_ms = -1
        self._end_offset: int | None = None
        self.position = 0
        self.log_time_ms = 0
        self.counters: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def horizon_complete(self) -> bool:
        """Whether every live key can be decided.

        True once the end of the log, as of the first page, has been reached and the
        records go back to the first one ever appended or past the key lifetime.
        """
        if self._end_offset is None or self.position + 1 < self._end_offset:
            return False
        if self._unread_until_ms < 0:
            return True
        return self._unread_until_ms <= self.log_time_ms - self._lifetime_ms

    def apply_page(self, page: LogPage) -> None:
        """Apply the records of a page and note the log service's clock."""
        for record in page.records:
            self.apply(record.value, record.offset, record.time_ms)
        if not page.records and page.first_offset > self.position + 1:
            self._note_gap(page.log_time_ms)
            self.position = page.first_offset - 1
        if self._end_offset is None:
            self._end_offset = page.end_offset
        self._note_time(page.log_time_ms)

    def apply_record(self, record: LogRecord) -> None:
        """Apply one log record."""
        self.apply(record.value, record.offset, record.time_ms)

    def apply(self, value: bytes, offset: int, time_ms: int) -> None:
        """Apply one log value; values that were applied before have no effect."""
        if offset <= self.position:
            return
        if offset > self.position + 1:
            self._note_gap(time_ms)
        self.position = offset
        batch = decode_batch(value)
        if batch.unreadable:
            self._count("unreadable", batch.unreadable)
        for index, record in batch.records:
            self._apply_one(record, Position(offset, index), time_ms)
        self._note_time(time_ms)

    def decision(self, key: ClaimKey, body_digest: bytes = b"") -> ClaimDecision:
        """Return the decision on a key as of ``position``.

        With ``body_digest``, a key that was started with another body is reported as
        ``key_reused`` and its result is withheld.
        """
        if self.log_time_ms > key.stamp_ms + self._lifetime_ms + self._margin_ms:
            return ClaimDecision(ClaimState.EXPIRED)
        claim = self._claims.get(key.digest)
        if claim is not None:
            return _describe(claim, body_digest)
        is_live = self.log_time_ms <= key.stamp_ms + self._lifetime_ms
        if is_live and key.stamp_ms > self._unread_until_ms:
            return ClaimDecision(ClaimState.UNCLAIMED)
        return ClaimDecision(ClaimState.EXPIRED)

    @singledispatchmethod
    def _apply_one(self, record: object, position: Position, time_ms: int) -> None:
        raise TypeError(f"no claim record: {type(record).__name__}")

    @_apply_one.register
    def _(self, record: Start, position: Position, time_ms: int) -> None:
        claim = self._open(record, ClaimState.STARTED, position, time_ms)
        if claim is None:
            return
        claim.body_digest = record.body_digest
        host, incarnation = sys.intern(record.host), sys.intern(record.incarnation)
        claim.owner = (host, incarnation, record.token)

    @_apply_one.register
    def _(self, record: Void, position: Position, time_ms: int) -> None:
        self._open(record, ClaimState.VOIDED, position, time_ms)

    @_apply_one.register
    def _(self, record: Finish, position: Position, time_ms: int) -> None:
        claim = self._started(record)
        if claim is None:
            return
        claim.state = ClaimState.FINISHED
        claim.result = ClaimResult(record.ok, record.code, record.data, record.digest)
        self._keep_result(claim.result)

    @_apply_one.register
    def _(self, record: Withdraw, position: Position, time_ms: int) -> None:
        claim = self._started(record)
        if claim is not None:
            claim.state = ClaimState.WITHDRAWN

    def _open(
        self, record: Start | Void, state: ClaimState, position: Position, time_ms: int
    ) -> _Claim | None:
        """Return the new claim, or None if the record decides nothing.

        A late ``Void`` is invalid like a late ``Start``: the ``Start`` that came first
        may have been forgotten already.
        """
        if time_ms > record.stamp_ms + self._lifetime_ms:
            return self._count("late")
        if record.stamp_ms <= self._unread_until_ms:
            return self._count("before_horizon")
        if record.key in self._claims:
            return self._count("lost")
        claim = _Claim(state, position)
        self._claims[record.key] = claim
        forget_ms = record.stamp_ms + self._lifetime_ms + self._margin_ms
        group = max(forget_ms // FORGET_GROUP_MS, self._forgotten_group) + 1
        self._groups.setdefault(group, []).append(record.key)
        return claim

    def _started(self, record: Finish | Withdraw) -> _Claim | None:
        """Return the claim if the record belongs to its winning ``Start``."""
        claim = self._claims.get(record.key)
        if claim is None or claim.state is not ClaimState.STARTED:
            return self._count("without_effect")
        if (claim.offset, claim.index) != (record.start_offset, record.start_index):
            return self._count("without_effect")
        return claim

    def _keep_result(self, result: ClaimResult) -> None:
        if result.data is None:
            return
        self._results.append(result)
        self._result_bytes += len(result.data)
        while self._result_bytes > self._max_result_bytes:
            self._drop_result(self._results.popleft())
            self._count("result_dropped")

    def _drop_result(self, result: ClaimResult) -> None:
        if result.data is not None:
            self._result_bytes -= len(result.data)
            result.data = None

    def _note_gap(self, time_ms: int) -> None:
        """Keys issued before the first record after a gap can't be decided.

        Decisions made before the gap stay valid because the first record wins.
        """
        self._unread_until_ms = max(self._unread_until_ms, time_ms + self._margin_ms)

    def _note_time(self, time_ms: int) -> None:
        self.log_time_ms = max(self.log_time_ms, time_ms)
        group = self.log_time_ms // FORGET_GROUP_MS
        if group <= self._forgotten_group:
            return
        for due in sorted(g for g in self._groups if g <= group):
            for key in self._groups.pop(due):
                self._forget(key)
        self._forgotten_group = group

    def _forget(self, key: bytes) -> None:
        claim = self._claims.pop(key)
        if claim.result is not None:
            self._drop_result(claim.result)
        while self._results and self._results[0].data is None:
            self._results.popleft()

    def _count(self, reason: str, amount: int = 1) -> None:
        self.counters[reason] = self.counters.get(reason, 0) + amount


def _describe(claim: _Claim, body_digest: bytes) -> ClaimDecision:
    bodies = (claim.body_digest, body_digest)
    key_reused = all(bodies) and bodies[0] != bodies[1]
    return ClaimDecision(
        claim.state,
        Position(claim.offset, claim.index),
        *claim.owner,
        result=None if key_reused else claim.result,
        key_reused=key_reused,
    )
