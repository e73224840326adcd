"""Tests of the clients of external systems over sockets."""

import asyncio
import contextlib

import aiohttp
import msgspec
import pytest
from aiohttp import web

from ...core import AppendFault, LogError, LoopTimerService
from ...standins import HostListServer, LogServer
from .. import (
    EndpointCall,
    EndpointClient,
    EndpointError,
    HostEntry,
    HostListClient,
    LogClient,
)


@contextlib.asynccontextmanager
async def _serving(app: web.Application):
    """Serve an application on loopback; yield a session and its base URL."""
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    port = runner.addresses[0][1]
    try:
        async with aiohttp.ClientSession() as session:
            yield session, f"http://127.0.0.1:{port}"
    finally:
        await runner.cleanup()


def _run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 20))


class TestLogClient:
    """Records, and errors that tell whether an append may have taken effect."""

    def test_appended_values_are_read_unchanged(self):
        """Guards against an encoding that changes binary values."""

        async def scenario():
            server = LogServer(LoopTimerService())
            async with _serving(server.application()) as (session, url):
                log = LogClient(session, url)
                assert await log.append("s", [b"\x00\xff", b"b"]) == 1
                page = await log.read("s", 1)
                assert [record.value for record in page.records] == [b"\x00\xff", b"b"]

        _run(scenario)

    @pytest.mark.parametrize(
        ("fault", "code", "stored_records"),
        [
            (AppendFault.REFUSED, "log_unavailable", 0),
            (AppendFault.REPLY_LOST, "append_uncertain", 1),
            (AppendFault.LOST_BEFORE_EFFECT, "append_uncertain", 0),
        ],
    )
    def test_failed_append_has_an_accurate_code(self, fault, code, stored_records):
        """Guards against reporting a refusal for an append that took effect."""

        async def scenario():
            server = LogServer(LoopTimerService())
            server.log.append_faults.append(fault)
            async with _serving(server.application()) as (session, url):
                log = LogClient(session, url)
                with pytest.raises(LogError) as caught:
                    await log.append("s", [b"a"])
                assert caught.value.code == code
                assert len((await log.read("s", 1)).records) == stored_records

        _run(scenario)

    def test_refused_connection_is_unavailable(self):
        """Guards against ``append_uncertain`` although no byte was sent."""

        async def scenario():
            async with aiohttp.ClientSession() as session:
                with pytest.raises(LogError) as caught:
                    await LogClient(session, "http://127.0.0.1:1").append("s", [b"a"])
                assert caught.value.code == "log_unavailable"

        _run(scenario)


class TestHostListClient:
    """Conditional requests for the host list."""

    def test_unchanged_list_is_not_transferred_again(self):
        """Guards against reading 62 KB per second in every daemon with 370 hosts."""

        async def scenario():
            server = HostListServer(LoopTimerService())
            server.put(HostEntry("h", "127.0.0.1:1", "agent", "a"))
            async with _serving(server.application()) as (session, url):
                client = HostListClient(session, url)
                first = await client.fetch()
                assert await client.fetch() is first
                server.remove("h")
                assert (await client.fetch()).hosts == ()

        _run(scenario)


class TestEndpointClient:
    """Errors that tell whether a call may have been executed."""

    @pytest.mark.parametrize(
        ("status", "headers", "executed"),
        [
            (429, {}, False),
            (503, {"X-Executed": "false"}, False),
            (503, {}, True),
            (500, {}, True),
        ],
    )
    def test_error_tells_whether_the_call_was_executed(self, status, headers, executed):
        """Guards against withdrawing a claim although the call was executed."""

        async def answer(_req: web.Request) -> web.Response:
            return web.Response(status=status, headers=headers)

        async def scenario():
            app = web.Application()
            app.router.add_post("/v1/calls", answer)
            async with _serving(app) as (session, url):
                call = EndpointCall("c", "op", "", msgspec.Raw(b"1"))
                with pytest.raises(EndpointError) as caught:
                    await EndpointClient(session, url).call(call, 5.0)
                assert caught.value.executed is executed

        _run(scenario)

    def test_closed_connection_may_have_executed(self):
        """Guards against ``executed`` being false after the request was sent."""

        async def close_connection(req: web.Request) -> web.Response:
            await req.read()
            req.transport.abort()
            return web.Response()

        async def scenario():
            app = web.Application()
            app.router.add_post("/v1/calls", close_connection)
            async with _serving(app) as (session, url):
                call = EndpointCall("c", "op", "", msgspec.Raw(b"1"))
                with pytest.raises(EndpointError) as caught:
                    await EndpointClient(session, url).call(call, 5.0)
                assert caught.value.executed

        _run(scenario)

    def test_stream_without_its_end_is_an_error(self):
        """Guards against an unfinished stream that is taken for a complete result."""

        async def send_unfinished_stream(req: web.Request) -> web.StreamResponse:
            resp = web.StreamResponse()
            await resp.prepare(req)
            await resp.write(b'{"sequence":0,"text":"a","units":1}\n')
            return resp

        async def scenario():
            app = web.Application()
            app.router.add_post("/v1/calls", send_unfinished_stream)
            async with _serving(app) as (session, url):
                call = EndpointCall("c", "op", "", msgspec.Raw(b"1"), stream=True)
                client = EndpointClient(session, url)
                with pytest.raises(EndpointError) as caught:
                    async for _ in client.stream(call, 5.0):
                        pass
                assert caught.value.code == "stream_cut"

        _run(scenario)
