"""Runs the stages of a request in the order of their dependencies.

Each stage starts as soon as the stages that it depends on have finished, so a slow
stage delays only the stages that depend on it.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from .outcomes import PipelineError

T = TypeVar("T")


def check_dependencies(dependencies: Sequence[Sequence[int]]) -> None:
    """Check that all dependencies exist and that they form no cycle.

    Raises
    ------
    PipelineError
        With code ``bad_template``, if the check fails.
    """
    completed: set[int] = set()
    remaining = set(range(len(dependencies)))
    while remaining:
        ready = {
            index for index in remaining if completed.issuperset(dependencies[index])
        }
        if not ready:
            raise PipelineError(
                "stages depend on each other in a cycle or on an unknown stage",
                code="bad_template",
            )
        completed |= ready
        remaining -= ready


def final_stages(dependencies: Sequence[Sequence[int]]) -> list[int]:
    """Return the indices of the stages that no other stage depends on.

    Examples
    --------
    >>> final_stages([(), (), (1,), (2,)])
    [0, 3]
    """
    needed = {index for needs in dependencies for index in needs}
    return [index for index in range(len(dependencies)) if index not in needed]


def downstream_s(
    dependencies: Sequence[Sequence[int]], need_s: Sequence[float], index: int
) -> float:
    """Return the time of the longest chain of stages after a stage.

    ``need_s`` is the predicted time of each stage in seconds.

    Examples
    --------
    >>> downstream_s([(), (0,), (1,)], [0.3, 0.4, 0.5], 0)
    0.9
    """
    following = [i for i, needs in enumerate(dependencies) if index in needs]
    return max(
        (need_s[i] + downstream_s(dependencies, need_s, i) for i in following),
        default=0,
    )


async def run_stages(
    dependencies: Sequence[Sequence[int]],
    run: Callable[[int, list[T]], Awaitable[T]],
) -> list[T]:
    """Run all stages and return their results by index.

    Parameters
    ----------
    dependencies : sequence of sequences of int
        For each stage, the indices of the stages that it depends on.
    run : callable
        Runs one stage, given its index and the results of its dependencies. If a stage
        fails, the others are cancelled and its error is raised.
    """
    check_dependencies(dependencies)
    tasks: dict[int, asyncio.Task] = {}

    async def run_stage(index: int) -> T:
        inputs = [await asyncio.shield(tasks[needed]) for needed in dependencies[index]]
        return await run(index, inputs)

    loop = asyncio.get_running_loop()
    for index in range(len(dependencies)):
        tasks[index] = loop.create_task(run_stage(index))
    try:
        return await asyncio.gather(*tasks.values())
    finally:
        for task in tasks.values():
            task.cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)
