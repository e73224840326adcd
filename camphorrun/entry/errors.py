"""Errors of the entry daemon."""

from ..core import CamphorrunError


class RequestError(CamphorrunError):
    """A request of a caller that cannot be accepted.

    Attributes
    ----------
    http_status : int
        Status of the HTTP answer.
    """

    default_code = "bad_request"

    def __init__(
        self, message: str, *, code: str = "", field: str = "", http_status: int = 400
    ):
        super().__init__(message, code=code, field=field)
        self.http_status = http_status


class AttemptLostError(CamphorrunError):
    """It cannot be known any more what became of an attempt."""

    default_code = "attempt_lost"
