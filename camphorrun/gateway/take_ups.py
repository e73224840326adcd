"""Finds the software version that began a stream which a caller takes up again.

Only knowledge that can't have been replaced decides: that of the gateway which sent the
stream, or a read of the store that began after the take-up arrived.
"""

import asyncio

import msgspec

from ..catalog import RouteKind
from ..core import EventLog, TimerService
from ..metrics import Metrics
from ..platform import StoreError
from ..routing import rendezvous_order
from .context import RequestContext
from .errors import PeerError, RefusedError
from .messages import StreamQuery, StreamReply
from .peers import Peers
from .replica_selection import VERSION_RETRY_AFTER_SECONDS
from .stream_records import READ_TIMEOUT_SECONDS, StreamRecords, stream_key

VERSION_UNKNOWN = "version_unknown"
SENDER_TIMEOUT_SECONDS = 0.3
# Bounds the queries of one take-up in a large group.
MAX_QUERIED_PEERS = 64
# Gateways that are asked to read the store for this one, which can't.
READERS = 2
READER_TIMEOUT_SECONDS = READ_TIMEOUT_SECONDS + 0.1


class TakeUps:
    """Sets the version that a take-up needs, and answers the queries of others."""

    def __init__(
        self,
        records: StreamRecords,
        peers: Peers,
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._records = records
        self._peers = peers
        self._timers = timers
        self._metrics = metrics
        self._events = events

    async def resolve(self, ctx: RequestContext) -> None:
        """Set the version that a stream needs which the caller takes up.

        Raises
        ------
        RefusedError
            If the version that began the stream is not known for certain.
        """
        if ctx.route.kind is not RouteKind.STREAM or not ctx.caller.resume_after:
            return
        version, source = await self._find(ctx.service, ctx.caller.resumes)
        self._events.log_decision(
            "take_up",
            ctx.request_id,
            resumes=ctx.caller.resumes,
            last_event=ctx.caller.resume_after,
            version=version,
            source=source,
        )
        if version is None:
            raise RefusedError(
                "the software version that began the stream is not known",
                code=VERSION_UNKNOWN,
                status=503,
                retry_after_s=VERSION_RETRY_AFTER_SECONDS,
            )
        ctx.required_version = version

    async def _find(self, service: str, attempt: str) -> tuple[str | None, str]:
        """Return the version that began a stream or None, and how it is known."""
        key = stream_key(attempt)
        start = self._records.begun(key)
        if start is not None:
            return start.version, "own"
        is_read = await self._read(service)
        version = self._records.recorded_version(service, key) if is_read else None
        if version is not None:
            return version, "store"
        version = await self._ask_sender(key) if attempt else None
        if version is not None:
            return version, "sender"
        if not is_read:
            version = await self._ask_readers(service, key)
        return version, "unknown" if version is None else "reader"

    async def _read(self, service: str) -> bool:
        """Read the store; return whether it has answered."""
        try:
            await self._records.read(service)
        except (StoreError, TimeoutError) as exc:
            self._metrics.retries.labels("store").inc()
            self._events.log_state_change("streams_unread", error=str(exc))
            return False
        return True

    # Other gateways

    async def _ask_sender(self, key: str) -> str | None:
        """Return the version of a stream from the gateway that has sent it.

        It may not have written the record yet.
        """
        addresses = self._peers.addresses()[:MAX_QUERIED_PEERS]
        query = StreamQuery(key)
        return await self._ask_all(addresses, query, SENDER_TIMEOUT_SECONDS)

    async def _ask_readers(self, service: str, key: str) -> str | None:
        """Return the version of a stream from gateways that can read the store."""
        addresses = rendezvous_order(key, set(self._peers.addresses()))[:READERS]
        query = StreamQuery(key, service)
        return await self._ask_all(addresses, query, READER_TIMEOUT_SECONDS)

    async def _ask_all(
        self, addresses: list[str], query: StreamQuery, timeout_s: float
    ) -> str | None:
        """Return the first certain answer of some gateways, None if there is none."""
        tasks = [
            asyncio.ensure_future(self._ask(address, query, timeout_s))
            for address in addresses
        ]
        try:
            for next_reply in asyncio.as_completed(tasks):
                reply = await next_reply
                if reply is not None and reply.is_certain:
                    return reply.software
            return None
        finally:
            for task in tasks:
                task.cancel()

    async def _ask(
        self, address: str, query: StreamQuery, timeout_s: float
    ) -> StreamReply | None:
        try:
            link = self._peers.link(address)
            data = await link.call("/streams", query, timeout_s)
            return msgspec.msgpack.decode(data, type=StreamReply)
        except (PeerError, msgspec.DecodeError):
            self._metrics.drops.labels("stream_query").inc()
            return None

    async def answer(self, query: StreamQuery) -> StreamReply:
        """Answer the query of another gateway."""
        start = self._records.begun(query.stream)
        version = start.version if start is not None else None
        if start is None and query.service and await self._read(query.service):
            version = self._records.recorded_version(query.service, query.stream)
        return StreamReply(version or "", version is not None)
