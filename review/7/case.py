"""A replica that says it is leaving gets requests after its entry came back."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_2 import (  # noqa: E402
    BROKEN,
    HEARTBEAT_SECONDS,
    HELD,
    NOT_RUN,
    Gateway,
    Record,
    Replica,
    Request,
    Store,
    configuration,
    connect,
    request_bytes,
    response,
    route,
    run_case,
)

DRAIN_SECONDS = 2.0
# Three liveness report intervals of silence, after which the store removes an entry.
EXPIRY_SECONDS = 3.6
# The store turns the replica away twice. The largest figure of the pages is 9 s.
FIRST_REFUSAL_SECONDS = 5.0
LONG_WORK_SECONDS = 7.6
SHORT_WORK_SECONDS = 4.0
# A replica serves for DrainMs after its entry has ended, and a little longer.
EXIT_SECONDS = DRAIN_SECONDS + 0.5
LIMIT_MS = 20_000


class LeavingReplica(Replica):
    """Says in all its answers that it leaves, once it does."""

    def __init__(self, identifier: str, record: Record):
        super().__init__(identifier, "orders", "z1", record)
        self.is_leaving = False
        self.is_turned_away = False
        self.arrivals: list[str] = []

    async def keep_registered(self, store: Store) -> None:
        """Write the entry at each heartbeat; the store removes it after three."""
        written_at = time.monotonic()
        is_listed = False
        while True:
            if not self.is_turned_away:
                await self.register(store)
                written_at, is_listed = time.monotonic(), True
            elif is_listed and time.monotonic() - written_at > EXPIRY_SECONDS:
                self.record.add(f"the store removes the entry of {self.identifier}")
                await store.put("keyed.servers", self.identifier, None)
                is_listed = False
                if self.is_leaving:
                    break
            if self.state == "draining" and not self.is_turned_away:
                break
            pause_s = 0.1 if self.is_turned_away else HEARTBEAT_SECONDS
            await asyncio.sleep(pause_s)
        await asyncio.sleep(EXIT_SECONDS)
        self.record.add(f"{self.identifier} exits")
        await self.stop()

    async def run(self, req: Request, reader, writer) -> bool:
        """Work for some time and answer."""
        self.arrivals.append(req.attempt)
        is_long = "long" in req.target
        await asyncio.sleep(LONG_WORK_SECONDS if is_long else SHORT_WORK_SECONDS)
        fields = self.own_fields(req)
        if self.is_leaving:
            fields += "Server-Leaving: 1\r\n"
        self.record.add(f"{self.identifier} answers {req.attempt}, {self.is_leaving=}")
        writer.write(response(200, b"done", fields))
        await writer.drain()
        return True


class Case:
    """Store, replicas and gateway of the case."""

    def __init__(self, record: Record, folder: Path, has_trouble: bool):
        self.record = record
        self.has_trouble = has_trouble
        self.store = Store()
        self.replicas = [LeavingReplica(f"i-{number}", record) for number in (1, 2)]
        self.gateway = Gateway("g1", "z1", self.store, folder)
        # By replica, when its first answer with the notice reached a client.
        self.told_at: dict[str, float] = {}
        self.sent_at: dict[str, float] = {}
        self._beats: list[asyncio.Future] = []

    async def start(self) -> bool:
        """Start everything; return whether the gateway is ready."""
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
        self._beats = [
            asyncio.ensure_future(r.keep_registered(self.store)) for r in self.replicas
        ]
        orders = route("orders", "/orders/", "unsafe", "orders", TimeoutMs=LIMIT_MS)
        services = [{"Name": "orders", "HealthPath": "/healthz", "MaxConns": 64}]
        await self.store.put("keyed.op", "config", configuration(1, [orders], services))
        await self.gateway.start([self.gateway.control])
        return await self.gateway.wait_until_ready()

    async def stop(self) -> None:
        """End everything."""
        await self.gateway.stop()
        for beat in self._beats:
            beat.cancel()
        for server in (*self.replicas, self.store):
            await server.stop()

    async def turn_away(self, replica: LeavingReplica) -> None:
        """Let the store turn a replica away until its entry has expired, and longer."""
        self.record.add(f"the store turns {replica.identifier} away")
        replica.is_turned_away = True
        await asyncio.sleep(FIRST_REFUSAL_SECONDS)
        replica.is_turned_away = False
        self.record.add(f"the store serves {replica.identifier} again")

    async def order(self, attempt: str, path: str) -> None:
        """Send an order and wait for its answer."""
        reader, writer = await connect(self.gateway.callers)
        self.sent_at[attempt] = time.monotonic()
        self.record.add(f"client sends {attempt}")
        writer.write(request_bytes("POST", path, attempt, LIMIT_MS, body=b"order"))
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            head = b"no answer"
        lines = head.decode().split("\r\n")
        is_leaving = any(line.lower() == "server-leaving: 1" for line in lines)
        self.record.add(f"client gets {lines[0]} to {attempt}, {is_leaving=}")
        if is_leaving:
            ran_at = [r for r in self.replicas if attempt in r.runs]
            self.told_at.setdefault(ran_at[0].identifier, time.monotonic())
        writer.close()

    def late(self) -> list[str]:
        """Return the requests that reached a leaving replica too late."""
        return [
            attempt
            for replica in self.replicas
            for attempt in replica.arrivals
            if self.sent_at[attempt]
            > self.told_at.get(replica.identifier, float("inf")) + DRAIN_SECONDS
        ]

    async def play(self) -> int:
        """Play the case and return its result."""
        if not await self.start():
            self.record.add("the gateway is not ready")
            return NOT_RUN
        longs = [
            asyncio.ensure_future(self.order(f"10{n}", "/orders/long"))
            for n in range(4)
        ]
        await asyncio.sleep(0.5)
        leaving = self.replicas[0]
        if self.has_trouble:
            await self.turn_away(leaving)
        else:
            await asyncio.sleep(FIRST_REFUSAL_SECONDS)
        # The entry is written again at once and after a heartbeat.
        await asyncio.sleep(HEARTBEAT_SECONDS + 0.5)
        self.record.add(f"{leaving.identifier} is to leave")
        leaving.is_leaving = True
        if self.has_trouble:
            self.record.add(f"the store turns {leaving.identifier} away again")
            leaving.is_turned_away = True
        else:
            leaving.state = "draining"
        await asyncio.gather(*longs)
        if leaving.identifier not in self.told_at:
            self.record.add("no client was told that the replica leaves")
            return NOT_RUN
        await asyncio.sleep(DRAIN_SECONDS + 0.3)
        await asyncio.gather(*(self.order(f"20{n}", "/orders/short") for n in range(8)))
        late = self.late()
        self.record.add(
            f"sent later than DrainMs and reached {leaving.identifier}: {late}"
        )
        return BROKEN if late else HELD


async def main(record: Record, folder: Path, has_trouble: bool) -> int:
    """Play the case and return its result."""
    case = Case(record, folder, has_trouble)
    try:
        return await case.play()
    finally:
        await case.stop()


if __name__ == "__main__":
    run_case(main, str(FOLDER))
