"""Keeps one link to an agent open, with heartbeats and reconnection."""

import asyncio
import contextlib
import random

import aiohttp
from absl import logging
from transitions import Machine

from ..core import TimerService
from ..messages import MAX_FRAME_BYTES, Hello, KeyRing, Ping, Pong
from ..metrics import Metrics
from .errors import LinkError
from .link import Link, MessageHandler

LINK_PATH = "/v1/link"
# An idempotent attempt on a silent link must be retried elsewhere within a deadline of
# 4 s, with 1 s left for the retry. The worst case is heartbeat, silence, two ticks and
# the entry's grace for a lost link: 1.0 + 1.0 + 2 * 0.25 + 0.5 = 3.0 s.
BUSY_HEARTBEAT_SECONDS = 1.0
IDLE_HEARTBEAT_SECONDS = 5.0
SILENCE_SECONDS = 1.0
TICK_SECONDS = 0.25
FIRST_RECONNECT_SECONDS = 0.05
MAX_RECONNECT_SECONDS = 3.0
CONNECT_TIMEOUT_SECONDS = 2.0


class LinkEvents:
    """Callbacks of a dialer; the default does nothing."""

    def link_up(self, link: Link, peer: Hello) -> None:
        """Handle a link that passed its handshake."""

    def link_down(self, reason: str) -> None:
        """Handle the loss of the link."""

    def positions(self) -> dict[str, int]:
        """Return the stream positions to send with heartbeats."""
        return {}

    def is_busy(self) -> bool:
        """Return whether attempts are in flight on this link."""
        return False


class LinkDialer:
    """Dials an agent and replaces the link when its answers stop.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session for the WebSocket.
    address : str
        ``ip:port`` of the agent.
    keys, local, timers, metrics
        As for ``Link``.
    events : LinkEvents
        Callbacks.
    handler : MessageHandler
        Receives messages other than heartbeats.
    """

    _machine = Machine(
        model=None,
        states=["down", "connecting", "up"],
        transitions=[
            ["dial", "down", "connecting"],
            ["connected", "connecting", "up"],
            ["lost", ["connecting", "up"], "down"],
        ],
        initial="down",
    )

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        keys: KeyRing,
        local: Hello,
        timers: TimerService,
        metrics: Metrics,
        *,
        events: LinkEvents,
        handler: MessageHandler,
    ):
        self.address = address
        self._session = session
        self._keys = keys
        self._local = local
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._handler = handler
        self._failures = 0
        self._nonce = 0
        self._pinged_at: float | None = None
        self._checked_at = 0.0
        self.link: Link | None = None
        self._machine.add_model(self)

    async def run(self) -> None:
        """Keep the link open until cancelled."""
        heartbeat = self._timers.subscribe(TICK_SECONDS, self._beat)
        try:
            while True:
                await self._run_once()
                await self._timers.sleep(self._delay_s())
        finally:
            heartbeat.cancel()
            if self.link is not None:
                await self.link.close()

    def send(self, message: object) -> None:
        """Send a message on the present link or raise ``LinkError``."""
        if self.link is None or self.state != "up":
            raise LinkError(f"no link to {self.address}", code="no_link")
        self.link.send(message)

    async def _run_once(self) -> None:
        self.dial()
        reason = "connect_failed"
        try:
            async with self._session.ws_connect(
                f"http://{self.address}{LINK_PATH}",
                max_msg_size=MAX_FRAME_BYTES,
                compress=0,
                timeout=aiohttp.ClientWSTimeout(ws_close=1.0),
            ) as socket:
                link = self._open(socket)
                peer = await link.handshake()
                self._become_up(link, peer)
                await link.run(self._receive)
                reason = "silent" if self._is_silent() else "closed"
        except LinkError as exc:
            reason = exc.code
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            reason = "connect_failed"
        except asyncio.CancelledError:
            reason = "shutdown"
            raise
        finally:
            self._become_down(reason)

    def _open(self, socket: aiohttp.ClientWebSocketResponse) -> Link:
        return Link(
            socket,
            self._keys,
            self._local,
            self._timers,
            self._metrics,
            is_dialer=True,
        )

    def _become_up(self, link: Link, peer: Hello) -> None:
        self.connected()
        self.link = link
        self._failures = 0
        self._pinged_at = None
        self._checked_at = self._timers.now()
        logging.info(
            "link to %s (%s) at %s is up", peer.host, peer.incarnation, self.address
        )
        self._events.link_up(link, peer)

    def _become_down(self, reason: str) -> None:
        was_up = self.state == "up"
        self.lost()
        self.link = None
        self._failures += 1
        self._metrics.reconnects.labels(reason).inc()
        if was_up:
            level = logging.INFO if reason == "shutdown" else logging.WARNING
            logging.log(level, "link to %s is down: %s", self.address, reason)
            with contextlib.suppress(LinkError):
                self._events.link_down(reason)

    def _delay_s(self) -> float:
        ceiling = FIRST_RECONNECT_SECONDS * 2 ** min(self._failures, 10)
        return random.uniform(0.5, 1.0) * min(MAX_RECONNECT_SECONDS, ceiling)

    def _receive(self, link: Link, message: object) -> None:
        if isinstance(message, Pong) and message.nonce == self._nonce:
            self._pinged_at = None
        self._handler(link, message)

    def _is_silent(self) -> bool:
        if self._pinged_at is None:
            return False
        return self._timers.now() - self._pinged_at >= SILENCE_SECONDS

    def _beat(self) -> None:
        """Send a heartbeat when due, and cut the link when its answer is overdue."""
        if self.link is None or self.state != "up":
            return
        if self._is_silent():
            self.link.abort()
            return
        if self._pinged_at is not None:
            return
        busy = self._events.is_busy()
        interval_s = BUSY_HEARTBEAT_SECONDS if busy else IDLE_HEARTBEAT_SECONDS
        if self._timers.now() - self._checked_at >= interval_s:
            self._ping()

    def _ping(self) -> None:
        self._nonce += 1
        self._checked_at = self._timers.now()
        self._pinged_at = self._checked_at
        with contextlib.suppress(LinkError):
            self.link.send(Ping(self._nonce, self._events.positions()))
