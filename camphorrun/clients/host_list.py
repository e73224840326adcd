"""HTTP client of the platform's list of live and leaving hosts."""

from dataclasses import dataclass

import aiohttp
import msgspec

from .errors import PlatformError

CALL_TIMEOUT_SECONDS = 2.0
HTTP_NOT_MODIFIED = 304


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host of the list; ``address`` is ``ip:port``.

    ``state`` is ``live`` or ``leaving``. ``service`` is empty for entries.
    """

    host: str
    address: str
    role: str
    availability_zone: str
    region: str = ""
    service: str = ""
    state: str = "live"


@dataclass(frozen=True, slots=True)
class HostList:
    """Content of the host list at the time of a read."""

    hosts: tuple[HostEntry, ...]


class HostListClient:
    """Reads the host list with conditional requests."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str):
        self._session = session
        self._url = f"{base_url.rstrip('/')}/v1/hosts"
        self._etag = ""
        self._last_list = HostList(())

    async def fetch(self) -> HostList:
        """Return the current list; the same object as before if it is unchanged.

        Raises
        ------
        PlatformError
            If the list can't be read (``no_host_list``).
        """
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        # The response for an unchanged list has no body; with 370 hosts the list has
        # 62 KB and is read every second.
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            async with self._session.get(
                self._url, headers=headers, timeout=timeout
            ) as resp:
                resp.raise_for_status()
                if resp.status != HTTP_NOT_MODIFIED:
                    self._last_list = msgspec.json.decode(
                        await resp.read(), type=HostList
                    )
                    self._etag = resp.headers.get("ETag", "")
                return self._last_list
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise PlatformError(
                f"host list can't be read: {exc!r}", code="no_host_list"
            ) from exc
