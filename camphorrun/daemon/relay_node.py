"""Relay of a daemon: its server, and its peers from the host list."""

from collections.abc import Callable

import aiohttp
from aiohttp import web

from ..clients import HostEntry
from ..configuration import ACCOUNTS_STREAM
from ..core import TimerService
from ..messages import KeyRing
from ..metrics import Metrics
from ..relay import Announce, RelayPeers, RelayServer
from ..settings import HostSettings
from .configuration_sync import ConfigurationSync


class RelayNode:
    """Exchanges the configuration of a daemon with its peers.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session of the daemon.
    host : HostSettings
        Identity of the daemon, which is excluded from its peers.
    keys : KeyRing
        Keys that authenticate relay messages.
    timers, metrics
        Clock and counters.

    Attributes
    ----------
    peers : RelayPeers
        Source of snapshots from the peers in the host list.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        host: HostSettings,
        keys: KeyRing,
        timers: TimerService,
        metrics: Metrics,
    ):
        self._host = host
        self._keys = keys
        self._timers = timers
        self._metrics = metrics
        self._hosts: tuple[HostEntry, ...] = ()
        self._sync: ConfigurationSync | None = None
        self._server: RelayServer | None = None
        self.peers = RelayPeers(
            session,
            keys,
            self._addresses,
            on_position=self._on_position,
            metrics=metrics,
        )

    def start(
        self,
        sync: ConfigurationSync,
        on_announce: Callable[[Announce], None] | None = None,
    ) -> None:
        """Serve the streams of ``sync``, which must use ``peers`` as its source."""
        self._sync = sync
        self._server = RelayServer(
            self._keys,
            sync.followers,
            self._timers,
            on_announce=on_announce,
            metrics=self._metrics,
        )

    def register_routes(self, app: web.Application) -> None:
        """Add the relay routes to an application; ``start`` must have been called."""
        self._server.register_routes(app)

    def update(self, hosts: tuple[HostEntry, ...]) -> None:
        """Apply a new host list."""
        self._hosts = hosts

    def refused(self) -> dict[str, int]:
        """Return the number of frames that the server refused, by error code."""
        return dict(self._server.refused) if self._server is not None else {}

    def _addresses(self, stream: str) -> list[str]:
        """Return the addresses of the peers that follow a stream.

        Only entries follow the accounts stream.
        """
        roles = ("entry",) if stream == ACCOUNTS_STREAM else ("entry", "agent")
        return [
            entry.address
            for entry in self._hosts
            if entry.address and entry.host != self._host.name and entry.role in roles
        ]

    def _on_position(self, stream: str, position: int) -> None:
        if self._sync is not None:
            self._sync.note_peer_answer(stream, position)
