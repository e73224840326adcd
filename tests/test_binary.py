"""Tests of the single file that ``make binary`` builds, apart from the source tree."""

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import zipfile
from dataclasses import asdict
from pathlib import Path

import aiohttp
import pytest

from camphorrun.clients import HostEntry
from camphorrun.daemon import start_server
from camphorrun.demo.local_system import LocalSystem, free_port
from camphorrun.standins import EndpointProfile, EndpointServer

REPOSITORY = Path(__file__).parent.parent
BUILD_TIMEOUT_SECONDS = 300
READY_TIMEOUT_SECONDS = 30
CHILD_POLL_SECONDS = 0.02
SETTINGS = REPOSITORY / "examples"


@pytest.fixture(scope="module")
def binary(tmp_path_factory) -> Path:
    """Build the file once; ``-o`` keeps make from touching the environment."""
    path = tmp_path_factory.mktemp("binary") / "camphorrun"
    ready = f"{sys.prefix}/.ready"
    command = ["make", "-o", ready, "binary", f"VENV={sys.prefix}", f"BINARY={path}"]
    build = subprocess.run(
        command,
        cwd=REPOSITORY,
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_SECONDS,
    )
    assert build.returncode == 0, build.stderr[-2000:]
    return path


def children_of(pid: int) -> set[int]:
    """Return the child processes of all threads of a process."""
    found: set[int] = set()
    with contextlib.suppress(FileNotFoundError, ProcessLookupError):
        for task in os.listdir(f"/proc/{pid}/task"):
            listed = Path(f"/proc/{pid}/task/{task}/children").read_text()
            found.update(int(item) for item in listed.split())
    return found


class Runner:
    """Starts the file away from the source tree and watches for children."""

    def __init__(self, binary: Path, directory: Path):
        self._binary = binary
        self._directory = directory
        self._interpreter = Path(sys.prefix) / "bin"
        self.children: set[int] = set()
        self.samples = 0
        self._running: list[asyncio.subprocess.Process] = []
        self._watchers: list[asyncio.Task] = []

    async def start(self, *args: str) -> asyncio.subprocess.Process:
        env = {
            "PATH": f"{self._interpreter}:/usr/bin:/bin",
            "SHIV_ROOT": str(self._directory / "root"),
            "PYTHONNOUSERSITE": "1",
        }
        process = await asyncio.create_subprocess_exec(
            str(self._binary),
            *args,
            cwd=self._directory,
            env=env,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        self._running.append(process)
        self._watchers.append(asyncio.ensure_future(self._watch(process)))
        return process

    async def run(self, *args: str) -> tuple[int, str]:
        process = await self.start(*args)
        out, err = await process.communicate()
        return process.returncode, (out + err).decode()

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        while process.returncode is None:
            self.children |= children_of(process.pid)
            self.samples += 1
            await asyncio.sleep(CHILD_POLL_SECONDS)

    async def stop(self) -> None:
        for process in self._running:
            if process.returncode is None:
                process.kill()
                await process.communicate()
        for watcher in self._watchers:
            watcher.cancel()


def settings_file(directory: Path, role: str, **changes) -> str:
    """Write the example settings of a role with changes."""
    content = json.loads((SETTINGS / f"{role}.json").read_text())
    for key, value in changes.items():
        content[key] |= value
    path = directory / f"{role}.json"
    path.write_text(json.dumps(content))
    return str(path)


class TestBinary:
    """The file works without the source tree and starts no process."""

    def test_children_of_a_process_are_seen(self):
        """Guards against a check of children that sees none on this kernel."""
        shell = subprocess.Popen(["sleep", "30"])
        try:
            assert shell.pid in children_of(os.getpid())
        finally:
            shell.kill()
            shell.wait()

    def test_file_holds_no_path_of_the_build_host(self, binary):
        """Guards against files that differ with the directory they are built in."""
        paths = (str(REPOSITORY).encode(), sys.prefix.encode())
        with zipfile.ZipFile(binary) as archive:
            found = [
                name
                for name in archive.namelist()
                if any(path in archive.read(name) for path in paths)
            ]
        assert found == []

    def test_request_is_answered_and_drain_ends_with_success(self, binary, tmp_path):
        """Guards against a file that lacks a module or starts child processes."""
        asyncio.run(asyncio.wait_for(self._smoke(binary, tmp_path), 120))

    def test_demo_runs_from_the_file(self, binary, tmp_path):
        """Guards against data files of the demo that the file lacks."""

        async def case():
            runner = Runner(binary, tmp_path)
            code, text = await runner.run("demo")
            await runner.stop()
            assert code == 0, text[-2000:]
            assert runner.samples > 10
            assert runner.children == set()

        asyncio.run(asyncio.wait_for(case(), 120))

    async def _smoke(self, binary: Path, directory: Path) -> None:
        runner = Runner(binary, directory)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(runner.stop)
            platform, endpoint, host_list = await self._stand_ins(stack)
            addresses = {
                role: f"127.0.0.1:{free_port()}" for role in ("agent", "entry")
            }
            files = self._settings(directory, platform, endpoint, addresses)
            code, text = await runner.run(
                "entry", "--settings", files["entry"], "--check"
            )
            assert code == 0, text
            agent = await runner.start("agent", "--settings", files["agent"])
            entry = await runner.start("entry", "--settings", files["entry"])
            host_list.put(
                HostEntry(
                    "endpoint-1",
                    addresses["agent"],
                    "agent",
                    "zone-a",
                    service="generate",
                )
            )
            host_list.put(HostEntry("entry-1", addresses["entry"], "entry", "zone-a"))
            ctl = ("ctl", "--settings", files["ctl"])
            for kind in ("service", "template", "account"):
                document = str(SETTINGS / f"{kind}.json")
                code, text = await runner.run(*ctl, "publish", document)
                assert code == 0, text
            version = text.split()[-1]
            await self._wait_serving(addresses["entry"])
            code, text = await runner.run(*ctl, "wait", "--version", version)
            assert code == 0, text
            assert await self._request(addresses["entry"]) == "answered"
            for host, process in (("endpoint-1", agent), ("entry-1", entry)):
                code, text = await runner.run(*ctl, "drain", host, "--wait")
                assert code == 0, text
                out, err = await process.communicate()
                assert process.returncode == 0, (out + err).decode()[-2000:]
        assert runner.samples > 10
        assert runner.children == set()

    @staticmethod
    def _settings(directory, platform, endpoint, addresses) -> dict[str, str]:
        changes = {
            "entry": {"host": {"listen": addresses["entry"]}},
            "agent": {
                "host": {"listen": addresses["agent"]},
                "endpoint": {"url": f"http://{endpoint}"},
            },
            "ctl": {},
        }
        return {
            role: settings_file(directory, role, platform=platform, **change)
            for role, change in changes.items()
        }

    async def _stand_ins(self, stack: contextlib.AsyncExitStack):
        """Start log service, host list and one endpoint in this process."""
        system = LocalSystem((), entries=0)
        await system.start()
        stack.push_async_callback(system.stop)
        endpoint = f"127.0.0.1:{free_port()}"
        application = EndpointServer(system.timers, EndpointProfile()).application()
        server = await start_server(application, endpoint)
        stack.push_async_callback(server.cleanup)
        return asdict(system.platform), endpoint, system.host_list

    async def _wait_serving(self, address: str) -> None:
        """Wait until the entry is linked to the agent."""
        url = f"http://{address}/v1/status"
        async with (
            asyncio.timeout(READY_TIMEOUT_SECONDS),
            aiohttp.ClientSession() as session,
        ):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as resp:
                        agents = (await resp.json())["agents"].values()
                        if any(agent["link_up"] for agent in agents):
                            return
                await asyncio.sleep(0.05)

    async def _request(self, address: str) -> str:
        url = f"http://{address}/v1/pipelines/draft/requests"
        headers = {"Authorization": "Bearer press-1:example-secret"}
        body = {"input": {"text": "x"}, "max_output": 2}
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=body, headers=headers) as resp,
        ):
            return (await resp.json())["status"]
