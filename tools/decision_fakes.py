"""Fakes for the measurement of the decision logic: endpoints, an entry, arrivals.

An endpoint is a queue, a concurrency limit and a service time that grows once all
slots are in use. There is no network and no second entry.
"""

from dataclasses import dataclass, field
from random import Random

from camphorrun import admission, limits, retries, routing
from camphorrun.messages import LoadReport

SLOTS = 8
BASE_SECONDS = 0.2
DEADLINE_SECONDS = 4.0
ATTEMPT_TIMEOUT_SECONDS = 2.0
MAX_ATTEMPTS = 4
PUBLISH_SECONDS = 0.25
STAGES = ("encode", "retrieve", "rerank", "generate")


@dataclass(frozen=True)
class Setup:
    """Selected policies."""

    routing: str = "balanced"
    queue: str = "least_laxity"
    admission: str = "predictive"
    retries: str = "budgeted"
    outliers: bool = True


@dataclass(frozen=True)
class Case:
    """Load, faults and the setups that are compared."""

    load: float
    baselines: dict[str, Setup]
    replicas: int = 9
    stages: tuple[str, ...] = ("generate",)
    # Share of the arrivals by (account, priority).
    mix: dict[tuple[str, int], float] = field(default_factory=lambda: {("a", 0): 1.0})
    fault: str = ""
    fault_at: float = 10.0
    report_s: float = PUBLISH_SECONDS
    seconds: float = 40.0
    deadline_s: float = DEADLINE_SECONDS


@dataclass
class Request:
    """One request and what became of it."""

    account: str
    priority: int
    at: float
    deadline_at: float
    sizes: dict[str, float]
    stage: int = 0
    attempts: int = 0
    tried: frozenset[str] = frozenset()
    work_s: float = 0.0
    refused: str = ""
    done_at: float | None = None

    @property
    def met(self) -> bool:
        """Whether the request was answered within its deadline."""
        return self.done_at is not None and self.done_at <= self.deadline_at


class FakeEndpoint:
    """Queue, limit and service time curve of one endpoint."""

    def __init__(self, timers, state, queue_policy):
        self.timers, self.state = timers, state
        self.queue = limits.StageQueue(queue_policy, 256)
        self.limit = limits.ConcurrencyLimit(SLOTS)
        self.running = 0
        self.slow = 1.0
        self.failing = self.stalled = False

    def submit(self, item):
        """Queue an item; its token is (request, size, callback)."""
        pushed = self.queue.push(item, self.timers.now())
        if not pushed.accepted:
            item.token.finish("refused", 0.0)
        if pushed.displaced is not None:
            pushed.displaced.token.finish("refused", 0.0)
        self.start_next()

    def start_next(self):
        """Start as much as the limit allows."""
        now = self.timers.now()
        for item in self.queue.expire(now):
            item.token.finish("refused", 0.0)
        while not self.stalled and self.running < self.limit.limit:
            item = self.queue.pop(now)
            if item is None:
                return
            self._start(item.token, now)

    def _start(self, attempt, now):
        self.running += 1
        crowd = max(1.0, self.running / SLOTS)
        time_s = 0.001 if self.failing else BASE_SECONDS * attempt.size * self.slow
        time_s *= crowd
        in_flight = self.running
        attempt.started, attempt.started_at, attempt.time_s = True, now, time_s
        self.timers.call_after(
            time_s, lambda: self._end(attempt, time_s, in_flight, now)
        )

    def _end(self, attempt, time_s, in_flight, started_at):
        self.running -= 1
        ok, now = not self.failing, self.timers.now()
        size = attempt.size
        self.limit.observe(limits.LatencySample(time_s, size, in_flight, ok, now))
        # Work is charged in seconds of an uncrowded slot.
        attempt.finish("ok" if ok else "failed", time_s * SLOTS / max(SLOTS, in_flight))
        self.start_next()

    def publish(self):
        """Report the load to the entry."""
        size_s = self.limit.service_time_s(1.0) or BASE_SECONDS
        limit, queued = self.limit.steady_limit, len(self.queue)
        wait_s = queued * size_s / limit
        report = LoadReport(self.running, limit, queued, wait_s, size_s)
        self.state.on_report(report, self.timers.now())


class Attempt:
    """One attempt; whichever of result and timeout comes first counts."""

    def __init__(self, entry, req, endpoint, size):
        self.entry, self.req, self.endpoint, self.size = entry, req, endpoint, size
        self.sent_at = entry.timers.now()
        self.open, self.started = True, False

    def finish(self, result, work_s):
        """Record the result."""
        self.req.work_s += work_s
        if self.open:
            self.open = False
            self.entry.on_result(self, result)

    def time_out(self):
        """Give up on the attempt and cancel it while it is queued."""
        if not self.open:
            return
        ran_s = self.entry.timers.now() - self.started_at if self.started else 0.0
        if self.started and ran_s < ATTEMPT_TIMEOUT_SECONDS - 1e-9:
            # Time in the queue is no failure of the endpoint.
            left_s = ATTEMPT_TIMEOUT_SECONDS - ran_s
            self.entry.timers.call_after(left_s, self.time_out)
        else:
            self.endpoint.queue.remove(self)
            self.finish("failed", 0.0)


class Entry:
    """Admission, routing, retries and stage order of one entry."""

    def __init__(self, timers, case, setup, seed):
        self.timers, self.case, self.setup = timers, case, setup
        self.rng = Random(seed + 1)
        policy = routing.routing_policy_by_name(setup.routing)
        self.router = routing.Router(policy, "a", seed)
        self.detectors = {name: routing.OutlierDetector() for name in case.stages}
        self.estimator = routing.StageEstimator(BASE_SECONDS)
        admission_policy = admission.admission_policy_by_name(setup.admission)
        self.admission = admission.AdmissionController(admission_policy)
        self.budget = retries.retry_budget_by_name(setup.retries)
        self.backoff = retries.Backoff(0.05, 1.0, self.rng)
        queue = limits.queue_policy_by_name(setup.queue)
        self.endpoints = {
            name: [
                FakeEndpoint(
                    timers, routing.EndpointState(f"{name}{i}", "a", name), queue
                )
                for i in range(case.replicas)
            ]
            for name in case.stages
        }
        self.first = self.sent = 0

    def control(self):
        """Evaluate outliers and publish the capacity, a few times a second."""
        now = self.timers.now()
        capacities = []
        for name, endpoints in self.endpoints.items():
            states = [endpoint.state for endpoint in endpoints]
            if self.setup.outliers:
                self.detectors[name].evaluate(states, now)
            active = [s for s in states if s.ejection is routing.EjectionState.ACTIVE]
            capacities.append(sum(s.limit / s.service_time_s() for s in active))
            for endpoint in endpoints:
                endpoint.start_next()
        self.admission.on_capacity(min(capacities), now)

    def need_s(self, req, first_stage):
        """Predict the service time of the stages from ``first_stage`` on."""
        return sum(
            self.estimator.estimate_s(name, "", round(req.sizes[name] * 100), 0)
            for name in self.case.stages[first_stage:]
        )

    def arrive(self, req):
        """Admit or refuse a new request."""
        now = self.timers.now()
        waits_s = sum(
            self.estimator.queue_wait_s(name, [e.state for e in endpoints], now)
            for name, endpoints in self.endpoints.items()
        )
        answer = self.admission.admit(
            admission.AdmissionRequest(
                req.account,
                1.0,
                req.priority,
                req.deadline_at - now,
                self.need_s(req, 0) + waits_s,
                1.0,
            ),
            now,
        )
        if isinstance(answer, admission.Refused):
            req.refused = answer.code
        else:
            self.run_stage(req)

    def run_stage(self, req):
        """Send the next attempt of the present stage."""
        now = self.timers.now()
        name = self.case.stages[req.stage]
        self.sent += 1
        if req.attempts == 0:
            self.first += 1
            self.budget.deposit(now)
        req.attempts += 1
        states = {e.state.host: e for e in self.endpoints[name]}
        wanted = routing.StageRequest(name, exclude=req.tried)
        choice = self.router.choose([e.state for e in states.values()], wanted, now)
        if isinstance(choice, routing.NoEndpoint):
            self.end(req, None)
            return
        choice.endpoint.on_dispatch()
        endpoint = states[choice.endpoint.host]
        attempt = Attempt(self, req, endpoint, req.sizes[name])
        own_s = self.need_s(req, req.stage) - self.need_s(req, req.stage + 1)
        item = limits.QueueItem(
            attempt,
            req.priority,
            now,
            req.deadline_at,
            self.need_s(req, req.stage + 1),
            own_s,
        )
        self.timers.call_after(ATTEMPT_TIMEOUT_SECONDS, attempt.time_out)
        endpoint.submit(item)

    def on_result(self, attempt, result):
        """Go on to the next stage, retry or give up."""
        now, req = self.timers.now(), attempt.req
        state = attempt.endpoint.state
        name = self.case.stages[req.stage]
        latency_s = now - attempt.sent_at
        if result == "refused":
            state.on_cancel()
            self.end(req, None)
            return
        if attempt.started or result == "ok":
            state.on_result(result == "ok", latency_s, now)
        else:
            state.on_cancel()
        if result == "failed":
            self.retry(req, state.host)
            return
        units = round(attempt.size * 100)
        self.estimator.observe(name, "", units, 0, attempt.time_s)
        req.stage, req.attempts, req.tried = req.stage + 1, 0, frozenset()
        if req.stage == len(self.case.stages):
            self.end(req, now)
        else:
            self.run_stage(req)

    def retry(self, req, host):
        """Repeat an attempt within deadline, number of attempts and budget."""
        now = self.timers.now()
        req.tried |= {host}
        delay_s = self.backoff.delay_s(req.attempts - 1)
        unbounded = self.setup.retries == "unbounded"
        late = now + delay_s + self.need_s(req, req.stage) > req.deadline_at
        if not unbounded and (late or req.attempts >= MAX_ATTEMPTS):
            self.end(req, None)
        elif now < req.deadline_at and self.budget.try_withdraw(now):
            self.timers.call_after(delay_s, lambda: self.run_stage(req))
        else:
            self.end(req, None)

    def end(self, req, done_at):
        """Record the end of an admitted request."""
        req.done_at = done_at
        self.admission.release(req.account, 1.0, self.timers.now())
        self.admission.on_outcome(req.met, self.timers.now())


def inject(case, entry, active):
    """Start or end the fault of a case."""
    endpoints = entry.endpoints[case.stages[-1]]
    if case.fault == "slow_one":
        endpoints[0].slow = 10.0 if active else 1.0
    elif case.fault == "fail_one":
        endpoints[0].failing = active
    elif case.fault == "heat":
        for endpoint in endpoints:
            endpoint.slow = 1.5 if active else 1.0
    elif case.fault == "stall":
        for endpoint in endpoints:
            endpoint.stalled = active


def arrivals(case, seed):
    """Return the requests of a case; the same for every setup."""
    rng = Random(seed)
    rate = case.load * case.replicas * SLOTS / BASE_SECONDS
    now = rng.expovariate(rate)
    while now < case.seconds:
        account, priority = rng.choices(list(case.mix), list(case.mix.values()))[0]
        sizes = {name: rng.uniform(0.5, 1.5) for name in case.stages}
        yield Request(account, priority, now, now + case.deadline_s, sizes)
        now += rng.expovariate(rate)
