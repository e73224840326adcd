"""HTTP/1.1 server and client connections on asyncio protocols, parsed by httptools.

General HTTP libraries don't expose conditions that the gateway needs: whether a
response was received completely, whether a peer sent bytes that belong to no request,
and whether a caller closed its connection while its request was being handled.

Public: ``Headers``, ``ServerRequest``, ``ServerResponder``, ``HttpServer``,
``ServerLimits``, ``ClientConnection``, ``ResponseHead``, ``ConnectionPool``,
``HttpError``, ``connect``, ``ByteLease``, ``HeldBytes``, ``ServerMemory``,
``is_valid_status``, ``is_valid_text``.
"""

from .client import ClientConnection, ResponseHead, connect
from .errors import HttpError
from .headers import Headers
from .memory import ByteLease, HeldBytes, ServerMemory
from .pool import ConnectionPool
from .server import (
    HttpServer,
    ServerConnection,
    ServerLimits,
    ServerRequest,
    ServerResponder,
)
from .validity import is_valid_status, is_valid_text

__all__ = [
    "ByteLease",
    "ClientConnection",
    "ConnectionPool",
    "Headers",
    "HeldBytes",
    "HttpError",
    "HttpServer",
    "ResponseHead",
    "ServerConnection",
    "ServerLimits",
    "ServerMemory",
    "ServerRequest",
    "ServerResponder",
    "connect",
    "is_valid_status",
    "is_valid_text",
]
