"""Connections of the operator commands to the platform and to the daemons."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec

from ..clients import (
    HostEntry,
    HostListClient,
    LogClient,
    PlatformError,
    create_session,
)
from ..core import LogStore, LoopTimerService, TimerService
from ..settings import OperatorSettings
from .console import CommandStatus, Console, OperatorError

# A daemon that does not answer within this time is shown as not answering.
HOST_TIMEOUT_SECONDS = 2.0
# Hosts asked at the same time; 370 daemons are asked in a few rounds.
MAX_CONCURRENT_HOSTS = 64


@dataclass(frozen=True, slots=True)
class HostReply:
    """Answer of one listed host.

    ``error`` is empty if the host answered, ``refused`` if no process listens
    there, otherwise the kind of failure.
    """

    listed: HostEntry
    http_status: int = 0
    body: dict[str, Any] = field(default_factory=dict)
    error: str = ""

    @property
    def answered(self) -> bool:
        """Whether the host answered with success."""
        return not self.error and 200 <= self.http_status < 300

    @property
    def failure(self) -> str:
        """Why the call failed, in words; empty if it did not."""
        if self.answered:
            return ""
        return self.error or f"status {self.http_status}"


class OperatorContext:
    """What every command needs.

    Parameters
    ----------
    settings : OperatorSettings
        Addresses and credential.
    session : aiohttp.ClientSession
        Shared HTTP session.
    log : LogStore
        The log service.
    timers : TimerService
        Clock.
    console : Console
        Progress output.
    """

    def __init__(
        self,
        settings: OperatorSettings,
        session: aiohttp.ClientSession,
        log: LogStore,
        timers: TimerService,
        console: Console,
    ):
        self.settings = settings
        self.log = log
        self.timers = timers
        self.console = console
        self._session = session
        self._hosts = HostListClient(session, settings.platform.host_list_url)
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_HOSTS)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the listed hosts, sorted by name.

        Raises
        ------
        OperatorError
            If the host list cannot be read.
        """
        if not self.settings.platform.host_list_url:
            raise OperatorError(
                "platform.host_list_url: must be set for this command",
                code="no_host_list",
                field="platform.host_list_url",
            )
        try:
            listed = await self._hosts.fetch()
        except PlatformError as exc:
            raise OperatorError(
                str(exc), code=exc.code, status=CommandStatus.UNAVAILABLE
            ) from exc
        return tuple(sorted(listed.hosts, key=lambda host: host.host))

    async def ask(self, listed: HostEntry, path: str, method: str = "GET") -> HostReply:
        """Call a route of a daemon with the operator credential."""
        credential = self.settings.operator_credential
        try:
            async with (
                self._slots,
                self._session.request(
                    method,
                    f"http://{listed.address}{path}",
                    headers={"Authorization": f"Bearer {credential}"},
                    timeout=aiohttp.ClientTimeout(total=HOST_TIMEOUT_SECONDS),
                ) as resp,
            ):
                data = await resp.read()
                return HostReply(listed, resp.status, _decode_object(data))
        except aiohttp.ClientConnectorError as exc:
            # Only a refusal proves that no process listens; a host without a route
            # may still be running.
            refused = isinstance(exc.os_error, ConnectionRefusedError)
            return HostReply(listed, error="refused" if refused else "no connection")
        except TimeoutError:
            return HostReply(listed, error="no answer")
        except aiohttp.ClientError as exc:
            return HostReply(listed, error=type(exc).__name__)

    async def ask_all(self, hosts: tuple[HostEntry, ...], path: str) -> list[HostReply]:
        """Call a route of several daemons at the same time."""
        return list(await asyncio.gather(*(self.ask(host, path) for host in hosts)))


@contextlib.asynccontextmanager
async def open_context(
    settings: OperatorSettings, console: Console | None = None
) -> AsyncIterator[OperatorContext]:
    """Open the connections of a command and close them afterwards."""
    async with create_session() as session:
        log = LogClient(session, settings.platform.log_url)
        timers = LoopTimerService()
        yield OperatorContext(settings, session, log, timers, console or Console())


def _decode_object(data: bytes) -> dict[str, Any]:
    """Return a JSON object, empty for any other body."""
    try:
        body = msgspec.json.decode(data)
    except msgspec.DecodeError:
        return {}
    return body if isinstance(body, dict) else {}
