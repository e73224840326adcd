"""HTTP/1.1 server and client connections on asyncio protocols, parsed by httptools.

General HTTP libraries don't expose conditions that the gateway needs: whether a
response was received completely, whether a peer sent bytes that belong to no request,
and whether a caller closed its connection while its request was being handled.

Public: ``Headers``, ``ServerRequest``, ``ServerResponder``, ``HttpServer``,
``ServerLimits``, ``ClientConnection``, ``ResponseHead``, ``ConnectionPool``,
``HttpError``, ``connect``.
"""

from .client import ClientConnection, ResponseHead, connect
from .errors import HttpError
from .headers import Headers
from .pool import ConnectionPool
from .server import HttpServer, ServerLimits, ServerRequest, ServerResponder

__all__ = [
    "ClientConnection",
    "ConnectionPool",
    "Headers",
    "HttpError",
    "HttpServer",
    "ResponseHead",
    "ServerLimits",
    "ServerRequest",
    "ServerResponder",
    "connect",
]
