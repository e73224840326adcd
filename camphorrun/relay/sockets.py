"""Sending and receiving on pynng sockets without losing a cancellation.

pynng 0.8.1 drops the cancellation of a task when the operation completes at the same
time: a server that is stopped right after a reply would wait for the next request
forever. The number of pending cancellations of the task shows that it happened.
"""

import asyncio

import pynng


async def receive(socket: pynng.Socket) -> bytes:
    """Return the next message, within the receive timeout of the socket."""
    data = await socket.arecv()
    _raise_if_cancelled()
    return data


async def send(socket: pynng.Socket, data: bytes) -> None:
    """Send a message, within the send timeout of the socket."""
    await socket.asend(data)
    _raise_if_cancelled()


def _raise_if_cancelled() -> None:
    if asyncio.current_task().cancelling():
        raise asyncio.CancelledError
