"""Processor time and latency of requests and of streamed tokens, for one core."""

import asyncio
import contextlib
import hashlib
import itertools
import time
from collections.abc import Callable

import msgspec

from camphorrun.configuration import (
    Account,
    Service,
    Stage,
    Template,
    TemplateParameters,
)
from tools.capacity_system import (
    WINDOWS,
    Bench,
    Result,
    document_value,
    fits,
    linked_agents,
    processor_seconds,
    quantiles,
)
from tools.chaos_system import Process

PAYLOAD_WORDS = 40
ACCOUNT = "capacity"
ACCOUNT_SECRET = "capacity-secret"
REPLICAS = 2
SERVICE = "plain"


class RequestPath:
    """Entry, agents and endpoints in processes of their own, and a caller."""

    def __init__(self, bench: Bench):
        self._bench = bench
        self._numbers = itertools.count()
        self.agents: list[Process] = []
        self.endpoint_urls: list[str] = []

    async def start(self, services: tuple[str, ...], **profile: object) -> None:
        """Start the path with two replicas of each service."""
        bench = self._bench
        await bench.start_platform()
        await publish_pipelines(bench)
        for service in services:
            for number in range(REPLICAS):
                url = await bench.start_endpoint(batch=64, **profile)
                agent, agent_url = bench.start_agent(service, url)
                self.agents.append(agent)
                self.endpoint_urls.append(url)
                address = agent_url.rpartition("/")[2]
                host = f"{service}-{number}"
                await bench.list_host(host, address, "agent", service)
        self.entry, self.url = bench.start_entry()
        wanted = REPLICAS * len(services)
        await bench.wait_status(self.url, lambda s: _ready(s, wanted))
        self._prefix = await self._fetch_prefix()

    async def _fetch_prefix(self) -> str:
        url = f"{self.url}/v1/keys"
        async with self._bench.session.get(url, headers=_headers()) as resp:
            return (await resp.json())["prefix"]

    async def request(self, template: str, max_output: int = 64) -> Result:
        """Send one request and return its outcome with the events counted."""
        number = next(self._numbers)
        headers = _headers()
        if template == "charge":
            headers["Idempotency-Key"] = f"{self._prefix}.{number}"
        is_stream = template == "generate"
        body = {
            "input": {"text": f"{number} " + "word " * PAYLOAD_WORDS},
            "max_output": max_output,
            "stream": is_stream,
        }
        url = f"{self.url}/v1/pipelines/{template}/requests"
        async with self._bench.session.post(url, json=body, headers=headers) as resp:
            lines = (await resp.read()).splitlines()
        return msgspec.json.decode(lines[-1]) | {"events": len(lines)}

    async def many(self, template: str, count: int, width: int, **fields) -> Result:
        """Send requests closed loop; return counts and processor time by role."""
        before = self._processor()
        left = iter(range(count))
        events = answered = 0
        begun_at = time.monotonic()

        async def caller() -> None:
            nonlocal events, answered
            for _ in left:
                outcome = await self.request(template, **fields)
                answered += outcome["status"] == "answered"
                events += outcome["events"] - 1

        await asyncio.gather(*(caller() for _ in range(width)))
        elapsed_s = time.monotonic() - begun_at
        await asyncio.sleep(0.2)
        entry_s, agents_s = (
            b - a for a, b in zip(before, self._processor(), strict=True)
        )
        return {
            "requests": count,
            "answered": answered,
            "events": events,
            "seconds": elapsed_s,
            "entry_s": entry_s,
            "agents_s": agents_s,
        }

    def _processor(self) -> tuple[float, float]:
        agents = sum(processor_seconds(agent.popen.pid) for agent in self.agents)
        return processor_seconds(self.entry.popen.pid), agents


async def publish_pipelines(bench: Bench) -> None:
    """Append the service, the templates and the client account of the callers."""
    values = [document_value("service", Service(SERVICE))]
    values += [document_value("template", each) for each in _templates()]
    await bench.append("fleet", values)
    await bench.append("accounts", [document_value("account", _account())])


@contextlib.asynccontextmanager
async def unanswered_requests(bench: Bench, url: str, count: int):
    """Keep requests in flight that no agent answers."""

    async def send(number: int) -> None:
        body = {"input": {"text": f"{number} " + "word " * PAYLOAD_WORDS}}
        path = f"{url}/v1/pipelines/one/requests"
        async with bench.session.post(path, json=body, headers=_headers()) as resp:
            await resp.read()

    tasks = [asyncio.ensure_future(send(number)) for number in range(count)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _ready(status: dict, agents: int) -> bool:
    known = status["positions"]["accounts"] and status["positions"]["fleet"]
    return bool(known) and status["synchronised"] and linked_agents(status) >= agents


def _headers() -> dict[str, str]:
    return {"Authorization": f"Bearer {ACCOUNT}:{ACCOUNT_SECRET}"}


def _templates() -> list[Template]:
    chain = []
    before: tuple[str, ...] = ()
    for name in ("s1", "s2", "s3", "s4"):
        chain.append(Stage(name, SERVICE, "run", before))
        before = (name,)
    return [
        Template("one", (Stage("s1", SERVICE, "run"),)),
        Template("four", tuple(chain)),
        Template("charge", (Stage("s1", SERVICE, "run", idempotent=False),)),
        Template("generate", (Stage("s1", SERVICE, "run", stream=True),)),
    ]


def _account() -> Account:
    digest = hashlib.sha256(ACCOUNT_SECRET.encode()).hexdigest()
    parameters = TemplateParameters(deadline_ms=60_000)
    return Account(ACCOUNT, (digest,), {t.name: parameters for t in _templates()})


async def measure_requests(bench_of: Callable, sizes: list[int], width: int) -> Result:
    """Measure processor time per request and the latency that the path adds."""
    bench = bench_of()
    path = RequestPath(bench)
    await path.start((SERVICE,))
    results: Result = {"rows": {}, "fits": {}}
    for template in ("one", "four", "charge"):
        await path.many(template, 50, width)
        rows = []
        for _ in range(WINDOWS):
            for size in sizes:
                rows.append(await path.many(template, size, width))
        results["rows"][template] = rows
        lines = fits(rows, "requests", ("entry_s", "agents_s"))
        results["fits"] |= {f"{template} {name}": line for name, line in lines.items()}
    results["latency"] = await _latency(bench, path)
    bench.stop()
    return results


async def _latency(bench: Bench, path: RequestPath, count: int = 300) -> Result:
    """Return latencies of the endpoint alone and of the path, taken in turn."""
    seconds: dict[str, list[float]] = {}
    calls = {
        "endpoint": lambda: _call_endpoint(bench, path.endpoint_urls[0]),
        "one": lambda: path.request("one"),
        "four": lambda: path.request("four"),
        "charge": lambda: path.request("charge"),
    }
    for _ in range(count):
        for name, call in calls.items():
            begun_at = time.perf_counter()
            await call()
            elapsed_s = time.perf_counter() - begun_at
            seconds.setdefault(name, []).append(elapsed_s * 1000)
    found = {name: quantiles(values) for name, values in seconds.items()}
    base = found["endpoint"]
    for name in ("one", "four", "charge"):
        figures = found[name]
        calls_each = 4 if name == "four" else 1
        for part in ("p50", "p95"):
            figures[f"added_{part}_ms"] = figures[part] - calls_each * base[part]
            figures[f"ratio_{part}"] = figures[part] / (calls_each * base[part])
    return found


async def _call_endpoint(bench: Bench, url: str) -> None:
    body = {"call_id": "direct", "operation": "run"}
    body["input"] = {"text": "word " * PAYLOAD_WORDS}
    async with bench.session.post(f"{url}/v1/calls", json=body) as resp:
        await resp.read()


# Tokens.


async def measure_tokens(
    bench_of: Callable, sizes: list[int], gaps_ms: list[float], streams: int
) -> Result:
    """Measure processor time per streamed token at several distances of tokens."""
    results: Result = {"rows": {}, "fits": {}}
    for gap_ms in gaps_ms:
        bench = bench_of()
        path = RequestPath(bench)
        await path.start((SERVICE,), output_unit_s=gap_ms / 1000)
        await path.many("generate", 16, 16, max_output=8)
        rows = []
        for _ in range(WINDOWS):
            for size in sizes:
                row = await path.many("generate", streams, streams, max_output=size)
                row["tokens"] = row["answered"] * size
                row["tokens_per_message"] = row["tokens"] / max(1, row["events"])
                rows.append(row)
        bench.stop()
        name = f"{gap_ms:g} ms"
        results["rows"][name] = rows
        lines = fits(rows, "tokens", ("entry_s", "agents_s", "events"))
        results["fits"] |= {f"{name} {key}": line for key, line in lines.items()}
    return results
