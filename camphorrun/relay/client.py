"""Relay client: one peer, and a snapshot source over several peers."""

import asyncio
import random
from collections.abc import Callable
from http import HTTPStatus

import aiohttp

from ..core import LogRecord
from ..messages import KeyRing
from ..metrics import Metrics
from .frames import (
    MAX_REPLY_BYTES,
    PAGE_BYTES,
    open_reply,
    read_frame,
    seal_request,
)
from .messages import (
    RELAY_PATH,
    Announce,
    Announced,
    FetchRecords,
    FetchSnapshot,
    Records,
    Refused,
    RelayError,
    RelayReply,
    RelayRequest,
    SnapshotPage,
    decode_relay,
    encode_relay,
)

TIMEOUT_SECONDS = 2.0
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
MAX_SNAPSHOT_PAGES = MAX_SNAPSHOT_BYTES // PAGE_BYTES
# Peers asked at once for their snapshot position.
SNAPSHOT_PEERS = 3
_STATUS_CODES = {
    HTTPStatus.FORBIDDEN: "frame_refused",
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: "oversized",
}


class RelayClient:
    """Sends requests to one peer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session of the daemon.
    address : str
        Address of the peer (``ip:port``).
    keys : KeyRing
        Shared keys.
    timeout_s : float
        Bound of each request, from connecting to the last byte of the reply.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        keys: KeyRing,
        *,
        timeout_s: float = TIMEOUT_SECONDS,
    ):
        self.address = address
        self._session = session
        self._url = f"http://{address}{RELAY_PATH}"
        self._keys = keys
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def announce(self, message: Announce) -> None:
        """Announce a daemon to the peer."""
        await self._ask(message, Announced)

    async def fetch_records(self, stream: str, offset: int) -> tuple[LogRecord, ...]:
        """Return consecutive records from ``offset`` on, empty if not kept."""
        reply = await self._ask(FetchRecords(stream, offset), Records)
        return reply.records

    async def fetch_first_page(self, stream: str, position: int) -> SnapshotPage:
        """Return the first page of the peer's snapshot above ``position``."""
        return await self._ask(FetchSnapshot(stream, position), SnapshotPage)

    async def fetch_rest(self, first: SnapshotPage) -> bytes:
        """Return the whole snapshot that starts with ``first``.

        Raises
        ------
        RelayError
            With code ``snapshot_gone`` if the peer has released it meanwhile, and
            ``oversized`` if it has too many pages.
        """
        if first.pages > MAX_SNAPSHOT_PAGES:
            raise RelayError(f"snapshot of {first.pages} pages", code="oversized")
        parts = [first.data]
        for page in range(1, first.pages):
            request = FetchSnapshot(first.stream, 0, first.snapshot_id, page)
            reply = await self._ask(request, SnapshotPage)
            parts.append(reply.data)
        return b"".join(parts)

    async def fetch_snapshot(self, stream: str, position: int = 0) -> bytes | None:
        """Return the peer's snapshot, None if it is not above ``position``."""
        first = await self.fetch_first_page(stream, position)
        return await self.fetch_rest(first) if first.pages else None

    async def _ask(self, request: RelayRequest, kind: type) -> RelayReply:
        try:
            reply = await self._exchange(request)
        except TimeoutError as exc:
            # aiohttp closes the connection, so a half-open one is not used again.
            message = f"{self.address}: no reply"
            raise RelayError(message, code="relay_timeout") from exc
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise RelayError(f"{self.address}: {exc!r}") from exc
        if isinstance(reply, Refused):
            raise RelayError(f"{self.address}: {reply.code}", code=reply.code)
        if not isinstance(reply, kind):
            found = type(reply).__name__
            raise RelayError(f"{self.address}: got {found}", code="bad_message")
        return reply

    async def _exchange(self, request: RelayRequest) -> RelayReply:
        frame, nonce = seal_request(self._keys, encode_relay(request))
        async with self._session.post(
            self._url, data=frame, timeout=self._timeout, allow_redirects=False
        ) as resp:
            if resp.status != HTTPStatus.OK:
                code = _STATUS_CODES.get(resp.status, RelayError.default_code)
                raise RelayError(f"{self.address}: status {resp.status}", code=code)
            reply = await read_frame(resp.content, MAX_REPLY_BYTES)
        return decode_relay(open_reply(self._keys, nonce, reply))


class RelayPeers:
    """Snapshot source over the relay servers of several peers.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session of the daemon.
    keys : KeyRing
        Shared keys.
    addresses : callable
        Returns the present addresses of the peers that hold a stream.
    on_position : callable, optional
        Called with stream and position of each peer that answered a request for its
        snapshot, also of one that is not ahead.
    rng : random.Random, optional
        Selects peers, so that load is spread.
    metrics : Metrics, optional
        Counts failed requests as drops.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        keys: KeyRing,
        addresses: Callable[[str], list[str]],
        *,
        on_position: Callable[[str, int], None] | None = None,
        rng: random.Random | None = None,
        metrics: Metrics | None = None,
        timeout_s: float = TIMEOUT_SECONDS,
    ):
        self._session = session
        self._keys = keys
        self._addresses = addresses
        self._on_position = on_position
        self._rng = rng or random.Random()
        self._metrics = metrics
        self._timeout_s = timeout_s

    async def snapshot(self, stream: str, position: int) -> bytes | None:
        """Return the snapshot with the highest position among several peers."""
        clients = self._select(stream)
        pages = await asyncio.gather(
            *(self._first_page(client, stream, position) for client in clients)
        )
        offers = [
            (page.position, index)
            for index, page in enumerate(pages)
            if page is not None and page.pages
        ]
        for _, index in sorted(offers, reverse=True):
            data = await self._rest(clients[index], pages[index])
            if data is not None:
                return data
        return None

    async def records(self, stream: str, offset: int) -> tuple[LogRecord, ...]:
        """Return records of the first peer that keeps them."""
        for client in self._select(stream):
            try:
                records = await client.fetch_records(stream, offset)
            except RelayError as exc:
                self._count(exc)
                continue
            if records:
                return records
        return ()

    def _select(self, stream: str) -> list[RelayClient]:
        addresses = self._addresses(stream)
        count = min(SNAPSHOT_PEERS, len(addresses))
        return [
            RelayClient(self._session, address, self._keys, timeout_s=self._timeout_s)
            for address in self._rng.sample(addresses, count)
        ]

    async def _first_page(
        self, client: RelayClient, stream: str, position: int
    ) -> SnapshotPage | None:
        try:
            page = await client.fetch_first_page(stream, position)
        except RelayError as exc:
            self._count(exc)
            return None
        if self._on_position is not None:
            self._on_position(stream, page.position)
        return page

    async def _rest(self, client: RelayClient, first: SnapshotPage) -> bytes | None:
        try:
            return await client.fetch_rest(first)
        except RelayError as exc:
            self._count(exc)
            return None

    def _count(self, exc: RelayError) -> None:
        if self._metrics is not None:
            self._metrics.drops.labels(f"relay_{exc.code}").inc()
