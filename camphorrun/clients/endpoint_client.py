"""HTTP client of the endpoint that an agent serves."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import msgspec

from ..placement import EndpointContents, Order
from .errors import EndpointError

CONNECT_TIMEOUT_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 2.0
# An endpoint responds to a load order only when the weights are in memory.
ORDER_TIMEOUT_SECONDS = 300.0
FENCING_HEADER = "X-Fencing-Token"
KEY_HEADER = "Idempotency-Key"
# An endpoint sets it to "false" if it rejects a call before executing any part of it.
EXECUTED_HEADER = "X-Executed"
MAX_LINE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class EndpointCall:
    """One call of an endpoint.

    ``call_id`` identifies the call for cancellation and resumption, and
    ``from_sequence`` is the first part of a resumed stream. ``priority`` 0 is the
    highest. ``fencing_token`` and ``key`` are sent as headers unless 0 or empty.
    """

    call_id: str
    operation: str
    model: str
    input: msgspec.Raw
    priority: int = 2
    stream: bool = False
    output_units: int = 0
    from_sequence: int = 0
    key: str = ""
    fencing_token: int = 0


@dataclass(frozen=True, slots=True)
class EndpointReply:
    """Complete result of a call; ``output`` is JSON."""

    output: msgspec.Raw
    input_units: int = 0
    output_units: int = 0


@dataclass(frozen=True, slots=True)
class StreamPart:
    """One line of a streamed result; ``end`` is true in the last one only."""

    sequence: int
    text: str = ""
    units: int = 0
    end: bool = False
    input_units: int = 0
    output_units: int = 0


_PART_DECODER = msgspec.json.Decoder(StreamPart)
_REPLY_DECODER = msgspec.json.Decoder(EndpointReply)
_CONTENTS_DECODER = msgspec.json.Decoder(EndpointContents)
_BODY_FIELDS = (
    "call_id",
    "operation",
    "model",
    "input",
    "priority",
    "stream",
    "output_units",
    "from_sequence",
)


class EndpointClient:
    """Client of one endpoint.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared HTTP session.
    base_url : str
        Address of the endpoint, for instance ``http://127.0.0.1:9200``.
    """

    def __init__(self, session: aiohttp.ClientSession, base_url: str):
        self._session = session
        self._base_url = base_url.rstrip("/")

    async def call(self, call: EndpointCall, timeout_s: float) -> EndpointReply:
        """Execute a call and return its complete result.

        Raises
        ------
        EndpointError
            If the call fails; ``executed`` tells whether it may have had an effect.
        """
        try:
            async with self._post_call(call, timeout_s) as resp:
                await self._check_status(resp)
                return _REPLY_DECODER.decode(await resp.read())
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise _to_endpoint_error(exc) from exc

    async def stream(
        self, call: EndpointCall, timeout_s: float
    ) -> AsyncIterator[StreamPart]:
        """Execute a call and yield the parts of its result.

        Raises
        ------
        EndpointError
            If the stream fails or has no end (``stream_cut``). It can be resumed
            with ``from_sequence``.
        """
        ended = False
        try:
            async with self._post_call(call, timeout_s) as resp:
                await self._check_status(resp)
                async for line in resp.content:
                    part = _PART_DECODER.decode(line)
                    ended = part.end
                    yield part
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise _to_endpoint_error(exc) from exc
        if not ended:
            raise EndpointError("stream closed before its last part", code="stream_cut")

    async def cancel(self, call_id: str) -> None:
        """Cancel a call; errors are ignored, because the call may have ended."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        try:
            async with self._session.delete(
                f"{self._base_url}/v1/calls/{call_id}", timeout=timeout
            ):
                return
        except (aiohttp.ClientError, TimeoutError):
            return

    async def contents(self) -> EndpointContents:
        """Return the state of the endpoint, or raise ``EndpointError``."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        return await self._request_contents(
            self._session.get(f"{self._base_url}/v1/orders", timeout=timeout)
        )

    async def give_order(self, order: Order, fencing_token: int) -> EndpointContents:
        """Execute an order and return the contents of the endpoint after it.

        Raises
        ------
        EndpointError
            If the order fails; with code ``stale_fencing_token`` if the endpoint has
            received a higher token before.
        """
        timeout = aiohttp.ClientTimeout(
            total=ORDER_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        return await self._request_contents(
            self._session.post(
                f"{self._base_url}/v1/orders",
                data=msgspec.json.encode(order),
                headers={FENCING_HEADER: str(fencing_token)},
                timeout=timeout,
            )
        )

    async def _request_contents(self, request) -> EndpointContents:
        try:
            async with request as resp:
                await self._check_status(resp)
                return _CONTENTS_DECODER.decode(await resp.read())
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise _to_endpoint_error(exc) from exc

    def _post_call(self, call: EndpointCall, timeout_s: float):
        headers = {"Content-Type": "application/json"}
        if call.key:
            headers[KEY_HEADER] = call.key
        if call.fencing_token:
            headers[FENCING_HEADER] = str(call.fencing_token)
        body = {name: getattr(call, name) for name in _BODY_FIELDS}
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        return self._session.post(
            f"{self._base_url}/v1/calls",
            data=msgspec.json.encode(body),
            headers=headers,
            timeout=timeout,
            read_bufsize=MAX_LINE_BYTES,
        )

    @staticmethod
    async def _check_status(resp: aiohttp.ClientResponse) -> None:
        if resp.status == 200:
            return
        code = resp.headers.get("X-Error-Code", f"status_{resp.status}")
        # A rate limit (429) rejects a call before execution. Status 503 may come from a
        # proxy or follow a partial execution, so the call counts as not executed only
        # if the endpoint states it in the header.
        states_not_executed = resp.headers.get(EXECUTED_HEADER, "").lower() == "false"
        executed = not (resp.status == 429 or states_not_executed)
        raise EndpointError(
            f"endpoint responded with status {resp.status}",
            code=code,
            executed=executed,
        )


def _to_endpoint_error(exc: Exception) -> EndpointError:
    """Convert an error of the HTTP client or of decoding to an ``EndpointError``.

    Only a failed connection proves that the call was not executed.
    """
    if isinstance(exc, aiohttp.ClientConnectorError):
        return EndpointError(str(exc), code="connect_failed", executed=False)
    if isinstance(exc, TimeoutError):
        return EndpointError("no response within the timeout", code="endpoint_timeout")
    return EndpointError(repr(exc), code="endpoint_broken")
