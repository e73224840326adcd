"""Tests of running stages in the order of their dependencies."""

import asyncio

import pytest

from .. import PipelineError, check_dependencies, run_stages


class TestRunStages:
    """Each stage starts when its dependencies have finished."""

    def test_inputs_are_results_of_the_dependencies(self):
        """Guards against a stage that gets the results of a wrong stage as input."""

        async def run(index, inputs):
            return [index, *inputs]

        results = asyncio.run(run_stages([(), (0,), (0, 1)], run))
        assert results[2] == [2, [0], [1, [0]]]

    def test_slow_stage_does_not_delay_an_independent_chain(self):
        """Guards against running level by level, where a chain waits for all stages."""
        order = []

        async def scenario():
            slow = asyncio.Event()

            async def run(index, inputs):
                if index == 0:
                    await slow.wait()
                order.append(index)
                if index == 2:
                    slow.set()

            await run_stages([(), (), (1,)], run)

        asyncio.run(asyncio.wait_for(scenario(), 1))
        assert order == [1, 2, 0]

    def test_failed_stage_cancels_the_running_ones(self):
        """Guards against stages that keep running for a request that has failed."""
        cancelled = []

        async def run(index, inputs):
            if index == 0:
                raise PipelineError("no", code="late")
            try:
                await asyncio.sleep(10)
            except asyncio.CancelledError:
                cancelled.append(index)
                raise

        with pytest.raises(PipelineError):
            asyncio.run(run_stages([(), ()], run))
        assert cancelled == [1]

    def test_cycle_is_refused(self):
        """Guards against stages that wait for each other forever."""
        with pytest.raises(PipelineError) as caught:
            check_dependencies([(1,), (0,)])
        assert caught.value.code == "bad_template"
