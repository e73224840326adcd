"""Tests of the operator commands against a running local system."""

import asyncio
import io
from dataclasses import replace

import msgspec
import pytest

from ...clients import HostEntry
from ...demo.local_system import OPERATOR_CREDENTIAL, LocalSystem, ServiceSpec
from ...settings import OperatorSettings
from .. import (
    CommandStatus,
    Console,
    delete_document,
    drain_host,
    explain_request,
    get_document,
    open_context,
    publish_file,
    show_history,
    show_status,
    wait_for_version,
)
from ..console import OperatorError
from ..context import HostReply
from ..drain import progress_of

SECRET = "example-secret"
EXAMPLES = ("service", "template", "account")


def run(case) -> None:
    """Run a case with a started system and a context of the operator."""

    async def scenario():
        system = LocalSystem((ServiceSpec("generate", 2),), entries=2)
        await system.start()
        settings = OperatorSettings(system.platform, "operator-1", OPERATOR_CREDENTIAL)
        try:
            console = Console(io.StringIO())
            async with open_context(settings, console) as ctx:
                await system.wait_ready()
                await case(system, ctx)
        finally:
            await system.stop()

    asyncio.run(asyncio.wait_for(scenario(), 30))


def write(tmp_path, kind: str, document: dict) -> str:
    path = tmp_path / f"{kind}.json"
    path.write_bytes(msgspec.json.encode({"kind": kind, "document": document}))
    return str(path)


async def publish_examples(ctx) -> str:
    """Publish the example documents; return the last version of each stream."""
    for name in EXAMPLES:
        result = await publish_file(ctx, f"examples/{name}.json")
        assert result.status is CommandStatus.OK, result.lines
        await wait_for_version(ctx, result.data["version"], 10.0)
    return result.data["version"]


class TestChanges:
    """Publication, inspection and deletion of documents."""

    def test_publish_get_history_and_delete(self, tmp_path):
        """Guards against a loser that is not told which version won."""

        async def case(_system, ctx):
            path = write(tmp_path, "service", {"name": "s"})
            first = await publish_file(ctx, path)
            second = await publish_file(ctx, path)
            loser = await publish_file(ctx, path, expected=1)
            assert [first.status, second.status] == [CommandStatus.OK] * 2
            assert loser.status is CommandStatus.CONFLICT
            assert second.data["version"] in loser.lines[0]
            found = await get_document(ctx, "service", "s")
            assert found.data["version"] == second.data["version"]
            await delete_document(ctx, "service", "s")
            with pytest.raises(OperatorError):
                await get_document(ctx, "service", "s")
            history = await show_history(ctx, "service", "s")
            results = [item["result"] for item in history.data["changes"]]
            assert results == ["won", "won", "lost", "won"]
            assert history.data["changes"][-1]["action"] == "delete"

        run(case)

    def test_template_with_unknown_service_is_refused(self, tmp_path):
        """Guards against a template that no request could run."""

        async def case(_system, ctx):
            stage = {"name": "a", "service": "nowhere", "operation": "x"}
            path = write(tmp_path, "template", {"name": "t", "stages": [stage]})
            with pytest.raises(OperatorError) as caught:
                await publish_file(ctx, path)
            assert caught.value.field == "$.stages[0].service"

        run(case)


class TestPlacements:
    """Publication of placements."""

    def test_last_home_of_a_model_in_use_is_refused(self, tmp_path):
        """Guards against a publication after which no endpoint serves a model."""

        async def case(_system, ctx):
            await publish_examples(ctx)

            async def place(host, *models):
                document = {"host": host, "models": models}
                return await publish_file(ctx, write(tmp_path, "placement", document))

            await place("h1", "model-a@1", "unused")
            with pytest.raises(OperatorError) as caught:
                await place("h1", "other")
            assert caught.value.code == "last_home"
            assert "model-a" in str(caught.value)
            await place("h1", "model-a@2")
            await place("h2", "model-a@1")
            await drain_host(ctx, "h2", "test")
            with pytest.raises(OperatorError):
                await place("h1", "other")
            await delete_document(ctx, "drain", "h2")
            await place("h1", "other")

        run(case)

    def test_agent_loads_what_is_published(self, tmp_path):
        """Guards against an agent that does not run its order driver."""

        async def case(system, ctx):
            endpoint = system.endpoints["generate"][0]
            document = {"host": endpoint.host, "models": ["a"], "role": "decode"}
            await publish_file(ctx, write(tmp_path, "placement", document))
            while endpoint.server.orders.state().role != "decode":
                await asyncio.sleep(0.02)
            listed = next(h for h in await ctx.hosts() if h.host == endpoint.host)
            orders = (await ctx.ask(listed, "/v1/status")).body["orders"]
            assert orders["desired"]["models"] == ["a"]
            assert endpoint.server.orders.state().models == ("a",)

        run(case)


class TestFleet:
    """Status, waiting and explanations over all hosts."""

    def test_wait_ends_only_when_every_host_has_the_version(self):
        """Guards against a change reported in effect while a host is behind."""

        async def case(system, ctx):
            version = await publish_examples(ctx)
            assert (await wait_for_version(ctx, version, 10)).status.value == "ok"
            status = await show_status(ctx)
            assert [h["state"] for h in status.data["hosts"]] == ["serving"] * 4
            dead = HostEntry("silent-1", "127.0.0.1:9", "entry", "a")
            system.host_list.put(dead)
            late = await wait_for_version(ctx, version, 0.3)
            assert late.status is CommandStatus.FAILED
            assert late.data["missing"] == ["silent-1"]
            status = await show_status(ctx)
            assert status.status is CommandStatus.FAILED

        run(case)

    def test_explain_finds_the_entry_and_needs_the_credential(self):
        """Guards against a request that operators cannot look up, or anyone can."""

        async def case(system, ctx):
            await publish_examples(ctx)
            url = f"{system.entry_urls[1]}/v1/pipelines/draft/requests"
            headers = {"Authorization": f"Bearer press-1:{SECRET}"}
            body = {"input": {"text": "x"}, "max_output": 2}
            async with ctx._session.post(url, json=body, headers=headers) as resp:
                answer = await resp.json()
            found = await explain_request(ctx, answer["request_id"])
            assert found.data["account"] == "press-1"
            assert found.data["stages"][0]["attempts"][0]["result"] == "ok"
            body["deadline_ms"] = 0
            async with ctx._session.post(url, json=body, headers=headers) as resp:
                answer = await resp.json()
            refused = await explain_request(ctx, answer["request_id"])
            assert refused.data["code"] == "deadline_passed"
            with pytest.raises(OperatorError):
                await explain_request(ctx, "req-unknown")
            ctx.settings = replace(ctx.settings, operator_credential="wrong")
            with pytest.raises(OperatorError) as caught:
                await explain_request(ctx, answer["request_id"])
            assert "status 401" in str(caught.value)

        run(case)

    def test_request_in_flight_is_found(self):
        """Guards against a stuck request that operators cannot look up."""

        async def case(system, ctx):
            await publish_examples(ctx)
            for endpoint in system.endpoints["generate"]:
                profile = replace(endpoint.server.profile, stalled=True)
                endpoint.server.profile = profile
            url = f"{system.entry_urls[0]}/v1/pipelines/draft/requests"
            headers = {"Authorization": f"Bearer press-1:{SECRET}"}
            body = {"input": {"text": "x"}, "max_output": 2}
            call = asyncio.ensure_future(
                ctx._session.post(url, json=body, headers=headers)
            )
            oldest = None
            async with asyncio.timeout(3):
                while oldest is None:
                    hosts = (await show_status(ctx)).data["hosts"]
                    oldest = hosts[0]["oldest_request"]
            found = await explain_request(ctx, oldest["request_id"])
            assert found.data["status"] == "running"
            assert found.data["account"] == "press-1"
            call.cancel()

        run(case)


class TestDrain:
    """A drain reaches the host over at least one of the two ways."""

    @pytest.mark.parametrize("log_available", [True, False])
    def test_drain_waits_for_the_end_of_the_process(self, log_available):
        """Guards against a drain that needs the log service."""

        async def case(system, ctx):
            endpoint = system.endpoints["generate"][0]
            system.log_server.log.available = log_available
            result = await drain_host(ctx, endpoint.host, "test", wait_s=15.0)
            assert result.status is CommandStatus.OK, result.lines
            assert result.data["direct"]["ok"]
            assert result.data["published"]["ok"] is log_available
            assert endpoint.agent.lifecycle.state == "stopped"

        run(case)

    def test_only_a_refused_connection_proves_that_the_process_ended(self):
        """Guards against a host taken for stopped because the network is down."""
        listed = HostEntry("h", "", "agent", "a")
        before = HostReply(listed, 200, {"incarnation": "i"})
        for error in ("no answer", "no connection"):
            assert not progress_of(HostReply(listed, error=error), before)[0]
        assert progress_of(HostReply(listed, error="refused"), before)[0]
        assert progress_of(HostReply(listed, 200, {"incarnation": "j"}), before)[0]
        assert not progress_of(before, before)[0]

    def test_host_that_cannot_be_reached_is_drained_through_the_log(self):
        """Guards against a drain that needs a connection to the host."""

        async def case(system, ctx):
            endpoint = system.endpoints["generate"][0]
            entry = HostEntry(endpoint.host, "127.0.0.1:9", "agent", "a", "r")
            system.host_list.put(replace(entry, service="generate"))
            result = await drain_host(ctx, endpoint.host, "test")
            assert result.status is CommandStatus.OK
            assert not result.data["direct"]["ok"]
            async with asyncio.timeout(10):
                await endpoint.agent.lifecycle.wait_for_drain()

        run(case)
