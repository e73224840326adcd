"""Runs the stages of a request in the order of their dependencies.

Each stage starts as soon as the stages that it needs have ended, so an independent
chain is not held up by a slower one.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from .outcomes import PipelineError

T = TypeVar("T")


def check_dependencies(dependencies: Sequence[Sequence[int]]) -> None:
    """Check that stages depend on existing stages and form no cycle.

    Raises
    ------
    PipelineError
        With code ``bad_template``.
    """
    completed: set[int] = set()
    remaining = set(range(len(dependencies)))
    while remaining:
        ready = {
            index for index in remaining if completed.issuperset(dependencies[index])
        }
        if not ready:
            raise PipelineError(
                "stages form a cycle or need an unknown stage", code="bad_template"
            )
        completed |= ready
        remaining -= ready


def final_stages(dependencies: Sequence[Sequence[int]]) -> list[int]:
    """Return the stages that no other stage needs.

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
    """Return the need of the longest chain that follows a stage.

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
    """Run all stages; return their results by index.

    Parameters
    ----------
    dependencies : sequence of sequences of int
        For each stage the stages that it needs.
    run : callable
        Runs one stage with the results of the stages that it needs. When one fails,
        the others are cancelled and its error is raised.
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
