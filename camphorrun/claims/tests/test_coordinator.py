"""Focused tests of claims by agents and voids by entries."""

import pytest

from ... import claims
from ...core import AppendFault
from .world import BODY


class TestStartCoordinator:
    """An agent calls only if its own ``Start`` won."""

    def test_repeated_dispatch_is_not_granted_twice(self, world):
        """Guards against two calls when one dispatch arrives twice at an agent."""
        works = [world.agent.starts.acquire(world.key(1), BODY, "t") for _ in "ab"]
        tasks = [world.start(work, settles=False) for work in works]
        world.settle()
        kinds = [type(task.result()) for task in tasks]
        assert kinds == [claims.StartGranted, claims.StartLost]

    def test_lost_reply_is_resolved_by_reading(self, world):
        """Guards against giving up a claim that won."""
        world.log.append_faults.append(AppendFault.REPLY_LOST)
        reply = world.claim(world.key(1))
        assert isinstance(reply, claims.StartGranted) and reply.offset == 1

    def test_late_start_is_withdrawn(self, world):
        """Guards against a given-up ``Start`` that holds the key permanently."""
        key = world.key(1)
        world.log.late_s = 5.0
        reply = world.claim(key)
        assert reply == claims.StartRefused("append_uncertain", uncertain=True)
        assert world.agent.starts.pending == 1
        world.advance(10)
        assert world.agent.ledger.decision(key).state is claims.ClaimState.WITHDRAWN
        assert world.agent.starts.pending == 0

    def test_cancelled_claim_is_withdrawn(self, world):
        """Guards against a cancelled dispatch whose outcome stays unknown."""
        key = world.key(1)
        world.log.delay_s = 0.5
        task = world.start(world.agent.starts.acquire(key, BODY, "t"))
        task.cancel()
        world.advance(5, steps=20)
        assert world.agent.ledger.decision(key).state is claims.ClaimState.WITHDRAWN

    def test_refused_append_is_certain(self, world):
        """Guards against needless uncertainty when nothing was appended."""
        world.log.available = False
        reply = world.claim(world.key(1))
        assert reply == claims.StartRefused("log_unavailable")

    def test_expired_key_is_refused(self, world):
        """Guards against a call under a key that readers have forgotten."""
        key = world.key(1)
        world.advance(80)
        reply = world.claim(key)
        assert not isinstance(reply, claims.StartGranted)

    def test_outcome_survives_a_log_outage(self, world):
        """Guards against a finished call whose outcome is never recorded."""
        key = world.key(1)
        grant = world.claim(key)
        world.log.available = False
        world.call(world.agent.starts.finish, grant, True, "", b"x" * 3000)
        waiter = world.start(world.entry.voids.outcome(key, 30.0))
        world.advance(5)
        world.log.available = True
        world.advance(10)
        assert waiter.result().state is claims.ClaimState.FINISHED
        assert waiter.result().result.data is None


class TestVoidCoordinator:
    """An entry says "not run" only when the log proves it."""

    def test_delayed_dispatch_finds_the_key_voided(self, world):
        """Guards against a call after the entry reported "not run"."""
        key = world.key(1)
        assert world.run(world.entry.voids.void(key)) == claims.Voided()
        reply = world.claim(key)
        assert isinstance(reply, claims.StartLost) and reply.decision.never_runs

    def test_started_key_is_not_voided(self, world):
        """Guards against "not run" for a call whose owner is paused."""
        key = world.key(1)
        world.claim(key)
        reply = world.run(world.entry.voids.void(key))
        assert isinstance(reply, claims.Decided) and not reply.decision.never_runs

    def test_unavailable_log_means_unknown_at_once(self, world):
        """Guards against "not run" without proof, and against waiting for it."""
        world.log.available = False
        task = world.start(world.entry.voids.void(world.key(1)))
        assert task.result() == claims.Unknown("log_unavailable")

    @pytest.mark.parametrize("fault", list(AppendFault)[1:])
    def test_lost_reply_is_resolved(self, world, fault):
        """Guards against an unknown outcome when reading settles it."""
        world.log.append_faults.append(fault)
        assert world.run(world.entry.voids.void(world.key(1))) == claims.Voided()

    def test_late_void_is_unknown(self, world):
        """Guards against "not run" before the ``Void`` is in the log."""
        world.log.late_s = 9.0
        world.log.append_faults += [AppendFault.LOST_BEFORE_EFFECT] * 30
        reply = world.run(world.entry.voids.void(world.key(1)))
        assert reply == claims.Unknown("append_uncertain")
