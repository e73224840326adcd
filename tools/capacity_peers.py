"""Light peers for ``tools.capacity``: many links in one process.

``listen`` accepts the links of an entry like any number of agents at one address, and
``dial`` opens links to an agent like any number of entries.
"""

import argparse
import asyncio

import aiohttp
from aiohttp import web

from camphorrun.core import LoopTimerService
from camphorrun.daemon import start_server
from camphorrun.messages import Hello, KeyRing, LoadReport, Ping, Pong, SharedKey
from camphorrun.metrics import Metrics
from camphorrun.transport import LINK_PATH, LinkDialer, LinkEvents, LinkListener
from tools.chaos_system import SECRET

RING = KeyRing((SharedKey(1, bytes.fromhex(SECRET)),))
POSITIONS = {"fleet": 12345, "accounts": 49000}


class PeerEvents(LinkEvents):
    """Reports positions and whether the link counts as busy."""

    def __init__(self, *, busy: bool):
        self._busy = busy

    def positions(self) -> dict[str, int]:
        """Return positions as a daemon at the target scale has them."""
        return POSITIONS

    def is_busy(self) -> bool:
        """Return whether heartbeats are those of a link with attempts in flight."""
        return self._busy


def _pong(ping: Ping) -> Pong:
    return Pong(ping.nonce, {"fleet": 12345}, LoadReport(3, 8, 1, 0.01, 0.02))


async def listen(address: str) -> None:
    """Serve links at an address until terminated."""
    local = Hello("peer", "zone-a", "agent", "inc-1", b"", "generate")
    listener = LinkListener(
        RING,
        local,
        LoopTimerService(),
        Metrics(),
        handler=lambda link, message: None,
        answer_ping=_pong,
        on_down=lambda link: None,
    )
    app = web.Application()
    app.router.add_get(LINK_PATH, listener.handle)
    await start_server(app, address)
    await asyncio.Event().wait()


async def dial(address: str, count: int, *, busy: bool) -> None:
    """Keep links to an agent until terminated."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        dialers = [
            LinkDialer(
                session,
                address,
                RING,
                Hello(f"entry-{number}", "zone-a", "entry", f"inc-{number}", b""),
                LoopTimerService(),
                Metrics(),
                events=PeerEvents(busy=busy),
                handler=lambda link, message: None,
            )
            for number in range(count)
        ]
        await asyncio.gather(*(dialer.run() for dialer in dialers))


def main() -> None:
    """Run the peers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=["dial", "listen"])
    parser.add_argument("address", help="ip:port")
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--busy", action="store_true")
    args = parser.parse_args()
    if args.kind == "listen":
        asyncio.run(listen(args.address))
    else:
        asyncio.run(dial(args.address, args.count, busy=args.busy))


if __name__ == "__main__":
    main()
