"""Claim participant of a daemon, and the metrics of its counters."""

from ..claims import ClaimParticipant
from ..core import LogStore, TimerService
from ..metrics import Metrics
from ..settings import AgentSettings, EntrySettings

UPDATE_SECONDS = 1.0
OTHER_RESULT_LABEL = "other"
# Complete list of label values, so that codes of the log service can't add series;
# others are counted as ``OTHER_RESULT_LABEL``.
RESULT_LABELS = frozenset(
    {
        "appender_appends",
        "appender_append_uncertain",
        "appender_log_unavailable",
        "appender_records",
        "appender_refused",
        "follower_pages",
        "follower_read_failed",
        "follower_refused",
        "follower_wait_expired",
        "ledger_before_horizon",
        "ledger_late",
        "ledger_lost",
        "ledger_result_dropped",
        "ledger_unreadable",
        "ledger_without_effect",
        "start_background_dropped",
        "start_background_retry",
        "start_granted",
        "start_lost",
        "start_refused_append_uncertain",
        "start_refused_claims_overloaded",
        "start_refused_key_expired",
        "start_refused_log_unavailable",
        "start_withdrawal_dropped",
    }
)
# Counters of sizes, which are not results.
_EXCLUDED_LABELS = frozenset({"appender_bytes"})


def build_claim_participant(
    log: LogStore,
    timers: TimerService,
    settings: AgentSettings | EntrySettings,
    incarnation: str,
) -> ClaimParticipant:
    """Return the claim participant for the settings of a daemon."""
    return ClaimParticipant(
        log,
        timers,
        host=settings.host.name,
        incarnation=incarnation,
        lifetime_ms=int(settings.claims.key_lifetime_s * 1000),
        appends_per_s=settings.claims.appends_per_s,
    )


class ClaimMetrics:
    """Exports the counters of a claim participant as ``camphorrun_claims_total``.

    Parameters
    ----------
    claims : ClaimParticipant
        Participant whose counters are exported.
    metrics : Metrics
        Collectors to which the counts are added.
    timers : TimerService
        Clock of the periodic update.
    """

    def __init__(
        self, claims: ClaimParticipant, metrics: Metrics, timers: TimerService
    ):
        self._sources = {
            "appender": claims.appender.counters,
            "follower": claims.follower.counters,
            "ledger": claims.ledger.counters,
            "start": claims.starts.counters,
        }
        self._metrics = metrics
        self._exported_counts: dict[tuple[str, str], int] = {}
        timers.subscribe(UPDATE_SECONDS, self.update)

    def update(self) -> None:
        """Add the increase of each counter since the last call."""
        for part, counters in self._sources.items():
            for reason, count in counters.items():
                self._add_increase(part, reason, count)

    def _add_increase(self, part: str, reason: str, count: int) -> None:
        added = count - self._exported_counts.get((part, reason), 0)
        self._exported_counts[part, reason] = count
        name = _result_label(part, reason)
        if added > 0 and name not in _EXCLUDED_LABELS:
            self._metrics.claims.labels(
                name if name in RESULT_LABELS else OTHER_RESULT_LABEL
            ).inc(added)


def _result_label(part: str, reason: str) -> str:
    """Return the label value, for instance ``start_granted`` for ``StartGranted``."""
    for kind in ("Granted", "Lost", "Refused"):
        reason = reason.replace(f"Start{kind}", kind.lower())
    return f"{part}_{reason}"
