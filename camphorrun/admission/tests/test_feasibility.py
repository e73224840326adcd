"""Tests of the feasibility check before the first stage, and of retry detection."""

from .. import RetryDetector, check_feasibility


def check_start(predicted_s: float, wait_s: float, **fields):
    defaults = {"objective_left_s": 2.0, "deadline_left_s": 8.0, "is_retry": False}
    return check_feasibility(predicted_s, wait_s, **{**defaults, **fields})


class TestCheckFeasibility:
    """Refusals in a burst that exceeds the capacity of the stages."""

    def test_request_that_would_be_late_is_refused_at_once(self):
        """Guards against holding a late request until its caller gives up."""
        refused = check_start(3.0, 1.5)
        assert refused.code == "overloaded"
        assert refused.retry_after_s == 1.5

    def test_nothing_is_refused_without_queue_waits(self):
        """Guards against refusing requests while replicas are free."""
        assert check_start(3.0, 0.05) is None

    def test_retry_is_started_although_it_is_late(self):
        """Guards against refusing the same caller twice because of the backlog."""
        assert check_start(3.0, 1.5, objective_left_s=-1.0, is_retry=True) is None

    def test_retry_with_unreachable_deadline_is_refused(self):
        """Guards against starting work that would end after the deadline."""
        refused = check_start(3.0, 1.5, deadline_left_s=2.0, is_retry=True)
        assert refused.code == "deadline_unreachable"


class TestRetryDetector:
    """A retry has a shorter deadline than a first attempt of the same route."""

    @staticmethod
    def detector() -> RetryDetector:
        detector = RetryDetector()
        for route in ("r", "slow", "fast"):
            detector.expect_retry(route, 0.0)
        return detector

    def test_slightly_shorter_deadline_is_no_retry(self):
        """Guards against admitting first attempts as retries."""
        detector = self.detector()
        detector.is_retry("r", 8.0, 0.0)
        assert not detector.is_retry("r", 7.9, 0.0)
        assert detector.is_retry("r", 6.0, 0.0)

    def test_first_tries_differ_by_an_eighth(self):
        """Guards against taking three quarters of the first attempts for retries.

        Requests taken for retries were never refused for a backlog, however long.
        """
        detector = self.detector()
        detector.is_retry("r", 8.0, 0.0)
        assert not detector.is_retry("r", 7.0, 0.0)

    def test_routes_are_judged_separately(self):
        """Guards against comparing a deadline with those of another route."""
        detector = self.detector()
        detector.is_retry("slow", 8.0, 0.0)
        assert not detector.is_retry("fast", 1.5, 0.0)

    def test_short_deadlines_without_refusals_are_no_retries(self):
        """Guards against always admitting callers that set short deadlines."""
        detector = RetryDetector()
        deadlines = [8.0, 4.0, 2.0] * 100
        assert not any(detector.is_retry("r", d, 0.0) for d in deadlines)

    def test_no_more_retries_than_refused_callers(self):
        """Guards against a burst in which all short deadlines count as retries."""
        detector = RetryDetector()
        detector.is_retry("r", 8.0, 0.0)
        for _ in range(10):
            detector.expect_retry("r", 0.0)
        retries = [detector.is_retry("r", 4.0, 1.0) for _ in range(100)]
        assert sum(retries) == 10

    def test_refusals_expire_after_the_longest_deadline(self):
        """Guards against counting retries against refusals of an earlier overload."""
        detector = RetryDetector()
        detector.is_retry("r", 8.0, 0.0)
        detector.expect_retry("r", 0.0)
        assert not detector.is_retry("r", 4.0, 9.0)
