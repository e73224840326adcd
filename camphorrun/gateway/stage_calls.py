"""Calls of one stage replica."""

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
    encode_free_space_request,
    encode_release,
    encode_stage_call,
)
from .errors import ReplicaUnavailableError
from .replicas import ReplicaHandle

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
) -> list[StageItemResult]:
    """Return the results of one call in the order of its items.

    Raises
    ------
    HttpError
        With code ``refused`` if the replica did not take the call.
    DecodeError
        If the answer can't be read, or is a second copy of an earlier one.
    ReplicaBarredError
        If the replica takes no work; nothing was sent.
    TimeoutError
        If there is no answer in time.
    """
    replica = handle.replica
    data = encode_stage_call(replica.address, replica.identifier, items)

    def decode(body: bytes) -> list[StageItemResult]:
        results = decode_stage_response(body, len(items))
        made = [result.handle for result in results if result.handle]
        if not handle.recent_results.add(made):
            raise DecodeError("stage reply: repeats an earlier one")
        return results

    return await _exchange(handle, data, timers, timeout_s, decode)


async def read_free_space(handle: ReplicaHandle, timers: TimerService) -> int:
    """Return the most bytes that can be free for results.

    Raises
    ------
    HttpError, DecodeError, ReplicaBarredError, TimeoutError
        As for ``make_results``.
    """
    data = encode_free_space_request(handle.replica.address)
    return await _exchange(
        handle, data, timers, SPACE_TIMEOUT_SECONDS, decode_free_space
    )


async def release_results(
    handle: ReplicaHandle, results: list[str], timers: TimerService
) -> None:
    """Free results at their maker.

    Raises
    ------
    HttpError, ReplicaBarredError, TimeoutError
        If the replica did not confirm it; it drops unused results after a while.
    """
    data = encode_release(handle.replica.address, results)
    await _exchange(handle, data, timers, RELEASE_TIMEOUT_SECONDS, bytes)


async def _exchange(
    handle: ReplicaHandle,
    data: bytes,
    timers: TimerService,
    timeout_s: float,
    decode: Callable[[bytes], T],
) -> T:
    """Return the decoded body of a successful answer.

    Nothing is sent to a replica that takes no work by the time a connection is free. A
    connection whose answer can't be read is closed: the answer may be that of another
    call.
    """
    conn = await handle.pool.acquire(CONNECT_TIMEOUT_SECONDS)

    async def exchange() -> T:
        head = await conn.request(data)
        handle.apply_notice(head)
        body = await conn.read_all(MAX_RESPONSE_BYTES)
        if head.status != 200:
            raise HttpError(f"stage replica: status {head.status}", code="refused")
        return decode(body)

    try:
        handle.ensure_available()
        return await with_timeout(timers, exchange(), timeout_s)
    except ReplicaUnavailableError:
        raise
    except HttpError as exc:
        if exc.code != "refused":
            conn.abort()
        raise
    except BaseException:
        conn.abort()
        raise
    finally:
        handle.pool.release(conn)
