"""Tests of refusals before any stage is spent."""

from .. import RetryDetector, check_feasibility


def check_start(predicted_s: float, wait_s: float, **fields):
    defaults = {"objective_left_s": 2.0, "deadline_left_s": 8.0, "is_retry": False}
    return check_feasibility(predicted_s, wait_s, **{**defaults, **fields})


class TestCheckFeasibility:
    """Bursts that stages can't take."""

    def test_request_that_would_be_late_is_refused_at_once(self):
        """Guards against requests that are held until their callers leave."""
        refused = check_start(3.0, 1.5)
        assert refused.code == "overloaded"
        assert refused.retry_after_s == 1.5

    def test_nothing_is_refused_while_nothing_waits(self):
        """Guards against refusals while replicas are free."""
        assert check_start(3.0, 0.05) is None

    def test_returning_request_is_started_although_it_is_late(self):
        """Guards against a caller that is refused twice."""
        assert check_start(3.0, 1.5, objective_left_s=-1.0, is_retry=True) is None

    def test_unreachable_deadline_is_refused_even_for_a_returning_request(self):
        """Guards against work that ends after the deadline."""
        refused = check_start(3.0, 1.5, deadline_left_s=2.0, is_retry=True)
        assert refused.code == "deadline_unreachable"


class TestRetryDetector:
    """Repeats have less time than first tries."""

    @staticmethod
    def detector() -> RetryDetector:
        detector = RetryDetector()
        for route in ("r", "slow", "fast"):
            detector.expect_retry(route, 0.0)
        return detector

    def test_small_differences_are_no_repeat(self):
        """Guards against newcomers that pass the admission as repeats."""
        detector = self.detector()
        detector.is_retry("r", 8.0, 0.0)
        assert not detector.is_retry("r", 7.9, 0.0)
        assert detector.is_retry("r", 6.0, 0.0)

    def test_first_tries_differ_by_an_eighth(self):
        """Guards against three quarters of all newcomers judged as repeats.

        They were never refused for a backlog, whatever it was.
        """
        detector = self.detector()
        detector.is_retry("r", 8.0, 0.0)
        assert not detector.is_retry("r", 7.0, 0.0)

    def test_routes_are_apart(self):
        """Guards against a short deadline of one route judged by another one."""
        detector = self.detector()
        detector.is_retry("slow", 8.0, 0.0)
        assert not detector.is_retry("fast", 1.5, 0.0)

    def test_callers_with_short_deadlines_are_no_repeats(self):
        """Guards against a class of callers that always passes the admission."""
        detector = RetryDetector()
        deadlines = [8.0, 4.0, 2.0] * 100
        assert not any(detector.is_retry("r", d, 0.0) for d in deadlines)

    def test_no_more_repeats_than_callers_turned_away(self):
        """Guards against a burst in which short deadlines go before all others."""
        detector = RetryDetector()
        detector.is_retry("r", 8.0, 0.0)
        for _ in range(10):
            detector.expect_retry("r", 0.0)
        repeats = [detector.is_retry("r", 4.0, 1.0) for _ in range(100)]
        assert sum(repeats) == 10

    def test_callers_who_stay_away_are_forgotten(self):
        """Guards against short deadlines judged by an overload of long ago."""
        detector = RetryDetector()
        detector.is_retry("r", 8.0, 0.0)
        detector.expect_retry("r", 0.0)
        assert not detector.is_retry("r", 4.0, 9.0)
