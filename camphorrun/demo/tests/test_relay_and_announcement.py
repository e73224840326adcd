"""Daemons over sockets: configuration from peers, and a host list that is wrong."""

import asyncio
import contextlib

import aiohttp

from ...clients import HostEntry
from ...configuration import Stage, Template, TemplateParameters
from ...replay import Scenario, ScenarioAccount, ScenarioService
from ..local_system import LocalSystem, ServiceSpec, free_port
from ..publication import publish_scenario

ECHO = ServiceSpec("echo", 1)
SCENARIO = Scenario(
    "test",
    services=(ScenarioService("echo", 1),),
    templates=(Template("say", (Stage("say", "echo", "say"),)),),
    accounts=(
        ScenarioAccount(
            "one", "secret", 1.0, {"say": TemplateParameters(deadline_ms=6_000)}
        ),
    ),
    faults=(),
)


@contextlib.asynccontextmanager
async def _running():
    """Run a system with one entry and one agent, and with its documents published."""
    system = LocalSystem((ECHO,), entries=1)
    try:
        async with asyncio.timeout(40), aiohttp.ClientSession() as session:
            await system.start()
            await publish_scenario(system.log_client(session), SCENARIO)
            await system.wait_ready()
            await system.wait_published(SCENARIO, 10.0)
            yield system, session
    finally:
        await system.stop()


async def _say(session, url):
    headers = {"Authorization": "Bearer one:secret"}
    async with session.post(
        f"{url}/v1/pipelines/say/requests", json={"input": "x"}, headers=headers
    ) as resp:
        return (await resp.json())["status"]


async def _status(session, url):
    try:
        async with session.get(f"{url}/v1/status") as resp:
            return await resp.json()
    except aiohttp.ClientError:
        return {"agents": {}, "synchronised": False}


async def _until(check):
    while not await check():
        await asyncio.sleep(0.05)


class TestRelay:
    """Daemons get their configuration from peers while the log is unavailable."""

    def test_empty_entry_serves_while_the_log_is_down(self):
        """Guards against entries that can't be replaced during a log outage."""

        async def scenario():
            async with _running() as (system, session):
                system.log_server.log.available = False
                url = system.add_entry()

                async def is_ready():
                    status = await _status(session, url)
                    linked = [a["link_up"] for a in status["agents"].values()]
                    return status["synchronised"] and any(linked)

                await _until(is_ready)
                assert await _say(session, url) == "answered"

        asyncio.run(scenario())


class TestPausedAgent:
    """An agent that was stopped for long starts nothing on an outdated view."""

    def test_paused_agent_refuses_until_it_has_read_on(self):
        """Guards against work that a resumed agent starts after its host's drain."""

        async def scenario():
            async with _running() as (system, session):
                url = system.entry_urls[0]
                (endpoint,) = system.endpoints["echo"]
                system.log_server.log.available = False
                # Without peers, nothing can confirm the agent's position.
                endpoint.agent._relay.update(())
                endpoint.agent._relay.update = lambda _hosts: None
                endpoint.agent._sync._on_pause(600.0)
                assert await _say(session, url) == "not_run"
                assert endpoint.server.usage.calls == 0
                refused = endpoint.agent.metrics.refusals.labels("not_synchronised")
                assert refused._value.get() > 0
                system.log_server.log.available = True

                async def is_ready():
                    return endpoint.agent._sync.synchronised

                await _until(is_ready)
                assert await _say(session, url) == "answered"

        asyncio.run(scenario())


class TestAnnouncement:
    """Links, not the host list, tell which agents are alive."""

    def test_unlisted_agent_gets_work(self):
        """Guards against capacity that is unused while the host list lags."""

        async def scenario():
            async with _running() as (system, session):
                url = system.entry_urls[0]
                listed = system.endpoints["echo"][0]
                added = await system.add_endpoint(ECHO, listed=False)

                async def is_linked():
                    agents = (await _status(session, url))["agents"]
                    return agents.get(added.host, {}).get("link_up", False)

                await _until(is_linked)
                listed.agent_task.cancel()
                assert await _say(session, url) == "answered"
                assert added.server.usage.calls == 1

        asyncio.run(scenario())

    def test_listed_host_that_is_gone_gets_no_work(self):
        """Guards against requests that wait for a host of an outdated list."""

        async def scenario():
            async with _running() as (system, session):
                url = system.entry_urls[0]
                address = f"127.0.0.1:{free_port()}"
                system.host_list.put(
                    HostEntry("gone", address, "agent", "zone-a", service="echo")
                )

                async def is_known():
                    return "gone" in (await _status(session, url))["agents"]

                await _until(is_known)
                for _ in range(10):
                    assert await _say(session, url) == "answered"
                (endpoint,) = system.endpoints["echo"]
                assert endpoint.server.usage.calls == 10

        asyncio.run(scenario())
