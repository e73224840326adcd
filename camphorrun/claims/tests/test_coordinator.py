"""Focused tests of claims by agents and voids by entries."""

import pytest

from ...core import AppendFault
from .. import (
    ClaimState,
    Decided,
    StartGranted,
    StartLost,
    StartRefused,
    Unknown,
    Voided,
)
from .world import BODY, World


@pytest.fixture
def world():
    world = World()
    yield world
    world.close()


class TestStartCoordinator:
    """An agent calls only if its own ``Start`` won."""

    def test_simultaneous_claims_have_one_winner(self, world):
        """Guards against two calls when two agents claim together."""
        agents = [world.process("a"), world.process("b")]
        key = world.key(1)
        works = [agent.starts.acquire(key, BODY, "t") for agent in agents]
        tasks = [world.loop.create_task(work) for work in works]
        world.settle()
        kinds = {type(task.result()) for task in tasks}
        assert kinds == {StartGranted, StartLost}

    def test_repeated_dispatch_is_not_granted_twice(self, world):
        """Guards against two calls when one dispatch arrives twice at an agent."""
        starts = world.process("a").starts
        key = world.key(1)
        tasks = [
            world.loop.create_task(starts.acquire(key, BODY, "t")) for _ in range(2)
        ]
        world.settle()
        assert [type(task.result()) for task in tasks] == [StartGranted, StartLost]

    def test_lost_reply_is_resolved_by_reading(self, world):
        """Guards against giving up a claim that won."""
        agent = world.process("a")
        world.log.append_faults.append(AppendFault.REPLY_LOST)
        reply = world.run(agent.starts.acquire(world.key(1), BODY, "t"))
        assert isinstance(reply, StartGranted) and reply.offset == 1

    def test_late_start_is_withdrawn(self, world):
        """Guards against a given-up ``Start`` that holds the key for ever."""
        agent = world.process("a")
        key = world.key(1)
        world.log.late_s = 5.0
        reply = world.run(agent.starts.acquire(key, BODY, "t"))
        assert reply == StartRefused("append_uncertain", uncertain=True)
        assert agent.starts.pending == 1
        world.advance(10)
        assert agent.ledger.decision(key).state is ClaimState.WITHDRAWN
        assert agent.starts.pending == 0

    def test_cancelled_claim_is_withdrawn(self, world):
        """Guards against a cancelled dispatch whose outcome stays unknown."""
        agent = world.process("a")
        key = world.key(1)
        world.log.delay_s = 0.5
        task = world.start(agent.starts.acquire(key, BODY, "t"))
        task.cancel()
        world.advance(5, steps=20)
        assert agent.ledger.decision(key).state is ClaimState.WITHDRAWN

    def test_refused_append_is_certain(self, world):
        """Guards against needless uncertainty when nothing was appended."""
        agent = world.process("a")
        world.log.available = False
        reply = world.run(agent.starts.acquire(world.key(1), BODY, "t"))
        assert reply == StartRefused("log_unavailable")

    def test_expired_key_is_refused(self, world):
        """Guards against a call under a key that readers have forgotten."""
        agent = world.process("a")
        key = world.key(1)
        world.advance(80)
        reply = world.run(agent.starts.acquire(key, BODY, "t"))
        assert not isinstance(reply, StartGranted)

    def test_outcome_survives_a_log_outage(self, world):
        """Guards against a finished call whose outcome is never recorded."""
        agent, entry = world.process("a"), world.process("e")
        key = world.key(1)
        grant = world.run(agent.starts.acquire(key, BODY, "t"))
        world.log.available = False
        world.call(agent.starts.finish, grant, True, "", b"x" * 3000)
        waiter = world.start(entry.voids.outcome(key, 30.0))
        world.advance(5)
        world.log.available = True
        world.advance(10)
        assert waiter.result().state is ClaimState.FINISHED
        assert waiter.result().result.data is None


class TestVoidCoordinator:
    """An entry says "not run" only when the log proves it."""

    def test_delayed_dispatch_finds_the_key_voided(self, world):
        """Guards against a call after the entry reported "not run"."""
        agent, entry = world.process("a"), world.process("e")
        key = world.key(1)
        assert world.run(entry.voids.void(key)) == Voided()
        reply = world.run(agent.starts.acquire(key, BODY, "t"))
        assert isinstance(reply, StartLost) and reply.decision.never_runs

    def test_started_key_is_not_voided(self, world):
        """Guards against "not run" for a call whose owner is paused."""
        agent, entry = world.process("a"), world.process("e")
        key = world.key(1)
        world.run(agent.starts.acquire(key, BODY, "t"))
        reply = world.run(entry.voids.void(key))
        assert isinstance(reply, Decided) and not reply.decision.never_runs

    def test_unavailable_log_means_unknown_at_once(self, world):
        """Guards against "not run" without proof, and against waiting for it."""
        entry = world.process("e")
        world.log.available = False
        task = world.start(entry.voids.void(world.key(1)))
        assert task.result() == Unknown("log_unavailable")

    @pytest.mark.parametrize("fault", list(AppendFault)[1:])
    def test_lost_reply_is_resolved(self, world, fault):
        """Guards against an unknown outcome when reading settles it."""
        entry = world.process("e")
        world.log.append_faults.append(fault)
        assert world.run(entry.voids.void(world.key(1))) == Voided()
