"""Calls between gateways over their internal addresses."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from random import Random

import msgspec

from ..catalog import Record, RecordPage
from ..core import EventLog, TimerService, with_timeout
from ..http1 import ConnectionPool, Headers, HttpError, ServerRequest, ServerResponder
from ..metrics import Metrics
from ..quarantine import EVIDENCE_SECONDS
from ..routing import MAX_WEIGHT, MIN_WEIGHT
from .engine_messages import encode_engine_speeds, merge_engine_speeds
from .errors import LargeAnswerError, PeerError
from .messages import (
    HOME_PIECES_PATH,
    PIECES_PATH,
    PermitOrder,
    PermitReply,
    PieceOrder,
    PieceReply,
    QuarantineMessage,
    RecordMessage,
    ReleaseOrder,
    StreamQuery,
    StreamReply,
    SyncMessage,
    TopicMessage,
    TrialOrder,
    TrialReply,
)
from .quarantine_messages import encode_quarantine
from .state import GatewayState
from .sync_encoding import decode_sync, encode_sync

CONNECT_TIMEOUT_SECONDS = 0.3
SYNC_TIMEOUT_SECONDS = 0.6
SYNC_INTERVAL_SECONDS = 1.0
# Interval while this gateway can't read the store and peers are the only source.
OUTAGE_SYNC_INTERVAL_SECONDS = 0.3
PING_INTERVAL_SECONDS = 0.3
PING_TIMEOUT_SECONDS = 0.5
SUSPECT_SECONDS = 1.5
# The same after a refused connection. A process that restarts listens again within a
# second, and another attempt on a closed port fails at once.
REFUSED_SUSPECT_SECONDS = 0.3
# Number of peers that a gateway queries at the same time until it is ready. A single
# peer may hold older records than this gateway had before its restart.
BOOTSTRAP_PEERS = 5
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Larger records are read from the store, if it is available. The link of a gateway may
# be slow, and several others would fetch the same records over it.
MAX_SYNC_BYTES = 128 * 1024
MAX_RECORDS = 2000
# Age of the oldest crash that is asked for when records are exchanged. Each gateway is
# told of a crash at once; the exchange serves those that could not be reached then.
RECENT_EVIDENCE_SECONDS = 10.0
_WEIGHTS = frozenset(str(weight) for weight in range(MIN_WEIGHT, MAX_WEIGHT + 1))


def member_name(
    host: str,
    address: str,
    incarnation: str,
    zone: str = "",
    weight: int = MIN_WEIGHT,
) -> str:
    """Return the name of a group member, which contains its address, zone and weight.

    Members of the previous release ignore the weight. Without one, which is the same as
    the least weight, the name is as theirs.
    """
    name = f"{host}|{address}|{incarnation}|{zone}"
    return f"{name}|{weight}" if weight > MIN_WEIGHT else name


def member_address(member: str) -> str:
    """Return the internal address in a member's name, empty if it has none."""
    parts = member.split("|")
    return parts[1] if len(parts) >= 3 else ""


def member_zone(member: str) -> str:
    """Return the availability zone in a member's name, empty if it has none."""
    parts = member.split("|")
    return parts[3] if len(parts) >= 4 else ""


def member_weight(member: str) -> int:
    """Return the weight in a member's name, the least one if it has no valid one."""
    text = "".join(member.split("|")[4:5])
    if text not in _WEIGHTS:
        return MIN_WEIGHT
    return int(text)


def address_weights(members: Iterable[str]) -> dict[str, int]:
    """Return the weights of the members by their internal addresses.

    A restarted member may be listed under both of its names; the higher weight counts.
    """
    weights: dict[str, int] = {}
    for member in members:
        address = member_address(member)
        weights[address] = max(weights.get(address, 0), member_weight(member))
    return weights


class PeerLink:
    """Calls to one peer, with a liveness check while any is outstanding.

    An open TCP connection does not prove that the peer is alive. A peer that is paused
    or unreachable answers no ping, and its outstanding calls then fail at once instead
    of at their deadline.
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
        """Whether a call or ping has failed a short time ago."""
        return self._timers.now() < self._suspect_until

    async def call(
        self,
        path: str,
        message: object,
        timeout_s: float,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> bytes:
        """Send a message and return the encoded answer.

        Raises
        ------
        LargeAnswerError
            If the answer has more than ``max_bytes``; its body is not read.
        PeerError
            If there is no answer; the peer may have carried out the call nevertheless.
        """
        task = asyncio.ensure_future(self._exchange(path, message, max_bytes))
        self._outstanding.add(task)
        if self._ping_task is None:
            self._ping_task = asyncio.ensure_future(self._ping())
        try:
            return await with_timeout(self._timers, task, timeout_s)
        except (HttpError, TimeoutError) as exc:
            if isinstance(exc, HttpError):
                refused = exc.code == "connect_failed"
                self._mark_suspect(
                    REFUSED_SUSPECT_SECONDS if refused else SUSPECT_SECONDS
                )
            not_accepted = isinstance(exc, HttpError) and exc.request_not_sent
            raise PeerError(
                f"{self.address}: {exc!r}", not_accepted=not_accepted
            ) from exc
        except asyncio.CancelledError:
            if not asyncio.current_task().cancelling():
                raise PeerError(
                    f"{self.address}: cancelled by a failed ping or a closed link"
                ) from None
            raise
        finally:
            self._outstanding.discard(task)

    @property
    def held_calls(self) -> int:
        """Number of calls without an answer yet."""
        return len(self._outstanding)

    @property
    def held_connections(self) -> int:
        """Number of connections that calls and pings hold."""
        return self._pool.in_use

    def close(self) -> None:
        """Close all connections and cancel the outstanding calls."""
        self._pool.close()
        for task in self._outstanding:
            task.cancel()
        if self._ping_task is not None:
            self._ping_task.cancel()

    def _mark_suspect(self, seconds: float) -> None:
        self._suspect_until = self._timers.now() + seconds

    async def _exchange(
        self, path: str, message: object, max_bytes: int = MAX_ANSWER_BYTES
    ) -> bytes:
        body = msgspec.msgpack.encode(message)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        conn = await self._pool.acquire(CONNECT_TIMEOUT_SECONDS)
        try:
            answer = await conn.request(head.encode() + body)
            size = int(answer.headers.get("content-length") or 0)
            if size > max_bytes:
                raise LargeAnswerError(
                    f"{self.address}: expected up to {max_bytes} bytes, got {size}"
                )
            data = await conn.read_all(MAX_ANSWER_BYTES)
        except BaseException:
            conn.abort()
            raise
        finally:
            self._pool.release(conn)
        if answer.status != 200:
            raise PeerError(
                f"{self.address}: expected status 200, got {answer.status}",
                not_accepted=True,
            )
        return data

    async def _ping(self) -> None:
        """Ping the peer while calls are outstanding; a failed ping cancels them."""
        while self._outstanding:
            await self._timers.sleep(PING_INTERVAL_SECONDS)
            if not self._outstanding:
                break
            try:
                await with_timeout(
                    self._timers, self._exchange("/ping", None), PING_TIMEOUT_SECONDS
                )
            except (HttpError, TimeoutError, PeerError):
                self._mark_suspect(SUSPECT_SECONDS)
                for task in list(self._outstanding):
                    task.cancel()
        self._ping_task = None


class Peers:
    """Links to the other members, and the exchange of records with them.

    Each gateway queries one random peer per interval, so the load of the exchange on a
    gateway does not grow with the number of gateways.
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
        """Return the link to an address; create it if necessary."""
        if address not in self._links:
            self._links[address] = PeerLink(address, self._timers)
        return self._links[address]

    def is_suspect(self, address: str) -> bool:
        """Return whether a call to an address failed lately; creates no link."""
        link = self._links.get(address)
        return link is not None and link.is_suspect

    @property
    def held_calls(self) -> int:
        """Number of calls to peers without an answer yet."""
        return sum(link.held_calls for link in self._links.values())

    @property
    def held_connections(self) -> int:
        """Number of connections to peers that calls and pings hold."""
        return sum(link.held_connections for link in self._links.values())

    def addresses(self) -> list[str]:
        """Return the addresses of the other members; of the seeds if there are none."""
        found = [member_address(member) for member in self._state.members]
        others = [a for a in found if a and a not in self._own_addresses]
        return others or list(self._seeds)

    async def exchange_records(self) -> None:
        """Query several peers at start-up, then a random one per interval for ever.

        A store that was restored from an older copy may lack records that peers still
        have, so a new process is not ready before it has queried them.
        """
        await self._bootstrap(self.addresses())
        self._state.peers_queried = True
        while True:
            store_failing = self._is_store_failing()
            await self._timers.sleep(
                OUTAGE_SYNC_INTERVAL_SECONDS
                if store_failing or not self._state.ready
                else SYNC_INTERVAL_SECONDS
            )
            addresses = self.addresses()
            if not addresses:
                continue
            # After a common start, peers may have been reached before they knew more
            # than this gateway, and answer sooner than the store over a narrow link.
            if not self._state.ready:
                await self._bootstrap(addresses)
                continue
            address = self._rng.choice(addresses)
            # Without the store, peers are the only source.
            max_bytes = MAX_ANSWER_BYTES if store_failing else MAX_SYNC_BYTES
            try:
                await self._sync_with_member(address, max_bytes)
            except LargeAnswerError:
                self._metrics.drops.labels("large_answer").inc()
            except PeerError as exc:
                self._metrics.drops.labels("peer_sync").inc()
                if store_failing:
                    self._events.log_state_change("peer_unavailable", error=str(exc))

    async def query_several(self) -> None:
        """Query several peers at the same time for records, and apply all answers."""
        await self._bootstrap(self.addresses())

    async def _bootstrap(self, addresses: list[str]) -> None:
        """Query several peers at the same time, then apply all answers."""
        count = min(BOOTSTRAP_PEERS, len(addresses))
        sampled = self._rng.sample(addresses, count)
        answers = await asyncio.gather(
            *(
                self._fetch_records(
                    address, SYNC_TIMEOUT_SECONDS, evidence_s=EVIDENCE_SECONDS
                )
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

    async def _sync_with_member(self, address: str, max_bytes: int) -> None:
        answer = await self._fetch_records(
            address, SYNC_TIMEOUT_SECONDS, max_bytes, wants_speeds=True
        )
        self._apply_records(answer, address)
        self._apply_members(answer)

    def _apply_members(self, answer: SyncMessage) -> None:
        """Apply a peer's member list if the store fails and no other is known."""
        if (
            self._is_store_failing()
            and len(self._state.members) == 1
            and answer.members
        ):
            self._state.set_members(tuple(answer.members))

    async def sync_from(
        self, address: str, timeout_s: float, max_bytes: int = MAX_ANSWER_BYTES
    ) -> SyncMessage:
        """Fetch and apply the records of a peer that are not known here.

        Raises
        ------
        LargeAnswerError
            If the answer has more than ``max_bytes``.
        PeerError
            If there is no answer, or if it can't be decoded.
        """
        answer = await self._fetch_records(address, timeout_s, max_bytes)
        self._apply_records(answer, address)
        return answer

    async def _fetch_records(
        self,
        address: str,
        timeout_s: float,
        max_bytes: int = MAX_ANSWER_BYTES,
        evidence_s: float = RECENT_EVIDENCE_SECONDS,
        *,
        wants_speeds: bool = False,
    ) -> SyncMessage:
        topics = {
            name: TopicMessage(view.end if view.is_initialised else -1, era=view.era)
            for name, view in self._state.views.items()
        }
        request = SyncMessage(
            topics,
            evidence_s=evidence_s,
            wants_speeds=wants_speeds,
            accepts_compressed=True,
        )
        data = await self.link(address).call("/sync", request, timeout_s, max_bytes)
        try:
            return decode_sync(data)
        except msgspec.DecodeError as exc:
            raise PeerError(f"{address}: cannot decode the answer: {exc}") from exc

    def _apply_records(self, answer: SyncMessage, address: str) -> None:
        now = self._timers.now()
        self._state.merge_rate_limits(answer.rate_limits, now, address)
        self._state.merge_cold(answer.cold, now, address)
        if answer.quarantine is not None:
            self._state.merge_quarantine(answer.quarantine, now, address)
            self._state.quarantine_queried = True
        invalid = merge_engine_speeds(
            self._state.engine_loads, answer.engine_speeds, now, address
        )
        self._metrics.drops.labels("engine_speed").inc(invalid)
        for name, topic in answer.topics.items():
            if name in self._state.views and topic.end >= 0:
                self._state.apply(name, _decode_page(topic), address)

    def answer_sync(self, request: SyncMessage) -> SyncMessage:
        """Return the records that the requesting gateway does not have."""
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
        now = self._timers.now()
        ages_s = self._state.ages_s(now)
        rate_limits = self._state.rate_limits.current_messages(now)
        return SyncMessage(
            topics,
            list(self._state.members),
            ages_s,
            rate_limits,
            quarantine=encode_quarantine(
                self._state.quarantine, now, request.evidence_s
            ),
            cold=self._state.rate_limits.current_cold_messages(now),
            engine_speeds=encode_engine_speeds(self._state.engine_loads, now)
            if request.wants_speeds
            else [],
        )

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
    """Handles the calls of other gateways, and requests for the metrics."""

    def __init__(
        self,
        peers: Peers,
        make_pieces: Callable,
        release: Callable[[ReleaseOrder], None],
        answer_permit: Callable[[PermitOrder], PermitReply],
        receive_quarantine: Callable[[QuarantineMessage], None],
        answer_trial: Callable[[TrialOrder], TrialReply],
        answer_stream: Callable[[StreamQuery], Awaitable[StreamReply]],
        render_metrics: Callable[[], bytes],
        metrics: Metrics,
    ):
        self._peers = peers
        self._make_pieces = make_pieces
        self._release = release
        self._answer_permit = answer_permit
        self._receive_quarantine = receive_quarantine
        self._answer_trial = answer_trial
        self._answer_stream = answer_stream
        self._render_metrics = render_metrics
        self._metrics = metrics

    async def handle(self, req: ServerRequest, responder: ServerResponder) -> None:
        """Answer one call: 400 if it can't be decoded, 404 for an unknown path."""
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
            return encode_sync(
                self._peers.answer_sync(request),
                accepts_compressed=request.accepts_compressed,
            )
        if path in (PIECES_PATH, HOME_PIECES_PATH):
            order = msgspec.msgpack.decode(body, type=PieceOrder)
            reply: PieceReply = await self._make_pieces(order)
            return encode(reply)
        if path == "/permits":
            permit_order = msgspec.msgpack.decode(body, type=PermitOrder)
            return encode(self._answer_permit(permit_order))
        if path == "/quarantine":
            news = msgspec.msgpack.decode(body, type=QuarantineMessage)
            self._receive_quarantine(news)
            return b""
        if path == "/trials":
            trial_order = msgspec.msgpack.decode(body, type=TrialOrder)
            return encode(self._answer_trial(trial_order))
        if path == "/streams":
            query = msgspec.msgpack.decode(body, type=StreamQuery)
            return encode(await self._answer_stream(query))
        if path == "/release":
            self._release(msgspec.msgpack.decode(body, type=ReleaseOrder))
            return b""
        return None
