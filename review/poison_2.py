"""Replicas that a part of a prompt crashes, and clients whose prompts have it."""

import asyncio
import time

from rig_2 import (
    HEARTBEAT_SECONDS,
    Gateway,
    Record,
    Replica,
    Request,
    Store,
    configuration,
    connect,
    request_bytes,
    route,
)

CONTACT_SECONDS = 3.0
# "the replica is back after some seconds"
DOWN_SECONDS = 2.0
EVENTS = 12
EVENT_SECONDS = 0.1
LIMIT_MS = 8000
CRASHES = 5
# "more than three requests"
ALLOWED = 3
FIRST_PART = "5c1e07a2:800"
DEADLY_ID = "dead0001"


class ModelReplica(Replica):
    """Streams events; the process crashes when it writes an answer on the part.

    ``crash_event`` is the number of the event that is the last one written.
    """

    def __init__(self, identifier: str, store: Store, record: Record, crash_event: int):
        super().__init__(identifier, "model", "z1", record)
        self.deadly_arrivals: list[str] = []
        self.crashes: list[float] = []
        self._store = store
        self._crash_event = crash_event
        self._tasks: set[asyncio.Task] = set()

    async def run(self, req: Request, reader, writer) -> bool:
        """Write the events of an answer."""
        is_deadly = DEADLY_ID in req.fields.get("x-prefix-hash", "")
        if is_deadly:
            self.deadly_arrivals.append(req.attempt)
        head = (
            f"HTTP/1.1 200 OK\r\n{self.own_fields(req)}"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {req.attempt}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if is_deadly and number == self._crash_event:
                task = asyncio.ensure_future(self.crash(req.attempt))
                self._tasks.add(task)
                return True
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def crash(self, attempt: str) -> None:
        """End the process as seen from outside, and start it again later."""
        self.crashes.append(time.monotonic())
        self.record.add(f"{self.identifier} crashes on {attempt}")
        port = int(self.address.rpartition(":")[2])
        await self.stop()
        await asyncio.sleep(DOWN_SECONDS)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start(port)
        await self.register(self._store)
        self.record.add(f"{self.identifier} is back")

    async def keep_registered(self, store: Store) -> None:
        """Write the entry at each heartbeat while the process runs."""
        while True:
            if self._server.is_serving():
                await self.register(store)
            await asyncio.sleep(HEARTBEAT_SECONDS)


class Traffic:
    """Sound requests, and some that have the deadly part."""

    def __init__(self, gateways: list[Gateway], record: Record):
        self._gateways = gateways
        self._record = record
        self._count = 0
        self._tasks: set[asyncio.Task] = set()
        self.sent_at: dict[str, float] = {}

    def send(self, part: str, prefix: str = "5") -> None:
        """Send one request on a new channel, to each gateway in turn."""
        self._count += 1
        attempt = f"{prefix}{self._count:05x}"
        gateway = self._gateways[self._count % len(self._gateways)]
        parts = f"{FIRST_PART},{part},{self._count:08x}:250"
        task = asyncio.ensure_future(self._ask(gateway, attempt, parts))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def send_sound(self) -> None:
        """Send a request without the deadly part."""
        self.send("91bd3f06:410")

    def send_deadly(self) -> None:
        """Send a request with the deadly part."""
        self.send(f"{DEADLY_ID}:300", "d")

    async def _ask(self, gateway: Gateway, attempt: str, parts: str) -> None:
        fields = f"X-Model: m\r\nX-Token-Count: 1460,80\r\nX-Prefix-Hash: {parts}\r\n"
        data = request_bytes("POST", "/model/x", attempt, LIMIT_MS, fields)
        self.sent_at[attempt] = time.monotonic()
        answer = b""
        try:
            reader, writer = await connect(gateway.callers)
            writer.write(data)
            answer = await reader.readuntil(b"\r\n\r\n")
            if b" 200 " in answer.split(b"\r\n")[0]:
                answer += await reader.readuntil(b"\r\n0\r\n\r\n")
            end = "complete"
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            end = "not complete"
        status = answer.split(b"\r\n")[0].decode() or "no answer"
        self._record.add(f"client gets {status} to {attempt}, {end}")

    async def sound_for(self, seconds: float, per_second: float) -> None:
        """Send sound requests for some time."""
        end_at = time.monotonic() + seconds
        while time.monotonic() < end_at:
            self.send_sound()
            await asyncio.sleep(1.0 / per_second)

    async def wait(self) -> None:
        """Wait for all answers."""
        await asyncio.gather(*self._tasks)


def model_configuration() -> dict:
    """Return a configuration with one route to the model replicas."""
    model = route("model", "/model/", "streaming", "model", Sticky=True, MaxAttempts=1)
    engine = {"Slots": 64, "KvCapacity": 346318}
    service = {"Name": "model", "HealthPath": "/healthz", "MaxConns": 280}
    return configuration(1, [model], [{**service, "Engine": engine}])


def late_requests(replicas: list[ModelReplica], traffic: Traffic) -> list[str]:
    """Return the deadly requests that were sent too late and reached a replica.

    Too late is later than ``ContactMs`` after the fifth crash.
    """
    crashes = sorted(at for replica in replicas for at in replica.crashes)
    if len(crashes) < CRASHES:
        return []
    limit = crashes[CRASHES - 1] + CONTACT_SECONDS
    arrivals = (a for replica in replicas for a in replica.deadly_arrivals)
    return sorted(a for a in arrivals if traffic.sent_at[a] > limit)
