"""Tests of the agent's worker: duplicates, resumption, refusals, claims, drain."""

import asyncio
import contextlib
import dataclasses

import pytest

from ...claims import (
    ClaimAppender,
    ClaimFollower,
    ClaimLedger,
    StartCoordinator,
    VoidCoordinator,
    claim_key,
    new_key_prefix,
    parse_claim_key,
)
from ...clients import EndpointError
from ...core import LoopTimerService, MemoryLog
from ...limits import ConcurrencyLimit, StageQueue
from ...messages import (
    AttemptId,
    AttemptUnknown,
    Cancel,
    ClaimLost,
    Dispatch,
    Hello,
    KeyRing,
    NotStarted,
    ResultAck,
    ResultEnd,
    ResultPart,
    Resume,
    SharedKey,
)
from ...metrics import Metrics
from ..attempts import AttemptStore
from ..outcome_store import OutcomeStore
from ..worker import AgentWorker, send_part

_RING = KeyRing((SharedKey(1, b"k" * 16),))
_BODY = "ab" * 16


class _Link:
    """Collects what the worker sends."""

    def __init__(self):
        self.peer = Hello("entry-1", "a", "entry", "entry-inc", b"")
        self.sent: list[object] = []

    def send(self, message: object) -> None:
        self.sent.append(message)

    def last(self) -> object:
        return self.sent[-1]


class _Runner:
    """Stands in for the endpoint; each call waits for ``release``."""

    def __init__(self):
        self.calls: list[Dispatch] = []
        self.cancelled = 0
        self.release = asyncio.Event()
        self.error: EndpointError | None = None

    async def run(self, record, fencing_token: int) -> ResultEnd:
        self.calls.append(record.dispatch)
        attempt = record.dispatch.attempt
        if record.dispatch.stream:
            for sequence in range(3):
                part = ResultPart(attempt, sequence, b"x")
                record.add_part(part)
                send_part(record, part)
        await self.release.wait()
        if self.error is not None:
            raise self.error
        return ResultEnd(attempt, ok=True, parts=len(record.parts), data=b"1")

    async def cancel(self, record) -> None:
        self.cancelled += 1


class _World:
    """A worker with its log."""

    def __init__(self, incarnation: str = "agent-inc", log: MemoryLog | None = None):
        self.timers = LoopTimerService()
        self.log = log or MemoryLog(self.timers)
        self.runner = _Runner()
        self.link = _Link()
        self.follower = ClaimFollower(self.log, ClaimLedger(), self.timers)
        self.appender = ClaimAppender(self.log, self.timers)
        claims = StartCoordinator(
            self.appender,
            self.follower,
            self.timers,
            host="agent-1",
            incarnation=incarnation,
        )
        self.worker = AgentWorker(
            incarnation,
            self.runner,
            claims,
            queue=StageQueue(capacity=4),
            limit=ConcurrencyLimit(2),
            store=AttemptStore(30.0, 1 << 20),
            outcomes=OutcomeStore(),
            timers=self.timers,
            metrics=Metrics(),
        )

    async def prefix(self) -> str:
        await self.follower.read_to_end()
        return new_key_prefix(_RING, max(1, self.follower.ledger.log_time_ms))

    def dispatch(self, number: int = 1, **changes) -> Dispatch:
        fields = {
            "attempt": AttemptId("req-1", 0, number),
            "incarnation": "agent-inc",
            "service": "s",
            "operation": "op",
            "model": "",
            "account": "a",
            "priority": 1,
            "idempotent": True,
            "remaining_s": 30.0,
            "payload": b"{}",
        }
        return Dispatch(**{**fields, **changes})

    def send(self, message: object, link: _Link | None = None) -> None:
        self.worker.handle(message, link or self.link)

    async def until(self, predicate) -> None:
        async with asyncio.timeout(10):
            while not predicate():
                await asyncio.sleep(0.005)

    async def final(self, link: _Link | None = None) -> object:
        link = link or self.link
        kinds = (ResultEnd, NotStarted, ClaimLost)
        await self.until(lambda: any(isinstance(m, kinds) for m in link.sent))
        return next(m for m in link.sent if isinstance(m, kinds))


def _run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 20))


class TestDuplicates:
    """A dispatch that arrives twice runs once."""

    def test_second_copy_does_not_run(self):
        """Guards against a stage that runs twice for one attempt."""

        async def scenario():
            world = _World()
            world.send(world.dispatch())
            world.send(world.dispatch())
            await world.until(lambda: world.runner.calls)
            world.runner.release.set()
            await world.final()
            assert len(world.runner.calls) == 1

        _run(scenario)

    def test_copy_after_acknowledgement_does_not_run(self):
        """Guards against a late copy from a connection that was silent."""

        async def scenario():
            world = _World()
            world.runner.release.set()
            world.send(world.dispatch())
            await world.final()
            world.send(ResultAck(AttemptId("req-1", 0, 1)))
            world.send(world.dispatch())
            assert isinstance(world.link.last(), AttemptUnknown)
            assert len(world.runner.calls) == 1

        _run(scenario)


class TestOrder:
    """Queued work is served in the order that documents state."""

    def test_priority_0_is_served_first(self):
        """Guards against a queue that serves the least important callers first."""

        async def scenario():
            world = _World()
            for number, priority in enumerate((1, 1, 3, 2, 0), start=1):
                world.send(world.dispatch(number, priority=priority))
            await world.until(lambda: len(world.runner.calls) == 2)
            world.runner.release.set()
            await world.until(lambda: len(world.runner.calls) == 5)
            served = [call.priority for call in world.runner.calls]
            assert served == [1, 1, 0, 2, 3]

        _run(scenario)


class TestResume:
    """A new link receives exactly what the entry misses."""

    def test_missing_parts_are_sent_on_the_new_link(self):
        """Guards against lost or doubled parts after a reconnection."""

        async def scenario():
            world = _World()
            world.send(world.dispatch(stream=True))
            await world.until(lambda: len(world.link.sent) == 3)
            fresh = _Link()
            world.send(Resume(AttemptId("req-1", 0, 1), "agent-inc", 1), fresh)
            assert [part.sequence for part in fresh.sent] == [1, 2]
            world.runner.release.set()
            final = await world.final(fresh)
            assert (final.ok, final.parts) == (True, 3)

        _run(scenario)

    def test_unknown_attempt_is_refused_for_good(self):
        """Guards against a dispatch that runs after it was reported unknown."""

        async def scenario():
            world = _World()
            world.send(Resume(AttemptId("req-1", 0, 1), "agent-inc", 0))
            assert isinstance(world.link.last(), AttemptUnknown)
            world.send(world.dispatch())
            assert isinstance(world.link.last(), AttemptUnknown)
            assert world.runner.calls == []

        _run(scenario)


class TestRefusals:
    """Refused work never runs."""

    @pytest.mark.parametrize(
        ("changes", "code"),
        [
            ({"incarnation": "another"}, "stale_incarnation"),
            ({"remaining_s": -1.0}, "deadline_unreachable"),
            ({"downstream_s": 60.0}, "deadline_unreachable"),
        ],
    )
    def test_dispatch_is_refused(self, changes, code):
        """Guards against work for a replaced process or beyond its deadline."""

        async def scenario():
            world = _World()
            world.send(world.dispatch(**changes))
            assert world.link.last().code == code
            world.send(world.dispatch())
            assert isinstance(world.link.last(), AttemptUnknown)

        _run(scenario)

    def test_draining_refuses_new_work_and_finishes_old(self):
        """Guards against a drain that cuts off work or accepts more."""

        async def scenario():
            world = _World()
            world.send(world.dispatch(1))
            await world.until(lambda: world.runner.calls)
            world.worker.refuse_new_work("draining")
            world.send(world.dispatch(2))
            assert world.link.last().code == "draining"
            world.runner.release.set()
            await world.until(lambda: isinstance(world.link.last(), ResultEnd))
            assert world.link.last().ok

        _run(scenario)

    def test_full_queue_refuses(self):
        """Guards against a queue without a bound."""

        async def scenario():
            world = _World()
            for number in range(1, 8):
                world.send(world.dispatch(number))
            codes = [m.code for m in world.link.sent if isinstance(m, NotStarted)]
            assert codes == ["queue_full"]

        _run(scenario)


class TestCancel:
    """A cancelled attempt stops, except a non-idempotent call."""

    def test_idempotent_call_is_cancelled_at_the_endpoint(self):
        """Guards against work for a caller that has gone."""

        async def scenario():
            world = _World()
            world.send(world.dispatch())
            await world.until(lambda: world.runner.calls)
            world.send(Cancel(AttemptId("req-1", 0, 1)))
            final = await world.final()
            assert (final.code, world.runner.cancelled) == ("cancelled", 1)

        _run(scenario)

    def test_cancel_before_the_dispatch_wins(self):
        """Guards against a dispatch that overtakes its cancellation."""

        async def scenario():
            world = _World()
            world.send(Cancel(AttemptId("req-1", 0, 1)))
            world.send(world.dispatch())
            assert isinstance(world.link.last(), AttemptUnknown)

        _run(scenario)


class TestClaims:
    """The log decides whether a non-idempotent call may run."""

    @staticmethod
    async def _claimed(world: _World, number: int = 1) -> Dispatch:
        prefix = await world.prefix()
        key = str(claim_key(_RING, "a", f"{prefix}.k", "charge"))
        return world.dispatch(number, idempotent=False, key=key, body_digest=_BODY)

    def test_second_agent_does_not_run_the_same_key(self):
        """Guards against a doubled charge through two agents."""

        async def scenario():
            first = _World()
            second = _World("other-inc", first.log)
            dispatch = await self._claimed(first)
            for world in (first, second):
                world.runner.release.set()
            first.send(dispatch)
            second.send(dataclasses.replace(dispatch, incarnation="other-inc"))
            finals = [await first.final(), await second.final()]
            assert len(first.runner.calls) + len(second.runner.calls) == 1
            assert {type(final) for final in finals} == {ResultEnd, ClaimLost}

        _run(scenario)

    def test_voided_key_never_runs(self):
        """Guards against a call after its caller was told "not run"."""

        async def scenario():
            world = _World()
            dispatch = await self._claimed(world)
            voids = VoidCoordinator(
                world.appender, world.follower, world.timers, host="entry-1"
            )
            await voids.void(parse_claim_key(dispatch.key))
            world.send(dispatch)
            assert isinstance(await world.final(), ClaimLost)
            assert world.runner.calls == []

        _run(scenario)

    def test_unavailable_log_refuses(self):
        """Guards against a call without a claim."""

        async def scenario():
            world = _World()
            dispatch = await self._claimed(world)
            world.log.available = False
            world.send(dispatch)
            final = await world.final()
            assert isinstance(final, NotStarted)
            assert world.runner.calls == []

        _run(scenario)

    def test_call_runs_on_after_cancellation(self):
        """Guards against a charge whose outcome is thrown away."""

        async def scenario():
            world = _World()
            world.send(await self._claimed(world))
            await world.until(lambda: world.runner.calls)
            world.send(Cancel(AttemptId("req-1", 0, 1)))
            world.runner.release.set()
            assert (await world.final()).ok

        _run(scenario)

    def test_endpoint_that_did_not_execute_withdraws_the_claim(self):
        """Guards against "outcome unknown" where nothing ran."""

        async def scenario():
            world = _World()
            world.runner.error = EndpointError("down", executed=False)
            world.runner.release.set()
            dispatch = await self._claimed(world)
            world.send(dispatch)
            await world.final()
            key = parse_claim_key(dispatch.key)
            ledger = world.follower.ledger
            with contextlib.suppress(TimeoutError):
                await world.follower.wait_until(
                    lambda: ledger.decision(key).never_runs, 5.0, prompt=True
                )
            assert ledger.decision(key).never_runs

        _run(scenario)
