"""Measures views of the configuration and the relay, and prints JSON.

Bytes per key are traced by ``tracemalloc`` while a view is filled, so they contain the
keys, the encoded bodies and the containers. Run it from the root of the repository:
``python tools/bench_configuration.py``.
"""

import argparse
import asyncio
import gc
import hashlib
import json
import socket
import sys
import time
import tracemalloc
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402

from camphorrun.configuration import (  # noqa: E402
    Account,
    ConfigurationChange,
    ConfigurationView,
    Placement,
    StreamFollower,
    TemplateParameters,
    encode_document,
    encode_record,
)
from camphorrun.core import LogRecord, LoopTimerService, MemoryLog  # noqa: E402
from camphorrun.daemon import start_server  # noqa: E402
from camphorrun.messages import KeyRing, SharedKey  # noqa: E402
from camphorrun.relay import RelayClient, RelayServer  # noqa: E402

APPEND_BATCH = 500
SMALL_REQUESTS = 1000


def account_value(index: int) -> bytes:
    """Return the record of an account with parameters for two templates."""
    name = f"account-{index:06d}"
    parameters = TemplateParameters(
        models={"generate": "model-3@2026-11", "rerank": "rerank-1@2026-09"},
        priority=index % 4,
        non_idempotent=("book",),
    )
    digest = hashlib.sha256(name.encode()).hexdigest()
    templates = {"draft-letter": parameters, "summarise": parameters}
    body = encode_document(Account(name, (digest,), templates))
    return _value(index, "account", name, body)


def endpoint_value(index: int) -> bytes:
    """Return the placement record of an endpoint."""
    name = f"host-{index:06d}"
    body = encode_document(Placement(name, ("model-3@2026-11", "model-5@2026-10")))
    return _value(index, "placement", name, body)


def _value(index: int, kind: str, name: str, body: bytes) -> bytes:
    change = ConfigurationChange(f"chg-{index:012d}", kind, name, 0, body, "operator")
    return encode_record(change)


def measure_view(stream: str, values: list[bytes]) -> dict[str, float]:
    """Return bytes per key and microseconds to apply one record."""
    records = [LogRecord(i, i, value) for i, value in enumerate(values, 1)]
    gc.collect()
    tracemalloc.start()
    view = ConfigurationView(stream)
    for record in records:
        view.apply(record)
    view.pop_changed_keys()
    gc.collect()
    traced, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    view = ConfigurationView(stream)
    begun_at = time.perf_counter()
    for record in records:
        view.apply(record)
    elapsed = time.perf_counter() - begun_at
    return {
        "bytes_per_key": round(traced / len(records)),
        "apply_us": round(elapsed / len(records) * 1e6, 1),
        "body_bytes": len(next(view.entries())[2].body),
    }


async def measure_read(values: list[bytes]) -> tuple[float, StreamFollower]:
    """Return the seconds to read all values from a log in memory."""
    timers = LoopTimerService()
    log = MemoryLog(timers)
    for start in range(0, len(values), APPEND_BATCH):
        await log.append("accounts", values[start : start + APPEND_BATCH])
    follower = StreamFollower(log, ConfigurationView("accounts"), timers)
    begun_at = time.perf_counter()
    while not follower.synchronised:
        await follower.read_once()
    return time.perf_counter() - begun_at, follower


async def measure_relay(follower: StreamFollower) -> dict[str, float]:
    """Return the time to fetch and to install the snapshot of a follower."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    keys = KeyRing((SharedKey(1, b"k" * 32),))
    app = web.Application()
    RelayServer(keys, {"accounts": follower}, LoopTimerService()).register_routes(app)
    runner = await start_server(app, address)
    figures: dict[str, float] = {}
    async with aiohttp.ClientSession() as session:
        client = RelayClient(session, address, keys)
        begun_at = time.perf_counter()
        data = await client.fetch_snapshot("accounts")
        fetched_at = time.perf_counter()
        ConfigurationView("accounts").install(data)
        figures["snapshot_bytes"] = len(data)
        figures["fetch_s"] = round(fetched_at - begun_at, 3)
        figures["install_s"] = round(time.perf_counter() - fetched_at, 3)
        begun_at = time.perf_counter()
        for _ in range(SMALL_REQUESTS):
            await client.fetch_records("accounts", follower.position + 1)
        elapsed = time.perf_counter() - begun_at
        figures["small_request_us"] = round(elapsed / SMALL_REQUESTS * 1e6)
    await runner.cleanup()
    return figures


async def measure(sizes: list[int]) -> dict:
    """Return all figures."""
    accounts = [account_value(index) for index in range(max(sizes))]
    endpoints = [endpoint_value(index) for index in range(max(sizes))]
    figures: dict = {"accounts": {}, "endpoints": {}}
    for size in sizes:
        figures["accounts"][size] = measure_view("accounts", accounts[:size])
        figures["endpoints"][size] = measure_view("fleet", endpoints[:size])
    read_s, follower = await measure_read(accounts)
    figures["read_accounts_s"] = round(read_s, 3)
    figures["relay"] = await measure_relay(follower)
    return figures


def main() -> None:
    """Parse arguments, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--sizes",
        type=int,
        nargs="+",
        default=[1_000, 10_000, 49_000],
        help="numbers of keys to measure; the largest is used for reading",
    )
    args = parser.parse_args()
    print(json.dumps(asyncio.run(measure(args.sizes)), indent=2))


if __name__ == "__main__":
    main()
