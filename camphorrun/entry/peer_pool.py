"""The agents that an entry keeps links to, by the host list and announcements."""

import asyncio
import itertools
from collections.abc import Callable

import aiohttp
import xxhash
from absl import logging

from ..clients import HostEntry
from ..core import TimerService, with_timeout
from ..messages import (
    GetOutcome,
    Hello,
    KeyRing,
    OutcomeReply,
    StoreOutcome,
)
from ..metrics import Metrics
from ..relay import Announce
from ..routing import EndpointState
from ..settings import SettingsError, check_address
from ..transport import LinkDialer
from .agent_peer import AgentPeer
from .incarnations import Incarnations

OUTCOME_HOMES = 2
OUTCOME_QUERY_TIMEOUT_SECONDS = 0.25
# A host that is missing from the list keeps its link this long while the link is up,
# because the list lags.
UNLISTED_GRACE_SECONDS = 10.0
# A paused agent or a replaced connection answers again within this time as a rule.
GONE_SECONDS = 3.0
# Announced agents that are not listed yet; a lag of the list concerns few hosts.
MAX_ANNOUNCED = 512


class PeerPool:
    """Creates and removes agent peers as hosts come and go.

    Parameters
    ----------
    session, keys, local, timers, metrics
        As for ``LinkDialer``.
    positions : callable
        Stream positions of this process, for heartbeats.
    on_positions : callable
        Receives the stream positions of agents.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        keys: KeyRing,
        local: Hello,
        timers: TimerService,
        metrics: Metrics,
        *,
        positions: Callable[[], dict[str, int]],
        on_positions: Callable[[dict[str, int]], None] = lambda _positions: None,
    ):
        self._session = session
        self._keys = keys
        self._local = local
        self._timers = timers
        self._metrics = metrics
        self._positions = positions
        self._on_positions = on_positions
        self._incarnations = Incarnations()
        # Hosts known by announcement that no list has named yet.
        self._announced: set[str] = set()
        # Outdated listed address of a host that announced another one, and when the
        # announced one was last in use.
        self._outdated: dict[str, tuple[str, float]] = {}
        self._peers: dict[str, AgentPeer] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._missing_since: dict[str, float] = {}
        self._by_service: dict[str, list[AgentPeer]] = {}
        self._queries: dict[int, asyncio.Future] = {}
        self._query_numbers = itertools.count(1)

    def of_service(self, service: str) -> list[AgentPeer]:
        """Return the peers of a service."""
        return self._by_service.get(service, [])

    def services(self) -> tuple[str, ...]:
        """Return the services that have had a peer."""
        return tuple(self._by_service)

    def all(self) -> list[AgentPeer]:
        """Return all peers."""
        return list(self._peers.values())

    def update(self, hosts: tuple[HostEntry, ...]) -> None:
        """Follow the host list.

        A host that left the list keeps its link while it answers, for a while, because
        the list lags; one marked as leaving gets no new work.
        """
        listed = {entry.host: entry for entry in hosts if entry.role == "agent"}
        for entry in listed.values():
            self._announced.discard(entry.host)
            if not self._is_outdated(entry):
                self.add(entry)
        for host in self._outdated.keys() - listed.keys():
            del self._outdated[host]
        for host in tuple(self._peers):
            if host not in listed:
                self._handle_missing(host)
            else:
                self._missing_since.pop(host, None)
        self._metrics.links.set(sum(p.state.link_up for p in self._peers.values()))

    def add(self, entry: HostEntry) -> None:
        """Keep a link to an agent, at its present address."""
        peer = self._peers.get(entry.host)
        if peer is not None and peer.listed.address != entry.address:
            self._remove(entry.host)
            peer = None
        if peer is None:
            self._create(entry)
        elif entry.state == "leaving":
            peer.state.set_draining(True)

    def announce(self, message: Announce) -> bool:
        """Keep a link to an agent that announced itself; return whether it is new.

        An announcement never replaces a link that is up: it may be a replay. It is
        refused if its incarnation has been replaced by a later one, or is invalid.
        """
        refusal = self._refusal_of(message)
        if refusal:
            self._metrics.drops.labels(refusal).inc()
            return False
        peer = self._peers.get(message.host)
        if peer is not None and (
            peer.state.link_up or peer.listed.address == message.address
        ):
            return False
        entry = HostEntry(
            message.host,
            message.address,
            "agent",
            message.availability_zone,
            service=message.service,
        )
        logging.info("%s announced itself at %s", entry.host, entry.address)
        if peer is None:
            self._announced.add(entry.host)
        elif entry.host not in self._announced:
            replaced = self._outdated.get(entry.host, (peer.listed.address, 0.0))[0]
            self._outdated[entry.host] = (replaced, self._timers.now())
        self.add(entry)
        return True

    def _is_outdated(self, entry: HostEntry) -> bool:
        """Return whether the list names an address that an announcement replaced."""
        address, used_at = self._outdated.get(entry.host, ("", 0.0))
        peer = self._peers.get(entry.host)
        if address != entry.address or peer is None:
            self._outdated.pop(entry.host, None)
            return False
        if entry.state == "leaving":
            peer.state.set_draining(True)
        if peer.state.link_up:
            self._outdated[entry.host] = (address, self._timers.now())
            return True
        if self._timers.now() - used_at < UNLISTED_GRACE_SECONDS:
            return True
        del self._outdated[entry.host]
        return False

    def _refusal_of(self, message: Announce) -> str:
        if message.role != "agent" or not message.host or not message.service:
            return "announce_invalid"
        try:
            check_address(message.address, "address")
        except SettingsError:
            return "announce_invalid"
        if self._incarnations.is_replaced(message.host, message.incarnation):
            return "announce_outdated"
        is_new = message.host not in self._peers
        if is_new and len(self._announced) >= MAX_ANNOUNCED:
            return "announce_overflow"
        return ""

    def drain(self, host: str) -> None:
        """Send no new work to a host."""
        peer = self._peers.get(host)
        if peer is not None:
            peer.state.set_draining(True)

    def is_gone(self, host: str, incarnation: str) -> bool:
        """Return whether a process of an agent host can no longer answer.

        That is so once another process runs on the host, or once the link has been
        down for ``GONE_SECONDS``.
        """
        peer = self._peers.get(host)
        if peer is None:
            return True
        if peer.state.link_up:
            return peer.incarnation != incarnation
        return self._timers.now() - peer.state.link_changed_at >= GONE_SECONDS

    async def close(self) -> None:
        """Close all links."""
        for host in tuple(self._peers):
            self._remove(host)

    # Outcomes of keyed requests.

    def store_outcome(self, message: StoreOutcome) -> None:
        """Keep an outcome at the home agents of its key."""
        for peer in self._homes(message.key_digest):
            peer.send(message)

    async def find_outcome(self, account: str, key_digest: str) -> OutcomeReply | None:
        """Return a stored outcome from the home agents, or None."""
        queries = [
            asyncio.ensure_future(self._query(peer, account, key_digest))
            for peer in self._homes(key_digest)
        ]
        found = [reply for reply in await asyncio.gather(*queries) if reply is not None]
        return found[0] if found else None

    async def _query(
        self, peer: AgentPeer, account: str, key_digest: str
    ) -> OutcomeReply | None:
        number = next(self._query_numbers)
        fut = asyncio.get_running_loop().create_future()
        self._queries[number] = fut
        try:
            if not peer.send(GetOutcome(number, key_digest, account)):
                return None
            reply = await with_timeout(self._timers, fut, OUTCOME_QUERY_TIMEOUT_SECONDS)
            return reply if reply.outcome else None
        except TimeoutError:
            return None
        finally:
            del self._queries[number]

    def _on_outcome(self, reply: OutcomeReply) -> None:
        fut = self._queries.get(reply.query)
        if fut is None or fut.done():
            self._metrics.drops.labels("unmatched_reply").inc()
            return
        fut.set_result(reply)

    def _homes(self, key_digest: str) -> list[AgentPeer]:
        """Return the agents with the highest rendezvous weight for a key."""
        linked = [peer for peer in self._peers.values() if peer.state.link_up]
        linked.sort(
            key=lambda peer: xxhash.xxh3_64_intdigest(key_digest + peer.listed.host)
        )
        return linked[-OUTCOME_HOMES:]

    # Peers.

    def _create(self, entry: HostEntry) -> None:
        state = EndpointState(entry.host, entry.availability_zone, entry.service)
        state.is_relative = True
        state.on_link(False, self._timers.now())
        state.set_draining(entry.state == "leaving")
        peer = AgentPeer(
            entry,
            state,
            self._timers,
            self._metrics,
            positions=self._positions,
            on_outcome=self._on_outcome,
            on_positions=self._on_positions,
            on_incarnation=self._incarnations.note,
        )
        peer.dialer = LinkDialer(
            self._session,
            entry.address,
            self._keys,
            self._local,
            self._timers,
            self._metrics,
            events=peer,
            handler=lambda link, message: peer.handle(message, link),
        )
        self._peers[entry.host] = peer
        self._by_service.setdefault(entry.service, []).append(peer)
        task = asyncio.get_running_loop().create_task(peer.dialer.run())
        self._tasks[entry.host] = task

    def _handle_missing(self, host: str) -> None:
        peer = self._peers[host]
        since = self._missing_since.setdefault(host, self._timers.now())
        is_late = self._timers.now() - since >= UNLISTED_GRACE_SECONDS
        if host in self._announced:
            # No list has named it, so only its link tells whether it is alive.
            if peer.state.link_up:
                self._missing_since[host] = self._timers.now()
            is_gone = not peer.state.link_up and is_late
        else:
            is_gone = not peer.state.link_up or is_late
        if is_gone and not peer.is_busy():
            self._remove(host)

    def _remove(self, host: str) -> None:
        peer = self._peers.pop(host)
        self._missing_since.pop(host, None)
        self._announced.discard(host)
        self._by_service[peer.listed.service].remove(peer)
        self._tasks.pop(host).cancel()
        peer.close("host_removed")
