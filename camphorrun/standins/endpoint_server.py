"""Stand-in of an endpoint: an engine, a pool or a plain service, over HTTP."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from ..clients import (
    EXECUTED_HEADER,
    FENCING_HEADER,
    KEY_HEADER,
    EndpointReply,
    StreamPart,
    create_session,
)
from ..core import TimerService
from ..pipeline import prompt_prefix
from .operations import fingerprint, input_units, run_operation, streamed_text
from .orders import Order, OrderBook, OrderError
from .prefix_cache import PrefixCache

MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_RECORDED = 200_000
WEIGHTS_TIMEOUT_SECONDS = 30.0
_ERROR_HEADER = "X-Error-Code"


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Load as the endpoint reports it, which may lag."""

    in_flight: int = 0
    queued: int = 0


@dataclass(frozen=True, slots=True)
class EndpointProfile:
    """Service time curve, batch size, queue and faults of a stand-in endpoint.

    A call takes ``base_s + input_units * input_unit_s + output_units *
    output_unit_s``, times ``slow_factor``, and ``batch_slowdown`` more for each other
    call in the batch. Calls beyond ``batch`` wait. With a cached prefix, the input
    costs nothing.

    Faults: ``fail_share`` of the calls fail at once, ``cut_share`` of the streams break
    after their first part, ``stalled`` stops all progress until it ends, and ``silent``
    accepts calls and never answers them. ``batch``, the cache, the URL of the weight
    store, ``max_models`` and ``busy_role_change`` cannot change while it runs.
    """

    base_s: float = 0.002
    input_unit_s: float = 0.0
    output_unit_s: float = 0.0
    batch: int = 8
    batch_slowdown: float = 0.0
    max_queue: int = 1000
    slow_factor: float = 1.0
    fail_share: float = 0.0
    cut_share: float = 0.0
    stalled: bool = False
    silent: bool = False
    load_lag_s: float = 0.5
    checks_fencing: bool = False
    cache_prefixes: int = 0
    cache_event_lag_s: float = 1.0
    cache_loses_every: int = 0
    weight_store_url: str = ""
    max_models: int = 0
    busy_role_change: bool = False


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

    ``executions`` counts executions and ``busy_s`` adds up their time in the batch, by
    fingerprint of operation, model and input. ``effects`` counts executions by
    idempotency key.
    """

    calls: int = 0
    failed: int = 0
    cancelled: int = 0
    input_units: int = 0
    output_units: int = 0
    cache_hits: int = 0
    effects: dict[str, int] = field(default_factory=dict)
    executions: dict[str, int] = field(default_factory=dict)
    busy_s: dict[str, float] = field(default_factory=dict)


class _Share:
    """Selects a share of calls evenly, without chance."""

    def __init__(self):
        self._credit = 0.0

    def take(self, share: float) -> bool:
        """Return whether the next call is one of the share."""
        self._credit += share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


class EndpointServer:
    """Serves calls at the speed of its profile and records their effects.

    Attributes
    ----------
    profile : EndpointProfile
        May be replaced at any time to inject faults.
    usage : EndpointUsage
        Executed work.
    orders : OrderBook
        Models and role of the endpoint.
    """

    def __init__(self, timers: TimerService, profile: EndpointProfile):
        self._timers = timers
        self.profile = profile
        self.usage = EndpointUsage()
        self.orders = OrderBook(
            self._fetch_weights, profile.max_models, profile.busy_role_change
        )
        self._cache = PrefixCache(
            timers,
            profile.cache_prefixes,
            profile.cache_event_lag_s,
            profile.cache_loses_every,
        )
        self._calls: dict[str, asyncio.Task] = {}
        self._queued = 0
        self._executing = 0
        self._slots = asyncio.Semaphore(profile.batch)
        self._resumed = asyncio.Event()
        self._resumed.set()
        # Calls and orders carry offsets of different streams as tokens.
        self._fencing_tokens = {"calls": 0, "orders": 0}
        self._failures = _Share()
        self._cuts = _Share()
        self._reported = EndpointLoad()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/v1/calls", self._call)
        app.router.add_delete("/v1/calls/{call_id}", self._cancel)
        app.router.add_get("/v1/load", self._load)
        app.router.add_get("/v1/cache_events", self._cache_events)
        app.router.add_get("/v1/orders", self._get_orders)
        app.router.add_post("/v1/orders", self._post_order)
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

    # Calls.

    async def _call(self, req: web.Request) -> web.StreamResponse:
        try:
            body = msgspec.json.decode(await req.read(), type=CallBody)
        except (UnicodeDecodeError, msgspec.DecodeError) as exc:
            return _error(400, "bad_call", str(exc))
        if self.profile.silent:
            await asyncio.Event().wait()
        refusal = self._refuse(req)
        if refusal is not None:
            return refusal
        self._calls[body.call_id] = asyncio.current_task()
        try:
            return await self._execute(req, body)
        except asyncio.CancelledError:
            self.usage.cancelled += 1
            raise
        except ConnectionResetError:
            # The agent left between two writes; the call counts as cancelled.
            self.usage.cancelled += 1
            raise asyncio.CancelledError from None
        finally:
            self._calls.pop(body.call_id, None)

    def _refuse(self, req: web.Request) -> web.Response | None:
        if not self._passes_fencing(req, "calls"):
            return _error(409, "stale_fencing_token", "token is outdated")
        if self._queued >= self.profile.max_queue:
            refusal = _error(503, "endpoint_queue_full", "queue is full")
            refusal.headers[EXECUTED_HEADER] = "false"
            return refusal
        if self._failures.take(self.profile.fail_share):
            self.usage.failed += 1
            return _error(500, "endpoint_error", "injected failure")
        return None

    def _passes_fencing(self, req: web.Request, kind: str) -> bool:
        token = int(req.headers.get(FENCING_HEADER, "0"))
        if not self.profile.checks_fencing or not token:
            return True
        if token < self._fencing_tokens[kind]:
            return False
        self._fencing_tokens[kind] = token
        return True

    async def _execute(self, req: web.Request, body: CallBody) -> web.StreamResponse:
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        try:
            await self._resumed.wait()
            mark = fingerprint(body.operation, body.model, body.input)
            self._record(req, body, mark)
            async with self._busy(mark):
                if body.stream:
                    return await self._stream(req, body)
                return await self._answer(body)
        finally:
            self._slots.release()

    @asynccontextmanager
    async def _busy(self, mark: str) -> AsyncIterator[None]:
        """Add the time of a call in the batch to the usage, also if it is cut off."""
        begun_at = self._timers.now()
        self._executing += 1
        try:
            yield
        finally:
            self._executing -= 1
            elapsed_s = self._timers.now() - begun_at
            if mark in self.usage.executions:
                spent_s = self.usage.busy_s.get(mark, 0.0)
                self.usage.busy_s[mark] = spent_s + elapsed_s

    def _record(self, req: web.Request, body: CallBody, mark: str) -> None:
        self.usage.calls += 1
        self.usage.input_units += input_units(body.input)
        _count(self.usage.executions, mark)
        key = req.headers.get(KEY_HEADER, "")
        if key:
            _count(self.usage.effects, key)

    async def _answer(self, body: CallBody) -> web.Response:
        units = input_units(body.input)
        work_s = self._input_s(body, units)
        work_s += body.output_units * self.profile.output_unit_s
        await self._work(work_s)
        output = run_operation(body.operation, body.model, body.input)
        self.usage.output_units += body.output_units
        reply = EndpointReply(
            msgspec.Raw(msgspec.json.encode(output)), units, body.output_units
        )
        return _json(reply)

    async def _stream(self, req: web.Request, body: CallBody) -> web.StreamResponse:
        resp = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await resp.prepare(req)
        is_cut = self._cuts.take(self.profile.cut_share)
        units = input_units(body.input)
        await self._work(self._input_s(body, units))
        texts = streamed_text(
            body.operation, body.model, body.input, max(1, body.output_units)
        )
        for sequence, text in enumerate(texts):
            if sequence < body.from_sequence:
                continue
            await self._work(self.profile.output_unit_s)
            self.usage.output_units += 1
            await _write_line(resp, StreamPart(sequence, text, 1))
            if is_cut and req.transport is not None:
                req.transport.abort()
                raise ConnectionResetError("injected cut")
        end = StreamPart(
            len(texts), "", 0, end=True, input_units=units, output_units=len(texts)
        )
        await _write_line(resp, end)
        return resp

    def _input_s(self, body: CallBody, units: int) -> float:
        """Return the time until the first output, which a cached prefix shortens."""
        prefix = prompt_prefix(msgspec.json.encode(body.input))
        if self._cache.use(prefix):
            self.usage.cache_hits += 1
            return self.profile.base_s
        return self.profile.base_s + units * self.profile.input_unit_s

    async def _work(self, seconds: float) -> None:
        """Spend time at the speed of the batch as it is now."""
        shared = 1.0 + self.profile.batch_slowdown * (self._executing - 1)
        await self._timers.sleep(seconds * shared * self.profile.slow_factor)
        await self._resumed.wait()

    async def _cancel(self, req: web.Request) -> web.Response:
        task = self._calls.get(req.match_info["call_id"])
        if task is not None:
            task.cancel()
        return web.Response(status=204)

    # Reports.

    async def _load(self, _req: web.Request) -> web.Response:
        present = EndpointLoad(self._executing, self._queued)
        reported = self._reported
        self._timers.call_after(
            self.profile.load_lag_s, lambda: self._set_reported(present)
        )
        return _json(reported)

    def _set_reported(self, load: EndpointLoad) -> None:
        self._reported = load

    async def _cache_events(self, req: web.Request) -> web.Response:
        offset = int(req.query.get("offset", "1"))
        return _json(self._cache.events(offset))

    async def _usage(self, _req: web.Request) -> web.Response:
        return _json(self.usage)

    # Orders.

    async def _get_orders(self, _req: web.Request) -> web.Response:
        return _json(self.orders.state())

    async def _post_order(self, req: web.Request) -> web.Response:
        if not self._passes_fencing(req, "orders"):
            return _error(409, "stale_fencing_token", "token is outdated")
        try:
            order = msgspec.json.decode(await req.read(), type=Order)
            return _json(await self.orders.execute(order))
        except msgspec.DecodeError as exc:
            return _error(400, "bad_order", str(exc))
        except OrderError as exc:
            return _error(503, exc.code, str(exc))

    async def _fetch_weights(self, model: str) -> None:
        url = self.profile.weight_store_url
        if not url:
            return
        timeout = aiohttp.ClientTimeout(total=WEIGHTS_TIMEOUT_SECONDS)
        try:
            async with (
                create_session(timeout=timeout) as session,
                session.get(f"{url}/v1/weights/{model}") as resp,
            ):
                if resp.status != 200:
                    raise OrderError("weight store refused", code="weights_limited")
                await resp.read()
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise OrderError(repr(exc), code="weights_unavailable") from exc

    async def _change_profile(self, req: web.Request) -> web.Response:
        try:
            fields = msgspec.json.decode(await req.read(), type=dict[str, Any])
            self.change(**fields)
        except (msgspec.DecodeError, TypeError) as exc:
            return _error(400, "bad_profile", str(exc))
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
