"""Requests to a stage replica: calls, free space and releases."""

from collections.abc import Callable
from typing import TypeVar

from ..core import TimerService, with_timeout
from ..http1 import HttpError
from ..platform import (
    DecodeError,
    StageItem,
    StageItemResult,
    decode_free_space,
    decode_stage_response,
    encode_release,
    encode_report_request,
    encode_stage_call,
)
from .errors import ReplicaUnavailableError
from .permits import Permit
from .replica_handle import ReplicaHandle

CONNECT_TIMEOUT_SECONDS = 0.4
RELEASE_TIMEOUT_SECONDS = 1.0
SPACE_TIMEOUT_SECONDS = 0.3
MAX_RESPONSE_BYTES = 1024 * 1024

T = TypeVar("T")


async def make_results(
    handle: ReplicaHandle,
    items: list[StageItem],
    timers: TimerService,
    timeout_s: float,
    home_zones: frozenset[str] | None = None,
) -> list[StageItemResult]:
    """Send one call to a replica and return the results in the order of its items.

    The replica must be in one of ``home_zones``, in any zone if it is None.

    Raises
    ------
    HttpError
        If the connection fails, or with code ``refused`` if the status is not 200.
    DecodeError
        If the answer is malformed, or a duplicate of an earlier one.
    ReplicaUnavailableError
        If the replica accepts no requests; nothing was sent.
    TimeoutError
        If there is no answer within ``timeout_s``.
    """
    replica = handle.replica
    data = encode_stage_call(replica.address, replica.identifier, items)

    def decode(body: bytes) -> list[StageItemResult]:
        results = decode_stage_response(body, len(items))
        if not handle.recent_results.add(_names(results)):
            raise DecodeError("stage reply names results of an earlier reply")
        return results

    def is_matched(results: list[StageItemResult]) -> bool:
        return bool(_names(results))

    permit = handle.take_permit()
    return await _exchange(
        handle, data, timers, timeout_s, decode, is_matched, permit, home_zones
    )


def _names(results: list[StageItemResult]) -> list[str]:
    return [result.handle for result in results if result.handle]


async def read_free_space(
    handle: ReplicaHandle, timers: TimerService
) -> tuple[int, int]:
    """Return the bounds of the free space for results that a replica reports.

    Raises
    ------
    HttpError, DecodeError, ReplicaUnavailableError, TimeoutError
        As for ``make_results``.
    """
    data = encode_report_request(handle.replica.address)
    return await _exchange(
        handle, data, timers, SPACE_TIMEOUT_SECONDS, decode_free_space
    )


async def release_results(
    handle: ReplicaHandle, results: list[str], timers: TimerService
) -> None:
    """Free results at the replica that made them.

    Raises
    ------
    HttpError, ReplicaUnavailableError, TimeoutError
        If the replica did not confirm the release; it drops unused results after
        their lifetime.
    """
    data = encode_release(handle.replica.address, results)
    await _exchange(handle, data, timers, RELEASE_TIMEOUT_SECONDS, bytes)


async def _exchange(
    handle: ReplicaHandle,
    data: bytes,
    timers: TimerService,
    timeout_s: float,
    decode: Callable[[bytes], T],
    is_matched: Callable[[T], bool] = lambda _: True,
    permit: Permit | None = None,
    home_zones: frozenset[str] | None = None,
) -> T:
    """Send a request and return the decoded body of the answer.

    Nothing is sent if the replica accepts no requests by the time a connection is free,
    or if it has a rate limit and there is no permit.
    The connection is kept only if the exchange ended unambiguously. It is closed if the
    answer can't be decoded, because it may belong to another call, and after a refusal
    or an answer that is not ``is_matched``. These name no call, so a late copy would be
    taken for the answer to the next call, and that answer for the one to the call after
    it.
    """
    if permit is None:
        permit = await handle.acquire_permit()
    try:
        with handle.interruptible_wait():
            conn = await handle.pool.acquire(CONNECT_TIMEOUT_SECONDS)
    except HttpError as exc:
        handle.on_connection_error(exc)
        raise
    handle.on_connection(conn)

    async def exchange() -> T:
        # Checked here because the task of the exchange starts later than this one.
        handle.ensure_available(permit, home_zones)
        sent_at = timers.now()
        head = await conn.request(data)
        handle.apply_notice(head)
        body = await conn.read_all(MAX_RESPONSE_BYTES)
        if head.status != 200:
            raise HttpError(
                f"stage replica answered with status {head.status}, expected 200",
                code="refused",
            )
        decoded = decode(body)
        # Only now it is known not to be a duplicate of an earlier answer.
        handle.apply_notice(head, sent_at=sent_at)
        if not is_matched(decoded):
            conn.abort()
        return decoded

    try:
        await handle.wait_until_confirmed()
        return await with_timeout(timers, exchange(), timeout_s)
    except ReplicaUnavailableError:
        # Nothing was sent.
        raise
    except HttpError as exc:
        conn.abort()
        if exc.code != "refused":
            handle.on_connection_error(exc)
        raise
    except BaseException:
        conn.abort()
        raise
    finally:
        handle.pool.release(conn)
