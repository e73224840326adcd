"""Search of everything the daemons show for credentials and shared secrets."""

import asyncio
import io
import logging
from dataclasses import replace

import aiohttp

from camphorrun.demo import local_system
from camphorrun.demo.local_system import LocalSystem, ServiceSpec
from camphorrun.operators import (
    Console,
    drain_host,
    explain_request,
    open_context,
    publish_file,
    show_status,
    wait_for_version,
)
from camphorrun.operators.console import OperatorError
from camphorrun.settings import KeySettings, OperatorSettings

SHARED = "5ec2e75ec2e75ec2e75ec2e75ec2e75e"
OPERATOR = "operator-credential-7411"
WRONG_OPERATOR = "wrong-operator-credential-7412"
CALLER = "example-secret"
WRONG_CALLER = "wrong-caller-secret-7413"
SECRETS = (SHARED, OPERATOR, WRONG_OPERATOR, CALLER, WRONG_CALLER)


class _Capture(logging.Handler):
    def __init__(self):
        super().__init__(logging.DEBUG)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(logging.Formatter().format(record))


class TestSecrets:
    """Secrets go in and never come out."""

    def test_no_secret_is_shown(self, monkeypatch, caplog):
        """Guards against secrets in logs, errors, metrics, status and ctl output."""
        monkeypatch.setattr(local_system, "OPERATOR_CREDENTIAL", OPERATOR)
        keys = (KeySettings(7, SHARED),)
        monkeypatch.setattr(local_system, "SHARED_KEYS", keys)
        capture = _Capture()
        absl = logging.getLogger("absl")
        absl.addHandler(capture)
        level = absl.level
        absl.setLevel(logging.DEBUG)
        try:
            shown = asyncio.run(asyncio.wait_for(self._scenario(), 30))
        finally:
            absl.setLevel(level)
            absl.removeHandler(capture)
        assert any("draining" in line for line in capture.lines)
        everything = "\n".join([*shown, *capture.lines, caplog.text])
        assert "bad_credential" in everything
        assert [secret for secret in SECRETS if secret in everything] == []

    async def _scenario(self) -> list[str]:
        system = LocalSystem((ServiceSpec("generate", 1),), entries=1)
        await system.start()
        progress = io.StringIO()
        settings = OperatorSettings(system.platform, "operator-1", OPERATOR)
        shown = [repr(settings), repr(local_system.SHARED_KEYS)]
        try:
            await system.wait_ready()
            async with open_context(settings, Console(progress)) as ctx:
                shown += await self._operate(ctx)
            url = system.entry_urls[0]
            async with aiohttp.ClientSession() as session:
                shown += await self._call(session, url)
                for path in ("/metrics", "/v1/status"):
                    shown.append(await _text(session.get(url + path)))
            wrong = replace(settings, operator_credential=WRONG_OPERATOR)
            async with open_context(wrong, Console(progress)) as ctx:
                shown += (await drain_host(ctx, "generate-1", "test")).lines
                try:
                    await explain_request(ctx, "req-1")
                except OperatorError as exc:
                    shown.append(str(exc))
        finally:
            await system.stop()
        return [*shown, progress.getvalue()]

    async def _operate(self, ctx) -> list[str]:
        shown = []
        for name in ("service", "template", "account"):
            result = await publish_file(ctx, f"examples/{name}.json")
            shown += [result.render(True), *result.lines]
            await wait_for_version(ctx, result.data["version"], 10)
        status = await show_status(ctx)
        return [*shown, status.render(True), status.render(False)]

    async def _call(self, session: aiohttp.ClientSession, url: str) -> list[str]:
        target = f"{url}/v1/pipelines/draft/requests"
        answers = []
        for secret in (CALLER, WRONG_CALLER):
            headers = {"Authorization": f"Bearer press-1:{secret}"}
            good = {"input": {"text": "x"}, "max_output": 2}
            answers.append(
                await _text(session.post(target, json=good, headers=headers))
            )
            bad = f'{{"input": "{secret}'
            answers.append(await _text(session.post(target, data=bad, headers=headers)))
            wrong = {**good, "max_output": secret}
            answers.append(
                await _text(session.post(target, json=wrong, headers=headers))
            )
        for credential in (f"Bearer {WRONG_OPERATOR}", OPERATOR):
            headers = {"Authorization": credential}
            answers.append(
                await _text(session.post(f"{url}/v1/drain", headers=headers))
            )
        return answers


async def _text(call) -> str:
    async with call as resp:
        return f"{resp.status} {dict(resp.headers)} {await resp.text()}"
