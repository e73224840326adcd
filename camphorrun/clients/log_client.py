"""HTTP client of the append-only log service."""

from dataclasses import dataclass

import aiohttp
import msgspec

from ..core import LogError, LogPage

CALL_TIMEOUT_SECONDS = 3.0
CONNECT_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Body of an append request; values are encoded as base64 in JSON."""

    values: list[bytes]


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Body of the reply; ``offset`` is that of the first appended value."""

    offset: int


class LogClient:
    """A ``LogStore`` that calls the log service.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared HTTP session.
    base_url : str
        Address of the log service, for instance ``http://127.0.0.1:9100``.

    See Also
    --------
    camphorrun.core.log.LogStore : Interface and errors.
    """

    def __init__(self, session: aiohttp.ClientSession, base_url: str):
        self._session = session
        self._base_url = base_url.rstrip("/")

    async def append(self, stream: str, values: list[bytes]) -> int:
        """Append values in one call and return the offset of the first one."""
        body = msgspec.json.encode(AppendRequest(values))
        try:
            async with self._session.post(
                self._url(stream), data=body, timeout=_timeout(CALL_TIMEOUT_SECONDS)
            ) as resp:
                data = await resp.read()
                self._check_status(resp.status, "log_unavailable")
            return msgspec.json.decode(data, type=AppendReply).offset
        except aiohttp.ClientConnectorError as exc:
            raise LogError(f"append to {stream}: not connected: {exc}") from exc
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            message = f"append to {stream}: no valid reply: {exc!r}"
            raise LogError(message, code="append_uncertain") from exc

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        """Return records from ``offset`` on; wait up to ``wait_s`` seconds for one."""
        params = {"offset": offset, "limit": limit, "wait_ms": int(wait_s * 1000)}
        timeout = _timeout(CALL_TIMEOUT_SECONDS + wait_s)
        try:
            async with self._session.get(
                self._url(stream), params=params, timeout=timeout
            ) as resp:
                data = await resp.read()
                self._check_status(resp.status, "log_unavailable")
            return msgspec.json.decode(data, type=LogPage)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise LogError(f"read of {stream} failed: {exc!r}") from exc

    def _url(self, stream: str) -> str:
        return f"{self._base_url}/v1/streams/{stream}/records"

    @staticmethod
    def _check_status(status: int, code: str) -> None:
        # The log service sends status 503 if it refused the call before any effect.
        # After any other failure an append may have taken effect.
        if status == 503:
            raise LogError("log service refused the call with status 503", code=code)
        if status != 200:
            raise LogError(
                f"log service responded with status {status}", code="append_uncertain"
            )


def _timeout(total_s: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=total_s, connect=CONNECT_TIMEOUT_SECONDS)
