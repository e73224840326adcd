"""Stand-in of the platform's host list over HTTP, with a lag."""

import msgspec
import xxhash
from aiohttp import web

from ..clients import HostEntry, HostList
from ..core import TimerService


class HostListServer:
    """Serves a list that lags behind what the platform was told.

    Parameters
    ----------
    timers : TimerService
        Clock.
    lag_s : float
        Age of the answers in seconds.
    """

    def __init__(self, timers: TimerService, lag_s: float = 0.0):
        self._timers = timers
        self._lag_s = lag_s
        self._hosts: dict[str, HostEntry] = {}
        self._visible: HostList = HostList(())

    def put(self, entry: HostEntry) -> None:
        """Add or replace a host; it shows after the lag."""
        self._hosts[entry.host] = entry
        self._publish_later()

    def remove(self, host: str) -> None:
        """Remove a host; it disappears after the lag."""
        self._hosts.pop(host, None)
        self._publish_later()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/v1/hosts", self._get)
        app.router.add_put("/v1/hosts", self._put)
        app.router.add_delete("/v1/hosts/{host}", self._delete)
        return app

    def _publish_later(self) -> None:
        snapshot = HostList(tuple(self._hosts.values()))
        if self._lag_s <= 0:
            self._show(snapshot)
            return
        self._timers.call_after(self._lag_s, lambda: self._show(snapshot))

    def _show(self, snapshot: HostList) -> None:
        self._visible = snapshot

    async def _get(self, req: web.Request) -> web.Response:
        body = msgspec.json.encode(self._visible)
        etag = f'"{xxhash.xxh3_64_hexdigest(body)}"'
        if req.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        return web.Response(
            body=body, content_type="application/json", headers={"ETag": etag}
        )

    async def _put(self, req: web.Request) -> web.Response:
        self.put(msgspec.json.decode(await req.read(), type=HostEntry))
        return web.Response(status=204)

    async def _delete(self, req: web.Request) -> web.Response:
        self.remove(req.match_info["host"])
        return web.Response(status=204)
