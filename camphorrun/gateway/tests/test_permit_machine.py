"""State machine test of permits with lost calls, restarts and different memberships."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from .permit_fleet import (
    COUNT,
    EXTRA_REQUESTS,
    RATE_FACTOR,
    WINDOW_SECONDS,
    FakeGateway,
    Fleet,
)

GATEWAYS = st.integers(0, COUNT - 1)


class PermitMachine(RuleBasedStateMachine):
    """Compares what all gateways send with the limit.

    Guards against two owners that grant the whole limit each, while gateways restart,
    see different members, or lose orders or replies.
    """

    limit_per_s = 3.0

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.members = set(range(COUNT))
        self.fleet.set_up(self.limit_per_s)

    @rule(seconds=st.floats(0.1, 6.0))
    def run_for(self, seconds):
        self.fleet.run(seconds)

    @rule(source=GATEWAYS, receiver=GATEWAYS, replies_only=st.booleans())
    def lose_calls(self, source, receiver, replies_only):
        lost = self.fleet.lost_replies if replies_only else self.fleet.lost_orders
        lost.add((source, receiver))

    @rule()
    def heal(self):
        self.fleet.lost_orders.clear()
        self.fleet.lost_replies.clear()

    @rule(number=GATEWAYS)
    def leave(self, number):
        if len(self.members) > COUNT - 2:
            self.members.discard(number)

    @rule(number=GATEWAYS)
    def join(self, number):
        self.members.add(number)

    @rule(number=GATEWAYS)
    def see_members(self, number):
        self.fleet.set_members(number, self.members | {number})

    @rule(number=GATEWAYS)
    def stop(self, number):
        if len(self.fleet.stopped) < COUNT - 1:
            self.fleet.stopped.add(number)

    @rule(number=GATEWAYS)
    def restart(self, number):
        self.fleet.stopped.discard(number)
        self.fleet.gateways[number] = FakeGateway(self.fleet, number)
        self.fleet.set_members(number, self.members | {number})
        self.fleet.state_limit(number, self.limit_per_s)

    @invariant()
    def limit_is_kept(self):
        allowed = RATE_FACTOR * WINDOW_SECONDS * self.limit_per_s + EXTRA_REQUESTS
        assert self.fleet.most_in_window() <= allowed


class LowLimitPermitMachine(PermitMachine):
    """The same at a limit at which single requests decide."""

    limit_per_s = 1.0


class HighLimitPermitMachine(PermitMachine):
    """The same at a limit at which the rate decides."""

    limit_per_s = 20.0


for machine in (PermitMachine, LowLimitPermitMachine, HighLimitPermitMachine):
    machine.TestCase.settings = settings(
        max_examples=25,
        stateful_step_count=25,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )

TestPermits = PermitMachine.TestCase
TestPermitsOfLowLimit = LowLimitPermitMachine.TestCase
TestPermitsOfHighLimit = HighLimitPermitMachine.TestCase
