"""Errors of the clients of outside systems."""

from ..core import CamphorrunError


class PlatformError(CamphorrunError):
    """An outside system failed, refused, or did not answer in time."""

    default_code = "platform_unavailable"


class EndpointError(PlatformError):
    """A call of an endpoint failed.

    Attributes
    ----------
    executed : bool
        False only when the call provably did not take effect.
    """

    default_code = "endpoint_failed"

    def __init__(self, message: str, *, code: str = "", executed: bool = True):
        super().__init__(message, code=code)
        self.executed = executed
