"""Errors of HTTP/1.1 connections."""

from ..core import CamphorrunError


class HttpError(CamphorrunError):
    """A connection could not be opened, or a message on it could not be read.

    Codes: ``connect_failed`` and ``connect_timeout`` (no connection was opened, so
    nothing was sent), ``reset`` (the peer closed before the message was complete),
    ``malformed`` (the bytes are not a valid HTTP message), ``oversized`` (the head of
    a message or the framing of its body exceeds a limit), ``timeout``.
    """

    default_code = "reset"

    @property
    def request_not_sent(self) -> bool:
        """Whether no connection was opened, so no byte of the request was sent."""
        return self.code in ("connect_failed", "connect_timeout")
