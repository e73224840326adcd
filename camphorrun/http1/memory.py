"""Interface by which connections report the bytes that they hold."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .headers import Headers


class ByteLease(Protocol):
    """Bytes that one owner holds.

    Attributes
    ----------
    size : int
        Number of bytes.
    is_account_full : bool
        Whether nothing more should be read ahead.
    """

    size: int

    @property
    def is_account_full(self) -> bool:
        """Whether nothing more should be read ahead."""

    def resize(self, size: int) -> None:
        """Change the number of bytes."""

    def release(self) -> None:
        """Give all bytes back; a second call has no effect."""


@dataclass(frozen=True, slots=True)
class ServerMemory:
    """Accounts for the connections of one server.

    Attributes
    ----------
    lease_input : callable
        Returns a lease for the requests that a connection reads or handles.
    lease_output : callable
        Returns a lease for the bytes that its peer has not read.
    refuse : callable
        Called with the header fields of a request when its head is known. Returns the
        status and the header fields of its refusal, or None to read the request.
    stops_reading : callable
        Called with each part of a body. Returns whether the request is to be refused
        unless it is complete.
    """

    lease_input: Callable[[], ByteLease]
    lease_output: Callable[[], ByteLease]
    refuse: Callable[[Headers], tuple[int, Headers] | None] = lambda headers: None
    stops_reading: Callable[[], bool] = lambda: False


@dataclass(slots=True)
class HeldBytes:
    """What a connection of a server holds.

    Attributes
    ----------
    size : int
        Bytes of requests and of responses that the peer has not read.
    stalled_s : float
        Time since the peer has read a byte. While a request is being read and there are
        no unread bytes, time since the first byte of the request.
    loss : int
        Largest ``ServerResponder.loss`` of the responses with unread bytes and of the
        request in progress; 0 if a request is being read and nothing else is held.
    has_begun : bool
        Whether a response has unread bytes.
    is_running : bool
        Whether a request is being handled.
    """

    size: int
    stalled_s: float
    loss: int
    has_begun: bool
    is_running: bool
