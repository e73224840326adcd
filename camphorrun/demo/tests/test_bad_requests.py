"""Bad input at the caller interface, over sockets."""

import asyncio

import aiohttp

from ...configuration import Stage, Template, TemplateParameters
from ...replay import Scenario, ScenarioAccount, ScenarioService
from ..local_system import LocalSystem, ServiceSpec
from ..publication import publish_scenario

_CREDENTIAL = {"Authorization": "Bearer one:s1"}
_SCENARIO = Scenario(
    "bad-requests",
    services=(ScenarioService("engine", 1, profile={}),),
    templates=(Template("draft", (Stage("generate", "engine", "generate"),)),),
    accounts=(ScenarioAccount("one", "s1", 1.0, {"draft": TemplateParameters()}),),
)
_GZIP = {**_CREDENTIAL, "Content-Encoding": "gzip"}
_BAD_SECRET = {"Authorization": "Bearer one:wrong"}
_KEYED_BAD_SECRET = {**_BAD_SECRET, "Idempotency-Key": "k"}
# path, headers, body, HTTP status, code, status
_CASES = (
    ("draft", _CREDENTIAL, b"not JSON", 400, "bad_body", "not_run"),
    ("draft", _CREDENTIAL, b'{"input": "\xff\xfe"}', 400, "bad_body", "not_run"),
    ("draft", _CREDENTIAL, b'{"input":' + b"[" * 50_000, 400, "bad_body", "not_run"),
    ("draft", _GZIP, b"not compressed", 400, "bad_body", "not_run"),
    ("draft", _CREDENTIAL, b"x" * 5_000_000, 413, "body_too_large", "not_run"),
    (
        "draft",
        _CREDENTIAL,
        b'{"input": 1, "deadline_ms": -1}',
        400,
        "deadline_passed",
        "not_run",
    ),
    ("none", _CREDENTIAL, b'{"input": 1}', 404, "unknown_template", "not_run"),
    ("draft", _BAD_SECRET, b'{"input": 1}', 401, "bad_credential", "not_run"),
    (
        "draft",
        _KEYED_BAD_SECRET,
        b'{"input": 1}',
        401,
        "bad_credential",
        "outcome_unknown",
    ),
)


class TestBadRequests:
    """Bad input gets a clear error, changes nothing and ends no process."""

    def test_each_mistake_is_named_and_service_continues(self):
        """Guards against a crash, retries of invalid input, and a vague answer."""

        async def scenario():
            system = LocalSystem((ServiceSpec("engine", 1),), entries=1)
            try:
                await system.start()
                async with aiohttp.ClientSession() as session:
                    await publish_scenario(system.log_client(session), _SCENARIO)
                    await system.wait_ready()
                    await system.wait_published(_SCENARIO, 10)
                    await self._check(system, session)
            finally:
                await system.stop()

        asyncio.run(asyncio.wait_for(scenario(), 60))

    @staticmethod
    async def _check(system: LocalSystem, session: aiohttp.ClientSession) -> None:
        base = f"{system.entry_urls[0]}/v1"
        server = system.endpoints["engine"][0].server
        for name, headers, body, http_status, code, status in _CASES:
            url = f"{base}/pipelines/{name}/requests"
            async with session.post(url, data=body, headers=headers) as resp:
                answer = await resp.json()
                expected = (http_status, code, status)
                assert (resp.status, answer["code"], answer["status"]) == expected
        assert server.usage.calls == 0
        async with session.get(f"{base}/outcomes/k", headers=_CREDENTIAL) as resp:
            answer = await resp.json()
            assert (resp.status, answer["status"]) == (404, "outcome_unknown")
        url = f"{base}/pipelines/draft/requests"
        async with session.post(url, json={"input": 1}, headers=_CREDENTIAL) as resp:
            assert (await resp.json())["status"] == "answered"
