"""Test that work of callers who left is cancelled."""

import asyncio

import aiohttp
import pytest

from ...configuration import Stage, Template, TemplateParameters
from ...replay import Scenario, ScenarioAccount, ScenarioService
from ...standins import EndpointProfile
from .. import LocalSystem, ServiceSpec
from ..publication import publish_scenario

_NO_HANG_SECONDS = 60.0
_CALLERS = 6


def _scenario() -> Scenario:
    stages = tuple(
        Stage(name, "s", "lookup", after=after)
        for name, after in (("one", ()), ("two", ("one",)))
    )
    parameters = TemplateParameters(deadline_ms=30_000, priority=0)
    return Scenario(
        "abandoned",
        services=(ScenarioService("s", 1),),
        templates=(Template("t", stages),),
        accounts=(ScenarioAccount("a", "secret-of-a", templates={"t": parameters}),),
    )


async def _until(condition) -> None:
    while not condition():
        await asyncio.sleep(0.02)


async def _ask(session, url: str, stream: bool) -> None:
    headers = {"Authorization": "Bearer a:secret-of-a"}
    body = {"input": {"x": 1}, "stream": stream}
    async with session.post(
        f"{url}/v1/pipelines/t/requests", json=body, headers=headers
    ) as resp:
        await resp.read()


async def _scenario_run(stream: bool) -> None:
    scenario = _scenario()
    spec = ServiceSpec("s", 1, EndpointProfile(base_s=60.0, batch=1), initial_limit=2)
    system = LocalSystem((spec,), entries=1)
    try:
        await system.start()
        async with aiohttp.ClientSession() as session:
            await publish_scenario(system.log_client(session), scenario)
            await system.wait_ready(30.0)
            await system.wait_published(scenario, 30.0)
            url = system.entry_urls[0]
            callers = [
                asyncio.ensure_future(_ask(session, url, stream))
                for _ in range(_CALLERS)
            ]
            endpoint = system.endpoints["s"][0]
            worker = endpoint.agent._worker
            await _until(lambda: worker.unfinished == _CALLERS)
            for caller in callers:
                caller.cancel()
            await _until(lambda: worker.unfinished == 0)
            await _until(lambda: worker.known_attempts == 0)
            await _until(lambda: endpoint.server.usage.cancelled >= 1)
            assert endpoint.server.usage.calls == 1
            assert system.entries[0]._service.in_flight == 0
    finally:
        await system.stop()


class TestAbandonedRequests:
    """A caller who disconnects leaves no work behind."""

    @pytest.mark.parametrize("stream", [False, True])
    def test_queues_and_calls_end_with_their_callers(self, stream):
        """Guards against endpoints that work for callers who left."""
        asyncio.run(asyncio.wait_for(_scenario_run(stream), _NO_HANG_SECONDS))
