"""Agents and entries that claim the same keys under faults at every step."""

from collections import Counter
from itertools import count

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ...core import AppendFault
from .. import ClaimState, StartGranted, Voided
from .world import BODY, OTHER_BODY, World

PICK = st.integers(0, 3)
FAULTS = st.lists(st.sampled_from(AppendFault), max_size=1)
LATE = st.sampled_from((0.0, 0.0, 0.3, 9.0))
TURNS = st.integers(0, 14)
DELAYS = st.sampled_from((0.0, 0.01, 0.4, 2.5))
SECONDS = st.sampled_from((0.1, 0.5, 3.0, 20.0, 70.0))


class ClaimMachine(RuleBasedStateMachine):
    """At most one call per key, none after "not run", and readers that agree."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.numbers = count()
        self.agents = [self.world.process(f"a-{next(self.numbers)}") for _ in "ab"]
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

    @rule()
    def issue_key(self):
        self.keys.append(self.world.key(len(self.keys)))

    def pick_key(self, pick):
        return self.keys[-1 - pick % len(self.keys)]

    @rule(key=PICK, agent=PICK, body=st.sampled_from((BODY, OTHER_BODY)))
    def dispatch(self, key, agent, body):
        """Deliver a dispatch, however late."""
        process = self.agents[agent % 2]
        work = process.starts.acquire(self.pick_key(key), body, "attempt-1")
        self.claims.append((process, self.world.start(work, settles=False)))

    @rule(entry=PICK, key=PICK)
    def void(self, entry, key):
        key = self.pick_key(key)
        work = self.entries[entry % 2].voids.void(key)
        self.voids.append((key, self.world.start(work, settles=False)))

    @rule(
        order=st.permutations("ssvv"),
        faults=FAULTS,
        delay_s=DELAYS,
        turns=TURNS,
        late_s=LATE,
    )
    def race(self, order, faults, delay_s, turns, late_s):
        """Claim and void a new key at nearly the same moment."""
        self.world.settle()
        self.degrade(True, delay_s, late_s, faults)
        self.issue_key()
        for n, kind in enumerate(order):
            if kind == "v":
                self.void(n, 0)
            else:
                self.dispatch(0, agent=n // 2, body=BODY)
            self.world.settle(turns)
            self.collect()
        self.advance(0.5)

    @precondition(lambda self: self.grants)
    @rule(pick=PICK, step=st.sampled_from(("call and die", "call", "withdraw")))
    def use_grant(self, pick, step):
        """Call or withdraw, after a pause of any length."""
        process, grant = self.grants.pop(pick % len(self.grants))
        if step == "withdraw":
            return self.world.call(process.starts.withdraw, grant)
        self.calls[grant.key] += 1
        if step == "call":
            self.world.call(process.starts.finish, grant, True, "", b"done")

    @precondition(lambda self: self.claims)
    @rule(pick=PICK)
    def cancel(self, pick):
        self.claims.pop(pick % len(self.claims))[1].cancel()
        self.world.settle()

    @rule(agent=PICK)
    def replace_agent(self, agent):
        """Kill an agent, before or after its calls, and start another one."""
        dead = self.agents[agent % 2]
        for task in [task for owner, task in self.claims if owner is dead]:
            task.cancel()
        self.claims = [claim for claim in self.claims if claim[0] is not dead]
        self.grants = [grant for grant in self.grants if grant[0] is not dead]
        self.world.kill(dead)
        self.agents[agent % 2] = self.world.process(f"agent-{next(self.numbers)}")

    @rule(available=st.booleans(), delay_s=DELAYS, late_s=LATE, faults=FAULTS)
    def degrade(self, available, delay_s, late_s, faults):
        log = self.world.log
        log.available, log.delay_s, log.late_s = available, delay_s, late_s
        log.append_faults[:] = faults

    @rule(seconds=SECONDS)
    def advance(self, seconds):
        self.world.advance(seconds)
        self.world.log.expire()

    @invariant()
    def collect(self):
        """Take the replies that have arrived."""
        done = [(owner, task) for owner, task in self.claims if task.done()]
        replies = [(owner, task.result()) for owner, task in done]
        self.grants += [pair for pair in replies if isinstance(pair[1], StartGranted)]
        self.claims = [pair for pair in self.claims if pair not in done]
        for key, task in [pair for pair in self.voids if pair[1].done()]:
            self.voids.remove((key, task))
            decision = getattr(task.result(), "decision", None)
            if isinstance(task.result(), Voided) or (decision and decision.never_runs):
                self.not_run.add(key)

    @invariant()
    def is_called_at_most_once(self):
        assert max(self.calls.values(), default=1) == 1

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
    max_examples=100,
    stateful_step_count=20,
    deadline=None,
    database=None,
    phases=(Phase.generate,),
)


class TestClaimMachine(ClaimMachine.TestCase):
    """Guards against a second call, a wrong "not run" and readers that differ."""
