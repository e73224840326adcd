"""Calls between gateways over their internal addresses."""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec

from ..catalog import Record, RecordPage
from ..core import EventLog, TimerService, with_timeout
from ..http1 import ConnectionPool, Headers, HttpError, ServerRequest, ServerResponder
from ..metrics import Metrics
from .errors import PeerError
from .messages import (
    PieceOrder,
    PieceReply,
    RecordMessage,
    ReleaseOrder,
    SyncMessage,
    TopicMessage,
)
from .state import GatewayState

CONNECT_TIMEOUT_SECONDS = 0.3
SYNC_TIMEOUT_SECONDS = 0.6
SYNC_INTERVAL_SECONDS = 1.0
# Interval while the store does not answer this daemon and peers are the only source.
OUTAGE_SYNC_INTERVAL_SECONDS = 0.3
PING_INTERVAL_SECONDS = 0.3
PING_TIMEOUT_SECONDS = 0.5
SUSPECT_SECONDS = 1.5
# Peers that a new process asks at once if the store does not answer it: one alone may
# know less than the process knew before its restart.
BOOTSTRAP_PEERS = 5
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_RECORDS = 2000


def member_name(host: str, address: str, incarnation: str, zone: str = "") -> str:
    """Return the name of a group member, from which peers learn where it is."""
    return f"{host}|{address}|{incarnation}|{zone}"


def member_address(member: str) -> str:
    """Return the peer address in a member's name, empty if it has none."""
    parts = member.split("|")
    return parts[1] if len(parts) >= 3 else ""


def member_zone(member: str) -> str:
    """Return the availability zone in a member's name, empty if it has none."""
    parts = member.split("|")
    return parts[3] if len(parts) >= 4 else ""


class PeerLink:
    """Calls to one peer, with a liveness check while any is outstanding.

    TCP that looks open proves nothing: a peer that is paused or cut off answers no
    ping, and its outstanding calls then fail at once instead of at their deadline.
    """

    def __init__(self, address: str, timers: TimerService):
        host, _, port = address.rpartition(":")
        self.address = address
        self._pool = ConnectionPool(host, int(port), timers, limit=512)
        self._timers = timers
        self._outstanding: set[asyncio.Task] = set()
        self._ping_task: asyncio.Task | None = None
        self._suspect_until = float("-inf")

    @property
    def is_suspect(self) -> bool:
        """Whether the peer did not answer recently."""
        return self._timers.now() < self._suspect_until

    async def call(self, path: str, message: object, timeout_s: float) -> bytes:
        """Return the answer to a message.

        Raises
        ------
        PeerError
            If there is none; the call may have had its effect.
        """
        task = asyncio.ensure_future(self._exchange(path, message))
        self._outstanding.add(task)
        if self._ping_task is None:
            self._ping_task = asyncio.ensure_future(self._ping())
        try:
            return await with_timeout(self._timers, task, timeout_s)
        except (HttpError, TimeoutError) as exc:
            if isinstance(exc, HttpError):
                self._mark_suspect()
            raise PeerError(f"{self.address}: {exc!r}") from exc
        except asyncio.CancelledError:
            if not asyncio.current_task().cancelling():
                raise PeerError(f"{self.address}: no answer to pings") from None
            raise
        finally:
            self._outstanding.discard(task)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()
        for task in self._outstanding:
            task.cancel()
        if self._ping_task is not None:
            self._ping_task.cancel()

    def _mark_suspect(self) -> None:
        self._suspect_until = self._timers.now() + SUSPECT_SECONDS

    async def _exchange(self, path: str, message: object) -> bytes:
        body = msgspec.msgpack.encode(message)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        conn = await self._pool.acquire(CONNECT_TIMEOUT_SECONDS)
        try:
            answer = await conn.request(head.encode() + body)
            data = await conn.read_all(MAX_ANSWER_BYTES)
        except BaseException:
            conn.abort()
            raise
        finally:
            self._pool.release(conn)
        if answer.status != 200:
            raise PeerError(f"{self.address}: status {answer.status}")
        return data

    async def _ping(self) -> None:
        """Check the peer while calls are outstanding."""
        while self._outstanding:
            await self._timers.sleep(PING_INTERVAL_SECONDS)
            if not self._outstanding:
                break
            try:
                await with_timeout(
                    self._timers, self._exchange("/ping", None), PING_TIMEOUT_SECONDS
                )
            except (HttpError, TimeoutError, PeerError):
                self._mark_suspect()
                for task in list(self._outstanding):
                    task.cancel()
        self._ping_task = None


class Peers:
    """Links to the other members, and the exchange of records with them.

    Every daemon asks one random peer at a time, so the load of the exchange does not
    grow with the number of daemons.
    """

    def __init__(
        self,
        state: GatewayState,
        seeds: tuple[str, ...],
        own_addresses: tuple[str, ...],
        *,
        is_store_failing: Callable[[], bool],
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
        seed: int = 0,
    ):
        self._state = state
        self._seeds = tuple(a for a in seeds if a not in own_addresses)
        self._own_addresses = own_addresses
        self._is_store_failing = is_store_failing
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._rng = Random(seed)
        self._links: dict[str, PeerLink] = {}
        state.subscribe(members=self._close_unused_links)

    def link(self, address: str) -> PeerLink:
        """Return the link to an address."""
        if address not in self._links:
            self._links[address] = PeerLink(address, self._timers)
        return self._links[address]

    def addresses(self) -> list[str]:
        """Return the addresses of the other members, or of seeds while alone."""
        found = [member_address(member) for member in self._state.members]
        others = [a for a in found if a and a not in self._own_addresses]
        return others or list(self._seeds)

    async def exchange_records(self) -> None:
        """Ask several peers at the start, then a random one at a time, for ever.

        After a return from an older copy the store may lack what peers still know, so
        a new process serves nothing before it has asked.
        """
        await self._bootstrap(self.addresses())
        self._state.peers_queried = True
        while True:
            store_failing = self._is_store_failing()
            await self._timers.sleep(
                OUTAGE_SYNC_INTERVAL_SECONDS if store_failing else SYNC_INTERVAL_SECONDS
            )
            addresses = self.addresses()
            if not addresses:
                continue
            if not self._state.ready and self._is_store_failing():
                await self._bootstrap(addresses)
                continue
            address = self._rng.choice(addresses)
            try:
                await self._sync_with_member(address)
            except PeerError as exc:
                self._metrics.drops.labels("peer_sync").inc()
                if store_failing:
                    self._events.log_state_change("peer_unavailable", error=str(exc))

    async def _bootstrap(self, addresses: list[str]) -> None:
        """Take over what several peers know, in one step."""
        count = min(BOOTSTRAP_PEERS, len(addresses))
        sampled = self._rng.sample(addresses, count)
        answers = await asyncio.gather(
            *(
                self._fetch_records(address, SYNC_TIMEOUT_SECONDS)
                for address in sampled
            ),
            return_exceptions=True,
        )
        for address, answer in zip(sampled, answers, strict=True):
            if isinstance(answer, PeerError):
                self._events.log_state_change("peer_unavailable", error=str(answer))
            elif isinstance(answer, BaseException):
                raise answer
            else:
                self._apply_records(answer, address)
                self._apply_members(answer)

    async def _sync_with_member(self, address: str) -> None:
        self._apply_members(await self.sync_from(address, SYNC_TIMEOUT_SECONDS))

    def _apply_members(self, answer: SyncMessage) -> None:
        """Take over the members while the store tells this daemon of none."""
        if (
            self._is_store_failing()
            and len(self._state.members) == 1
            and answer.members
        ):
            self._state.set_members(tuple(answer.members))

    async def sync_from(self, address: str, timeout_s: float) -> SyncMessage:
        """Take over the records that a peer has beyond those known here.

        Raises
        ------
        PeerError
            If there is no readable answer.
        """
        answer = await self._fetch_records(address, timeout_s)
        self._apply_records(answer, address)
        return answer

    async def _fetch_records(self, address: str, timeout_s: float) -> SyncMessage:
        topics = {
            name: TopicMessage(view.end if view.is_initialised else -1, era=view.era)
            for name, view in self._state.views.items()
        }
        data = await self.link(address).call("/sync", SyncMessage(topics), timeout_s)
        try:
            return msgspec.msgpack.decode(data, type=SyncMessage)
        except msgspec.DecodeError as exc:
            raise PeerError(f"{address}: unreadable answer: {exc}") from exc

    def _apply_records(self, answer: SyncMessage, address: str) -> None:
        for name, topic in answer.topics.items():
            if name in self._state.views and topic.end >= 0:
                self._state.apply(name, _decode_page(topic), address)

    def answer_sync(self, request: SyncMessage) -> SyncMessage:
        """Return what this daemon knows beyond what the asking one does."""
        topics = {}
        for name, requested in request.topics.items():
            view = self._state.views.get(name)
            if view is None or not view.is_initialised:
                continue
            page = view.page_since(max(0, requested.end), MAX_RECORDS, requested.era)
            records = [
                RecordMessage(r.key, r.offset, r.value, r.era, r.rank)
                for r in page.records
            ]
            topics[name] = TopicMessage(page.end, records, page.is_listing, page.era)
        ages_s = self._state.ages_s(self._timers.now())
        return SyncMessage(topics, list(self._state.members), ages_s)

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()

    def _close_unused_links(self) -> None:
        kept = set(self.addresses())
        for address in list(self._links):
            if address not in kept:
                self._links.pop(address).close()


def _decode_page(topic: TopicMessage) -> RecordPage:
    records = tuple(
        Record(r.key, r.offset, r.value, r.era, r.rank) for r in topic.records
    )
    return RecordPage(records, topic.end, is_listing=topic.is_listing, era=topic.era)


class PeerService:
    """Answers the calls of other gateways."""

    def __init__(
        self,
        peers: Peers,
        make_pieces: Callable,
        release: Callable[[ReleaseOrder], None],
        render_metrics: Callable[[], bytes],
        metrics: Metrics,
    ):
        self._peers = peers
        self._make_pieces = make_pieces
        self._release = release
        self._render_metrics = render_metrics
        self._metrics = metrics

    async def handle(self, req: ServerRequest, responder: ServerResponder) -> None:
        """Answer one call."""
        path = req.target.decode("latin-1")
        try:
            answer = await self._answer(path, req.body)
        except msgspec.DecodeError:
            self._metrics.drops.labels("peer_message").inc()
            responder.respond(400, Headers())
            return
        if answer is None:
            responder.respond(404, Headers())
            return
        responder.respond(200, Headers(), answer)

    async def _answer(self, path: str, body: bytes) -> bytes | None:
        encode = msgspec.msgpack.encode
        if path == "/ping":
            return b""
        if path == "/metrics":
            return self._render_metrics()
        if path == "/sync":
            request = msgspec.msgpack.decode(body, type=SyncMessage)
            return encode(self._peers.answer_sync(request))
        if path == "/pieces":
            order = msgspec.msgpack.decode(body, type=PieceOrder)
            reply: PieceReply = await self._make_pieces(order)
            return encode(reply)
        if path == "/release":
            self._release(msgspec.msgpack.decode(body, type=ReleaseOrder))
            return b""
        return None
