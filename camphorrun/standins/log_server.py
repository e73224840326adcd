"""Stand-in of the platform's log service over HTTP."""

import asyncio
from dataclasses import dataclass
from typing import Literal

import msgspec
from aiohttp import web

from ..clients import AppendReply, AppendRequest
from ..core import AppendFault, LogError, MemoryLog, TimerService

_EXPIRY_SECONDS = 1.0
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_WAIT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class LogFaults:
    """Faults of the log service; the defaults are none.

    ``appends`` names the faults of the next appends: ``refused``, ``reply_lost`` or
    ``lost_before_effect``.
    """

    available: bool = True
    delay_s: float = 0.0
    appends: tuple[Literal["refused", "reply_lost", "lost_before_effect"], ...] = ()


class LogServer:
    """Serves a ``MemoryLog`` with the protocol that ``LogClient`` speaks.

    Attributes
    ----------
    log : MemoryLog
        The records; its faults apply to all clients.
    """

    def __init__(self, timers: TimerService, retention_s: float = 7 * 86400.0):
        self.log = MemoryLog(timers, retention_s)
        self._timers = timers

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        path = "/v1/streams/{stream}/records"
        app.router.add_post(path, self._append)
        app.router.add_get(path, self._read)
        app.router.add_post("/v1/faults", self._set_faults)
        app.cleanup_ctx.append(self._expire_regularly)
        return app

    def set_faults(self, faults: LogFaults) -> None:
        """Replace all faults."""
        self.log.available = faults.available
        self.log.delay_s = faults.delay_s
        self.log.append_faults = [AppendFault(name) for name in faults.appends]

    async def _expire_regularly(self, _app: web.Application):
        subscription = self._timers.subscribe(_EXPIRY_SECONDS, self.log.expire)
        yield
        subscription.cancel()

    async def _append(self, req: web.Request) -> web.Response:
        body = msgspec.json.decode(await req.read(), type=AppendRequest)
        try:
            offset = await self.log.append(req.match_info["stream"], body.values)
        except LogError as exc:
            return _refusal(exc)
        return _json(AppendReply(offset))

    async def _read(self, req: web.Request) -> web.Response:
        query = req.query
        wait_s = min(MAX_WAIT_SECONDS, int(query.get("wait_ms", "0")) / 1000)
        try:
            page = await self.log.read(
                req.match_info["stream"],
                int(query["offset"]),
                int(query.get("limit", "500")),
                wait_s,
            )
        except LogError as exc:
            return _refusal(exc)
        return _json(page)

    async def _set_faults(self, req: web.Request) -> web.Response:
        try:
            faults = msgspec.json.decode(await req.read(), type=LogFaults)
        except msgspec.DecodeError as exc:
            return web.Response(status=400, text=str(exc))
        self.set_faults(faults)
        return _json({})


def _refusal(exc: LogError) -> web.Response:
    # A lost reply must reach the client as such: the connection breaks.
    if exc.code == "append_uncertain":
        raise asyncio.CancelledError
    return web.Response(status=503, text=str(exc))


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
