"""Check of a request with stages before its first stage starts."""

from dataclasses import dataclass

from ..admission import Refused, check_feasibility
from .context import RequestContext
from .errors import RefusedError
from .stage_waits import StageForecast


@dataclass(frozen=True, slots=True)
class Feasibility:
    """Predicted times of a request with stages, and whether they are in time.

    Attributes
    ----------
    forecast : StageForecast
        Predicted time of the stages.
    permit_wait_s : float
        Time until the first permit in seconds, 0 unless all replicas lack one.
    first_event_s : float
        Predicted time of the request itself after its stages, in seconds.
    refused : Refused or None
        Why the request is refused, None if it may start.
    """

    forecast: StageForecast
    permit_wait_s: float
    first_event_s: float
    refused: Refused | None

    def check(self) -> None:
        """Raise the error for the request if it is refused.

        Raises
        ------
        RefusedError
            If its stages would finish too late.
        """
        if self.refused is not None:
            total_s = self.forecast.total_s
            raise RefusedError(
                f"stages predicted to take {total_s:.3f} s would finish too late",
                code=self.refused.code,
                status=503,
                retry_after_s=self.refused.retry_after_s,
            )


def judge_feasibility(
    ctx: RequestContext,
    forecast: StageForecast,
    permit_wait_s: float,
    first_event_s: float,
    now: float,
) -> Feasibility:
    """Return whether a request may start, by its predicted times in seconds.

    The retry of a refused request has missed its objective already, so it is refused
    only if its deadline can't be met.
    """
    refused = check_feasibility(
        forecast.total_s + permit_wait_s + first_event_s,
        forecast.wait_s + permit_wait_s,
        objective_left_s=ctx.objective_at - now,
        deadline_left_s=ctx.end_at - now,
        is_retry=ctx.is_retry,
    )
    return Feasibility(forecast, permit_wait_s, first_event_s, refused)
