"""Relay client: one peer, and a snapshot source over several peers."""

import asyncio
import random
from collections.abc import Callable

import pynng

from ..core import LogRecord
from ..messages import KeyRing
from ..metrics import Metrics
from .frames import MAX_REPLY_BYTES, PAGE_BYTES, open_reply, seal_request
from .messages import (
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
from .sockets import receive, send

TIMEOUT_MS = 2000
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
MAX_SNAPSHOT_PAGES = MAX_SNAPSHOT_BYTES // PAGE_BYTES
# Peers asked at once for their snapshot position.
SNAPSHOT_PEERS = 3


class RelayClient:
    """Sends requests to one peer, one at a time.

    Parameters
    ----------
    address : str
        Address of the peer (``ip:port``).
    keys : KeyRing
        Shared keys.
    timeout_ms : int
        Bound of each send and each receive in milliseconds.
    """

    def __init__(self, address: str, keys: KeyRing, *, timeout_ms: int = TIMEOUT_MS):
        self.address = address
        self._keys = keys
        self._timeout_ms = timeout_ms
        self._socket: pynng.Req0 | None = None
        self._lock = asyncio.Lock()

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

    def close(self) -> None:
        """Close the connection; a later request opens a new one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def _ask(self, request: RelayRequest, kind: type) -> RelayReply:
        async with self._lock:
            try:
                reply = await self._exchange(request)
            except pynng.Timeout as exc:
                # The connection may be half-open, so the next request opens another.
                self.close()
                message = f"{self.address}: no reply"
                raise RelayError(message, code="relay_timeout") from exc
            except pynng.NNGException as exc:
                self.close()
                raise RelayError(f"{self.address}: {exc}") from exc
        if isinstance(reply, Refused):
            raise RelayError(f"{self.address}: {reply.code}", code=reply.code)
        if not isinstance(reply, kind):
            found = type(reply).__name__
            raise RelayError(f"{self.address}: got {found}", code="bad_message")
        return reply

    async def _exchange(self, request: RelayRequest) -> RelayReply:
        frame, nonce = seal_request(self._keys, encode_relay(request))
        socket = self._connect()
        await send(socket, frame)
        return decode_relay(open_reply(self._keys, nonce, await receive(socket)))

    def _connect(self) -> pynng.Req0:
        if self._socket is None:
            self._socket = pynng.Req0(
                recv_max_size=MAX_REPLY_BYTES,
                send_timeout=self._timeout_ms,
                recv_timeout=self._timeout_ms,
            )
            self._socket.dial(f"tcp://{self.address}", block=False)
        return self._socket


class RelayPeers:
    """Snapshot source over the relay servers of several peers.

    Parameters
    ----------
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
        keys: KeyRing,
        addresses: Callable[[str], list[str]],
        *,
        on_position: Callable[[str, int], None] | None = None,
        rng: random.Random | None = None,
        metrics: Metrics | None = None,
        timeout_ms: int = TIMEOUT_MS,
    ):
        self._keys = keys
        self._addresses = addresses
        self._on_position = on_position
        self._rng = rng or random.Random()
        self._metrics = metrics
        self._timeout_ms = timeout_ms

    async def snapshot(self, stream: str, position: int) -> bytes | None:
        """Return the snapshot with the highest position among several peers."""
        clients = self._select(stream)
        try:
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
        finally:
            _close_all(clients)

    async def records(self, stream: str, offset: int) -> tuple[LogRecord, ...]:
        """Return records of the first peer that keeps them."""
        clients = self._select(stream)
        try:
            for client in clients:
                try:
                    records = await client.fetch_records(stream, offset)
                except RelayError as exc:
                    self._count(exc)
                    continue
                if records:
                    return records
            return ()
        finally:
            _close_all(clients)

    def _select(self, stream: str) -> list[RelayClient]:
        addresses = self._addresses(stream)
        count = min(SNAPSHOT_PEERS, len(addresses))
        return [
            RelayClient(address, self._keys, timeout_ms=self._timeout_ms)
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


def _close_all(clients: list[RelayClient]) -> None:
    for client in clients:
        client.close()
