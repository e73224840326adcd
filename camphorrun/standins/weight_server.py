"""Stand-in of the platform's weight store over HTTP, rate-limited."""

import math
from collections import Counter

from aiohttp import web

from ..core import TimerService


class WeightServer:
    """Grants fetches at a limited rate and delivers after a transfer time.

    Parameters
    ----------
    timers : TimerService
        Clock.
    rate_per_s : float
        Fetches granted a second.
    burst : float
        Fetches granted at once after a quiet time.
    transfer_s : float
        Time of a transfer.
    """

    def __init__(
        self,
        timers: TimerService,
        rate_per_s: float = 1.0,
        burst: float = 2.0,
        transfer_s: float = 0.2,
    ):
        self._timers = timers
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._transfer_s = transfer_s
        self._credit = burst
        self._credited_at = timers.now()
        # Grants taken ahead of their fetch, by model.
        self._open_grants: Counter[str] = Counter()
        self.granted = 0
        self.refused = 0

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/v1/weights/{model}", self._get)
        app.router.add_post("/v1/weights/{model}/grants", self._grant)
        return app

    def try_grant(self) -> float:
        """Grant a fetch; return 0, or the seconds until one may be granted."""
        now = self._timers.now()
        gained = (now - self._credited_at) * self._rate_per_s
        self._credit = min(self._burst, self._credit + gained)
        self._credited_at = now
        if self._credit < 1.0:
            self.refused += 1
            return (1.0 - self._credit) / self._rate_per_s
        self._credit -= 1.0
        self.granted += 1
        return 0.0

    async def _grant(self, req: web.Request) -> web.Response:
        wait_s = self.try_grant()
        if wait_s > 0:
            return _refusal(wait_s)
        self._open_grants[req.match_info["model"]] += 1
        return web.Response(status=204)

    async def _get(self, req: web.Request) -> web.Response:
        model = req.match_info["model"]
        if self._open_grants[model] > 0:
            self._open_grants[model] -= 1
        else:
            wait_s = self.try_grant()
            if wait_s > 0:
                return _refusal(wait_s)
        await self._timers.sleep(self._transfer_s)
        return web.Response(body=b"weights")


def _refusal(wait_s: float) -> web.Response:
    headers = {"Retry-After": str(math.ceil(wait_s))}
    return web.Response(status=429, headers=headers)
