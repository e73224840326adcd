"""HTTP routes of every daemon for the load balancer and for operators."""

import hmac
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from ..core import Lifecycle
from ..metrics import Metrics

_CONTENT_TYPE_METRICS = "text/plain; version=0.0.4; charset=utf-8"


class AdminRoutes:
    """Routes for health, readiness, metrics, status and drain.

    Parameters
    ----------
    lifecycle : Lifecycle
        Lifecycle of the daemon; it decides readiness and executes a drain.
    metrics : Metrics
        Collectors to expose.
    credential : str
        Bearer token that operators must send to drain the daemon.
    is_ready : callable
        Returns whether the daemon can serve, apart from its lifecycle state.
    status : callable
        Returns the JSON-encodable body of ``/v1/status``.
    """

    def __init__(
        self,
        lifecycle: Lifecycle,
        metrics: Metrics,
        credential: str,
        *,
        is_ready: Callable[[], bool],
        status: Callable[[], dict[str, Any]],
    ):
        self._lifecycle = lifecycle
        self._metrics = metrics
        self._credential = credential
        self._is_ready = is_ready
        self._status = status

    def register_routes(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        app.router.add_get("/metrics", self._render_metrics)
        app.router.add_get("/v1/status", self._render_status)
        app.router.add_post("/v1/drain", self._drain)

    def is_operator(self, req: web.Request) -> bool:
        """Return whether the request carries the operator credential."""
        expected = f"Bearer {self._credential}"
        given = req.headers.get("Authorization", "")
        return hmac.compare_digest(given.encode(), expected.encode())

    async def _health(self, _req: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, _req: web.Request) -> web.Response:
        if self._lifecycle.accepts_work and self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text=f"{self._lifecycle.state}\n")

    async def _render_metrics(self, _req: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.render(),
            headers={"Content-Type": _CONTENT_TYPE_METRICS},
        )

    async def _render_status(self, _req: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self._status()), content_type="application/json"
        )

    async def _drain(self, req: web.Request) -> web.Response:
        if not self.is_operator(req):
            self._metrics.refusals.labels("bad_operator_credential").inc()
            return web.Response(status=401, text="operator credential required\n")
        self._lifecycle.drain("operator request")
        return web.Response(status=202, text="draining\n")
