"""Client of the platform's rate-limited weight store."""

import math
from urllib.parse import quote

import aiohttp

from .errors import PlatformError

CALL_TIMEOUT_SECONDS = 2.0
# A refusal without a usable time to come back; a wrong header must not stop loads for
# days either.
DEFAULT_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 3600.0


class WeightsRefusedError(PlatformError):
    """The weight store is at its rate limit; ``retry_after_s`` says when to return."""

    default_code = "weights_refused"

    def __init__(self, message: str, retry_after_s: float):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class WeightStoreClient:
    """Takes grants for fetches that the endpoint makes."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str):
        self._session = session
        self._base_url = base_url.rstrip("/")

    async def take_grant(self, model: str) -> None:
        """Take a grant for one fetch of a model.

        Raises
        ------
        WeightsRefusedError
            If the store refuses for now.
        PlatformError
            If it does not answer.
        """
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        url = f"{self._base_url}/v1/weights/{quote(model, safe='')}/grants"
        try:
            async with self._session.post(url, timeout=timeout) as resp:
                if resp.status in (429, 503):
                    wait_s = _parse_retry_after(resp.headers.get("Retry-After", ""))
                    raise WeightsRefusedError(f"weight store: {resp.status}", wait_s)
                resp.raise_for_status()
        except (aiohttp.ClientError, TimeoutError) as exc:
            message = f"weight store: {exc!r}"
            raise PlatformError(message, code="weights_unavailable") from exc


def _parse_retry_after(value: str) -> float:
    try:
        seconds = float(value)
    except ValueError:
        return DEFAULT_RETRY_AFTER_SECONDS
    if not math.isfinite(seconds) or seconds < 0:
        return DEFAULT_RETRY_AFTER_SECONDS
    return min(seconds, MAX_RETRY_AFTER_SECONDS)
