"""Requests that arrive at a gateway process during a planned stop, in calm."""

import asyncio
import contextlib
import signal
from collections import Counter

import pytest

from camphorrun.core import LoopTimerService
from camphorrun.gateway.tests.cluster import HOST, KEY, configuration
from camphorrun.standins.platform_replica import PlatformReplica
from camphorrun.standins.platform_store import PlatformStore

from .process_rig import PROMISES, GatewayProcess

CALLERS = 16
# Longer than the time that is left for the last requests before the process ends.
WORK_SECONDS = 0.9
DEADLINE_MS = 1500


class StopRig:
    """Sends requests that may run once, on kept connections, until a gateway ends."""

    def __init__(self):
        self.statuses: dict[str, int] = {}
        self.lost: list[str] = []
        self._number = 0

    async def call_until_closed(self, gateway: GatewayProcess) -> None:
        """Send one request after the other; new connections as long as they open."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*gateway.callers)
            except OSError:
                return
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._call(reader, writer):
                    pass
            writer.transport.abort()
            await asyncio.sleep(0.01)

    async def _call(self, reader, writer) -> bool:
        self._number += 1
        attempt = f"r{self._number}"
        writer.write(
            f"POST /unsafe/x HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        except (OSError, asyncio.IncompleteReadError):
            self.lost.append(attempt)
            return False
        length = head.partition("content-length:")[2].partition("\r\n")[0]
        await reader.readexactly(int(length))
        self.statuses[attempt] = int(head.split()[1])
        return "connection: close" not in head


class TestPlannedStop:
    """SIGTERM while requests keep coming."""

    @pytest.mark.parametrize("stop_s", [0.5, 1.5, 4.0])
    def test_requests_late_in_the_grace_are_answered(self, tmp_path, stop_s):
        """Guards against requests that are passed on and cut when the process ends."""

        async def scenario():
            store = PlatformStore(LoopTimerService())
            address = await store.start()
            store.put("keyed.op", "config", configuration())
            replica = PlatformReplica("i-1", LoopTimerService())
            await replica.start()
            replica.script.work_s = WORK_SECONDS
            entry = replica.registration("plain", Slots=100)
            store.put("keyed.servers", "i-1", entry)
            gateway = GatewayProcess(0, tmp_path, address, stop_s=stop_s)
            rig = StopRig()
            try:
                await gateway.start()
                callers = [
                    asyncio.ensure_future(rig.call_until_closed(gateway))
                    for _ in range(CALLERS)
                ]
                await asyncio.sleep(1.2)
                gateway.send_signal(signal.SIGTERM)
                await asyncio.gather(*callers)
                await gateway.wait()
            finally:
                await gateway.stop()
                replica.close()
                store.close()
            return rig, Counter(run.attempt_id for run in replica.runs)

        rig, runs = asyncio.run(scenario())
        promised = {n for n, status in rig.statuses.items() if status in PROMISES}
        assert not set(rig.lost) & runs.keys()
        assert not promised & runs.keys()
        assert 200 in rig.statuses.values()
        assert promised
        assert max(runs.values()) == 1
