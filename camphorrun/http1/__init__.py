"""HTTP/1.1 server and client connections with control over every byte.

A general HTTP stack hides what the serving path has to know: whether an answer ended
completely, whether bytes follow an answer that nobody asked for, and whether a caller
has left. Both sides parse with httptools on asyncio protocols.

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
