"""Connections between entries and agents that go silent, over sockets."""

import asyncio
import contextlib
import dataclasses
import json

import aiohttp

from ...configuration import Stage, Template, TemplateParameters
from ...replay import Scenario, ScenarioAccount, ScenarioService
from ...standins import EndpointProfile, TcpForwarder
from ..local_system import LocalSystem, ServiceSpec
from ..publication import publish_scenario

_HEADERS = {"Authorization": "Bearer one:s1"}
_PATIENT = TemplateParameters(deadline_ms=20_000)
_TOKENS = 60
_SLOW = {"base_s": 0.01, "output_unit_s": 0.03}
_SCENARIO = Scenario(
    "silence",
    services=(
        ScenarioService("engine", 2, profile=_SLOW),
        ScenarioService("ledger", 2, profile={"base_s": 1.5}),
    ),
    templates=(
        Template("draft", (Stage("generate", "engine", "generate", stream=True),)),
        Template("charge", (Stage("charge", "ledger", "charge", idempotent=False),)),
    ),
    accounts=(
        ScenarioAccount("one", "s1", 1.0, {"draft": _PATIENT, "charge": _PATIENT}),
    ),
)
_SPECS = (
    ServiceSpec("engine", 2, EndpointProfile(**_SLOW)),
    ServiceSpec("ledger", 2, EndpointProfile(base_s=1.5)),
)


@contextlib.asynccontextmanager
async def _forwarded_system():
    """Start the path with a forwarder in front of each agent."""
    system = LocalSystem(_SPECS, entries=1)
    forwarders = []
    try:
        await system.start()
        for entry in list(system.host_list._hosts.values()):
            if entry.role == "agent":
                forwarder = TcpForwarder(entry.address)
                address = await forwarder.start("127.0.0.1")
                forwarders.append(forwarder)
                system.host_list.put(dataclasses.replace(entry, address=address))
        async with aiohttp.ClientSession() as session:
            await publish_scenario(system.log_client(session), _SCENARIO)
            await _until(lambda: all(each.accepted for each in forwarders))
            await system.wait_ready()
            await system.wait_published(_SCENARIO, 10)
            yield system, forwarders, session
    finally:
        for forwarder in forwarders:
            await forwarder.stop()
        await system.stop()


async def _until(predicate) -> None:
    async with asyncio.timeout(15):
        while not predicate():
            await asyncio.sleep(0.02)


def _effects(system: LocalSystem) -> list[int]:
    return [
        times
        for endpoint in system.endpoints["ledger"]
        for times in endpoint.server.usage.effects.values()
    ]


def _run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 60))


class TestSilentConnections:
    """What was in flight is picked up on the connection that replaces a silent one."""

    def test_stream_is_whole(self):
        """Guards against lost, doubled or mixed parts of an answer."""

        async def scenario():
            async with _forwarded_system() as (system, forwarders, session):
                url = f"{system.entry_urls[0]}/v1/pipelines/draft/requests"
                body = {"input": {"text": "t"}, "max_output": _TOKENS, "stream": True}
                events = []
                async with session.post(url, json=body, headers=_HEADERS) as resp:
                    async for line in resp.content:
                        events.append(json.loads(line))
                        if len(events) == 2:
                            assert sum(each.silence() for each in forwarders) >= 2
                parts = [e for e in events if e["event"] == "part"]
                assert [p["sequence"] for p in parts] == list(range(len(parts)))
                assert events[-1]["status"] == "answered"
                text = "".join(part["text"] for part in parts)
                assert events[-1]["output"]["text"] == text
                assert len(text.split()) == _TOKENS

        _run(scenario)

    def test_charge_is_answered_and_runs_once(self):
        """Guards against a second charge after the connection was replaced."""

        async def scenario():
            async with _forwarded_system() as (system, forwarders, session):
                base = f"{system.entry_urls[0]}/v1"
                async with session.get(f"{base}/keys", headers=_HEADERS) as resp:
                    key = (await resp.json())["prefix"] + ".one"
                headers = {**_HEADERS, "Idempotency-Key": key}
                url = f"{base}/pipelines/charge/requests"
                request = asyncio.ensure_future(
                    session.post(url, json={"input": {"amount": 5}}, headers=headers)
                )
                await _until(lambda: _effects(system) == [1])
                for forwarder in forwarders:
                    forwarder.silence()
                async with await request as resp:
                    assert (await resp.json())["status"] == "answered"
                assert _effects(system) == [1]

        _run(scenario)
