"""Replica of a streaming service as a process of its own, for the stream rig.

Each event names the software version that wrote it, the run and its number, so that a
caller can tell what it has got. Streams end early in the ways of real replicas.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import signal
import socket
import struct
import sys
from random import Random

# What a replica does with a request, by weight.
FAULTS = {
    "none": 66,
    "reject": 14,
    "reset": 5,
    "break between events": 5,
    "break within an event": 7,
    "stall": 3,
}
# Share of the streams that are taken up whose stage results are gone.
INPUTS_GONE_SHARE = 0.2
NOT_RUN = "X-Not-Executed: 1\r\n"
STALL_SECONDS = 4.0
MAX_EVENT_GAP_SECONDS = 0.03
MAX_FIRST_EVENT_SECONDS = 0.15


class StreamReplica:
    """Runs streams, and answers reports and stage calls."""

    def __init__(self, args: argparse.Namespace):
        self._args = args
        self._rng = Random(args.seed)
        self._runs = itertools.count()
        self._writers: set[asyncio.StreamWriter] = set()
        self._address = ""

    async def run(self) -> None:
        """Serve until SIGTERM, then reset all connections."""
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        server = await asyncio.start_server(self._accept, "127.0.0.1", self._args.port)
        self._address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        print(self._address, flush=True)
        await stopped.wait()
        for writer in self._writers:
            _reset(writer)

    async def _accept(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._serve(reader, writer):
                    pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve(self, reader, writer) -> bool:
        """Answer a request; return whether the connection can be used again."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        target = lines[0].split()[1]
        rows = (line.partition(":") for line in lines[1:] if line)
        fields = {name.lower(): value.strip() for name, _, value in rows}
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        expected = fields.get("x-expect-replica", self._args.id)
        if target == "/report":
            report = {"born": self._args.born, "Queued": 0, "Busy": False, "FreeMb": 9}
            writer.write(_answer(200, "", json.dumps(report).encode()))
        elif expected != self._args.id:
            writer.write(_answer(421, fields.get("x-attempt-id", ""), b""))
        elif target == "/stage-run":
            items = json.loads(body)["Items"]
            await asyncio.sleep(0.005)
            handles = [f"{self._address}/{next(self._runs):x}" for _ in items]
            results = {"Items": [{"Handle": handle} for handle in handles]}
            writer.write(_answer(200, "", json.dumps(results).encode()))
        elif target == "/stage-free":
            writer.write(_answer(200, "", b""))
        else:
            return await self._run_stream(target, fields, writer)
        return True

    async def _run_stream(self, target: str, fields: dict, writer) -> bool:
        attempt = fields.get("x-attempt-id", "")
        after = int(fields.get("last-event-id") or 0)
        fault = self._rng.choices(list(FAULTS), list(FAULTS.values()))[0]
        if fault == "reject":
            writer.write(_answer(503, attempt, b"", NOT_RUN))
            return True
        if after and "x-inputs" in fields and self._rng.random() < INPUTS_GONE_SHARE:
            writer.write(_answer(409, attempt, b"", NOT_RUN))
            return True
        await asyncio.sleep(self._rng.uniform(0.0, MAX_FIRST_EVENT_SECONDS))
        if fault == "reset":
            _reset(writer)
            return False
        last = int(target.rpartition("/")[2])
        is_chunked = self._rng.random() >= self._args.unframed
        writer.write(_stream_head(attempt, self._args.id, is_chunked))
        if not await self._write_events(after, last, fault, writer, is_chunked):
            _reset(writer)
            return False
        if is_chunked:
            writer.write(b"0\r\n\r\n")
            return True
        writer.write_eof()
        await asyncio.sleep(0.1)
        return False

    async def _write_events(
        self, after: int, last: int, fault: str, writer, is_chunked: bool
    ) -> bool:
        """Write the events of a stream; return whether it is complete."""
        stop_at = self._rng.randint(after + 1, last)
        for number, event in enumerate(self._events(after, last), after + 1):
            if number == stop_at and fault == "stall":
                await asyncio.sleep(STALL_SECONDS)
            if number == stop_at and fault.startswith("break"):
                if fault == "break within an event":
                    part = event[: self._rng.randint(1, len(event) - 1)]
                    writer.write(_frame(part, is_chunked))
                    await asyncio.sleep(0.01)
                return False
            # Events don't end where the parts of a stream do.
            cut = self._rng.randint(1, len(event))
            for part in filter(None, (event[:cut], event[cut:])):
                writer.write(_frame(part, is_chunked))
            await writer.drain()
            await asyncio.sleep(self._rng.uniform(0.0, MAX_EVENT_GAP_SECONDS))
        return True

    def _events(self, after: int, last: int) -> list[bytes]:
        run = f"{self._args.id}-{self._args.born}-{next(self._runs)}"
        text = "id: {0}\ndata: {1} {2} {0}\n\n"
        numbers = range(after + 1, last + 1)
        return [text.format(n, self._args.version, run).encode() for n in numbers]


def _answer(status: int, attempt: str, body: bytes, fields: str = "") -> bytes:
    head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {attempt}\r\n{fields}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def _stream_head(attempt: str, stamp: str, is_chunked: bool) -> bytes:
    framing = "Transfer-Encoding: chunked" if is_chunked else "Connection: close"
    head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Replica-Stamp: {stamp}\r\n"
    return f"{head}Content-Type: text/event-stream\r\n{framing}\r\n\r\n".encode()


def _frame(data: bytes, is_chunked: bool) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if is_chunked else data


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, so that its end can't be taken for that of a stream."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def main() -> None:
    """Print the address and serve."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--id", required=True)
    parser.add_argument("--version", required=True)
    parser.add_argument("--born", type=int, required=True, help="milliseconds")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--unframed", type=float, default=0.0, help="share of streams")
    asyncio.run(StreamReplica(parser.parse_args()).run())


if __name__ == "__main__":
    sys.exit(main())
