"""Requests wait for a silent stage replica beyond the time-out of their route."""

import asyncio
import itertools
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import (
    CONFIG_TOPIC,
    LIMITS,
    Channel,
    Request,
    Rig,
    encode_answer,
    encode_json,
    run_case,
    send,
)

HOST = "pule25.example"
KEY = "9dnn2ctnfzs989anu6ws"
STAGE_REPLICAS = 6
PIECES = 8
CALL_SECONDS = 0.2
PIECE_SECONDS = 0.024
# The disruption: one replica of six goes dark, several times.
SILENT_SECONDS = 4.5
SILENT_INTERVAL_SECONDS = 9.0
REQUESTS_PER_SECOND = 8.0
TRAFFIC_SECONDS = 60.0
TIMEOUT_SECONDS = 0.8
DEADLINE_SECONDS = 1.4
ALLOWED_DELAY_SECONDS = 0.5
MIN_UNANSWERED = 8


class StageReplica:
    """Makes pieces one call at a time; goes dark while ``is_dark`` returns true."""

    def __init__(self, rig: Rig, name: str, is_dark):
        self._rig = rig
        self._name = name
        self._is_dark = is_dark
        self._slot = asyncio.Semaphore(1)
        self._numbers = itertools.count()
        self.address = ""

    async def handle(self, req: Request, channel: Channel) -> None:
        """Answer a stage call, a release or a report."""
        if self._is_dark():
            self._rig.note(f"{self._name}: dark, does not answer {req.target}")
            await asyncio.Event().wait()
        if req.target == "/stage-run":
            items = json.loads(req.body)["Items"]
            async with self._slot:
                await asyncio.sleep(CALL_SECONDS + len(items) * PIECE_SECONDS)
            handles = (f"{self.address}/{next(self._numbers):x}" for _ in items)
            results = [{"Handle": handle} for handle in handles]
            channel.write(encode_json(200, {"Items": results}))
        elif req.target == "/report":
            report = {"Queued": 0, "Busy": False, "FreeMb": 15}
            channel.write(encode_json(200, report))
        else:
            channel.write(encode_answer(200))


class ModelReplica:
    """Answers each request with a short stream."""

    def __init__(self, rig: Rig):
        self._rig = rig

    async def handle(self, req: Request, channel: Channel) -> None:
        """Run one request."""
        name = req.headers["x-attempt-id"]
        self._rig.note(f"model runs {name}")
        events = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 4))
        fields = (f"X-Attempt-Id: {name}", "X-Replica-Stamp: 3e1b")
        fields += ("Content-Type: text/event-stream",)
        channel.write(encode_answer(200, events, fields))


def configuration() -> dict:
    """Return a configuration with one route of one stage."""
    service = {"HealthPath": "/healthz", "MaxConns": 280, "Protocol": "h1"}
    pieces = {"Slots": 1, "Queue": 2, "Batch": PIECES, "CallMs": CALL_SECONDS * 1000}
    pieces |= {"ItemMs": PIECE_SECONDS * 1000, "HeadroomMb": 15.75, "HandleS": 4.0}
    route = {
        "Name": "r-brief",
        "Host": HOST,
        "PathPrefix": "/puxa400/",
        "RouteType": "streaming",
        "TimeoutMs": TIMEOUT_SECONDS * 1000,
        "TargetLatencyMs": 700,
        "Priority": 1,
        "Service": "model",
        "MaxAttempts": 1,
        "Stages": [{"Service": "billing", "After": [], "PayloadBytes": 8000}],
        "Public": False,
        "Sticky": True,
        "Resumable": False,
        "GapTargetMs": 400,
    }
    return {
        "Version": 7,
        "Routes": [route],
        "Services": [
            {"Name": "model", **service, "Engine": {"Slots": 64, "KvCapacity": 346318}},
            {"Name": "billing", **service, "Pieces": pieces},
        ],
        "Limits": LIMITS,
        "Tenants": [{"Name": "bozi300", "ApiKeys": [KEY], "Priority": 1}],
    }


async def request(rig: Rig, number: int, answered: dict[str, float]) -> None:
    """Send one request of a client and record when it is answered."""
    name = f"{number:016x}"
    lines = [
        f"POST /puxa400/{number} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {name}",
        "X-Model: m",
        "X-Token-Count: 400,16",
        f"X-Prefix-Hash: 5c1e07a2:200,{number + 1:x}:200",
        f"X-Deadline-Ms: {DEADLINE_SECONDS * 1000:.0f}",
        f"X-Pieces: {PIECES}",
        f"X-Piece-Key: {number + 1:x}",
        f"Api-Key: {KEY}",
        "Content-Length: 0",
    ]
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    rig.note(f"client sends {name}")
    data = "\r\n".join([*lines, "", ""]).encode()
    answer = await send(rig.gateways[0].callers, data, DEADLINE_SECONDS)
    elapsed_s = loop.time() - started_at
    answered[name] = elapsed_s if answer.status else float("inf")
    rig.note(f"client gets {answer.status} for {name} after {elapsed_s:.3f} s")


async def scenario(rig: Rig, is_troubled: bool) -> bool:
    """Return whether the requests were answered half a second after the time-out."""
    loop = asyncio.get_running_loop()
    began_at = loop.time() + 3.0

    def is_dark() -> bool:
        since_s = loop.time() - began_at
        return since_s > 0 and since_s % SILENT_INTERVAL_SECONDS < SILENT_SECONDS

    model = ModelReplica(rig)
    rig.store.put(CONFIG_TOPIC, "config", configuration())
    await rig.add_replica("i-model", "model", model.handle)
    for number in range(STAGE_REPLICAS):
        dark = is_dark if is_troubled and not number else bool
        replica = StageReplica(rig, f"billing-{number}", dark)
        name = f"i-billing-{number}"
        started = await rig.add_replica(name, "billing", replica.handle, Slots=1)
        replica.address = started.address
    await rig.add_gateways(1)
    rng = random.Random(7)
    answered: dict[str, float] = {}
    tasks = []
    end_at = loop.time() + TRAFFIC_SECONDS
    for number in itertools.count():
        if loop.time() >= end_at:
            break
        tasks.append(asyncio.ensure_future(request(rig, number, answered)))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_SECOND))
    await asyncio.gather(*tasks)
    late = [s for s in answered.values() if s > TIMEOUT_SECONDS]
    overdue = [s for s in late if s > TIMEOUT_SECONDS + ALLOWED_DELAY_SECONDS]
    never = sum(s == float("inf") for s in overdue)
    text = (
        f"{len(late)} of {len(tasks)} requests unanswered at the time-out, "
        f"{len(overdue)} of them half a second later, {never} never answered"
    )
    rig.note(text)
    print(text)
    return len(late) < MIN_UNANSWERED or len(overdue) * 2 <= len(late)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, scenario))
