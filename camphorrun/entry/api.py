"""HTTP interface for callers."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import msgspec
from aiohttp import web

from ..configuration import Account
from ..core import TimerService
from ..messages import ResultPart
from ..metrics import Metrics
from ..pipeline import Outcome, OutcomeStatus, RequestPlan
from .errors import RequestError
from .key_service import KeyService
from .outcome_cache import OutcomeCache
from .planner import Planner
from .request_service import RequestService, total_cost

KEY_HEADER = "Idempotency-Key"
MAX_BUFFERED_EVENTS = 4096
# A caller that reads nothing for this long has gone, even if its connection is open.
CALLER_WRITE_SECONDS = 30.0
_CONFIGURATION_CODES = frozenset({"bad_credential", "not_ready", "unknown_template"})
_LOOKUP_CODES = frozenset({"no_outcome", "no_request"})
_NOT_RUN_STATUS = {
    "deadline_passed": 400,
    "deadline_unreachable": 503,
    "key_reused": 409,
    "key_voided": 409,
    "overloaded": 503,
    "over_share": 429,
    "too_many_requests": 503,
}


class CallerRoutes:
    """Routes of ``/v1`` for callers.

    Parameters
    ----------
    planner, service, cache, keys
        Parts that serve the requests.
    is_open : callable
        Whether new requests are accepted.
    is_ready : callable
        Whether the configuration in memory may be used.
    timers, metrics
        Clock and counters.
    """

    def __init__(
        self,
        planner: Planner,
        service: RequestService,
        cache: OutcomeCache,
        keys: KeyService,
        *,
        is_open: Callable[[], bool],
        is_ready: Callable[[], bool],
        timers: TimerService,
        metrics: Metrics,
    ):
        self._planner = planner
        self._service = service
        self._cache = cache
        self._keys = keys
        self._is_open = is_open
        self._is_ready = is_ready
        self._timers = timers
        self._metrics = metrics

    def register_routes(self, app: web.Application) -> None:
        """Register the routes."""
        app.router.add_post("/v1/pipelines/{template}/requests", self._request)
        app.router.add_get("/v1/outcomes/{key}", self._outcome)
        app.router.add_get("/v1/keys", self._key)
        app.router.add_get("/v1/requests/{request_id}", self._explain)

    @web.middleware
    async def errors(self, req: web.Request, handler) -> web.StreamResponse:
        """Answer every refusal of a request in the same form."""
        try:
            return await handler(req)
        except RequestError as exc:
            self._metrics.refusals.labels(exc.code).inc()
            return _json(exc.http_status, _error_body(exc, KEY_HEADER in req.headers))
        except web.RequestPayloadError:
            self._metrics.refusals.labels("bad_body").inc()
            exc = RequestError(
                "the body does not match its content encoding",
                code="bad_body",
                field="body",
            )
            return _closing(400, _error_body(exc, KEY_HEADER in req.headers))
        except web.HTTPRequestEntityTooLarge:
            self._metrics.refusals.labels("body_too_large").inc()
            exc = RequestError("body is too large", code="body_too_large", field="body")
            return _closing(413, _error_body(exc, KEY_HEADER in req.headers))

    async def _request(self, req: web.Request) -> web.StreamResponse:
        self._check_ready()
        account = self._planner.authenticate(req.headers.get("Authorization", ""))
        body = self._planner.decode_body(await req.read())
        key = req.headers.get(KEY_HEADER, "")
        plan = self._planner.plan(
            req.match_info["template"], account, body, key, self._timers.now()
        )
        refusal = self._refusal(plan)
        if refusal:
            return _outcome_response(await self._service.refuse(plan, refusal))
        if body.stream:
            return await self._stream(req, plan, account)
        outcome = await self._service.run(plan, account)
        return _outcome_response(outcome)

    def _refusal(self, plan: RequestPlan) -> str:
        """Return why a request may not start at this entry, empty if it may."""
        if plan.deadline_at <= self._timers.now():
            return "deadline_passed"
        return "" if self._is_open() else "draining"

    def _check_ready(self) -> None:
        """Refuse while the configuration in memory may be missing or outdated.

        A client account that is missing then would be told that its credential is
        wrong.
        """
        if not self._is_ready():
            raise RequestError(
                "this entry is reading the configuration; use another one",
                code="not_ready",
                http_status=503,
            )

    async def _stream(
        self, req: web.Request, plan: RequestPlan, account: Account
    ) -> web.StreamResponse:
        """Answer with NDJSON: parts as they come, then the outcome."""
        events: asyncio.Queue = asyncio.Queue(maxsize=MAX_BUFFERED_EVENTS)
        resp = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await resp.prepare(req)
        run = asyncio.ensure_future(self._run_into(events, plan, account))
        try:
            while True:
                event = await events.get()
                async with asyncio.timeout(CALLER_WRITE_SECONDS):
                    await resp.write(msgspec.json.encode(event) + b"\n")
                if event["event"] == "outcome":
                    return resp
        finally:
            run.cancel()

    async def _run_into(
        self, events: asyncio.Queue, plan: RequestPlan, account: Account
    ) -> None:
        def on_part(part: ResultPart | None) -> None:
            # A caller that does not read misses parts, so that buffering stays bounded.
            # The outcome event holds the whole output.
            try:
                events.put_nowait(_part_event(part))
            except asyncio.QueueFull:
                self._metrics.drops.labels("slow_caller").inc()

        try:
            outcome = await self._service.run(plan, account, on_part)
        except RequestError as exc:
            await events.put({"event": "outcome", **_error_body(exc, bool(plan.key))})
            return
        await events.put({"event": "outcome", **outcome_body(outcome)})

    async def _outcome(self, req: web.Request) -> web.Response:
        self._check_ready()
        account = self._planner.authenticate(req.headers.get("Authorization", ""))
        key = req.match_info["key"]
        outcome = await self._cache.find(account.name, key, "")
        if outcome is None:
            stages = self._planner.non_idempotent_stages(account)
            outcome = self._keys.recorded_outcome(account.name, key, stages)
        if outcome is None:
            raise RequestError(
                "no outcome is known for this key",
                code="no_outcome",
                field="key",
                http_status=404,
            )
        return _outcome_response(outcome)

    async def _key(self, req: web.Request) -> web.Response:
        self._check_ready()
        self._planner.authenticate(req.headers.get("Authorization", ""))
        return _json(200, {"prefix": await self._keys.mint()})

    async def _explain(self, req: web.Request) -> web.Response:
        account = self._planner.authenticate(req.headers.get("Authorization", ""))
        outcome = self._service.explain(req.match_info["request_id"], account.name)
        if outcome is None:
            raise RequestError(
                "no such recent request", code="no_request", http_status=404
            )
        return _json(200, explanation(outcome))


def outcome_body(outcome: Outcome) -> dict[str, Any]:
    """Return the JSON form of an outcome."""
    body: dict[str, Any] = {
        "request_id": outcome.request_id,
        "status": outcome.status.value,
        "code": outcome.code,
    }
    if outcome.status is OutcomeStatus.ANSWERED:
        body["output"] = msgspec.Raw(outcome.output)
        body["cost"] = {name: asdict(c) for name, c in total_cost(outcome).items()}
        return body
    body["detail"] = outcome.detail
    body["safe_to_repeat"] = outcome.safe_to_repeat
    body["cost"] = {name: asdict(c) for name, c in total_cost(outcome).items()}
    if outcome.field:
        body["field"] = outcome.field
    if outcome.retry_after_s > 0:
        body["retry_after_s"] = round(outcome.retry_after_s, 3)
    return body


def explanation(outcome: Outcome) -> dict[str, Any]:
    """Return the stages and attempts of a request for a person who asks why."""
    body = outcome_body(outcome)
    body["stages"] = [asdict(stage) for stage in outcome.stages]
    return body


def _part_event(part: ResultPart | None) -> dict[str, Any]:
    if part is None:
        return {"event": "restart"}
    text = part.data.decode()
    return {"event": "part", "sequence": part.sequence, "text": text}


def _outcome_response(outcome: Outcome) -> web.Response:
    status = 200
    if outcome.status is OutcomeStatus.NOT_RUN:
        status = _NOT_RUN_STATUS.get(outcome.code, 503)
    elif outcome.status is OutcomeStatus.OUTCOME_UNKNOWN:
        status = 504
    return _json(status, outcome_body(outcome), outcome.retry_after_s)


def _error_body(exc: RequestError, has_key: bool) -> dict[str, Any]:
    """Return the JSON form of a refusal of a request.

    A code that depends on the configuration says nothing about an earlier request with
    the same key, which may have run through another entry: with a key its status is
    ``outcome_unknown``. So is a lookup that finds nothing. Other codes say that this
    body can't run.
    """
    status = OutcomeStatus.NOT_RUN
    depends = has_key and exc.code in _CONFIGURATION_CODES
    if depends or exc.code in _LOOKUP_CODES:
        status = OutcomeStatus.OUTCOME_UNKNOWN
    return {
        "status": status.value,
        "code": exc.code,
        "detail": str(exc),
        "field": exc.field,
        "safe_to_repeat": status is OutcomeStatus.NOT_RUN,
    }


def _closing(status: int, body: object) -> web.Response:
    """Return an answer after which the connection closes: its body was not read."""
    resp = _json(status, body)
    resp.force_close()
    return resp


def _json(status: int, body: object, retry_after_s: float = 0.0) -> web.Response:
    headers = {}
    if retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(retry_after_s))
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type="application/json",
        headers=headers,
    )
