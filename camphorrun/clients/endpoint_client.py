"""Client of the endpoint beside an agent, over HTTP."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import msgspec

from ..placement import EndpointContents, Order
from .errors import EndpointError

CONNECT_TIMEOUT_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 2.0
# A load answers when the weights are in memory.
ORDER_TIMEOUT_SECONDS = 300.0
FENCING_HEADER = "X-Fencing-Token"
KEY_HEADER = "Idempotency-Key"
# Set to "false" by an endpoint that refuses a call before it executes anything.
EXECUTED_HEADER = "X-Executed"
MAX_LINE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class EndpointCall:
    """One call of an endpoint.

    ``call_id`` identifies the call for cancellation and resumption. ``priority`` is 0
    for the highest. ``fencing_token`` and ``key`` are sent as headers when set.
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
    """Whole result of a call; ``output`` is JSON."""

    output: msgspec.Raw
    input_units: int = 0
    output_units: int = 0


@dataclass(frozen=True, slots=True)
class StreamPart:
    """One line of a streamed result; the last one has ``end`` set."""

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
    """Calls one endpoint."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str):
        self._session = session
        self._base_url = base_url.rstrip("/")

    async def call(self, call: EndpointCall, timeout_s: float) -> EndpointReply:
        """Run a call and return its whole result.

        Raises
        ------
        EndpointError
            With ``executed`` telling whether it may have taken effect.
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
        """Run a call and yield the parts of its result.

        Raises
        ------
        EndpointError
            If the stream fails; it can be resumed with ``from_sequence``.
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
            raise EndpointError("stream ended early", code="stream_cut")

    async def cancel(self, call_id: str) -> None:
        """Cancel a call; errors are ignored because the call may have ended."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        try:
            async with self._session.delete(
                f"{self._base_url}/v1/calls/{call_id}", timeout=timeout
            ):
                return
        except (aiohttp.ClientError, TimeoutError):
            return

    async def contents(self) -> EndpointContents:
        """Return what the endpoint serves or raise ``EndpointError``."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        return await self._request_contents(
            self._session.get(f"{self._base_url}/v1/orders", timeout=timeout)
        )

    async def give_order(self, order: Order, fencing_token: int) -> EndpointContents:
        """Carry out an order and return the state after it.

        Raises
        ------
        EndpointError
            With code ``stale_fencing_token`` if the endpoint has seen a higher token.
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
        # A rate limit refuses before execution. A 503 may come from something between
        # or after a partial execution, so it counts only with the endpoint's own word.
        states_not_executed = resp.headers.get(EXECUTED_HEADER, "").lower() == "false"
        executed = not (resp.status == 429 or states_not_executed)
        raise EndpointError(
            f"endpoint: status {resp.status}", code=code, executed=executed
        )


def _to_endpoint_error(exc: Exception) -> EndpointError:
    """Return the endpoint error for an HTTP client error."""
    if isinstance(exc, aiohttp.ClientConnectorError):
        return EndpointError(str(exc), code="connect_failed", executed=False)
    if isinstance(exc, TimeoutError):
        return EndpointError("no answer in time", code="endpoint_timeout")
    return EndpointError(repr(exc), code="endpoint_broken")
