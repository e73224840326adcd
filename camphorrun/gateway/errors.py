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

    Codes: ``late``, ``busy`` (it would be late; nothing was made), ``input_gone``,
    ``failed``, ``resting`` (all replicas asked for a pause).

    Parameters
    ----------
    retry_after_s : float
        When the stage may be possible again; 0 if that is unknown.
    """

    default_code = "failed"

    def __init__(self, message: str, *, code: str, retry_after_s: float = 0.0):
        super().__init__(message, code=code)
        self.retry_after_s = retry_after_s


class ReplicaUnavailableError(CamphorrunError):
    """A replica takes no work any more, or not now; nothing was sent.

    Codes: ``replica_draining``, ``replica_leaving``, ``replica_resting``.
    """

    default_code = "replica_draining"


class PeerError(CamphorrunError):
    """Another daemon gave no usable answer."""

    default_code = "peer_unavailable"


class AttemptFailedError(CamphorrunError):
    """An attempt ended without an answer for the caller; the code says why.

    Attributes
    ----------
    not_run : bool
        The replica states that it did not run the request, or nothing was sent.
    inputs_gone : bool
        A stage result that the request needs no longer exists.
    is_retry_charged : bool
        The retry budget was charged for the next attempt already.
    """

    default_code = "attempt_failed"

    def __init__(
        self,
        code: str,
        *,
        not_run: bool,
        inputs_gone: bool = False,
        is_retry_charged: bool = False,
    ):
        super().__init__(f"attempt failed: {code}", code=code)
        self.not_run = not_run
        self.inputs_gone = inputs_gone
        self.is_retry_charged = is_retry_charged


class InputsGoneError(CamphorrunError):
    """The replica lacks a stage result that the request needs."""

    default_code = "inputs_gone"


class EventError(CamphorrunError):
    """A stream holds something that can't be an event."""

    default_code = "endless_event"
