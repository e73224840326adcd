"""Prometheus collectors of a daemon, with bounded label sets.

Each daemon has its own registry, so that several daemons can run in one process.
"""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from .accounts import AccountOutcomes

_LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.0,
    4.0,
    10.0,
    60.0,
)


class Metrics:
    """Counters, gauges and histograms of one daemon.

    Each collector is an attribute. Label values are constants of the code, services,
    templates and a bounded number of client accounts; callers can't add label values.
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        self.outcomes = self._counter(
            "outcomes",
            "Ended requests, by status, code and template.",
            ("status", "code", "template"),
        )
        self.account_outcomes = AccountOutcomes(
            self._counter(
                "account_outcomes",
                "Ended requests, by client account (the largest ones) and status.",
                ("account", "status"),
            )
        )
        self.refusals = self._counter(
            "refusals", "Refused requests and calls, by reason.", ("reason",)
        )
        self.retries = self._counter(
            "retries", "Retries of attempts, by reason.", ("reason",)
        )
        self.replica_notices = self._counter(
            "replica_notices",
            "Replicas that announced a shutdown, a pause or a rate limit.",
            ("service", "kind"),
        )
        self.permits = self._counter(
            "permits",
            "Permits requested for replicas with a rate limit, by result.",
            ("result",),
        )
        self.piece_cancels = self._counter(
            "piece_cancels",
            "Cancelled orders for pieces at other gateways, by result.",
            ("result",),
        )
        self.evacuated_zones = self._gauge(
            "evacuated_zones", "Availability zones whose replicas get nothing."
        )
        self.evacuation_stops = self._counter(
            "evacuation_stops",
            "Sends, and waits for one, that an evacuation stopped, by service.",
            ("service",),
        )
        self.home_stops = self._counter(
            "home_stops",
            "Sends stopped because the replica is in no home region, by service.",
            ("service",),
        )
        self.cold_replicas = self._gauge(
            "cold_replicas", "Replicas that are cold, as this gateway knows."
        )
        self.cold_used_share = self._gauge(
            "cold_used_share",
            "Used share of the permits of cold replicas that this gateway owns.",
        )
        self.replica_crashes = self._counter(
            "replica_crashes",
            "Crashes of replicas that broke off requests, by evidence.",
            ("evidence",),
        )
        self.quarantine_changes = self._counter(
            "quarantine_changes",
            "Fingerprints that were blocked, tried or cleared at this gateway.",
            ("change",),
        )
        self.drops = self._counter(
            "drops", "Dropped messages and replies, by reason.", ("reason",)
        )
        self.reconnects = self._counter(
            "reconnects", "Replaced links, by reason.", ("reason",)
        )
        self.store_returns = self._counter(
            "store_returns",
            "Restores of the store from an older copy, counted for each topic read.",
            (),
        )
        self.config_records = self._counter(
            "config_records",
            "Configuration records that were read, by result.",
            ("result",),
        )
        self.claims = self._counter(
            "claims", "Claim decisions and appends, by result.", ("result",)
        )
        self.orders = self._counter(
            "orders", "Endpoint orders, by result.", ("result",)
        )
        self.attempts = self._counter(
            "attempts", "Ended attempts, by service and result.", ("service", "result")
        )
        self.ejections = self._counter(
            "ejections",
            "Ejections, probes and reinstatements of endpoints, by service and reason.",
            ("service", "reason"),
        )
        self.request_seconds = Histogram(
            "camphorrun_request_seconds",
            "Time from the acceptance of a request to its outcome, in seconds.",
            ("template",),
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.stage_seconds = Histogram(
            "camphorrun_stage_seconds",
            "Time of one stage including queueing, in seconds.",
            ("service",),
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.load_report_age_seconds = Histogram(
            "camphorrun_load_report_age_seconds",
            "Age of the reported load of a replica when it gets a stage call.",
            ("service",),
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.in_flight = self._gauge("in_flight", "Requests or attempts in flight.")
        self.held = Gauge(
            "camphorrun_held",
            "Resources that requests and calls hold now, by kind.",
            ("resource",),
            registry=self.registry,
        )
        self.account_backlog_pieces = Gauge(
            "camphorrun_account_backlog_pieces",
            "Pieces queued here, by whether their client account is over its share.",
            ("share",),
            registry=self.registry,
        )
        self.memory_held = Gauge(
            "camphorrun_memory_held_bytes",
            "Bytes that requests, responses and calls hold now, by part.",
            ("part",),
            registry=self.registry,
        )
        self.memory_limit = self._gauge(
            "memory_limit_bytes", "Bytes that may be held, 0 if there is no limit."
        )
        self.memory_closures = self._counter(
            "memory_closures",
            "Callers that were refused while their request was read, or disconnected, "
            "for lack of memory, by what they lost.",
            ("loss",),
        )
        self.queued = self._gauge("queued", "Queued attempts.")
        self.limit = self._gauge("concurrency_limit", "Current concurrency limit.")
        self.links = self._gauge("links_up", "Links whose peer answers heartbeats.")
        self.position = Gauge(
            "camphorrun_stream_position",
            "Last applied offset, by stream.",
            ("stream",),
            registry=self.registry,
        )
        self.not_current = Gauge(
            "camphorrun_not_current",
            "Keys whose last change has an unsupported newer schema, by stream.",
            ("stream",),
            registry=self.registry,
        )
        self.synchronised = self._gauge(
            "synchronised", "1 if the configuration was read to its end, else 0."
        )

    def _counter(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        return Counter(f"camphorrun_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"camphorrun_{name}", text, registry=self.registry)

    def render(self) -> bytes:
        """Return all collectors in the text format of Prometheus."""
        return generate_latest(self.registry)
