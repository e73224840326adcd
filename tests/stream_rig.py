"""Streams through gateways as processes, while replicas of several versions serve.

Callers check the number, the version and the run of each event, over all attempts of a
stream. One gateway at a time is out of step: cut off from the store, stopped, or both.
"""

import argparse
import asyncio
import contextlib
import signal
import sys
import tempfile
from pathlib import Path
from random import Random

from camphorrun.core import LoopTimerService
from camphorrun.gateway.tests.cluster import STAGE, configuration, route
from camphorrun.standins.platform_store import PlatformStore
from camphorrun.standins.tcp_forwarder import TcpForwarder

from .process_rig import ROOT, GatewayProcess
from .stream_checks import (
    DEADLINE_MS,
    Stream,
    StreamReport,
    body_parts,
    encode_attempt,
)

VERSIONS = ("v1", "v2", "v3")
# Streams of a deployment: path, number of events, and whether they may be resumed.
KINDS = (
    ("/dossier/", 13, True),
    ("/note/", 6, False),
    ("/chat/", 70, True),
)
MAX_ATTEMPTS = 4
ANSWER_SECONDS = 12.0
# Share of the callers that go on reading; the others leave between two events.
PATIENT_SHARE = 0.85
# Share of the take-ups that go to the gateway that is out of step.
OUT_OF_STEP_SHARE = 0.8
COPY_AGE_SECONDS = 2.0


class ReplicaProcess:
    """A replica that is started as a process and registered in the store."""

    def __init__(self, number: int, service: str, store: PlatformStore, rng: Random):
        self.number = number
        self._service = service
        self._store = store
        self._rng = rng
        self._starts = 0
        self.unframed = 0.0
        self.version = VERSIONS[0]
        self.identifier = ""
        self._address = ""
        self._sequence = 0
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, version: str, *, same_identity: bool) -> None:
        """Start the process and register it as ready."""
        self._starts += 1
        port = self._address.rpartition(":")[2] if same_identity else ""
        if not same_identity or not self.identifier:
            self.identifier = f"i-{self.number}-{self._starts}"
        self.version = version
        self._process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tests.stream_replica", "--id", self.identifier),
            *("--version", version, "--born", str(self._born), "--port", port or "0"),
            *("--seed", str(self._rng.getrandbits(32))),
            *("--unframed", str(self.unframed)),
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
        )
        self._address = (await self._process.stdout.readline()).decode().strip()
        self._sequence = 0
        self.register("ready")

    @property
    def _born(self) -> int:
        return 1_000_000 * (self.number + 1) + self._starts

    def register(self, state: str) -> None:
        """Write the entry of the replica."""
        self._sequence += 1
        entry = {"Service": self._service, "Address": self._address, "Zone": "z1"}
        entry |= {"Version": self.version, "Slots": 8, "State": state}
        entry |= {"ColdRemainingMs": 0, "Sequence": self._sequence, "born": self._born}
        self._store.put("keyed.servers", self.identifier, entry)

    def unregister(self) -> None:
        """Remove the entry, as the store does some time after the replica has ended."""
        self._store.put("keyed.servers", self.identifier, None)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def end(self, number: signal.Signals) -> None:
        """Send a signal that ends the process, and wait for its end."""
        self.send_signal(number)
        await self._process.wait()


def stream_configuration(version: int, timeout_ms: int = DEADLINE_MS) -> dict:
    """Return a configuration with a route for each kind of stream."""
    stages = [{"Service": "stage", "After": [], "PayloadBytes": 1000}]
    routes = [
        route(
            path.strip("/"),
            path,
            "streaming",
            "plain",
            Resumable=resumable,
            MaxAttempts=2 if resumable else 1,
            TimeoutMs=timeout_ms,
            TargetLatencyMs=1800,
            GapTargetMs=400,
            Stages=stages if path != "/note/" else [],
        )
        for path, _, resumable in KINDS
    ]
    services = [
        {"Name": "plain", "MaxConns": 500},
        {"Name": "stage", "MaxConns": 500, "Pieces": {**STAGE, "Batch": 10}},
    ]
    return configuration(version, Routes=routes, Services=services)


class StreamRig:
    """Plays callers, releases and faults against gateway processes for some seconds.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    seed : int
        Seed of callers, replicas and faults.
    tree : Path
        Source tree of the gateways, for instance of an earlier version.
    """

    def __init__(
        self,
        folder: Path,
        seed: int,
        *,
        gateways: int = 4,
        replicas: int = 9,
        callers: int = 24,
        tree: Path = ROOT,
    ):
        self.report = StreamReport()
        self._folder = folder
        self._rng = Random(seed)
        self._counts = (gateways, replicas, callers)
        self._tree = tree
        self._number = 0
        self._config_version = 1
        self._timers = LoopTimerService()
        self._store = PlatformStore(self._timers)
        self._forwarders: list[TcpForwarder] = []
        self._gateways: list[GatewayProcess] = []
        self._replicas: list[ReplicaProcess] = []
        self._out_of_step = 0
        # In these runs streams end with their connection, and no replica is killed, as
        # the end of a killed process looks like that of a complete stream.
        self._is_unframed = self._rng.random() < 0.25

    async def run(self, seconds: float) -> StreamReport:
        """Play and return what callers have seen."""
        gateways, replicas, callers = self._counts
        address = await self._store.start()
        self._store.put("keyed.op", "config", stream_configuration(1))
        try:
            await asyncio.gather(*(self._add_replica(n) for n in range(replicas)))
            stage = ReplicaProcess(replicas, "stage", self._store, self._rng)
            self._replicas.append(stage)
            await stage.start(VERSIONS[0], same_identity=False)
            for number in range(gateways):
                forwarder = TcpForwarder(address)
                self._forwarders.append(forwarder)
                store = await forwarder.start("127.0.0.1")
                self._gateways.append(
                    GatewayProcess(number, self._folder, store, self._tree)
                )
            await asyncio.gather(*(gateway.start() for gateway in self._gateways))
            end_at = asyncio.get_running_loop().time() + seconds
            players = (
                self._release_until,
                self._disturb_replicas_until,
                self._disturb_gateways_until,
                self._desynchronise_until,
                self._change_until,
            )
            await asyncio.gather(
                *(self._call_until(end_at) for _ in range(callers)),
                *(player(end_at) for player in players),
            )
        finally:
            for gateway in self._gateways:
                await gateway.stop()
            for replica in self._replicas:
                await replica.end(signal.SIGKILL)
            for forwarder in self._forwarders:
                await forwarder.stop()
            self._store.close()
        return self.report

    async def _add_replica(self, number: int) -> None:
        replica = ReplicaProcess(number, "plain", self._store, self._rng)
        replica.unframed = 1.0 if self._is_unframed else 0.0
        self._replicas.append(replica)
        await replica.start(VERSIONS[0], same_identity=False)

    @property
    def _engines(self) -> list[ReplicaProcess]:
        return [r for r in self._replicas if r.number < self._counts[1]]

    # Releases and faults

    async def _sleep(self, low_s: float, high_s: float) -> None:
        await asyncio.sleep(self._rng.uniform(low_s, high_s))

    async def _release_until(self, end_at: float) -> None:
        """Replace some replicas by another version, one after the other."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            await self._sleep(0.5, 2.0)
            version = self._rng.choice(VERSIONS)
            for replica in self._rng.sample(self._engines, self._rng.randint(2, 6)):
                self.report.faults["release"] += 1
                replica.register("draining")
                await self._sleep(0.2, 0.8)
                await replica.end(signal.SIGTERM)
                same_identity = self._rng.random() < 0.4
                if not same_identity:
                    replica.unregister()
                await replica.start(version, same_identity=same_identity)
                await self._sleep(0.0, 0.3)

    async def _disturb_replicas_until(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            await self._sleep(0.3, 1.5)
            replica = self._rng.choice(self._engines)
            kind = self._rng.choice(("pause", "heartbeat"))
            self.report.faults[f"replica {kind}"] += 1
            if kind == "heartbeat":
                replica.register("ready")
                continue
            replica.send_signal(signal.SIGSTOP)
            await self._sleep(0.1, 2.4)
            replica.send_signal(signal.SIGCONT)

    async def _desynchronise_until(self, end_at: float) -> None:
        """Cut one gateway off from the store, or stop it, or both."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            self._out_of_step = self._rng.randrange(len(self._gateways))
            forwarder = self._forwarders[self._out_of_step]
            gateway = self._gateways[self._out_of_step]
            kind = self._rng.choice(("cut", "silence", "stop", "cut and stop"))
            self.report.faults[kind] += 1
            if kind == "silence":
                forwarder.silence()
            if kind.startswith("cut"):
                forwarder.cut()
                await self._sleep(0.2, 2.0)
            if kind.endswith("stop"):
                gateway.send_signal(signal.SIGSTOP)
                await self._sleep(0.3, 2.5)
                gateway.send_signal(signal.SIGCONT)
            await self._sleep(0.2, 1.5)
            forwarder.heal()
            await self._sleep(0.0, 0.6)

    async def _disturb_gateways_until(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            await self._sleep(1.5, 4.0)
            kind = self._rng.choice(("kill", "kill", "term", "hangup", "kill all"))
            self.report.faults[f"gateway {kind}"] += 1
            victims = [self._rng.choice(self._gateways)]
            if kind == "kill all":
                victims = self._gateways
            numbers = {"term": signal.SIGTERM, "hangup": signal.SIGHUP}
            for gateway in victims:
                gateway.send_signal(numbers.get(kind, signal.SIGKILL))
            if kind != "hangup":
                # A stopped process handles its signal only when it goes on.
                for gateway in victims:
                    gateway.send_signal(signal.SIGCONT)
                await asyncio.gather(*(gateway.wait() for gateway in victims))
                await asyncio.gather(*(self._restart(each) for each in victims))

    async def _restart(self, gateway: GatewayProcess) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                await gateway.start()
                return
            await gateway.stop()

    async def _change_until(self, end_at: float) -> None:
        """Change the configuration, and let the store return from an older copy."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            await self._sleep(1.0, 4.0)
            self._config_version += self._rng.randint(1, 4)
            self._put_configuration()
            if self._rng.random() < 0.2:
                self.report.faults["older copy"] += 1
                await self._restore_store()

    def _put_configuration(self) -> None:
        self.report.faults["configuration"] += 1
        timeout_ms = self._rng.choice((DEADLINE_MS, DEADLINE_MS // 2))
        config = stream_configuration(self._config_version, timeout_ms)
        self._store.put("keyed.op", "config", config)

    async def _restore_store(self) -> None:
        """Bring the store back from a copy; operator and replicas write again."""
        self._store.fault = "reset"
        await self._sleep(0.1, 1.0)
        self._store.restore(self._timers.now() - COPY_AGE_SECONDS)
        self._store.fault = ""
        self._put_configuration()
        for replica in self._replicas:
            await self._sleep(0.0, 0.15)
            replica.register("ready")

    # Callers

    async def _call_until(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            path, last, resumable = self._rng.choice(KINDS)
            stream = Stream(last, resumable)
            for _ in range(MAX_ATTEMPTS):
                await self._attempt(path, stream)
                may_go_on = resumable or not stream.number
                if stream.is_complete or stream.fault or not may_go_on:
                    break
                await self._sleep(0.0, 0.4)
            self._record(stream)

    def _record(self, stream: Stream) -> None:
        self.report.begun += bool(stream.number)
        self.report.finished += stream.is_complete
        if stream.fault:
            self.report.violations.append(f"{stream.fault}: {stream.attempts}")

    def _choose_gateway(self, is_take_up: bool) -> GatewayProcess:
        if is_take_up and self._rng.random() < OUT_OF_STEP_SHARE:
            return self._gateways[self._out_of_step]
        return self._rng.choice(self._gateways)

    async def _attempt(self, path: str, stream: Stream) -> None:
        """Send one attempt and read its events."""
        is_take_up = bool(stream.number)
        gateway = self._choose_gateway(is_take_up)
        self._number += 1
        attempt = f"s{self._number}"
        stream.attempts.append(attempt)
        self.report.take_ups += is_take_up
        before = stream.number
        writer = None
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                reader, writer = await asyncio.open_connection(*gateway.callers)
                writer.write(encode_attempt(path, stream, attempt))
                await self._read_answer(reader, stream, attempt, is_take_up)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        self.report.went_on += is_take_up and stream.number > before

    async def _read_answer(
        self, reader, stream: Stream, attempt: str, is_take_up: bool
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        rows = (line.partition(":") for line in head.split("\r\n")[1:] if line)
        fields = {name.lower(): value.strip() for name, _, value in rows}
        if fields.get("x-attempt-id", attempt) != attempt:
            stream.fault = f"answer of {fields['x-attempt-id']} for {attempt}"
            return
        if head.split()[1] != "200":
            if is_take_up:
                self.report.reasons[fields.get("x-reason", head.split()[1])] += 1
            return
        stays_until = stream.last + 1
        if self._rng.random() > PATIENT_SHARE:
            stays_until = self._rng.randint(1, stream.last)
        buffer = b""
        async for part in body_parts(reader, "transfer-encoding" in fields):
            *events, buffer = (buffer + part).split(b"\n\n")
            for event in events:
                stream.add(event.decode())
                stream.first_attempt = stream.first_attempt or attempt
                if stream.fault or stream.number >= stays_until:
                    return
        if buffer:
            stream.fault = f"complete within an event after {stream.number}"
        stream.end()


def main() -> None:
    """Play seeds and print what callers have seen."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("first", type=int, help="first seed")
    parser.add_argument("last", type=int, help="last seed")
    parser.add_argument("--seconds", type=float, default=60.0, help="of each seed")
    parser.add_argument("--tree", type=Path, default=ROOT, help="of the gateways")
    parser.add_argument("--logs", type=Path, help="folder in which the logs are kept")
    args = parser.parse_args()
    for seed in range(args.first, args.last + 1):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary)
            if args.logs is not None:
                folder = args.logs / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            rig = StreamRig(folder, seed, tree=args.tree)
            report = asyncio.run(rig.run(args.seconds))
        print(
            f"seed {seed}: {report.begun} streams, {report.finished} complete, "
            f"{report.take_ups} take-ups, {report.went_on} went on, "
            f"refused {dict(report.reasons)}, {report.faults.total()} faults, "
            f"violations {report.violations}",
            flush=True,
        )


if __name__ == "__main__":
    main()
