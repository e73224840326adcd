"""Measures the memory and time of the claim ledger and the cost of batched appends.

Run from the repository root: ``python -m tools.bench_claims``. The output is JSON.
"""

import argparse
import asyncio
import gc
import json
import time
import tracemalloc

from camphorrun.claims import (
    ClaimAppender,
    ClaimFollower,
    ClaimKey,
    ClaimLedger,
    Finish,
    Start,
    StartCoordinator,
    StartGranted,
    encode_batch,
)
from camphorrun.core import LoopTimerService, MemoryLog

STAMP_MS = 1_000_000
RESULT = b'{"charged": true, "receipt": "0123456789"}'
APPEND_DELAY_SECONDS = 0.01


def _key(number: int) -> ClaimKey:
    return ClaimKey(number.to_bytes(16, "big"), STAMP_MS)


def _start_batch(first: int, size: int) -> bytes:
    return encode_batch(
        [
            Start(_key(n).digest, STAMP_MS, bytes(16), "agent-17", "inc-0123", f"t#{n}")
            for n in range(first, first + size)
        ]
    )


def _finish_batch(first: int, offset: int, size: int) -> bytes:
    return encode_batch(
        [
            Finish(_key(first + n).digest, offset, n, True, "", RESULT, bytes(16))
            for n in range(size)
        ]
    )


def measure_ledger(keys: int, batch: int) -> dict:
    """Return the bytes per key and the microseconds per applied record."""
    batches = keys // batch
    values = [_start_batch(n * batch, batch) for n in range(batches)]
    values += [_finish_batch(n * batch, n + 1, batch) for n in range(batches)]
    begin = time.perf_counter()
    _apply(values)
    elapsed_s = time.perf_counter() - begin
    gc.collect()
    tracemalloc.start()
    ledger = _apply(values)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "keys": len(ledger),
        "bytes_per_key": round(size / len(ledger), 1),
        "microseconds_per_record": round(elapsed_s * 1e6 / (2 * keys), 2),
    }


def _apply(values: list[bytes]) -> ClaimLedger:
    ledger = ClaimLedger()
    for offset, value in enumerate(values, 1):
        ledger.apply(value, offset, STAMP_MS + offset)
    return ledger


async def measure_appends(calls_per_s: float, seconds: float) -> dict:
    """Return appends and bytes per call; a call is a ``Start`` and a ``Finish``."""
    timers = LoopTimerService()
    log = MemoryLog(timers)
    log.delay_s = APPEND_DELAY_SECONDS
    appender = ClaimAppender(log, timers)
    follower = ClaimFollower(log, ClaimLedger(), timers)
    starts = StartCoordinator(
        appender, follower, timers, host="agent-17", incarnation="inc-0123"
    )
    latencies: list[float] = []
    granted: list[bool] = []

    async def call(number: int) -> None:
        begin = timers.now()
        key = ClaimKey(number.to_bytes(16, "big"), int(begin * 1000))
        reply = await starts.acquire(key, bytes(16), f"req-{number}/1/1")
        latencies.append(timers.now() - begin)
        granted.append(isinstance(reply, StartGranted))
        if granted[-1]:
            starts.finish(reply, True, data=RESULT)

    poll = asyncio.create_task(follower.run())
    tasks = []
    begin = timers.now()
    for number in range(int(calls_per_s * seconds)):
        await timers.sleep(begin + number / calls_per_s - timers.now())
        tasks.append(asyncio.create_task(call(number)))
    await asyncio.gather(*tasks)
    await starts.drain(10.0)
    poll.cancel()
    calls = len(tasks)
    latencies.sort()
    return {
        "calls_per_s": calls_per_s,
        "calls": calls,
        "granted": sum(granted),
        "appends_per_s": round(appender.counters["appends"] / seconds, 1),
        "appends_per_call": round(appender.counters["appends"] / calls, 3),
        "bytes_per_call": round(appender.counters["bytes"] / calls, 1),
        "reads_per_call": round(follower.counters["pages"] / calls, 3),
        "acquire_p50_ms": round(latencies[calls // 2] * 1000, 1),
        "acquire_p95_ms": round(latencies[int(calls * 0.95)] * 1000, 1),
    }


def main() -> None:
    """Run the measurements and print them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keys", type=int, nargs="*", default=[1000, 10_000, 100_000])
    parser.add_argument("--batch", type=int, default=10, help="records per append")
    parser.add_argument("--rates", type=float, nargs="*", default=[5, 50, 500])
    parser.add_argument("--seconds", type=float, default=4.0, help="per rate")
    args = parser.parse_args()
    ledger = [measure_ledger(keys, args.batch) for keys in args.keys]
    appends = [asyncio.run(measure_appends(rate, args.seconds)) for rate in args.rates]
    print(json.dumps({"ledger": ledger, "appends": appends}, indent=2))


if __name__ == "__main__":
    main()
