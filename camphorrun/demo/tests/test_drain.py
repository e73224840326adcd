"""Each way to retire a host starts the same graceful shutdown, over sockets."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import pytest

from ...configuration import (
    ConfigurationChange,
    ConfigurationView,
    Drain,
    Stage,
    Template,
    TemplateParameters,
    encode_document,
    publish,
)
from ...replay import Scenario, ScenarioAccount, ScenarioService
from ...standins import EndpointProfile
from ..local_system import OPERATOR_CREDENTIAL, LocalEndpoint, LocalSystem, ServiceSpec
from ..publication import publish_scenario

_SLOW = {"base_s": 1.5}
_SCENARIO = Scenario(
    "drain",
    services=(ScenarioService("engine", 2, profile=_SLOW),),
    templates=(Template("say", (Stage("say", "engine", "say"),)),),
    accounts=(
        ScenarioAccount(
            "one", "s", 1.0, {"say": TemplateParameters(deadline_ms=9_000)}
        ),
    ),
)


@contextlib.asynccontextmanager
async def _running():
    """Run a system with one entry and two agents of one service."""
    specs = (ServiceSpec("engine", 2, EndpointProfile(**_SLOW)),)
    system = LocalSystem(specs, entries=1)
    try:
        async with asyncio.timeout(50), aiohttp.ClientSession() as session:
            await system.start()
            await publish_scenario(system.log_client(session), _SCENARIO)
            await system.wait_ready()
            await system.wait_published(_SCENARIO, 10.0)
            yield system, session
    finally:
        await system.stop()


async def _say(system: LocalSystem, session: aiohttp.ClientSession, text: str) -> str:
    url = f"{system.entry_urls[0]}/v1/pipelines/say/requests"
    headers = {"Authorization": "Bearer one:s"}
    async with session.post(url, json={"input": text}, headers=headers) as resp:
        return (await resp.json())["status"]


def _all_started(system: LocalSystem, count: int) -> bool:
    """Return whether all early calls run, some of them at each endpoint."""
    calls = [each.server.usage.calls for each in system.endpoints["engine"]]
    return sum(calls) == count and min(calls) > 0


async def _by_host_list(system: LocalSystem, _session, endpoint: LocalEndpoint) -> None:
    entry = system.host_list._hosts[endpoint.host]
    system.host_list.put(dataclasses.replace(entry, state="leaving"))


async def _by_document(system: LocalSystem, session, endpoint: LocalEndpoint) -> None:
    document = Drain(endpoint.host, "maintenance")
    change = ConfigurationChange(
        change_id="chg-drain",
        kind="drain",
        name=endpoint.host,
        expected=0,
        body=encode_document(document),
        author="test",
    )
    view = ConfigurationView("fleet")
    await publish(system.log_client(session), view, change)


async def _by_request(system: LocalSystem, session, endpoint: LocalEndpoint) -> None:
    system.log_server.log.available = False
    url = f"http://{endpoint.agent.settings.host.listen}/v1/drain"
    headers = {"Authorization": f"Bearer {OPERATOR_CREDENTIAL}"}
    async with session.post(url, headers=headers) as resp:
        assert resp.status == 202


async def _by_signal(_system, _session, endpoint: LocalEndpoint) -> None:
    # The signal handler of the program calls this method.
    endpoint.agent.drain("SIGTERM")


class TestRetiringHost:
    """No request in flight is cut off, and no new work arrives."""

    @pytest.mark.parametrize(
        "retire", [_by_host_list, _by_document, _by_request, _by_signal]
    )
    def test_work_in_flight_ends_and_no_more_arrives(self, retire):
        """Guards against a planned stop that cuts off a request or gets new work."""

        async def scenario():
            async with _running() as (system, session):
                early = [
                    asyncio.ensure_future(_say(system, session, f"early {number}"))
                    for number in range(6)
                ]
                endpoint = system.endpoints["engine"][0]
                while not _all_started(system, len(early)):
                    await asyncio.sleep(0.01)
                await retire(system, session, endpoint)
                while endpoint.agent.lifecycle.state == "serving":
                    await asyncio.sleep(0.01)
                calls = endpoint.server.usage.calls
                late = [_say(system, session, f"late {number}") for number in range(6)]
                statuses = await asyncio.gather(*early, *late)
                assert statuses == ["answered"] * 12
                assert endpoint.server.usage.calls == calls
                await endpoint.agent_task
                assert endpoint.agent.lifecycle.state == "stopped"

        asyncio.run(scenario())
