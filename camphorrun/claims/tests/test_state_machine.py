"""Agents and entries that claim the same keys under faults at every step."""

from collections import Counter

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ...core import AppendFault
from .. import ClaimState, StartGranted, Voided
from .world import BODY, OTHER_BODY, World

PICK = st.integers(0, 5)
SECONDS = st.sampled_from((0.1, 0.5, 3.0, 20.0, 70.0))


class ClaimMachine(RuleBasedStateMachine):
    """At most one call per key, none after "not run", and readers that agree."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.agents = [self.world.process(f"agent-{n}") for n in range(3)]
        self.entries = [self.world.process(f"entry-{n}") for n in range(2)]
        self.keys = [self.world.key(0)]
        self.claims = []
        self.voids = []
        self.grants = []
        self.calls = Counter()
        self.not_run = set()
        self.seen = {}

    def teardown(self):
        self.world.close()

    @precondition(lambda self: len(self.keys) < 6)
    @rule()
    def issue_key(self):
        self.keys.append(self.world.key(len(self.keys)))

    @rule(key=PICK, agent=PICK, is_other_body=st.booleans(), copies=st.integers(1, 2))
    def dispatch(self, key, agent, is_other_body, copies):
        """Deliver a dispatch, however late; two copies claim at the same moment."""
        body = OTHER_BODY if is_other_body else BODY
        key = self.keys[key % len(self.keys)]
        for n in range(copies):
            process = self.agents[(agent + n) % len(self.agents)]
            work = process.starts.acquire(key, body, "attempt-1")
            self.claims.append((process, self.world.loop.create_task(work)))
        self.world.settle()

    @precondition(lambda self: self.grants)
    @rule(pick=PICK, has_finish=st.booleans())
    def call(self, pick, has_finish):
        """Make a granted call, after a pause of any length."""
        process, grant = self.grants.pop(pick % len(self.grants))
        self.calls[grant.key] += 1
        if has_finish:
            self.world.call(process.starts.finish, grant, True, "", b"done")

    @precondition(lambda self: self.grants)
    @rule(pick=PICK)
    def withdraw(self, pick):
        process, grant = self.grants.pop(pick % len(self.grants))
        self.world.call(process.starts.withdraw, grant)

    @precondition(lambda self: self.claims)
    @rule(pick=PICK)
    def cancel(self, pick):
        self.claims.pop(pick % len(self.claims))[1].cancel()
        self.world.settle()

    @rule(agent=PICK)
    def replace_agent(self, agent):
        """Kill an agent, before or after its calls, and start another one."""
        index = agent % len(self.agents)
        dead = self.agents[index]
        for _, task in (claim for claim in self.claims if claim[0] is dead):
            task.cancel()
        self.claims = [claim for claim in self.claims if claim[0] is not dead]
        self.grants = [grant for grant in self.grants if grant[0] is not dead]
        self.world.kill(dead)
        self.agents[index] = self.world.process(f"agent-{len(self.seen)}-{agent}-n")

    @rule(entry=PICK, key=PICK)
    def void(self, entry, key):
        key = self.keys[key % len(self.keys)]
        work = self.entries[entry % len(self.entries)].voids.void(key)
        self.voids.append((key, self.world.loop.create_task(work)))
        self.world.settle()

    @rule(fault=st.sampled_from(AppendFault), late_s=st.sampled_from((0.0, 0.3, 9.0)))
    def fault(self, fault, late_s):
        self.world.log.append_faults.append(fault)
        self.world.log.late_s = late_s

    @rule(available=st.booleans(), delay_s=st.sampled_from((0.0, 0.01, 0.4, 2.5)))
    def degrade(self, available, delay_s):
        self.world.log.available = available
        self.world.log.delay_s = delay_s

    @rule(seconds=SECONDS, has_expiry=st.booleans())
    def advance(self, seconds, has_expiry):
        self.world.advance(seconds)
        if has_expiry:
            self.world.log.expire()

    @invariant()
    def collect(self):
        """Take the replies that have arrived."""
        for claim in [claim for claim in self.claims if claim[1].done()]:
            self.claims.remove(claim)
            if isinstance(claim[1].result(), StartGranted):
                self.grants.append((claim[0], claim[1].result()))
        for void in [void for void in self.voids if void[1].done()]:
            self.voids.remove(void)
            reply = void[1].result()
            decision = getattr(reply, "decision", None)
            if isinstance(reply, Voided) or (decision and decision.never_runs):
                self.not_run.add(void[0])

    @invariant()
    def is_called_at_most_once(self):
        assert all(count == 1 for count in self.calls.values())

    @invariant()
    def not_run_is_true(self):
        granted = {grant.key for _, grant in self.grants}
        assert not self.not_run & (self.calls.keys() | granted)

    @invariant()
    def readers_agree(self):
        for process in self.world.processes:
            for key in self.keys:
                found = process.ledger.decision(key)
                if found.state is not ClaimState.EXPIRED:
                    place = (process.ledger.position, key)
                    assert self.seen.setdefault(place, found) == found


# Without shrinking: a failing run is short enough to read and stays within seconds.
ClaimMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    database=None,
    phases=(Phase.generate,),
)


class TestClaimMachine(ClaimMachine.TestCase):
    """Guards against a second call, a wrong "not run" and readers that differ."""
