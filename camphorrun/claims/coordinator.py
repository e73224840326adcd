"""Claims of agents before non-idempotent calls, and voids of entries.

Why a paused owner cannot cause a second call: ownership of a key is not a lease. The
first valid ``Start`` in log order owns the key permanently; ownership does not expire
and no other process takes it over. An owner that resumes after a pause of any length is
still the only process that may call. What a pause can cost is the answer: meanwhile the
entry reports ``outcome_unknown``, never ``not_run``, because its ``Void`` came later.

Only the log service's clock enters the decision: whether a ``Start`` is too late is
judged by the time that the log service gave the record, against a timestamp from the
same clock. Host clocks only bound waits. A wait that ends early or late changes which
answer is given, not who owns the key.
"""

import asyncio
import contextlib
import hashlib
import itertools
from dataclasses import dataclass

from ..core import TimerService, with_timeout
from .batcher import ClaimAppender, Submission
from .errors import ClaimError
from .follower import ClaimFollower
from .ledger import ClaimDecision, ClaimState
from .records import (
    MAX_INLINE_BYTES,
    ClaimRecord,
    Finish,
    Position,
    Start,
    Void,
    Withdraw,
)
from .stamps import DIGEST_BYTES, ClaimKey

ACQUIRE_TIMEOUT_SECONDS = 2.0
VOID_TIMEOUT_SECONDS = 2.0
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 5.0
MAX_BACKGROUND_APPENDS = 10_000
MAX_PENDING_WITHDRAWALS = 10_000


@dataclass(frozen=True, slots=True)
class StartGranted:
    """The caller, and nobody else, may call the endpoint for the key."""

    key: ClaimKey
    position: Position

    @property
    def offset(self) -> int:
        """Offset of the ``Start``, used as fencing token."""
        return self.position.offset


@dataclass(frozen=True, slots=True)
class StartLost:
    """Another record decided the key; the caller must not call."""

    decision: ClaimDecision


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The caller must not call.

    ``uncertain`` is set when a ``Start`` of this attempt may be in the log. It is
    withdrawn as soon as the log shows it.
    """

    code: str
    uncertain: bool = False


StartReply = StartGranted | StartLost | StartRefused


@dataclass(frozen=True, slots=True)
class Voided:
    """A ``Void`` decided the key: it did not run and never will."""


@dataclass(frozen=True, slots=True)
class Decided:
    """Another record decided the key; ``not_run`` only if ``decision.never_runs``."""

    decision: ClaimDecision


@dataclass(frozen=True, slots=True)
class Unknown:
    """The state of the key could not be determined."""

    code: str


VoidReply = Voided | Decided | Unknown


class StartCoordinator:
    """Acquires keys for the calls of one agent process.

    Parameters
    ----------
    appender : ClaimAppender
        Appends the records.
    follower : ClaimFollower
        Its ledger decides.
    timers : TimerService
        Clock of bounds and retries.
    host, incarnation : str
        Identity of the agent; each process needs an incarnation of its own.

    Attributes
    ----------
    counters : dict of str to int
        Replies by kind and code, retries and what was dropped at a bound.
    """

    def __init__(
        self,
        appender: ClaimAppender,
        follower: ClaimFollower,
        timers: TimerService,
        *,
        host: str,
        incarnation: str,
    ):
        self._appender = appender
        self._follower = follower
        self._timers = timers
        self._host = host
        self._incarnation = incarnation
        self._sequence = itertools.count(1)
        # Starts of this process that were given up, by token.
        self._given_up: dict[str, ClaimKey] = {}
        self._background: set[asyncio.Task] = set()
        self.counters: dict[str, int] = {}
        follower.add_listener(self._withdraw_given_up)

    @property
    def pending(self) -> int:
        """Records that still have to reach the log."""
        return len(self._background) + len(self._given_up)

    async def acquire(
        self,
        key: ClaimKey,
        body_digest: bytes,
        attempt_token: str,
        timeout_s: float = ACQUIRE_TIMEOUT_SECONDS,
    ) -> StartReply:
        """Append ``Start``, read the stream up to it and tell whether it won.

        If the result can't be determined within ``timeout_s``, or the task is
        cancelled, this process commits to not calling: the token is never granted
        afterwards, and a ``Withdraw`` follows if the ``Start`` turns out to have won.
        """
        reply = self._known(key, body_digest)
        if reply is None:
            reply = await self._acquire(key, body_digest, attempt_token, timeout_s)
        code = f"_{reply.code}" if isinstance(reply, StartRefused) else ""
        self._count(type(reply).__name__ + code)
        return reply

    def finish(
        self, grant: StartGranted, ok: bool, code: str = "", data: bytes = b""
    ) -> None:
        """Append the outcome of a call in the background, with retries."""
        digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
        inline = data if len(data) <= MAX_INLINE_BYTES else None
        place = grant.position
        record = Finish(
            grant.key.digest, place.offset, place.index, ok, code[:128], inline, digest
        )
        self._append_in_background(grant, record)

    def withdraw(self, grant: StartGranted) -> None:
        """Append in the background that the granted call was not made.

        The caller must not call after this.
        """
        place = grant.position
        record = Withdraw(grant.key.digest, place.offset, place.index)
        self._append_in_background(grant, record)

    async def drain(self, timeout_s: float) -> bool:
        """Wait until nothing is pending; return whether that was reached."""
        tasks = list(self._background)
        if tasks:
            with contextlib.suppress(TimeoutError):
                await with_timeout(self._timers, asyncio.wait(tasks), timeout_s)
        return self.pending == 0

    async def close(self) -> None:
        """Cancel the background appends."""
        tasks = list(self._background)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def _known(self, key: ClaimKey, body_digest: bytes) -> StartReply | None:
        """Return the reply for a key that is decided already; it saves an append."""
        decision = self._follower.ledger.decision(key, body_digest)
        if decision.state is ClaimState.UNCLAIMED:
            return None
        if decision.state is ClaimState.EXPIRED:
            return StartRefused("key_expired")
        return StartLost(decision)

    async def _acquire(
        self, key: ClaimKey, body_digest: bytes, attempt_token: str, timeout_s: float
    ) -> StartReply:
        # The sequence number keeps a token unique even if a dispatch arrives twice.
        token = f"{attempt_token[:100]}#{next(self._sequence)}"
        deadline = self._timers.now() + timeout_s
        record = Start(
            key.digest,
            key.stamp_ms,
            body_digest,
            self._host,
            self._incarnation,
            token,
        )
        try:
            submission = self._appender.submit(record)
        except ClaimError as exc:
            return StartRefused(exc.code)
        try:
            return await self._settle(key, body_digest, submission, deadline)
        except asyncio.CancelledError:
            submission.fut.cancel()
            if submission.sent:
                self._give_up(key, token)
            raise

    async def _settle(
        self, key: ClaimKey, body_digest: bytes, submission: Submission, deadline: float
    ) -> StartReply:
        position: Position | None = None
        code = "append_uncertain"
        remaining_s = max(0.0, deadline - self._timers.now())
        try:
            position = await with_timeout(self._timers, submission.fut, remaining_s)
        except TimeoutError:
            if not submission.sent:
                return StartRefused("log_unavailable")
        except ClaimError as exc:
            if exc.code != "append_uncertain":
                return StartRefused(exc.code)
        token = submission.record.token
        if not await self._wait_decided(key, position, deadline):
            self._give_up(key, token)
            return StartRefused(code if position is None else "log_unavailable", True)
        return self._judge(key, body_digest, token, position)

    async def _wait_decided(
        self, key: ClaimKey, position: Position | None, deadline: float
    ) -> bool:
        """Wait until the ledger decides the ``Start``.

        Without a position, reading to the end proves nothing: the append may still
        take effect. Only a record that decides the key settles the question.
        """
        ledger = self._follower.ledger

        def is_decided() -> bool:
            if position is not None:
                return ledger.position >= position.offset
            return ledger.decision(key).state is not ClaimState.UNCLAIMED

        remaining_s = max(0.0, deadline - self._timers.now())
        try:
            return await self._follower.wait_until(is_decided, remaining_s, prompt=True)
        except ClaimError:
            return False

    def _judge(
        self, key: ClaimKey, body_digest: bytes, token: str, position: Position | None
    ) -> StartReply:
        decision = self._follower.ledger.decision(key, body_digest)
        if self._owns(decision, token):
            return StartGranted(key, decision.position)
        if decision.state in (ClaimState.UNCLAIMED, ClaimState.EXPIRED):
            # A reader that knows more of the log may count this Start as the winner.
            self._give_up(key, token)
            if position is not None:
                self.withdraw(StartGranted(key, position))
            return StartRefused("key_expired", True)
        return StartLost(decision)

    def _owns(self, decision: ClaimDecision, token: str) -> bool:
        if decision.state is not ClaimState.STARTED:
            return False
        return (decision.incarnation, decision.token) == (self._incarnation, token)

    def _give_up(self, key: ClaimKey, token: str) -> None:
        if len(self._given_up) >= MAX_PENDING_WITHDRAWALS:
            self._count("withdrawal_dropped")
            return
        self._given_up[token] = key
        self._withdraw_given_up()

    def _withdraw_given_up(self) -> None:
        """Withdraw each given-up ``Start`` that the ledger shows as winner."""
        for token, key in list(self._given_up.items()):
            decision = self._follower.ledger.decision(key)
            if decision.state is ClaimState.UNCLAIMED:
                continue
            del self._given_up[token]
            if self._owns(decision, token):
                self.withdraw(StartGranted(key, decision.position))

    def _append_in_background(self, grant: StartGranted, record: ClaimRecord) -> None:
        if len(self._background) >= MAX_BACKGROUND_APPENDS:
            self._count("background_dropped")
            return
        work = self._append_until_decided(grant, record)
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _append_until_decided(
        self, grant: StartGranted, record: ClaimRecord
    ) -> None:
        """Append with retries; a repeated record has no effect in the ledger."""
        delay_s = RETRY_SECONDS
        while True:
            try:
                await self._appender.append(record)
                return
            except ClaimError:
                self._count("background_retry")
            await self._timers.sleep(delay_s)
            if self._follower.ledger.decision(grant.key).is_final:
                return
            delay_s = min(MAX_RETRY_SECONDS, 2 * delay_s)

    def _count(self, reason: str) -> None:
        self.counters[reason] = self.counters.get(reason, 0) + 1


class VoidCoordinator:
    """Rules out calls and waits for outcomes on behalf of one entry process.

    Parameters
    ----------
    appender : ClaimAppender
        Appends the records.
    follower : ClaimFollower
        Its ledger decides.
    timers : TimerService
        Clock of bounds and retries.
    host : str
        Name of the entry host, for diagnosis.
    """

    def __init__(
        self,
        appender: ClaimAppender,
        follower: ClaimFollower,
        timers: TimerService,
        *,
        host: str,
    ):
        self._appender = appender
        self._follower = follower
        self._timers = timers
        self._host = host

    async def void(
        self,
        key: ClaimKey,
        body_digest: bytes = b"",
        timeout_s: float = VOID_TIMEOUT_SECONDS,
    ) -> VoidReply:
        """Rule out every later call for the key, unless it was decided before.

        Only ``Voided``, or a decision with ``never_runs``, justifies ``not_run``. A
        log service that refuses is not waited for: the reply is ``Unknown`` with code
        ``log_unavailable``.
        """
        deadline = self._timers.now() + timeout_s
        while True:
            reply = self._reply(key, body_digest)
            if reply is not None:
                return reply
            code = await self._append_and_read(key, deadline)
            reply = self._reply(key, body_digest)
            if reply is not None:
                return reply
            is_late = self._timers.now() + RETRY_SECONDS >= deadline
            if is_late or code != "append_uncertain":
                return Unknown(code or "log_unavailable")
            await self._timers.sleep(RETRY_SECONDS)

    async def outcome(
        self, key: ClaimKey, wait_s: float, body_digest: bytes = b""
    ) -> ClaimDecision:
        """Wait up to ``wait_s`` for a final decision and return what is known.

        Raises
        ------
        ClaimError
            With code ``claims_overloaded`` if too many callers wait.
        """
        ledger = self._follower.ledger
        await self._follower.wait_until(lambda: ledger.decision(key).is_final, wait_s)
        return ledger.decision(key, body_digest)

    def _reply(self, key: ClaimKey, body_digest: bytes) -> VoidReply | None:
        decision = self._follower.ledger.decision(key, body_digest)
        if decision.state is ClaimState.UNCLAIMED:
            return None
        if decision.state is ClaimState.EXPIRED:
            return Unknown("key_expired")
        if decision.state is ClaimState.VOIDED:
            return Voided()
        return Decided(decision)

    async def _append_and_read(self, key: ClaimKey, deadline: float) -> str:
        """Append ``Void``, read to the end and return the code of a failed append."""
        record = Void(key.digest, key.stamp_ms, self._host)
        code = ""
        try:
            work = self._appender.append(record)
            await with_timeout(self._timers, work, self._remaining(deadline))
        except ClaimError as exc:
            code = exc.code
        except TimeoutError:
            code = "log_unavailable"
        with contextlib.suppress(ClaimError, TimeoutError):
            work = self._follower.read_to_end()
            await with_timeout(self._timers, work, self._remaining(deadline))
        return code

    def _remaining(self, deadline: float) -> float:
        return max(0.0, deadline - self._timers.now())
