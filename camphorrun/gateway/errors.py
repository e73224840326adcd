"""Exceptions of the gateway."""

from ..core import CamphorrunError


class RefusedError(CamphorrunError):
    """The gateway refuses a request and answers with an error status.

    Parameters
    ----------
    status : int
        HTTP status of the answer; 503 and 429 guarantee that no replica has run the
        request or will run it.
    retry_after_s : float
        Time after which the caller may retry; 0 if a retry can't succeed.
    """

    default_code = "refused"

    def __init__(
        self, message: str, *, code: str, status: int, retry_after_s: float = 0.0
    ):
        super().__init__(message, code=code)
        self.status = status
        self.retry_after_s = retry_after_s


class RoutePreviewError(CamphorrunError):
    """A query has no preview; the message says what was expected.

    Codes: ``bad_query`` (the query can't be a request), ``not_ready`` (the gateway
    can't route requests yet).

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    """

    default_code = "bad_query"

    def __init__(self, message: str, *, code: str = "", status: int = 400):
        super().__init__(message, code=code)
        self.status = status


class StageError(CamphorrunError):
    """A stage of a request produced no result.

    Codes: ``late`` (not done in time), ``busy`` (rejected before it was queued, because
    it would miss its objective), ``input_gone`` (a replica no longer has an input),
    ``failed``, ``resting`` (all replicas asked for a pause), ``limited`` (the replicas
    named rate limits, and no permit is available in time), ``evacuated`` (all replicas
    are in evacuated availability zones), ``no_home_replica`` (all are outside the home
    regions of the request).

    Parameters
    ----------
    retry_after_s : float
        Time after which the stage may succeed; 0 if that is unknown.
    """

    default_code = "failed"

    def __init__(self, message: str, *, code: str, retry_after_s: float = 0.0):
        super().__init__(message, code=code)
        self.retry_after_s = retry_after_s


class ReplicaUnavailableError(CamphorrunError):
    """A replica accepts no requests at present; nothing was sent to it.

    Codes: ``replica_draining`` (its registration is not in the ready state, or it was
    removed), ``replica_leaving`` (an answer announced that it shuts down),
    ``replica_resting`` (it asked for a pause that has not ended), ``replica_limited``
    (it named a rate limit, and there is no valid permit), ``replica_evacuated`` (its
    availability zone is evacuated), ``replica_not_home`` (it is outside the home
    regions of the request), ``replica_unconfirmed`` (this process was paused, and what
    it knows is not confirmed yet).
    """

    default_code = "replica_draining"


class PeerError(CamphorrunError):
    """Another gateway daemon did not answer, or its answer can't be used.

    Attributes
    ----------
    not_accepted : bool
        Whether the other daemon certainly did not carry out the call.
    """

    default_code = "peer_unavailable"

    def __init__(self, message: str, *, not_accepted: bool = False):
        super().__init__(message)
        self.not_accepted = not_accepted


class LargeAnswerError(PeerError):
    """The answer of another gateway is larger than the caller wants to read."""

    default_code = "large_answer"


class PermitRefusedError(CamphorrunError):
    """No permit for a replica with a rate limit is available.

    Attributes
    ----------
    retry_after_s : float
        Time after which another permit may be requested.
    """

    default_code = "permit_refused"

    def __init__(self, message: str, *, retry_after_s: float):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class AttemptFailedError(CamphorrunError):
    """An attempt ended without a complete answer; the code is the reason.

    Attributes
    ----------
    not_run : bool
        Whether the replica stated that it did not run the request, or nothing was
        sent to it.
    inputs_gone : bool
        Whether the replica lacks a stage result that the request needs.
    is_retry_charged : bool
        Whether the next attempt was already withdrawn from the retry budget.
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
    """A stage result that the request needs no longer exists; the stages must rerun."""

    default_code = "inputs_gone"


class EventError(CamphorrunError):
    """A stream contains data that can't be parsed as an event."""

    default_code = "endless_event"
