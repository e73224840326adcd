"""Tests of policy names on the command line."""

import pytest

from ...admission import admission_policy_by_name
from ...limits import queue_policy_by_name
from ...retries import hedging_policy_by_name, retry_budget_by_name
from ...routing import routing_policy_by_name
from ..policies import PLAIN, RECOMMENDED, VALUES, policy_from_text

BUILDERS = {
    "routing": routing_policy_by_name,
    "queue": queue_policy_by_name,
    "admission": admission_policy_by_name,
    "retries": retry_budget_by_name,
    "hedges": hedging_policy_by_name,
}


class TestPolicyNames:
    """Names on the command line are those that the daemons know."""

    def test_every_name_builds_a_policy(self):
        """Guards against a baseline that fails when the system starts."""
        assert set(VALUES) == set(BUILDERS)
        for field, names in VALUES.items():
            for name in names:
                assert BUILDERS[field](name) is not None

    @pytest.mark.parametrize("name", [PLAIN, RECOMMENDED])
    def test_combinations_build(self, name):
        """Guards against a combination with an unknown value."""
        policy = policy_from_text(name)
        for field, build in BUILDERS.items():
            build(getattr(policy, field))
