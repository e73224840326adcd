"""A block of a deadly part is not written again after the store was restored."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from poison_2 import (  # noqa: E402
    ALLOWED,
    CONTACT_SECONDS,
    ModelReplica,
    Traffic,
    late_requests,
    model_configuration,
)
from rig_2 import BROKEN, HELD, NOT_RUN, Gateway, Record, Store, run_case  # noqa: E402

REPLICAS = 8
GATEWAYS = 2
# A replica crashes as it begins to write an answer on the part.
CRASH_EVENT = 1
SOUND_PER_SECOND = 6.0
BLOCK_SECONDS = 15.0
# "come back from a copy some seconds old", after it was "away for a moment"
COPY_AGE_SECONDS = 4.0
AWAY_SECONDS = 1.0
TOPIC = "keyed.quarantine"


class Case:
    """Store, replicas and gateways of the case."""

    def __init__(self, record: Record, folder: Path, has_trouble: bool):
        self.record = record
        self.has_trouble = has_trouble
        self.store = Store()
        self.replicas = [
            ModelReplica(f"i-{number}", self.store, record, CRASH_EVENT)
            for number in range(REPLICAS)
        ]
        self.gateways = [
            Gateway(f"g{number}", "z1", self.store, folder)
            for number in range(GATEWAYS)
        ]
        self.traffic = Traffic(self.gateways, record)
        self._beats: list[asyncio.Future] = []

    async def start_gateways(self) -> bool:
        """Start the processes; return whether they are ready and in touch."""
        for gateway in self.gateways:
            await gateway.start([g.control for g in self.gateways])
        is_ready = all([await g.wait_until_ready() for g in self.gateways])
        await asyncio.sleep(CONTACT_SECONDS + 0.5)
        return is_ready

    async def stop(self) -> None:
        """End everything."""
        for gateway in self.gateways:
            await gateway.stop()
        for beat in self._beats:
            beat.cancel()
        for server in (*self.replicas, self.store):
            await server.stop()

    async def send_deadly(self, count: int) -> None:
        """Send some requests with the part in one second, and sound ones."""
        for _ in range(count):
            self.traffic.send_deadly()
            await self.traffic.sound_for(0.2, SOUND_PER_SECOND)
        await self.traffic.sound_for(0.8, SOUND_PER_SECOND)

    async def wait_for_block(self) -> float:
        """Send requests until the block is in the store; return that time, else 0."""
        end_at = time.monotonic() + BLOCK_SECONDS
        while time.monotonic() < end_at:
            await self.send_deadly(3)
            if self.store.logs.get(TOPIC):
                self.record.add("the store has the block of the part")
                return time.monotonic()
        return 0.0

    async def drill(self) -> None:
        """Restore the store from a copy; all others write again what was lost."""
        self.record.add("the store is away")
        copied_at = time.monotonic() - COPY_AGE_SECONDS
        self.store.is_down = True
        await asyncio.sleep(AWAY_SECONDS)
        self.store.restore(copied_at)
        self.store.is_down = False
        self.record.add(f"the store is back, {len(self.store.logs[TOPIC])} blocks")
        await self.store.put("keyed.op", "config", model_configuration())
        for replica in self.replicas:
            await replica.register(self.store)

    async def play(self) -> int:
        """Play the case and return its result."""
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
        self._beats = [
            asyncio.ensure_future(r.keep_registered(self.store)) for r in self.replicas
        ]
        await self.store.put("keyed.op", "config", model_configuration())
        if not await self.start_gateways() or not await self.wait_for_block():
            self.record.add("the gateways are not ready, or the part is not blocked")
            return NOT_RUN
        if self.has_trouble:
            await self.drill()
        await self.traffic.sound_for(10.0, SOUND_PER_SECOND)
        await self.traffic.wait()
        self.record.add(
            f"the store has {len(self.store.logs[TOPIC])} records of blocks"
        )
        self.record.add("all gateways are killed at the same time, and start again")
        for gateway in self.gateways:
            await gateway.stop()
        if not await self.start_gateways():
            self.record.add("a gateway is not ready")
            return NOT_RUN
        for _ in range(4):
            await self.send_deadly(3)
        await self.traffic.wait()
        late = late_requests(self.replicas, self.traffic)
        self.record.add(f"{sum(len(r.crashes) for r in self.replicas)} crashes")
        self.record.add(f"{len(late)} late requests with the part reached replicas")
        return BROKEN if len(late) > ALLOWED else HELD


async def main(record: Record, folder: Path, has_trouble: bool) -> int:
    """Play the case and return its result."""
    case = Case(record, folder, has_trouble)
    try:
        return await case.play()
    finally:
        await case.stop()


if __name__ == "__main__":
    run_case(main, str(FOLDER))
