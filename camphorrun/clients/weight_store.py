"""HTTP client of the platform's rate-limited weight store."""

import math
from urllib.parse import quote

import aiohttp

from .errors import PlatformError

CALL_TIMEOUT_SECONDS = 2.0
# Used if a refusal has no valid ``Retry-After`` field.
DEFAULT_RETRY_AFTER_SECONDS = 1.0
# Limits a ``Retry-After`` field, so that a wrong value does not stop loads for days.
MAX_RETRY_AFTER_SECONDS = 3600.0


class WeightsRefusedError(PlatformError):
    """The weight store refused a grant; retry after ``retry_after_s`` seconds."""

    default_code = "weights_refused"

    def __init__(self, message: str, retry_after_s: float):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class WeightStoreClient:
    """Requests grants for the fetches of weights by the endpoint."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str):
        self._session = session
        self._base_url = base_url.rstrip("/")

    async def take_grant(self, model: str) -> None:
        """Request a grant for one fetch of the weights of a model.

        Raises
        ------
        WeightsRefusedError
            If the store is at its rate limit or temporarily unavailable.
        PlatformError
            If the store fails or doesn't respond in time (``weights_unavailable``).
        """
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        url = f"{self._base_url}/v1/weights/{quote(model, safe='')}/grants"
        try:
            async with self._session.post(url, timeout=timeout) as resp:
                if resp.status in (429, 503):
                    wait_s = _parse_retry_after(resp.headers.get("Retry-After", ""))
                    raise WeightsRefusedError(
                        f"weight store refused a grant with status {resp.status}",
                        wait_s,
                    )
                resp.raise_for_status()
        except (aiohttp.ClientError, TimeoutError) as exc:
            message = f"weight store did not grant a fetch: {exc!r}"
            raise PlatformError(message, code="weights_unavailable") from exc


def _parse_retry_after(value: str) -> float:
    try:
        seconds = float(value)
    except ValueError:
        return DEFAULT_RETRY_AFTER_SECONDS
    if not math.isfinite(seconds) or seconds < 0:
        return DEFAULT_RETRY_AFTER_SECONDS
    return min(seconds, MAX_RETRY_AFTER_SECONDS)
