"""Results of the stages of one request."""

from ..catalog import Route
from ..pipeline import final_stages


class StageResults:
    """Results of the stages of one request, and those that are still held."""

    __slots__ = ("dependencies", "by_stage", "held", "pending_consumers")

    def __init__(self, route: Route, counts: tuple[int, ...]):
        self.dependencies = [stage.after for stage in route.stages]
        self.by_stage: dict[int, list[str]] = {}
        self.held: dict[int, list[str]] = {}
        # Stages that still need the results of a stage.
        self.pending_consumers = {
            index: {i for i, needs in enumerate(self.dependencies) if index in needs}
            for index in range(len(self.dependencies))
        }

    def inputs(self, index: int) -> list[str]:
        """Return the results that a stage needs, in the order of the stages."""
        return [
            result
            for needed in self.dependencies[index]
            for result in self.by_stage[needed]
        ]

    def input_sizes(self, route: Route, index: int) -> list[tuple[str, int]]:
        """Return the results that a stage needs, with their bytes."""
        return [
            (result, route.stages[needed].result_bytes)
            for needed in self.dependencies[index]
            for result in self.by_stage[needed]
        ]

    def final_results(self) -> tuple[str, ...]:
        """Return the results that the request itself needs."""
        stages = final_stages(self.dependencies)
        return tuple(
            result for index in stages for result in self.by_stage.get(index, ())
        )

    def final_result_sizes(self, route: Route) -> list[tuple[str, int]]:
        """Return the results that the request itself needs, with their bytes."""
        return [
            (result, route.stages[index].result_bytes)
            for index in final_stages(self.dependencies)
            for result in self.by_stage.get(index, ())
        ]
