"""Periodic reader of the platform's host list."""

from collections.abc import Callable

from absl import logging

from ..clients import HostEntry, HostListClient, PlatformError
from ..core import TimerService

POLL_SECONDS = 1.0


class HostWatcher:
    """Polls the host list and passes it to a callback.

    While the list can't be read, the callback isn't called, so that the last list stays
    in use.

    Parameters
    ----------
    client : HostListClient
        Client that reads the list.
    timers : TimerService
        Clock of the polling interval.
    on_host_list : callable
        Called with the hosts of each list that was read.
    """

    def __init__(
        self,
        client: HostListClient,
        timers: TimerService,
        on_host_list: Callable[[tuple[HostEntry, ...]], None],
    ):
        self._client = client
        self._timers = timers
        self._on_host_list = on_host_list
        self._available = True

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._poll()
            await self._timers.sleep(POLL_SECONDS)

    async def _poll(self) -> None:
        try:
            host_list = await self._client.fetch()
        except PlatformError as exc:
            self._set_available(False, str(exc))
            return
        self._set_available(True, "host list is available again")
        self._on_host_list(host_list.hosts)

    def _set_available(self, available: bool, detail: str) -> None:
        if available != self._available:
            self._available = available
            logging.warning("%s", detail)
