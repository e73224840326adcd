"""Stand-in of a replica on the users' platform, with faults that tests switch on."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ..core import TimerService
from ..http1 import Headers, HttpServer, ServerRequest, ServerResponder


@dataclass(slots=True)
class ReplicaRun:
    """One request that the replica ran."""

    attempt_id: str
    target: bytes
    headers: Headers
    body: bytes


@dataclass(slots=True)
class ReplicaScript:
    """How the replica behaves.

    ``answer`` is ``ok``, ``full`` (503, not run), ``error`` (500), ``reset`` (runs and
    closes without an answer), ``mute`` (runs and stays silent), ``truncated``,
    ``foreign`` (an answer to another request), ``stale_rejection`` (runs, and answers
    with the rejection of another request), ``repeat`` (answers a stage call with its
    last answer, once) or ``misdirected`` (421). ``leaving`` adds
    ``Server-Leaving`` to all answers, ``rate_limit`` a limit, ``load`` a load and
    ``cold_ms`` a cold time to all answers, and ``retry_after`` a pause to those of
    ``full``.
    After ``trickle_after`` events a stream sends a byte now and then and no event.
    The process crashes when it begins to answer a request whose prompt has the part
    ``deadly_part`` or whose body is ``deadly_body``, and starts again on its address
    after ``down_s``. ``label`` is the text of its events, before their number.
    """

    answer: str = "ok"
    events: int = 5
    cut_after: int = -1
    event_gap_s: float = 0.0
    work_s: float = 0.0
    stage_fault: str = ""
    leaving: bool = False
    retry_after: str = ""
    rate_limit: str = ""
    load: str = ""
    cold_ms: str = ""
    trickle_after: int = -1
    deadly_part: str = ""
    deadly_body: bytes = b""
    down_s: float = 0.5
    label: str = "e"
    lost_handles: set[str] = field(default_factory=set)


class PlatformReplica:
    """Runs requests, streams and pieces of stages; keeps what it was asked for."""

    def __init__(self, identifier: str, timers: TimerService):
        self.identifier = identifier
        self.script = ReplicaScript()
        self.runs: list[ReplicaRun] = []
        self.stage_calls: list[list[dict]] = []
        self.released: list[str] = []
        self.results: list[str] = []
        self._last_results = b""
        self.cancelled = 0
        self.free_bytes = 1_000_000
        self.reports = 0
        # Arrival times of requests of any kind, rejected ones too.
        self.arrivals: list[float] = []
        # Arrival times of requests that crash the process.
        self.deadly_arrivals: list[float] = []
        self.crashes: list[float] = []
        # Called after each start that follows a crash.
        self.on_restart: Callable[[PlatformReplica], None] | None = None
        self.address = ""
        self._timers = timers
        self._handles = itertools.count()
        self._server = HttpServer(self._handle, timers)
        self._restart_task: asyncio.Task | None = None

    @property
    def born(self) -> int:
        """Start time that the process tells, in milliseconds; it rises with a start."""
        return 1 + len(self.crashes)

    @property
    def asked(self) -> int:
        """Number of requests of any kind, rejected ones too."""
        return len(self.arrivals)

    async def start(self) -> str:
        """Listen on loopback and return ``ip:port``."""
        port = await self._server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{port}"
        return self.address

    def close(self) -> None:
        """Stop at once."""
        self._server.close()
        if self._restart_task is not None:
            self._restart_task.cancel()

    def crash(self) -> None:
        """End the process now, as seen from outside, and start it again later."""
        self.crashes.append(self._timers.now())
        self._server.close()
        if self._restart_task is None or self._restart_task.done():
            self._restart_task = asyncio.ensure_future(self._restart())

    async def _restart(self) -> None:
        await self._timers.sleep(self.script.down_s)
        host, _, port = self.address.rpartition(":")
        self._server = HttpServer(self._handle, self._timers)
        await self._server.start(host, int(port))
        if self.on_restart is not None:
            self.on_restart(self)

    def registration(self, service: str, zone: str = "z1", **fields) -> dict:
        """Return the entry that the replica writes to the store."""
        return {
            "Service": service,
            "Address": self.address,
            "Zone": zone,
            "Version": "v1",
            "Slots": 4,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": self.born,
            **fields,
        }

    async def _handle(self, req: ServerRequest, responder: ServerResponder) -> None:
        self.arrivals.append(self._timers.now())
        if req.target == b"/stage-run":
            await self._run_stage(req, responder)
        elif req.target == b"/stage-free":
            self.released.extend(msgspec.json.decode(req.body)["Handles"])
            responder.respond(200, Headers(self._notices()))
        elif req.target == b"/report":
            self._report(responder)
        else:
            await self._run(req, responder)

    # Requests

    async def _run(self, req: ServerRequest, responder: ServerResponder) -> None:
        script = self.script
        attempt_id = req.headers.get("x-attempt-id")
        if script.answer == "stale_rejection":
            self.runs.append(ReplicaRun(attempt_id, req.target, req.headers, req.body))
            responder.respond(503, self._not_run("another"))
            return
        if script.answer in ("full", "misdirected"):
            status = 503 if script.answer == "full" else 421
            responder.respond(status, self._not_run(attempt_id))
            return
        inputs = req.headers.get("x-inputs").split(",")
        if script.lost_handles.intersection(inputs):
            script.lost_handles.clear()
            responder.respond(409, self._not_run(attempt_id))
            return
        run = ReplicaRun(attempt_id, req.target, req.headers, req.body)
        self.runs.append(run)
        is_deadly = self._is_deadly(req)
        if is_deadly:
            self.deadly_arrivals.append(self._timers.now())
        try:
            await self._timers.sleep(script.work_s)
            if is_deadly:
                self.crash()
                return
            if script.answer == "mute":
                await asyncio.Event().wait()
            await self._answer(req, responder, attempt_id)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    def _is_deadly(self, req: ServerRequest) -> bool:
        part, body = self.script.deadly_part, self.script.deadly_body
        if body and req.body == body:
            return True
        return bool(part) and f"{part}:" in req.headers.get("x-prefix-hash")

    async def _answer(
        self, req: ServerRequest, responder: ServerResponder, attempt_id: str
    ) -> None:
        script = self.script
        if script.answer == "foreign":
            attempt_id = "another"
        headers = Headers(
            [
                (b"X-Attempt-Id", attempt_id.encode()),
                (b"X-Replica-Stamp", self.identifier.encode()),
                *self._notices(),
            ]
        )
        if script.answer == "reset":
            responder.abort()
        elif script.answer == "error":
            responder.respond(500, headers, b"failed")
        elif script.answer == "truncated":
            responder.start(200, headers, 100)
            await responder.write(b"short")
            responder.abort()
        elif "x-model" in req.headers:
            await self._stream(req, responder, headers)
        else:
            responder.respond(200, headers, b"answer " + req.target)

    def _not_run(self, attempt_id: str) -> Headers:
        fields = [(b"X-Not-Executed", b"1"), (b"X-Attempt-Id", attempt_id.encode())]
        return Headers([*fields, *self._notices()])

    def _notices(self) -> list[tuple[bytes, bytes]]:
        """Return what the replica says about itself in each answer."""
        fields = []
        if self.script.leaving:
            fields.append((b"Server-Leaving", b"1"))
        if self.script.rate_limit:
            fields.append((b"Server-Limit", self.script.rate_limit.encode()))
        if self.script.load:
            fields.append((b"X-Replica-Load", self.script.load.encode()))
        if self.script.cold_ms:
            fields.append((b"X-Cold-Ms", self.script.cold_ms.encode()))
        if self.script.retry_after and self.script.answer == "full":
            fields.append((b"Retry-After", self.script.retry_after.encode()))
        return fields

    async def _stream(
        self, req: ServerRequest, responder: ServerResponder, headers: Headers
    ) -> None:
        script = self.script
        first = int(req.headers.get("last-event-id") or 0) + 1
        responder.start(200, headers, None)
        for number in range(first, script.events + 1):
            if number - first == script.cut_after:
                # The end of a stream that stops in the middle of an event.
                await responder.write(b"id: %d\ndata: " % number)
                await self._timers.sleep(0.02)
                responder.abort()
                return
            if number - first == script.trickle_after:
                while True:
                    await responder.write(b":")
                    await self._timers.sleep(0.02)
            event = f"id: {number}\ndata: {script.label}{number}\n\n"
            await responder.write(event.encode())
            await self._timers.sleep(script.event_gap_s)
        responder.finish()

    # Stages

    async def _run_stage(self, req: ServerRequest, responder: ServerResponder) -> None:
        items = msgspec.json.decode(req.body)["Items"]
        if self.script.answer == "full":
            fields = [(b"X-Not-Executed", b"1"), *self._notices()]
            responder.respond(503, Headers(fields))
            return
        self.stage_calls.append(items)
        await self._timers.sleep(self.script.work_s)
        if self.script.answer == "reset":
            responder.abort()
            return
        if self.script.answer == "repeat":
            self.script.answer = "ok"
            responder.respond(200, Headers(self._notices()), self._last_results)
            return
        results = [self._result() for _ in items]
        self.results.extend(r["Handle"] for r in results if "Handle" in r)
        body = self._last_results = msgspec.json.encode({"Items": results})
        responder.respond(200, Headers(self._notices()), body)

    def _report(self, responder: ServerResponder) -> None:
        self.reports += 1
        report = {
            "Queued": 0,
            "Busy": False,
            "FreeMb": self.free_bytes // 1_000_000,
            "born": self.born,
        }
        fields = Headers(self._notices())
        responder.respond(200, fields, msgspec.json.encode(report))

    def _result(self) -> dict:
        if self.script.stage_fault:
            reason, self.script.stage_fault = self.script.stage_fault, ""
            return {"Reason": reason}
        return {"Handle": f"{self.address}/{next(self._handles):x}"}
