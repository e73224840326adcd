"""Stand-in of an endpoint: an engine, a pool or a plain service, over HTTP."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec
from aiohttp import web

from ..core import TimerService
from ..platform import (
    FENCING_HEADER,
    KEY_HEADER,
    EndpointLoad,
    EndpointReply,
    StreamPart,
)
from .operations import fingerprint, input_units, run_operation, streamed_text

MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_RECORDED = 200_000
_ERROR_HEADER = "X-Error-Code"


@dataclass(frozen=True, slots=True)
class EndpointProfile:
    """Service time curve, batch size, queue and faults of a stand-in endpoint.

    Times are seconds. A call takes ``base_s + input_units * input_unit_s +
    output_units * output_unit_s``, multiplied by ``slow_factor`` and, when more than
    ``batch`` calls run, by the overload. ``fail_share`` of the calls fail at once.
    """

    base_s: float = 0.002
    input_unit_s: float = 0.0
    output_unit_s: float = 0.0
    batch: int = 8
    max_queue: int = 1000
    slow_factor: float = 1.0
    fail_share: float = 0.0
    stalled: bool = False
    load_lag_s: float = 0.5
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class CallBody:
    """Body of a call as ``EndpointClient`` sends it."""

    call_id: str
    operation: str
    model: str = ""
    input: Any = None
    priority: int = 2
    stream: bool = False
    output_units: int = 0
    from_sequence: int = 0


@dataclass(slots=True)
class EndpointUsage:
    """What an endpoint executed: calls, units, and keyed effects.

    ``executions`` counts executions by fingerprint of operation, model and input.
    """

    calls: int = 0
    failed: int = 0
    cancelled: int = 0
    input_units: int = 0
    output_units: int = 0
    effects: dict[str, int] = field(default_factory=dict)
    executions: dict[str, int] = field(default_factory=dict)


class EndpointServer:
    """Serves calls at the speed of its profile and records their effects.

    Attributes
    ----------
    profile : EndpointProfile
        May be replaced at any time to inject faults.
    usage : EndpointUsage
        Executed work; ``effects`` counts executions by idempotency key.
    """

    def __init__(self, timers: TimerService, profile: EndpointProfile):
        self._timers = timers
        self.profile = profile
        self.usage = EndpointUsage()
        self._running: dict[str, asyncio.Task] = {}
        self._queued = 0
        self._slots = asyncio.Semaphore(profile.batch)
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._fencing_token = 0
        self._failure_credit = 0.0
        self._reported = EndpointLoad()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/v1/calls", self._call)
        app.router.add_delete("/v1/calls/{call_id}", self._cancel)
        app.router.add_get("/v1/load", self._load)
        app.router.add_get("/v1/usage", self._usage)
        app.router.add_post("/v1/profile", self._change_profile)
        return app

    def change(self, **fields: Any) -> None:
        """Replace fields of the profile, for instance to slow the endpoint down."""
        self.profile = replace(self.profile, **fields)
        if self.profile.stalled:
            self._resumed.clear()
        else:
            self._resumed.set()

    async def _call(self, req: web.Request) -> web.StreamResponse:
        try:
            body = msgspec.json.decode(await req.read(), type=CallBody)
        except msgspec.DecodeError as exc:
            return _error(400, "bad_call", str(exc))
        refusal = self._refuse(req)
        if refusal is not None:
            return refusal
        task = asyncio.current_task()
        self._running[body.call_id] = task
        try:
            return await self._execute(req, body)
        except asyncio.CancelledError:
            self.usage.cancelled += 1
            raise
        finally:
            self._running.pop(body.call_id, None)

    def _refuse(self, req: web.Request) -> web.Response | None:
        token = int(req.headers.get(FENCING_HEADER, "0"))
        if self.profile.checks_fencing and token:
            if token < self._fencing_token:
                return _error(409, "stale_fencing_token", "token is outdated")
            self._fencing_token = token
        if self._queued >= self.profile.max_queue:
            return _error(503, "endpoint_queue_full", "queue is full")
        self._failure_credit += self.profile.fail_share
        if self._failure_credit >= 1.0:
            self._failure_credit -= 1.0
            self.usage.failed += 1
            return _error(500, "endpoint_error", "injected failure")
        return None

    async def _execute(self, req: web.Request, body: CallBody) -> web.StreamResponse:
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        try:
            await self._resumed.wait()
            self._record(req, body)
            if body.stream:
                return await self._stream(req, body)
            return await self._answer(body)
        finally:
            self._slots.release()

    def _record(self, req: web.Request, body: CallBody) -> None:
        self.usage.calls += 1
        self.usage.input_units += input_units(body.input)
        mark = fingerprint(body.operation, body.model, body.input)
        _count(self.usage.executions, mark)
        key = req.headers.get(KEY_HEADER, "")
        if key:
            _count(self.usage.effects, key)

    async def _answer(self, body: CallBody) -> web.Response:
        units = input_units(body.input)
        await self._timers.sleep(self._duration_s(units, body.output_units))
        output = run_operation(body.operation, body.model, body.input)
        self.usage.output_units += body.output_units
        reply = EndpointReply(
            msgspec.Raw(msgspec.json.encode(output)), units, body.output_units
        )
        return _json(reply)

    async def _stream(self, req: web.Request, body: CallBody) -> web.StreamResponse:
        resp = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await resp.prepare(req)
        units = input_units(body.input)
        await self._timers.sleep(self._duration_s(units, 0))
        texts = streamed_text(
            body.operation, body.model, body.input, max(1, body.output_units)
        )
        for sequence, text in enumerate(texts):
            if sequence < body.from_sequence:
                continue
            await self._timers.sleep(self.profile.output_unit_s * self._slowness())
            await self._resumed.wait()
            self.usage.output_units += 1
            await _write_line(resp, StreamPart(sequence, text, 1))
        end = StreamPart(
            len(texts), "", 0, end=True, input_units=units, output_units=len(texts)
        )
        await _write_line(resp, end)
        return resp

    def _duration_s(self, input_count: int, output_count: int) -> float:
        profile = self.profile
        work_s = profile.base_s + input_count * profile.input_unit_s
        work_s += output_count * profile.output_unit_s
        return work_s * self._slowness()

    def _slowness(self) -> float:
        return self.profile.slow_factor

    async def _cancel(self, req: web.Request) -> web.Response:
        task = self._running.get(req.match_info["call_id"])
        if task is not None:
            task.cancel()
        return web.Response(status=204)

    async def _load(self, _req: web.Request) -> web.Response:
        present = EndpointLoad(len(self._running) - self._queued, self._queued)
        reported = self._reported
        self._timers.call_after(
            self.profile.load_lag_s, lambda: self._set_reported(present)
        )
        return _json(reported)

    def _set_reported(self, load: EndpointLoad) -> None:
        self._reported = load

    async def _usage(self, _req: web.Request) -> web.Response:
        return _json(self.usage)

    async def _change_profile(self, req: web.Request) -> web.Response:
        self.change(**(await req.json()))
        return web.Response(status=204)


def _count(counts: dict[str, int], name: str) -> None:
    """Count an execution; a full table keeps counting the names that it has."""
    if name in counts or len(counts) < MAX_RECORDED:
        counts[name] = counts.get(name, 0) + 1


async def _write_line(resp: web.StreamResponse, part: StreamPart) -> None:
    await resp.write(msgspec.json.encode(part) + b"\n")


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def _error(status: int, code: str, text: str) -> web.Response:
    return web.Response(status=status, text=text, headers={_ERROR_HEADER: code})
