"""Records which software version began a stream, in the store.

A stream may go on only at the version that began it, at any gateway and also after all
gateways were killed. The store has the versions of each service; while there are
several, it also has the version of each stream.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import xxhash

from ..catalog import Replica, RouteKind
from ..core import EventLog, TimerService, with_timeout
from ..metrics import Metrics
from ..platform import (
    REPLICA_TOPIC,
    STREAM_TOPIC,
    VERSION_TOPIC,
    StoreClient,
    StoreError,
)
from ..routing import StreamRecord, StreamStart, StreamVersions
from .context import RequestContext
from .messages import StreamBatch
from .shared_read import SharedRead
from .state import REREGISTRATION_SECONDS, GatewayState

VERSION_INTERVAL_SECONDS = 1.0
# A version that has not been registered for this long is removed from the store, and
# gateways read the versions again after the same time.
VERSION_REMOVAL_SECONDS = 300.0
RETRY_SECONDS = 0.25
# Interval between two writes of a gateway, and its growth with the number of gateways,
# which bounds the writes of all of them.
WRITE_INTERVAL_SECONDS = 0.02
WRITE_SECONDS_PER_MEMBER = 0.005
# Time that an attempt waits for its record if an earlier one had another version.
MAX_RECORD_WAIT_SECONDS = 0.25
RECORD_POLL_SECONDS = 0.01
READ_TIMEOUT_SECONDS = 0.6
# A replica may have started again this long before its registration tells.
RESTART_NOTICE_SECONDS = 3.0
# The same, from the last confirmation of the registrations to the restart.
REGISTRATION_DELAY_SECONDS = 1.0


class StreamRecords:
    """Keeps the versions of services and streams, here and in the store.

    Parameters
    ----------
    read_replicas : callable
        Coroutine function that reads the registrations up to now, and raises
        ``StoreError`` if the store can't be read.
    """

    def __init__(
        self,
        store: StoreClient,
        state: GatewayState,
        read_replicas: Callable[[], Awaitable[None]],
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._store = store
        self._state = state
        self._read_replicas = read_replicas
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._versions = StreamVersions()
        self._registered: dict[str, Replica] = {}
        self._listed_at = float("-inf")
        self._era = 0
        # When the store was last seen to have been restored from a copy.
        self._restored_at = float("-inf")
        self._log_end = 0
        self._log_read = SharedRead(self._read_log_pages)
        self._version_read = SharedRead(self._read_versions)
        # Streams whose record is being written.
        self._written_now: frozenset[str] = frozenset()
        # Whether the last write of records has failed.
        self._is_failing = False
        self._has_news = asyncio.Event()
        self._versions_changed = asyncio.Event()
        state.subscribe(
            replicas=self._update_versions, deployment=self._update_versions
        )

    # Streams that begin

    async def record_attempt(
        self,
        ctx: RequestContext,
        replica: Replica,
        version: str | None,
        is_proven: bool,
    ) -> bool:
        """Record the version of a replica before a stream is sent to it.

        ``version`` is None if it isn't known, ``is_proven`` tells whether the process
        that will run the stream is known to have it. If an earlier attempt had another
        version, waits until its record is replaced in the store: the earlier one must
        not be found by a take-up. Returns whether the stream may be sent.
        """
        if ctx.last_event_id or not _can_be_taken_up(ctx):
            return True
        key = stream_key(ctx.request_id)
        start = self._versions.begin(
            key,
            StreamStart(
                ctx.service,
                version,
                replica.identifier,
                self._timers.now(),
                is_proven,
            ),
        )
        if self._versions.has_unsaved:
            self._has_news.set()
        return not start.has_moved or await self._wait_until_saved(key)

    def version_to_keep(self, ctx: RequestContext) -> str | None:
        """Return the version of the last attempt if no record can be replaced now."""
        start = self._versions.begun(stream_key(ctx.request_id))
        return start.version if start is not None and self._is_failing else None

    async def _wait_until_saved(self, key: str) -> bool:
        end_at = self._timers.now() + MAX_RECORD_WAIT_SECONDS
        while self._versions.is_unsaved(key) or key in self._written_now:
            if self._timers.now() >= end_at:
                return False
            await self._timers.sleep(RECORD_POLL_SECONDS)
        return True

    def needs_proof(self, ctx: RequestContext) -> bool:
        """Return whether the version of the replica must be certain for a request.

        Also while one version is known: a replica that has started again with another
        one serves before its registration tells.
        """
        return ctx.required_version is not None or _can_be_taken_up(ctx)

    def _registration_age_s(self) -> float:
        """Return the time since the store last confirmed the registrations."""
        ages_s = self._state.ages_s(self._timers.now())
        return ages_s.get(REPLICA_TOPIC, float("inf"))

    # Streams that are taken up

    def begun(self, key: str) -> StreamStart | None:
        """Return the start of a stream that this gateway has sent, None otherwise."""
        return self._versions.begun(key)

    async def read(self, service: str) -> None:
        """Read the versions of services, and the records if there are several.

        Raises
        ------
        StoreError
            If the store can't be read; what is known may have been replaced.
        TimeoutError
            If it does not answer in time.
        """
        await with_timeout(
            self._timers, self._read_service(service), READ_TIMEOUT_SECONDS
        )

    async def _read_service(self, service: str) -> None:
        if not self._versions.has_several(service, self._timers.now()):
            await self._version_read.run()
        if self._versions.has_several(service, self._timers.now()):
            await self._read_log()

    async def _read_versions(self) -> None:
        """Read the versions of services that are stored, and those registered now.

        A gateway may have sent a stream to a replica of a version that it has not
        stored yet, but not before the replica was registered.
        """
        await asyncio.gather(self._list_versions(), self._read_replicas())

    def recorded_version(self, service: str, key: str) -> str | None:
        """Return the version that began a stream, as of the last read of the store.

        None if the store does not tell it.
        """
        record = self._versions.learned(key)
        if record is not None:
            return record[1]
        now = self._timers.now()
        several = self._versions.of_service(service, now)
        # Replicas register again after a restore, with the versions that it has lost.
        is_complete = now - self._restored_at >= REREGISTRATION_SECONDS
        return next(iter(several)) if len(several) == 1 and is_complete else None

    async def _read_log(self) -> None:
        """Read the records up to now."""
        await self._log_read.run()

    async def _read_log_pages(self) -> None:
        is_complete = False
        while not is_complete:
            is_complete = await self._read_log_page()

    async def _read_log_page(self) -> bool:
        try:
            page = await self._store.read_records(
                STREAM_TOPIC, self._era, self._log_end
            )
        except StoreError as exc:
            if exc.code == "new_era":
                self._begin_era()
            elif exc.code == "trimmed" and exc.first_offset is not None:
                self._log_end = exc.first_offset
            else:
                raise
            return False
        for record in page.records:
            self._versions.learn(self._decode_streams(record.value))
        self._log_end = page.end
        return page.complete

    def _decode_streams(self, value: bytes) -> list[StreamRecord]:
        try:
            batch = msgspec.msgpack.decode(value, type=StreamBatch)
        except (msgspec.DecodeError, RecursionError):
            self._metrics.drops.labels("stream_record").inc()
            return []
        # Those who live write their records again in each era.
        return batch.streams if batch.era == self._era else []

    # Records in the store

    async def keep_versions(self) -> None:
        """Keep the versions of services in the store until cancelled."""
        while True:
            try:
                await self._sync_versions()
            except StoreError as exc:
                self._metrics.retries.labels("store").inc()
                self._events.log_state_change("versions_unsaved", error=str(exc))
            try:
                await with_timeout(
                    self._timers,
                    self._versions_changed.wait(),
                    VERSION_INTERVAL_SECONDS,
                )
            except TimeoutError:
                self._update_versions()
            self._versions_changed.clear()

    async def _sync_versions(self) -> None:
        if self._store.era > self._era > 0:
            self._begin_era()
        now = self._timers.now()
        if now - self._listed_at >= VERSION_REMOVAL_SECONDS:
            await self._list_versions()
        for service, version in sorted(self._versions.unstored(now)):
            key = _version_key(service, version)
            value = msgspec.msgpack.encode((service, version))
            await self._store.append_record(VERSION_TOPIC, key, value)
            self._versions.add_stored({(service, version)}, now)
        for service, version in self._versions.outdated(now, VERSION_REMOVAL_SECONDS):
            key = _version_key(service, version)
            await self._store.append_record(VERSION_TOPIC, key, b"")
            self._versions.stored.discard((service, version))

    async def _list_versions(self) -> None:
        page = await self._store.list_records(VERSION_TOPIC)
        if page.era > self._era > 0:
            self._begin_era()
        now = self._timers.now()
        stored = (self._decode_version(r.value) for r in page.records if r.value)
        self._versions.add_stored(set(filter(None, stored)), now)
        self._listed_at = now
        self._era = max(self._era, page.era)
        if self._versions.has_unsaved:
            self._has_news.set()

    def _decode_version(self, value: bytes) -> tuple[str, str] | None:
        try:
            return msgspec.msgpack.decode(value, type=tuple[str, str])
        except (msgspec.DecodeError, RecursionError):
            self._metrics.drops.labels("version_record").inc()
            return None

    def _begin_era(self) -> None:
        """Write everything again: the restored store may lack it."""
        if self._era:
            self._restored_at = self._timers.now()
        self._era = self._store.era
        self._log_end = 0
        self._versions.save_again(self._timers.now())
        self._versions_changed.set()
        self._has_news.set()

    async def keep_records(self) -> None:
        """Write the records of streams to the store until cancelled."""
        while True:
            await self._has_news.wait()
            self._has_news.clear()
            records = self._versions.take_unsaved()
            if not records:
                continue
            self._written_now = frozenset(key for key, _, _ in records)
            batch = StreamBatch(self._store.era, records)
            try:
                await self._store.append_record(
                    STREAM_TOPIC, "", msgspec.msgpack.encode(batch)
                )
                self._is_failing = False
            except StoreError as exc:
                self._is_failing = True
                self._metrics.retries.labels("store").inc()
                self._events.log_state_change("streams_unsaved", error=str(exc))
                self._versions.put_back(records)
                self._has_news.set()
                await self._timers.sleep(RETRY_SECONDS)
            finally:
                self._written_now = frozenset()
            await self._timers.sleep(
                WRITE_INTERVAL_SECONDS
                + WRITE_SECONDS_PER_MEMBER * len(self._state.members)
            )

    def _update_versions(self) -> None:
        """Apply the registered versions of the services that have streams."""
        deployment = self._state.deployment
        if deployment is None:
            return
        services = {
            service
            for route in deployment.routes
            if route.kind is RouteKind.STREAM
            for service, _ in route.services
        }
        now = self._timers.now()
        replicas = dict(self._state.replicas)
        unnoticed_s = max(
            RESTART_NOTICE_SECONDS,
            self._registration_age_s() + REGISTRATION_DELAY_SECONDS,
        )
        for identifier, replica in replicas.items():
            previous = self._registered.get(identifier)
            if previous is not None and previous.version != replica.version:
                self._versions.forget_replica(identifier, now - unnoticed_s)
        self._registered = replicas
        self._versions.observe(
            {
                (r.service, r.version)
                for r in replicas.values()
                if r.service in services
            },
            now,
        )
        if self._versions.unstored(now):
            self._versions_changed.set()
        if self._versions.has_unsaved:
            self._has_news.set()


def _version_key(service: str, version: str) -> str:
    """Return a short key of a version; its value has the full texts."""
    return xxhash.xxh3_64_hexdigest(f"{service}\0{version}")


def stream_key(attempt: str) -> str:
    """Return a short key of the attempt that begins a stream."""
    return xxhash.xxh3_64_hexdigest(attempt)


def _can_be_taken_up(ctx: RequestContext) -> bool:
    return ctx.route.kind is RouteKind.STREAM and ctx.route.resumable
