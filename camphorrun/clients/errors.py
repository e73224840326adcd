"""Errors of the clients of external systems."""

from ..core import CamphorrunError


class PlatformError(CamphorrunError):
    """An external system failed, refused a call, or did not respond in time."""

    default_code = "platform_unavailable"


class EndpointError(PlatformError):
    """A call of an endpoint failed.

    Attributes
    ----------
    executed : bool
        False only if it is certain that the call had no effect.
    """

    default_code = "endpoint_failed"

    def __init__(self, message: str, *, code: str = "", executed: bool = True):
        super().__init__(message, code=code)
        self.executed = executed
