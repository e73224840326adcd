"""Sends a trace open loop to entries and records what their callers see."""

import asyncio
from typing import Any

import aiohttp
import msgspec

from ..core import TimerService
from .expectations import Expectation, expect
from .records import ANSWERED, NO_RESPONSE, RequestRecord
from .requests import TraceRequest, request_input
from .scenarios import Scenario

# Callers wait this long beyond their deadline, so that a late outcome is recorded too.
PATIENCE_SECONDS = 5.0
MAX_ENTRIES_ASKED = 4
ASK_AGAIN_SECONDS = 0.05
CONTROL_TIMEOUT_SECONDS = 10.0
_KEY_HEADER = "Idempotency-Key"


class TraceDriver:
    """Replays a trace against running entries.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections of all callers.
    urls : list of str
        Base URLs of the entries; callers spread over them in turn.
    scenario : Scenario
        Templates and client accounts of the trace.
    timers : TimerService
        Clock.
    speed : float
        Factor by which arrivals are faster than recorded; deadlines stay.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls: list[str],
        scenario: Scenario,
        timers: TimerService,
        speed: float = 1.0,
    ):
        self._session = session
        self._urls = urls
        self._scenario = scenario
        self._timers = timers
        self._speed = speed
        self._prefixes: dict[str, str] = {}

    async def prepare(self, trace: list[TraceRequest]) -> None:
        """Fetch one key prefix for each client account."""
        for name in sorted({req.account for req in trace}):
            self._prefixes[name] = await self._fetch_prefix(name)

    async def run(self, trace: list[TraceRequest]) -> list[RequestRecord]:
        """Send every request at its time and return the records in trace order."""
        started_at = self._timers.now()
        tasks = []
        for index, req in enumerate(trace):
            due_at = started_at + req.at_s / self._speed
            delay_s = due_at - self._timers.now()
            if delay_s > 0:
                await self._timers.sleep(delay_s)
            caller = _Caller(self, req, index, due_at)
            tasks.append(asyncio.ensure_future(caller.run()))
        return list(await asyncio.gather(*tasks))

    async def _fetch_prefix(self, account: str) -> str:
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        headers = self.headers(account)
        async with self._session.get(
            f"{self._urls[0]}/v1/keys", headers=headers, timeout=timeout
        ) as resp:
            resp.raise_for_status()
            return (await resp.json())["prefix"]

    def headers(self, account: str) -> dict[str, str]:
        """Return the credential header of a client account."""
        secret = self._scenario.account(account).secret
        return {"Authorization": f"Bearer {account}:{secret}"}

    def key(self, req: TraceRequest, index: int) -> str:
        """Return the idempotency key of a request, empty if it has none."""
        if req.key == "none":
            return ""
        suffix = f"r{index}" if req.key == "own" else f"s-{req.key}"
        return f"{self._prefixes[req.account]}.{suffix}"

    def url(self, number: int) -> str:
        """Return the URL of an entry; consecutive numbers give different entries."""
        return self._urls[number % len(self._urls)]

    def expectation(self, req: TraceRequest, value: Any) -> Expectation:
        """Return the answer that the request must get."""
        scenario = self._scenario
        return expect(
            scenario.template(req.template),
            scenario.parameters(req),
            value,
            req.max_output,
        )

    def new_record(self, req: TraceRequest, index: int) -> RequestRecord:
        """Return an empty record for a request."""
        parameters = self._scenario.parameters(req)
        stages = self._scenario.template(req.template).stages
        return RequestRecord(
            index,
            req.at_s,
            req.template,
            req.account,
            parameters.priority,
            self._scenario.deadline_s(req),
            non_idempotent=tuple(s.name for s in stages if not s.idempotent),
        )

    @property
    def session(self) -> aiohttp.ClientSession:
        """Connections of the callers."""
        return self._session

    @property
    def timers(self) -> TimerService:
        """Clock of the callers."""
        return self._timers


class _Caller:
    """One request, asked at one entry after another until there is an outcome."""

    def __init__(
        self, driver: TraceDriver, req: TraceRequest, index: int, due_at: float
    ):
        self._driver = driver
        self._req = req
        self._index = index
        self._due_at = due_at
        self._record = driver.new_record(req, index)
        self._value = request_input(req, index)
        self._expected = driver.expectation(req, self._value)
        self._record.fingerprints = self._expected.fingerprints
        self._parts: list[str] = []
        self._part_at = -1.0

    async def run(self) -> RequestRecord:
        now = self._driver.timers.now
        record = self._record
        record.late_s = now() - self._due_at
        give_up_at = self._due_at + record.deadline_s + PATIENCE_SECONDS
        body = await self._ask_until(give_up_at)
        record.latency_s = now() - self._due_at
        if body is not None:
            self._judge(body)
        return record

    async def _ask_until(self, give_up_at: float) -> dict[str, Any] | None:
        timers = self._driver.timers
        while self._record.asked < MAX_ENTRIES_ASKED:
            remaining_s = give_up_at - timers.now()
            if remaining_s <= 0:
                return None
            url = self._driver.url(self._index + self._record.asked)
            self._record.asked += 1
            try:
                return await self._ask(url, remaining_s)
            except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
                await timers.sleep(ASK_AGAIN_SECONDS)
        return None

    async def _ask(self, url: str, timeout_s: float) -> dict[str, Any]:
        req = self._req
        self._parts = []
        headers = self._driver.headers(req.account)
        key = self._driver.key(req, self._index)
        if key:
            headers[_KEY_HEADER] = key
        body = {"input": self._value, "max_output": req.max_output}
        # A caller that asks again still has the deadline of its first attempt.
        spent_s = self._driver.timers.now() - self._due_at
        remaining_s = max(0.001, self._record.deadline_s - spent_s)
        body["deadline_ms"] = max(1, round(remaining_s * 1000))
        body["stream"] = req.stream
        async with self._driver.session.post(
            f"{url}/v1/pipelines/{req.template}/requests",
            json=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as resp:
            if not req.stream or resp.content_type != "application/x-ndjson":
                return msgspec.json.decode(await resp.read(), type=dict)
            return await self._follow(resp)

    async def _follow(self, resp: aiohttp.ClientResponse) -> dict[str, Any]:
        """Return the outcome event of a stream."""
        async for line in resp.content:
            event = msgspec.json.decode(line, type=dict)
            if event["event"] == "outcome":
                return event
            if event["event"] == "restart":
                self._parts = []
                continue
            self._note_part(event)
        raise aiohttp.ClientPayloadError("stream ended without an outcome")

    def _note_part(self, event: dict[str, Any]) -> None:
        now = self._driver.timers.now()
        if self._record.first_token_s < 0:
            self._record.first_token_s = now - self._due_at
        else:
            self._record.gaps_s.append(now - self._part_at)
        self._part_at = now
        if event["sequence"] != len(self._parts):
            self._record.fault = "part out of order"
        self._parts.append(event["text"])

    def _judge(self, body: dict[str, Any]) -> None:
        record = self._record
        record.status = body.get("status", NO_RESPONSE)
        record.code = body.get("code", "")
        record.cost = body.get("cost", {})
        if record.status != ANSWERED:
            return
        if body.get("output") != self._expected.output:
            record.fault = "answer belongs to another request or is incomplete"
        elif self._parts and "".join(self._parts) != body["output"]["text"]:
            record.fault = "parts differ from the answer"
        record.whole = not record.fault
