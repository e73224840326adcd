"""Measures how the cost of a daemon grows with the size of the system.

Usage: python -m tools.capacity SLOPE [--output FILE]

Each slope is measured at several sizes with daemons in processes of their own against
stand-ins on loopback, and a line is fitted through the points. The program prints a
table and then JSON. Processor time is that of the process, so that other load on the
machine changes it little; latencies are given as ratios within one run.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp

from camphorrun.claims import CLAIMS_STREAM
from camphorrun.clients import LogClient
from camphorrun.configuration import (
    ConfigurationView,
    Placement,
    StreamFollower,
)
from camphorrun.core import LoopTimerService
from tools.bench_claims import _start_batch
from tools.bench_configuration import account_value
from tools.capacity_requests import (
    SERVICE,
    measure_requests,
    measure_tokens,
    publish_pipelines,
    unanswered_requests,
)
from tools.capacity_system import (
    WINDOWS,
    Bench,
    Result,
    document_value,
    fit,
    fits,
    linked_agents,
    processor_seconds,
    quantiles,
    resident_mb,
    traffic_by_port,
    watch,
)
from tools.chaos_system import Process, free_port

SETTLE_SECONDS = 6.0
# So many that every link has attempts in flight, whichever agents are chosen.
IN_FLIGHT_PER_LINK = 4
# Two idle heartbeats and one long poll of the claims stream.
WINDOW_SECONDS = 10.0
LOG, HOSTS, LINKS = "log", "hosts", "links"


async def _idle_rows(
    process: Process, ports: dict[str, str], windows: int = WINDOWS
) -> list[Result]:
    """Return what an idle daemon uses, for several windows of time."""
    pid = process.popen.pid
    rows = []
    for _ in range(windows):
        window = await watch(pid, WINDOW_SECONDS)
        row = {"core_percent": 100 * window.processor_s / window.seconds}
        row["memory_mb"] = resident_mb(pid)
        for name, port in ports.items():
            row[f"{name}_bytes_per_s"] = window.bytes_per_s(port)
            row[f"{name}_messages_per_s"] = window.sent_per_s(port)
        rows.append(row)
    return rows


# Client accounts.


async def measure_accounts(bench_of: Callable, sizes: list[int]) -> Result:
    """Measure an entry that holds N client accounts."""
    rows = []
    for size in sizes:
        bench = bench_of()
        await bench.start_platform()
        await bench.append("accounts", [account_value(i) for i in range(size)])
        for _ in range(WINDOWS):
            rows.append({"accounts": size} | await _start_and_rest(bench, size))
        bench.stop()
    names = ("start_s", "start_processor_s", "start_log_bytes", "start_log_reads")
    names += ("memory_mb", "core_percent")
    return {"rows": rows, "fits": fits(rows, "accounts", names)}


async def _start_and_rest(bench: Bench, size: int) -> Result:
    process, url = bench.start_entry()
    pid = process.popen.pid
    start_s = await bench.wait_status(
        url, lambda s: s["synchronised"] and s["positions"]["accounts"] >= size
    )
    row = {"start_s": start_s, "start_processor_s": processor_seconds(pid)}
    log = traffic_by_port(pid)[str(bench.log_port)]
    row |= {"start_log_bytes": log.received, "start_log_reads": log.segments_sent}
    await asyncio.sleep(SETTLE_SECONDS / 2)
    window = await watch(pid, WINDOW_SECONDS / 2)
    row["memory_mb"] = resident_mb(pid)
    row["core_percent"] = 100 * window.processor_s / window.seconds
    process.stop()
    return row


# Links.


async def measure_entry_links(
    bench_of: Callable, sizes: list[int], down: bool, busy: bool
) -> Result:
    """Measure an entry with N listed agents, by the state of its links.

    The links are idle, or ``busy`` with requests that no agent answers, or ``down``
    because the agents refuse connections.
    """
    rows = []
    for size in sizes:
        bench = bench_of()
        await bench.start_platform()
        await publish_pipelines(bench)
        address = f"127.0.0.1:{free_port()}"
        with contextlib.nullcontext() if down else _Peers("listen", address):
            for number in range(size):
                await bench.list_host(f"agent-{number}", address, "agent", SERVICE)
            process, url = bench.start_entry()
            linked = 0 if down else size
            await bench.wait_status(
                url, lambda s, n=size, m=linked: _has_agents(s, n, m)
            )
            row = {
                "links": size,
                "start_processor_s": processor_seconds(process.popen.pid),
            }
            in_flight = IN_FLIGHT_PER_LINK * size if busy else 0
            async with unanswered_requests(bench, url, in_flight):
                await asyncio.sleep(SETTLE_SECONDS)
                ports = {LINKS: address.rpartition(":")[2]} | _platform_ports(bench)
                for figures in await _idle_rows(process, ports, 2 if busy else WINDOWS):
                    rows.append(row | {"in_flight": in_flight} | figures)
        bench.stop()
    return {"rows": rows, "fits": fits(rows, "links", _LINK_FIGURES)}


def _has_agents(status: dict, known: int, linked: int) -> bool:
    return len(status["agents"]) >= known and linked_agents(status) >= linked


async def measure_agent_links(
    bench_of: Callable, sizes: list[int], busy: bool
) -> Result:
    """Measure an agent without work that is linked from N entries."""
    rows = []
    for size in sizes:
        bench = bench_of()
        await bench.start_platform()
        process, url = bench.start_agent("generate", "http://127.0.0.1:9")
        address = url.rpartition("/")[2]
        await bench.wait_status(url, lambda s: s["synchronised"])
        arguments = ["--count", str(size)] + (["--busy"] if busy else [])
        with _Peers("dial", address, *arguments):
            await asyncio.sleep(SETTLE_SECONDS)
            ports = {LINKS: "accepted"} | _platform_ports(bench)
            for row in await _idle_rows(process, ports):
                rows.append({"links": size} | row)
        bench.stop()
    return {"rows": rows, "fits": fits(rows, "links", _LINK_FIGURES)}


async def measure_host_list(bench_of: Callable, sizes: list[int]) -> Result:
    """Measure an agent without links that polls a list of N hosts."""
    rows = []
    for size in sizes:
        bench = bench_of()
        await bench.start_platform()
        for number in range(size):
            name, address = (
                f"agent-{number:04d}",
                f"10.0.{number // 256}.{number % 256}",
            )
            await bench.list_host(name, f"{address}:9000", "agent", "generate")
        process, url = bench.start_agent("generate", "http://127.0.0.1:9")
        await bench.wait_status(url, lambda s: s["synchronised"])
        await asyncio.sleep(SETTLE_SECONDS)
        for row in await _idle_rows(process, _platform_ports(bench)):
            rows.append({"hosts": size} | row)
        bench.stop()
    names = ("core_percent", "memory_mb", "hosts_bytes_per_s")
    return {"rows": rows, "fits": fits(rows, "hosts", names)}


_LINK_FIGURES = (
    "start_processor_s",
    "core_percent",
    "memory_mb",
    "links_bytes_per_s",
    "links_messages_per_s",
    "hosts_bytes_per_s",
    "log_bytes_per_s",
    "log_messages_per_s",
)


def _platform_ports(bench: Bench) -> dict[str, str]:
    return {LOG: str(bench.log_port), HOSTS: str(bench.hosts_port)}


class _Peers:
    """A helper process with light peers, ended at the end of the block."""

    def __init__(self, *arguments: str):
        self._arguments = arguments

    def __enter__(self) -> None:
        command = [sys.executable, "-m", "tools.capacity_peers", *self._arguments]
        self._popen = subprocess.Popen(command, stderr=subprocess.DEVNULL)

    def __exit__(self, *_exc) -> None:
        self._popen.kill()
        self._popen.wait()


# Configuration changes.


async def measure_changes(
    bench_of: Callable, sizes: list[int], readers: list[int]
) -> Result:
    """Measure what a change costs an entry, and how soon readers have it."""
    bench = bench_of()
    await bench.start_platform()
    process, url = bench.start_entry()
    await bench.wait_status(url, lambda s: s["synchronised"])
    rows = []
    versions: dict[str, int] = {}
    # All windows have the same length, so that idle work goes into the intercept.
    seconds = 2 + 0.03 * max(sizes)
    for size in sizes * WINDOWS:
        rows.append(
            await _apply_changes(bench, process, size, versions, seconds=seconds)
        )
    bench.stop()
    names = ("processor_s", "log_bytes")
    results = {"rows": rows, "fits": fits(rows, "changes", names)}
    results["in_force"] = [await _in_force(bench_of(), count) for count in readers]
    return results


async def _apply_changes(
    bench: Bench,
    process: Process,
    size: int,
    versions: dict[str, int],
    *,
    seconds: float,
) -> Result:
    """Append changes one at a time and return what the entry used meanwhile."""
    log = LogClient(bench.session, bench.log_url)

    async def publish_all() -> None:
        for number in range(size):
            host = f"host-{number % 370}"
            placement = Placement(host, ("model-3@2026-11", "model-5@2026-10"))
            value = document_value("placement", placement, versions.get(host, 0))
            versions[host] = await log.append("fleet", [value])
            await asyncio.sleep(0.02)

    task = asyncio.ensure_future(publish_all())
    window = await watch(process.popen.pid, seconds)
    await task
    log_bytes = window.bytes_per_s(str(bench.log_port)) * window.seconds
    return {
        "changes": size,
        "processor_s": window.processor_s,
        "seconds": window.seconds,
        "log_bytes": log_bytes,
    }


async def _in_force(bench: Bench, readers: int, changes: int = 20) -> Result:
    """Return the time until all of N readers of the log have applied a change."""
    await bench.start_platform()
    timers = LoopTimerService()
    log = LogClient(bench.session, bench.log_url)
    followers = [
        StreamFollower(log, ConfigurationView("fleet"), timers) for _ in range(readers)
    ]
    tasks = [asyncio.ensure_future(follower.run()) for follower in followers]
    await asyncio.sleep(1.0)
    waits = []
    for number in range(changes):
        begun_at = timers.now()
        value = document_value("placement", Placement(f"host-{number}", ()))
        offset = await log.append("fleet", [value])
        while any(follower.position < offset for follower in followers):
            await asyncio.sleep(0.001)
        waits.append((timers.now() - begun_at) * 1000)
        await asyncio.sleep(0.05)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    bench.stop()
    return {"readers": readers, "all_in_force_ms": quantiles(waits)}


# Claims.


async def measure_claims(bench_of: Callable, sizes: list[int], batch: int) -> Result:
    """Measure what the claims of all others cost one agent that follows them."""
    bench = bench_of()
    await bench.start_platform()
    process, url = bench.start_agent("generate", "http://127.0.0.1:9")
    await bench.wait_status(url, lambda s: s["synchronised"])
    await asyncio.sleep(SETTLE_SECONDS)
    rows = []
    first = 0
    seconds = 2 + 0.02 * max(sizes) / batch
    pid = process.popen.pid
    for size in sizes * WINDOWS:
        values = [_start_batch(first + n, batch) for n in range(0, size, batch)]
        first += size
        rows.append(
            {"records": size} | await _apply_claims(bench, pid, values, seconds)
        )
    bench.stop()
    names = ("processor_s", "log_bytes")
    results = {"rows": rows, "fits": fits(rows, "records", names)}
    held = itertools.accumulate(row["records"] for row in rows)
    memory = [(keys, row["memory_mb"]) for keys, row in zip(held, rows, strict=True)]
    results["fits"]["memory_mb"] = fit(memory)
    return results


async def _apply_claims(
    bench: Bench, pid: int, values: list[bytes], seconds: float
) -> Result:
    log = LogClient(bench.session, bench.log_url)

    async def append_all() -> None:
        for value in values:
            await log.append(CLAIMS_STREAM, [value])
            await asyncio.sleep(0.004)

    task = asyncio.ensure_future(append_all())
    window = await watch(pid, seconds)
    await task
    return {
        "appends": len(values),
        "processor_s": window.processor_s,
        "log_bytes": window.bytes_per_s(str(bench.log_port)) * window.seconds,
        "memory_mb": resident_mb(pid),
    }


def run_existing(module: str) -> Result:
    """Run another benchmark of this directory and return its JSON."""
    command = [sys.executable, "-m", f"tools.{module}"]
    done = subprocess.run(command, capture_output=True, check=True, timeout=300)
    return json.loads(done.stdout)


# Command line.


def _command(args: argparse.Namespace, bench_of: Callable) -> Awaitable[Result]:
    if args.slope == "accounts":
        return measure_accounts(bench_of, args.sizes or [1_000, 10_000, 49_000])
    if args.slope == "entry-links":
        return measure_entry_links(
            bench_of, args.sizes or [10, 40, 120, 370], args.down, args.busy
        )
    if args.slope == "agent-links":
        return measure_agent_links(bench_of, args.sizes or [4, 16, 64, 128], args.busy)
    if args.slope == "host-list":
        return measure_host_list(bench_of, args.sizes or [0, 100, 370, 600])
    if args.slope == "requests":
        return measure_requests(bench_of, args.sizes or [100, 300, 900], args.width)
    if args.slope == "tokens":
        return measure_tokens(
            bench_of, args.sizes or [50, 100, 200], args.gaps, args.streams
        )
    if args.slope == "changes":
        sizes = args.sizes or [50, 150, 450]
        return measure_changes(bench_of, sizes, args.readers)
    return measure_claims(bench_of, args.sizes or [500, 1500, 4500], args.batch)


SLOPES = (
    "accounts",
    "agent-links",
    "changes",
    "claims",
    "entry-links",
    "host-list",
    "requests",
    "tokens",
)
EXISTING = {
    "bench-claims": "bench_claims",
    "bench-configuration": "bench_configuration",
}


async def run(args: argparse.Namespace) -> Result:
    """Measure one slope, and stop every process that was started for it."""
    benches: list[Bench] = []
    connector = aiohttp.TCPConnector(limit=0)
    with tempfile.TemporaryDirectory() as directory:
        async with aiohttp.ClientSession(connector=connector) as session:

            def bench_of() -> Bench:
                place = Path(directory) / str(len(benches))
                place.mkdir()
                benches.append(Bench(place, session))
                return benches[-1]

            try:
                return await _command(args, bench_of)
            finally:
                for bench in benches:
                    bench.stop()


def print_table(results: Result) -> None:
    """Print one line for each fitted slope."""
    form = "{:<28} {:>12} {:>12} {:>12} {:>7}"
    print(form.format("figure", "slope", "std error", "intercept", "points"))
    for name, line in results.get("fits", {}).items():
        figures = (line["slope"], line["standard_error"], line["intercept"])
        print(form.format(name, *figures, len(line["points"])))


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("slope", choices=[*SLOPES, *EXISTING])
    parser.add_argument("--sizes", type=int, nargs="+", help="sizes to measure at")
    parser.add_argument(
        "--busy", action="store_true", help="links with attempts in flight"
    )
    parser.add_argument("--down", action="store_true", help="agents refuse links")
    parser.add_argument("--width", type=int, default=8, help="concurrent callers")
    parser.add_argument("--streams", type=int, default=96, help="concurrent streams")
    parser.add_argument("--batch", type=int, default=10, help="claims per append")
    parser.add_argument("--gaps", type=float, nargs="+", default=[5, 15, 50])
    parser.add_argument("--readers", type=int, nargs="+", default=[10, 40, 120])
    parser.add_argument("--output", type=Path, help="file for the JSON")
    return parser


def main() -> None:
    """Parse arguments, measure and print."""
    args = build_parser().parse_args()
    if args.slope in EXISTING:
        results = run_existing(EXISTING[args.slope])
    else:
        results = asyncio.run(run(args))
        print_table(results)
    text = json.dumps(results, indent=2)
    print(text)
    if args.output:
        args.output.write_text(text)


if __name__ == "__main__":
    main()
