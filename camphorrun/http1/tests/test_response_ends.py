"""Tests of bodies that end with the connection, with a manual clock."""

import asyncio
from unittest.mock import Mock

import pytest

from ...core import ManualTimerService
from .. import ClientConnection, HttpError
from ..client import UPLOAD_CHECK_SECONDS

ANSWER = b"HTTP/1.1 200 OK\r\n\r\nwhole"
RESET = ConnectionResetError("reset")


class Exchange:
    """A request whose bytes are acknowledged, and a response, as a test tells.

    Attributes
    ----------
    unsent : int
        Bytes of the request that the transport holds.
    """

    def __init__(self):
        self.timers = ManualTimerService()
        self.transport = Mock()
        self.transport.is_closing.return_value = False
        self.transport.get_extra_info.return_value = None
        self.transport.get_write_buffer_size.side_effect = lambda: self.unsent
        self.unsent = 100
        self.conn = ClientConnection(self.timers)
        self.conn.connection_made(self.transport)

    async def receive(self, answer: bytes = ANSWER) -> asyncio.Future[bytes]:
        """Receive a response and its end; return the task that reads the body."""
        request = asyncio.ensure_future(self.conn.request(b"POST"))
        await asyncio.sleep(0)
        self.conn.data_received(answer)
        await request
        body = asyncio.ensure_future(self.conn.read_all(1000))
        await asyncio.sleep(0)
        self.stays_open = self.conn.eof_received()
        if not self.stays_open:
            self.conn.connection_lost(None)
        await asyncio.sleep(0)
        return body

    async def advance(self) -> None:
        """Let the time of one check pass."""
        self.timers.advance(UPLOAD_CHECK_SECONDS)
        for _ in range(3):
            await asyncio.sleep(0)


def run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(Exchange()), 5))


class TestEnd:
    """The peer ends its response without a length."""

    def test_request_was_received(self):
        """Guards against a delay of answers to requests that were sent."""

        async def scenario(exchange):
            exchange.unsent = 0
            body = await exchange.receive()
            assert not exchange.stays_open
            assert await body == b"whole"

        run(scenario)

    def test_request_is_received_later(self):
        """Guards against a refusal of an early answer, and against a premature end."""

        async def scenario(exchange):
            body = await exchange.receive()
            assert exchange.stays_open
            for exchange.unsent in (60, 20):
                await exchange.advance()
                assert not body.done()
            exchange.unsent = 0
            await exchange.advance()
            assert await body == b"whole"
            exchange.transport.abort.assert_called_once()

        run(scenario)

    def test_reset_before_the_request_is_received(self):
        """Guards against a part of a body that is returned as complete."""

        async def scenario(exchange):
            body = await exchange.receive()
            exchange.conn.connection_lost(RESET)
            with pytest.raises(HttpError) as caught:
                await body
            assert caught.value.code == "reset"
            exchange.unsent = 0
            await exchange.advance()
            assert not exchange.conn.complete

        run(scenario)

    def test_connection_is_not_open_meanwhile(self):
        """Guards against a request that is sent behind the unfinished one."""

        async def scenario(exchange):
            body = await exchange.receive()
            assert not exchange.conn.is_open
            assert not exchange.conn.reusable
            body.cancel()
            exchange.conn.connection_lost(None)

        run(scenario)

    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        ],
    )
    def test_framed_body_is_not_complete(self, answer):
        """Guards against waiting for a request whose answer is broken anyway."""

        async def scenario(exchange):
            body = await exchange.receive(answer)
            assert not exchange.stays_open
            with pytest.raises(HttpError):
                await body

        run(scenario)


class TestSocketErrors:
    """Resets that the kernel reports only if it is asked."""

    @pytest.mark.parametrize("unsent", [0, 100])
    def test_reset_that_follows_the_end(self, unsent):
        """Guards against a complete answer although its connection was reset."""

        async def scenario(exchange):
            sock = Mock()
            sock.fileno.return_value = -1
            sock.getsockopt.return_value = 32
            exchange.unsent = unsent
            exchange.transport.get_extra_info.return_value = sock
            body = await exchange.receive()
            assert not exchange.stays_open
            with pytest.raises(HttpError) as caught:
                await body
            assert caught.value.code == "reset"

        run(scenario)
