"""Errors of the gateway."""

from ..core import CamphorrunError


class RefusedError(CamphorrunError):
    """A request that is not served.

    Parameters
    ----------
    status : int
        HTTP status of the answer; 503 and 429 promise that nothing ran or will run.
    retry_after_s : float
        When the caller may come back; 0 if that does not help.
    """

    default_code = "refused"

    def __init__(
        self, message: str, *, code: str, status: int, retry_after_s: float = 0.0
    ):
        super().__init__(message, code=code)
        self.status = status
        self.retry_after_s = retry_after_s


class StageError(CamphorrunError):
    """A stage of a request has no result.

    Codes: ``late``, ``input_gone``, ``failed``.
    """

    default_code = "failed"


class PeerError(CamphorrunError):
    """Another daemon gave no usable answer."""

    default_code = "peer_unavailable"
