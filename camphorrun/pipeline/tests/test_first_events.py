"""Tests of the moving average of the time to first event."""

import pytest

from ...admission import check_feasibility
from .. import FirstEventTimes

SHORT, LONG = 700, 9000
# Times to first event of short and long prompts in one recorded load, in seconds.
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
    """Estimates for prompts of very different sizes at one service."""

    def test_prompt_sizes_have_separate_estimates(self):
        """Guards against one estimate for prompts of 700 and of 9000 tokens."""
        times = observed()
        assert times.expected_s("engine", SHORT) == pytest.approx(SHORT_SECONDS)
        assert times.expected_s("engine", LONG) == pytest.approx(LONG_SECONDS)

    def test_short_prompt_is_not_refused_by_times_of_long_ones(self):
        """Guards against refusing short prompts that would have been in time."""
        assert verdict(FirstEventTimes(), SHORT, 1.7) == "overloaded"
        assert verdict(observed(), SHORT, 1.7) == "admitted"

    def test_long_prompt_that_will_be_late_is_refused(self):
        """Guards against running stages for a prompt that cannot be read in time."""
        assert verdict(FirstEventTimes(), LONG, 1.5) == "admitted"
        assert verdict(observed(), LONG, 1.5) == "overloaded"

    def test_estimate_follows_a_change_of_load(self):
        """Guards against an estimate that stays at the times of an earlier load."""
        times = observed()
        for _ in range(30):
            times.observe("engine", SHORT, 0.5)
        assert times.expected_s("engine", SHORT) > 0.4
