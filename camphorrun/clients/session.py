"""HTTP session of the clients."""

import aiohttp

from ..http1 import is_valid_status, is_valid_text


def create_session(**options) -> aiohttp.ClientSession:
    """Return a session that fails calls whose response has an invalid head.

    The parser of aiohttp accepts any three digits as status code, and control bytes in
    reason phrases and field values. The calls raise ``aiohttp.ClientResponseError``, as
    for other invalid responses.

    Parameters
    ----------
    **options
        Passed to ``aiohttp.ClientSession``.
    """
    return aiohttp.ClientSession(raise_for_status=_check_head, **options)


async def _check_head(resp: aiohttp.ClientResponse) -> None:
    message = _find_fault(resp)
    if not message:
        return
    resp.close()
    raise aiohttp.ClientResponseError(
        resp.request_info,
        resp.history,
        status=resp.status,
        message=message,
    )


def _find_fault(resp: aiohttp.ClientResponse) -> str:
    """Return what is invalid in the head of a response, empty if nothing is."""
    if not is_valid_status(resp.status):
        return f"invalid status {resp.status:03d}"
    # aiohttp decodes the phrase so that each byte can be restored.
    reason = (resp.reason or "").encode("utf-8", "surrogateescape")
    texts = [reason, *(value for _, value in resp.raw_headers)]
    return "" if all(map(is_valid_text, texts)) else "control byte in the head"
