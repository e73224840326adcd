"""HTTP route with which operators ask what became of a request."""

from collections.abc import Callable

import msgspec
from aiohttp import web

from .api import explanation
from .errors import RequestError
from .request_service import RequestService


class ExplainRoute:
    """``GET /v1/explain/{request_id}`` for operators, over all client accounts.

    Parameters
    ----------
    service : RequestService
        Holds the recent requests.
    is_operator : callable
        Whether a request carries the operator credential.
    """

    def __init__(
        self, service: RequestService, is_operator: Callable[[web.Request], bool]
    ):
        self._service = service
        self._is_operator = is_operator

    def register_routes(self, app: web.Application) -> None:
        """Register the route."""
        app.router.add_get("/v1/explain/{request_id}", self._explain)

    async def _explain(self, req: web.Request) -> web.Response:
        if not self._is_operator(req):
            raise RequestError(
                "operator credential required",
                code="bad_operator_credential",
                field="Authorization",
                http_status=401,
            )
        request_id = req.match_info["request_id"]
        running = self._service.running(request_id)
        if running is not None:
            return _json({"status": "running", "code": "in_progress", **running})
        found = self._service.explain_any(request_id)
        if found is None:
            raise RequestError(
                "no such recent request", code="no_request", http_status=404
            )
        account, outcome = found
        return _json({"account": account, **explanation(outcome)})


def _json(body: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(body), content_type="application/json")
