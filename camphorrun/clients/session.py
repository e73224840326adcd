"""HTTP session of the clients."""

import aiohttp

from ..http1 import is_valid_status


def create_session(**options) -> aiohttp.ClientSession:
    """Return a session that fails calls whose response has an invalid status code.

    The parser of aiohttp accepts any three digits. The calls raise
    ``aiohttp.ClientResponseError``, as for other invalid responses.

    Parameters
    ----------
    **options
        Passed to ``aiohttp.ClientSession``.
    """
    return aiohttp.ClientSession(raise_for_status=_check_status, **options)


async def _check_status(resp: aiohttp.ClientResponse) -> None:
    if is_valid_status(resp.status):
        return
    resp.close()
    raise aiohttp.ClientResponseError(
        resp.request_info,
        resp.history,
        status=resp.status,
        message=f"invalid status {resp.status:03d}",
    )
