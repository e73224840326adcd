"""Runs the path as separate processes, kills and pauses them, and counts faults.

Usage: python -m tools.chaos --seconds 60 --seed 1

Stand-ins, agents and entries run as processes of their own on loopback. While callers
send requests, agents and entries are killed (SIGKILL, then started again) and paused
(SIGSTOP, later SIGCONT), and the log service is paused now and then. At the end the
effects recorded by the endpoints are compared with the answers that callers got.

The last line is JSON; the exit code is 0 only if nothing was lost, doubled,
misdelivered, ran after "not run", ran twice, or was answered in two different ways.
"""

import argparse
import asyncio
import contextlib
import hashlib
import itertools
import json
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import aiohttp
import msgspec

from camphorrun.claims import claim_key
from camphorrun.clients import LogClient
from camphorrun.configuration import (
    Account,
    ConfigurationChange,
    ConfigurationView,
    Service,
    Stage,
    Template,
    TemplateParameters,
    encode_document,
    publish,
    stream_of,
)
from camphorrun.core import new_identifier
from camphorrun.messages import KeyRing, SharedKey
from camphorrun.standins import run_operation, streamed_text

from .chaos_faults import Injector
from .chaos_system import SECRET, System

RING = KeyRing((SharedKey(1, bytes.fromhex(SECRET)),))
ACCOUNT = "chaos"
ACCOUNT_SECRET = "caller-secret"
SERVICES = {"encode": 2, "retrieve": 2, "rerank": 2, "generate": 3, "billing": 3}
MAX_OUTPUT = 12
REQUEST_TIMEOUT_SECONDS = 15.0
CALLER_PATIENCE_SECONDS = 40.0
# Share of the requests that are sent through two entries at the same time.
TWIN_SHARE = 0.2


def documents() -> list:
    """Return the documents of the run."""
    chain = ("encode", "retrieve", "rerank", "generate")
    draft = tuple(
        Stage(name, name, name, after=(before,) if before else (), stream=last)
        for before, name, last in zip(
            ("", *chain), chain, (False, False, False, True), strict=False
        )
    )
    charge = (Stage("charge", "billing", "charge", idempotent=False),)
    lookup = (Stage("lookup", "retrieve", "lookup"),)
    templates = {
        "draft": TemplateParameters(deadline_ms=8000),
        "charge": TemplateParameters(deadline_ms=4000, priority=0),
        "lookup": TemplateParameters(deadline_ms=4000),
    }
    credential = hashlib.sha256(ACCOUNT_SECRET.encode()).hexdigest()
    return [
        *(Service(name) for name in SERVICES),
        Template("draft", draft),
        Template("charge", charge),
        Template("lookup", lookup),
        Account(ACCOUNT, (credential,), templates),
    ]


def expected_output(template: str, value: object) -> object:
    """Return the only right answer to a request."""
    if template == "charge":
        return run_operation("charge", "", value)
    if template == "lookup":
        return run_operation("lookup", "", value)
    for operation in ("encode", "retrieve", "rerank"):
        value = run_operation(operation, "", value)
    return {"text": "".join(streamed_text("generate", "", value, MAX_OUTPUT))}


class Callers:
    """Sends requests, asks again through other entries, and keeps every answer."""

    def __init__(self, system: System, session: aiohttp.ClientSession, seed: int):
        self.system = system
        self.session = session
        self.rng = random.Random(seed)
        self.counts: Counter = Counter()
        self.latencies: list[float] = []
        self.answers: dict[str, set[str]] = {}
        self.history: dict[str, list[str]] = {}
        self.headers = {"Authorization": f"Bearer {ACCOUNT}:{ACCOUNT_SECRET}"}
        self.prefix = ""

    async def fetch_prefix(self) -> None:
        """Fetch a key prefix from any entry."""
        for url in self.system.entry_urls:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, KeyError):
                async with self.session.get(
                    f"{url}/v1/keys", headers=self.headers
                ) as resp:
                    self.prefix = (await resp.json())["prefix"]
                    return

    async def one(self, number: int) -> None:
        """Send one request until it has a final answer or patience ends."""
        template = self.rng.choice(("draft", "charge", "charge", "lookup"))
        value = {"text": f"request {number} of this run", "number": number}
        key = f"{self.prefix}.{number}"
        started = time.monotonic()
        self.counts["offered"] += 1
        final = ""
        while time.monotonic() - started < CALLER_PATIENCE_SECONDS:
            urls = list(self.system.entry_urls)
            self.rng.shuffle(urls)
            if self.rng.random() < TWIN_SHARE:
                twins = (self.send(url, template, value, key) for url in urls[:2])
                body, other = await asyncio.gather(*twins)
                if other is not None:
                    self.judge(template, value, key, other)
            else:
                body = await self.send(urls[0], template, value, key)
            if body is None:
                self.counts["asked_again"] += 1
                await asyncio.sleep(0.2)
                continue
            final = self.judge(template, value, key, body)
            if final != "again":
                break
            await asyncio.sleep(0.2)
        self.latencies.append(time.monotonic() - started)
        self.counts[f"final_{final or 'lost'}"] += 1
        if final in ("", "again"):
            self.counts["lost"] += 1

    async def send(
        self, url: str, template: str, value: object, key: str
    ) -> dict | None:
        """Send a request; None if this entry gave no whole answer."""
        request = {"input": value, "max_output": MAX_OUTPUT}
        request["stream"] = template == "draft"
        headers = {**self.headers, "Idempotency-Key": key}
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        path = f"{url}/v1/pipelines/{template}/requests"
        try:
            async with self.session.post(
                path, json=request, headers=headers, timeout=timeout
            ) as resp:
                return self.read_events(await resp.text())
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None

    def read_events(self, text: str) -> dict | None:
        """Return the outcome of an answer and check the order of its parts."""
        lines = [json.loads(line) for line in text.splitlines()]
        expected = 0
        for line in lines:
            if line.get("event") == "restart":
                expected = 0
            elif line.get("event") == "part":
                if line["sequence"] != expected:
                    self.counts["doubled"] += 1
                expected = line["sequence"] + 1
        return lines[-1] if lines and "status" in lines[-1] else None

    def judge(self, template: str, value: object, key: str, body: dict) -> str:
        """Count an answer and return what it means for the caller."""
        status = body["status"]
        self.counts[f"code_{body['code']}"] += 1
        text = f"{time.monotonic():.2f} {status} {body['code']} {body.get('detail')}"
        self.history.setdefault(key, []).append(text)
        if status == "answered":
            if body["output"] != expected_output(template, value):
                self.counts["misdelivered"] += 1
            self.note(template, key, "answered")
            return "answered"
        if template != "charge":
            return "again"
        if status == "not_run":
            self.note(template, key, "not_run")
            return "not_run"
        return "outcome_unknown"

    def note(self, template: str, key: str, answer: str) -> None:
        """Remember a definite answer about a non-idempotent call."""
        if template == "charge":
            self.answers.setdefault(key, set()).add(answer)

    async def ask_outcomes(self) -> None:
        """Ask for the outcome of every key through every entry."""
        for key, url in itertools.product(self.answers, self.system.entry_urls):
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.get(
                    f"{url}/v1/outcomes/{key}", headers=self.headers
                ) as resp:
                    body = await resp.json()
                    if resp.status != 404 and body["status"] != "outcome_unknown":
                        self.answers[key].add(body["status"])
                        text = f"lookup {url} {body['status']} {body['code']}"
                        self.history[key].append(text)


async def publish_all(session: aiohttp.ClientSession, system: System) -> None:
    """Publish the documents of the run."""
    log = LogClient(session, system.log_url)
    views = {name: ConfigurationView(name) for name in ("fleet", "accounts")}
    for document in documents():
        kind = type(document).__name__.lower()
        change = ConfigurationChange(
            change_id=new_identifier("chg"),
            kind=kind,
            name=document.name,
            expected=0,
            body=encode_document(document),
            author="chaos",
        )
        await publish(log, views[stream_of(kind)], change)


async def wait_ready(session: aiohttp.ClientSession, system: System) -> None:
    """Wait until every entry is linked to every agent."""
    expected = sum(SERVICES.values())
    deadline = time.monotonic() + 40
    for url in system.entry_urls:
        while time.monotonic() < deadline:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.get(f"{url}/v1/status") as resp:
                    status = await resp.json()
                up = sum(agent["link_up"] for agent in status["agents"].values())
                if status["synchronised"] and up >= expected:
                    break
            await asyncio.sleep(0.2)


async def wait_listening(session: aiohttp.ClientSession, url: str) -> None:
    """Wait until an HTTP server answers."""
    for _ in range(200):
        with contextlib.suppress(aiohttp.ClientError):
            async with session.get(url):
                return
        await asyncio.sleep(0.1)


async def effects(session: aiohttp.ClientSession, system: System) -> Counter:
    """Return how often each claim key was executed, over all endpoints."""
    total: Counter = Counter()
    for url in system.endpoint_urls:
        async with session.get(f"{url}/v1/usage") as resp:
            usage = msgspec.json.decode(await resp.read())
        total.update(usage["effects"])
    return total


def compare(callers: Callers, executed: Counter) -> None:
    """Compare recorded effects with what callers were told."""
    counts = callers.counts
    counts["ran_twice"] = sum(1 for times in executed.values() if times > 1)
    counts["ran_after_not_run"] = 0
    counts["answered_without_run"] = 0
    for key, answers in callers.answers.items():
        times = executed[str(claim_key(RING, ACCOUNT, key, "charge"))]
        if len(answers) > 1:
            counts["contradicted"] += 1
            print(f"contradicted: {key}: {callers.history.get(key)}", file=sys.stderr)
        if "not_run" in answers and times:
            counts["ran_after_not_run"] += 1
        if "answered" in answers and not times:
            counts["answered_without_run"] += 1


async def run(args: argparse.Namespace, system: System) -> Counter:
    """Run the whole experiment and return the counts."""
    system.start_platform()
    async with aiohttp.ClientSession() as session:
        await wait_listening(session, f"{system.hosts_url}/v1/hosts")
        await wait_listening(session, f"{system.log_url}/v1/streams/x/records?offset=1")
        listings = [
            system.start_endpoint(service, number)
            for service, replicas in SERVICES.items()
            for number in range(replicas)
        ]
        listings += [system.start_entry(number) for number in range(3)]
        for listing in listings:
            async with session.put(f"{system.hosts_url}/v1/hosts", json=listing):
                pass
        await publish_all(session, system)
        await wait_ready(session, system)
        callers = Callers(system, session, args.seed)
        await callers.fetch_prefix()
        await drive(args, system, callers)
        await asyncio.sleep(3)
        await callers.ask_outcomes()
        compare(callers, await effects(session, system))
    latencies = sorted(callers.latencies)
    callers.counts["p50_ms"] = int(1000 * latencies[len(latencies) // 2])
    callers.counts["p99_ms"] = int(1000 * latencies[int(len(latencies) * 0.99)])
    return callers.counts


async def drive(args: argparse.Namespace, system: System, callers: Callers) -> None:
    """Send requests at a fixed rate while faults are injected."""
    until = time.monotonic() + args.seconds
    injector = Injector(system, callers.session, callers.counts, args.seed)
    faults = [asyncio.ensure_future(injector.run(until)) for _ in range(2)]
    tasks = []
    number = 0
    while time.monotonic() < until:
        number += 1
        tasks.append(asyncio.ensure_future(callers.one(number)))
        await asyncio.sleep(1 / args.rate)
    await asyncio.gather(*faults, *tasks)


FAULTS = (
    "bad_exit",
    "lost",
    "doubled",
    "misdelivered",
    "ran_after_not_run",
    "ran_twice",
    "contradicted",
    "answered_without_run",
)


def main() -> int:
    """Run from the command line and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=30.0, help="requests a second")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", help="directory for the logs of the processes")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(args.keep or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        system = System(directory)
        try:
            counts = asyncio.run(run(args, system))
        finally:
            system.stop()
    for name in FAULTS:
        counts[name] += 0
    print(json.dumps(dict(sorted(counts.items()))))
    return 1 if any(counts[name] for name in FAULTS) else 0


if __name__ == "__main__":
    sys.exit(main())
