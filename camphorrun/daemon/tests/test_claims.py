"""Tests of the claim metrics and of the default settings of claims."""

from ...claims import ClaimParticipant
from ...claims.batcher import APPENDS_PER_SECOND
from ...claims.stamps import KEY_LIFETIME_MS
from ...core import ManualTimerService, MemoryLog
from ...metrics import Metrics
from ...settings import ClaimSettings
from ..claims import OTHER_RESULT_LABEL, RESULT_LABELS, UPDATE_SECONDS, ClaimMetrics


class TestClaimMetrics:
    """Export of the claim counters with a bounded set of labels."""

    def test_counters_are_exported_once_and_labels_are_bounded(self):
        """Guards against lost or doubled counts and against unlisted labels."""
        timers = ManualTimerService()
        log = MemoryLog(timers)
        claims = ClaimParticipant(log, timers, host="h", incarnation="i")
        metrics = Metrics()
        ClaimMetrics(claims, metrics, timers)
        claims.starts.counters["StartRefused_key_expired"] = 2
        claims.ledger.counters["lost"] = 1
        claims.appender.counters.update({"bytes": 900, "code-of-the-log": 3})
        timers.advance(3 * UPDATE_SECONDS)
        claims.ledger.counters["lost"] = 4
        timers.advance(UPDATE_SECONDS)
        shown = {
            sample.labels["result"]: sample.value
            for family in metrics.claims.collect()
            for sample in family.samples
            if sample.name.endswith("_total")
        }
        assert shown == {
            "start_refused_key_expired": 2,
            "ledger_lost": 4,
            OTHER_RESULT_LABEL: 3,
        }
        assert shown.keys() - {OTHER_RESULT_LABEL} <= RESULT_LABELS

    def test_default_settings_are_those_of_the_claims(self):
        """Guards against daemons and tools that apply different key lifetimes."""
        assert ClaimSettings().appends_per_s == APPENDS_PER_SECOND
        assert ClaimSettings().key_lifetime_s * 1000 == KEY_LIFETIME_MS
