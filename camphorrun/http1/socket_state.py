"""What the kernel tells about the socket of a connection."""

import asyncio
import fcntl
import os
import socket
import struct
import termios

_OUTQ_SIZE = struct.Struct("i")


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the peer has not acknowledged yet.

    Bytes in the buffer of the transport count too. Those in the buffer of the kernel
    count as zero where the system doesn't tell them.
    """
    size = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None:
        return size
    try:
        # The same request as SIOCOUTQ, see tcp(7).
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_OUTQ_SIZE.size))
    except OSError:
        return size
    return size + _OUTQ_SIZE.unpack(answer)[0]


def take_socket_error(transport: asyncio.Transport) -> OSError | None:
    """Return and clear the error that the socket has not reported yet, None if none.

    A reset that follows the peer's end of a connection is reported to no reader.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return None
    try:
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError as exc:
        return exc
    return OSError(code, os.strerror(code)) if code else None
