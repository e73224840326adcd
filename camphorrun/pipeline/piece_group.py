"""Pieces of one stage of one request, as queued at the owner of a stage service."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class PieceGroup:
    """Pieces of one stage of one request that are not finished yet.

    Attributes
    ----------
    objective_at, deadline_at : float
        Times at which the whole request should and must be answered, in seconds of the
        timer service.
    downstream_s : float
        Predicted time of the stages that follow this one.
    transfers : mapping of str to int
        Bytes that cross zones, by the zone in which the pieces are processed; empty if
        the zone makes no difference.
    waiting_pieces : deque of int
        Numbers of the pieces that no call has taken yet.
    account : str
        Name of the client account, empty if the request has none or it is unknown.
    home_zones : frozenset of str or None
        Availability zones whose replicas may process the pieces, None for all.
    is_started : bool
        Whether a call has taken some of the pieces.
    """

    request_id: str
    stage: int
    key: str
    inputs: tuple[str, ...] | None
    result_bytes: int
    priority: int
    objective_at: float
    deadline_at: float
    downstream_s: float
    arrived_at: float
    transfers: Mapping[str, int] = field(default_factory=dict)
    waiting_pieces: deque[int] = field(default_factory=deque)
    account: str = ""
    home_zones: frozenset[str] | None = None
    is_started: bool = False

    def latest_start(self, call_s: float) -> float:
        """Return the latest start of a call of ``call_s`` that meets the objective."""
        return self.objective_at - self.downstream_s - call_s
