"""Produces a trace from the arrivals of a scenario, always the same for a seed."""

import random

from .requests import TraceRequest
from .scenarios import Arrivals, Scenario


def generate_trace(scenario: Scenario) -> list[TraceRequest]:
    """Return the requests of all arrivals in order of time.

    Each kind of arrivals has its own random stream, so that changing one kind leaves
    the others as they are.
    """
    requests: list[TraceRequest] = []
    for index, arrivals in enumerate(scenario.arrivals):
        rng = random.Random(f"{scenario.seed}/{index}")
        requests.extend(_requests(arrivals, rng))
    return sorted(requests, key=lambda req: req.at_s)


def _requests(arrivals: Arrivals, rng: random.Random) -> list[TraceRequest]:
    """Return arrivals with exponential gaps."""
    requests = []
    at_s = arrivals.from_s + rng.expovariate(arrivals.rate_per_s)
    while at_s < arrivals.until_s:
        requests.append(
            TraceRequest(
                at_s=round(at_s, 3),
                template=arrivals.template,
                account=arrivals.account,
                deadline_ms=arrivals.deadline_ms,
                key=arrivals.key,
                words=rng.randint(*arrivals.words),
                max_output=rng.randint(*arrivals.max_output),
                stream=arrivals.stream,
            )
        )
        at_s += rng.expovariate(arrivals.rate_per_s)
    return requests
