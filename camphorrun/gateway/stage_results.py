"""Stage results of one request."""

from ..catalog import Route
from ..pipeline import final_stages


class StageResults:
    """Results of the stages of one request, and which of them are not released yet.

    Parameters
    ----------
    route : Route
        Route of the request, with its stages.
    counts : tuple of int
        Pieces by stage; not used.

    Attributes
    ----------
    dependencies : list of tuple of int
        For each stage, the stages whose results it needs.
    by_stage : dict of int to list of str
        Names of the results by stage.
    held : dict of int to list of str
        Names of the results that are not released yet, by stage.
    pending_consumers : dict of int to set of int
        For each stage, the stages that need its results and have not ended.
    """

    __slots__ = ("dependencies", "by_stage", "held", "pending_consumers")

    def __init__(self, route: Route, counts: tuple[int, ...]):
        self.dependencies = [stage.after for stage in route.stages]
        self.by_stage: dict[int, list[str]] = {}
        self.held: dict[int, list[str]] = {}
        self.pending_consumers = {
            index: {i for i, needs in enumerate(self.dependencies) if index in needs}
            for index in range(len(self.dependencies))
        }

    def inputs(self, index: int) -> list[str]:
        """Return the names of the inputs of a stage, in the order of the stages."""
        return [
            result
            for needed in self.dependencies[index]
            for result in self.by_stage[needed]
        ]

    def input_sizes(self, route: Route, index: int) -> list[tuple[str, int]]:
        """Return name and size in bytes of each input of a stage."""
        return [
            (result, route.stages[needed].result_bytes)
            for needed in self.dependencies[index]
            for result in self.by_stage[needed]
        ]

    def final_results(self) -> tuple[str, ...]:
        """Return the names of the results that are inputs of the request itself."""
        stages = final_stages(self.dependencies)
        return tuple(
            result for index in stages for result in self.by_stage.get(index, ())
        )

    def final_result_sizes(self, route: Route) -> list[tuple[str, int]]:
        """Return name and size in bytes of each input of the request itself."""
        return [
            (result, route.stages[index].result_bytes)
            for index in final_stages(self.dependencies)
            for result in self.by_stage.get(index, ())
        ]
