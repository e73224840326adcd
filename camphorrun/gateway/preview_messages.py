"""Messages of route previews, in JSON; durations are in seconds.

Fields that a later release adds are optional. A value that is not known is null.
"""

from typing import Annotated

import msgspec

from ..platform import MAX_DEADLINE_SECONDS

ROUTE_PREVIEW_PATH = "/route-preview"
PREVIEW_VERSION = 1
# Bounds of a query, so that it can't hold a gateway up.
MAX_PARTS = 1024
MAX_STAGES = 256
MAX_COUNT = 10**12 - 1
MAX_TEXT = 8192

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT)]


class PromptPartMessage(msgspec.Struct):
    """Prefix of a prompt that several requests may share."""

    identifier: _Text
    tokens: _Count


class RouteQuery(msgspec.Struct):
    """Request whose route is asked for.

    Attributes
    ----------
    account : str
        Name of a client account, empty if an API key or none is given.
    api_key : str
        API key of a client account; it is neither logged nor part of an answer.
    attempt : str
        Identifier of the caller's attempt, which decides between the services of a
        route that has several.
    prompt : list of PromptPartMessage
        Parts of the prompt.
    prompt_tokens, output_tokens : int
        Token counts that the caller states.
    pieces : list of int
        Number of pieces of each stage; a stage beyond the list has one.
    deadline_s : float
        Time until the deadline of the caller, 0 if it states none.
    """

    host: _Text
    path: _Text
    account: _Text = ""
    api_key: _Text = ""
    attempt: _Text = "route-preview"
    prompt: Annotated[list[PromptPartMessage], msgspec.Meta(max_length=MAX_PARTS)] = []
    prompt_tokens: _Count = 0
    output_tokens: _Count = 0
    pieces: Annotated[list[_Count], msgspec.Meta(max_length=MAX_STAGES)] = []
    deadline_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_DEADLINE_SECONDS)] = 0.0

    def __repr__(self) -> str:
        # The key must not appear in the log line of an unexpected error.
        return f"RouteQuery(host={self.host!r}, path={self.path!r})"


class RouteMessage(msgspec.Struct):
    """Route that a request follows, and what follows from route and account.

    ``service`` is one of ``services``, chosen by the identifier of the attempt.
    """

    name: str
    kind: str
    objective_s: float
    timeout_s: float
    services: dict[str, float]
    service: str = ""
    account: str = ""
    rank: int | None = None
    is_retry: bool = False


class AdmissionMessage(msgspec.Struct):
    """Whether a request would be admitted.

    If not, ``code`` and ``status`` are those of its refusal, and ``retry_after_s`` is
    the time that it would be told; 0 if a retry can't succeed. ``waits_for`` names the
    replica for whose permit an admitted request would wait, for ``wait_s``.
    """

    admitted: bool
    code: str = ""
    status: int = 0
    reason: str = ""
    retry_after_s: float = 0.0
    waits_for: str = ""
    wait_s: float = 0.0


class ForecastMessage(msgspec.Struct):
    """Predicted time of a request with stages.

    ``stage_wait_s`` is the queueing delay in ``stages_s``.
    """

    stages_s: float
    stage_wait_s: float
    permit_wait_s: float
    first_event_s: float


class StageMessage(msgspec.Struct):
    """One stage of a request, as the gateway knows it without asking the owner.

    ``wait_s`` follows from a report of age ``report_age_s``, null if the owner has
    reported nothing. ``need_s`` is the time of the stage including the wait.
    """

    index: int
    service: str
    pieces: int
    shard: str
    owner: str
    wait_s: float
    need_s: float
    report_age_s: float | None = None


class CandidateMessage(msgspec.Struct):
    """One replica of the service.

    Attributes
    ----------
    excluded : str
        Why the replica is no candidate, empty if it is one.
    in_flight : int
        Requests of this gateway at the replica.
    load : float
        Predicted number of requests of all gateways at the replica.
    slowdown : float
        Reported slowdown as a multiple of the replica's own mean.
    cost : float or None
        What is compared, in ``cost_unit``; None if nothing was compared.
    terms : dict of str to float
        What the cost consists of.
    load_age_s, result_age_s, other_tokens_age_s, rate_limit_age_s : float or None
        Ages of the reported load, of the last result of this gateway, of the estimate
        of other gateways' tokens, and of the announced rate limit.
    cold_left_s : float or None
        Time for which the replica is still taken to be cold, None if it is warm.
    available_in_s : float or None
        Time until the end of a pause, or until a permit is expected.
    """

    replica: str
    availability_zone: str
    version: str
    excluded: str
    in_flight: int
    load: float
    slowdown: float
    failure_rate: float
    is_limited: bool
    cost: float | None = None
    cost_unit: str = ""
    terms: dict[str, float] = {}
    load_age_s: float | None = None
    result_age_s: float | None = None
    other_tokens_age_s: float | None = None
    rate_limit_age_s: float | None = None
    cold_left_s: float | None = None
    available_in_s: float | None = None


class ChoiceMessage(msgspec.Struct):
    """Replica that a request would be sent to.

    ``is_probe`` tells that it would be the probe of an ejected replica, and
    ``needs_permit`` that a permit would be asked for first, without which another
    replica is chosen. ``cold_replica`` is the one for which the request would have a
    permit requested in advance, empty if none.
    """

    replica: str
    is_probe: bool
    needs_permit: bool
    predicted_wait_s: float
    cold_replica: str = ""


class RoutePreview(msgspec.Struct):
    """Where a request would be routed now.

    ``ages_s`` has the seconds since the store last confirmed each topic.
    """

    gateway: str
    admission: AdmissionMessage
    route: RouteMessage | None = None
    configuration: int = 0
    forecast: ForecastMessage | None = None
    stages: list[StageMessage] = []
    candidates: list[CandidateMessage] = []
    choice: ChoiceMessage | None = None
    ages_s: dict[str, float] = {}
    version: int = PREVIEW_VERSION


class PreviewError(msgspec.Struct):
    """Answer to a query that has no preview; ``error`` says what was expected."""

    code: str
    error: str
