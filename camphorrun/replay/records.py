"""What became of each request of a replay."""

from dataclasses import dataclass, field

ANSWERED = "answered"
NOT_RUN = "not_run"
OUTCOME_UNKNOWN = "outcome_unknown"
# The caller got no outcome at all, from no entry and within its patience.
NO_RESPONSE = "no_response"


@dataclass(slots=True)
class RequestRecord:
    """Outcome of one request as its caller saw it.

    Attributes
    ----------
    status, code : str
        Outcome; ``no_response`` if there was none.
    whole : bool
        Whether the answer is complete and belongs to the request.
    fault : str
        What is wrong with the answer, empty if nothing is.
    latency_s : float
        Time from the stated time of the request to its outcome.
    late_s : float
        How much later than stated the driver sent the request.
    first_token_s : float
        Time to the first part of a stream, negative if there was none.
    gaps_s : list of float
        Times between the parts of a stream.
    asked : int
        Entries that were asked.
    cost : dict
        Cost by stage, as the outcome states it.
    fingerprints : dict of str to str
        Fingerprint of the call of each stage.
    """

    index: int
    at_s: float
    template: str
    account: str
    priority: int
    deadline_s: float
    status: str = NO_RESPONSE
    code: str = "no_response"
    whole: bool = False
    fault: str = ""
    latency_s: float = 0.0
    late_s: float = 0.0
    first_token_s: float = -1.0
    gaps_s: list[float] = field(default_factory=list)
    asked: int = 0
    cost: dict[str, dict[str, float]] = field(default_factory=dict)
    fingerprints: dict[str, str] = field(default_factory=dict)
    non_idempotent: tuple[str, ...] = ()

    @property
    def in_time(self) -> bool:
        """Whether the answer is whole and came within the deadline."""
        return self.whole and self.latency_s <= self.deadline_s
