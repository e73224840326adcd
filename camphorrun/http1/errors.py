"""Errors of HTTP/1.1 connections."""

from ..core import CamphorrunError


class HttpError(CamphorrunError):
    """A connection or a message on it failed.

    Codes: ``connect_failed`` (nothing was sent), ``connect_timeout`` (nothing was
    sent), ``reset`` (the peer closed before the message was complete), ``malformed``
    (the bytes are no HTTP message), ``oversized`` (a head, or framing, without end),
    ``timeout``.
    """

    default_code = "reset"

    @property
    def request_not_sent(self) -> bool:
        """Whether it is certain that no byte of the request was sent."""
        return self.code in ("connect_failed", "connect_timeout")
