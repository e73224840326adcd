"""Tests of the observed times to first events."""

import pytest

from ...admission import check_feasibility
from .. import FirstEventTimes

SHORT, LONG = 700, 9000
# Times of one run of the further customer's load, in seconds.
SHORT_SECONDS, LONG_SECONDS = 0.05, 0.6


def observed() -> FirstEventTimes:
    times = FirstEventTimes()
    for _ in range(30):
        times.observe("engine", SHORT, SHORT_SECONDS)
        times.observe("engine", LONG, LONG_SECONDS)
    return times


def verdict(times: FirstEventTimes, tokens: int, stages_s: float) -> str:
    total_s = stages_s + times.expected_s("engine", tokens)
    refused = check_feasibility(
        total_s, 0.5, objective_left_s=1.8, deadline_left_s=6.0, is_retry=False
    )
    return refused.code if refused else "admitted"


class TestFirstEventTimes:
    """Prompts of very different sizes at one service."""

    def test_sizes_are_told_apart(self):
        """Guards against one guess for prompts of a few hundred and many thousands."""
        times = observed()
        assert times.expected_s("engine", SHORT) == pytest.approx(SHORT_SECONDS)
        assert times.expected_s("engine", LONG) == pytest.approx(LONG_SECONDS)

    def test_short_prompts_are_not_refused_for_long_ones(self):
        """Guards against refusals of requests that would have been in time."""
        assert verdict(FirstEventTimes(), SHORT, 1.7) == "overloaded"
        assert verdict(observed(), SHORT, 1.7) == "admitted"

    def test_long_prompts_that_will_be_late_are_refused(self):
        """Guards against stages made for a prompt that can't be read in time."""
        assert verdict(FirstEventTimes(), LONG, 1.5) == "admitted"
        assert verdict(observed(), LONG, 1.5) == "overloaded"

    def test_change_is_followed(self):
        """Guards against a memory of times before the load changed."""
        times = observed()
        for _ in range(30):
            times.observe("engine", SHORT, 0.5)
        assert times.expected_s("engine", SHORT) > 0.4
