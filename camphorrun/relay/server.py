"""Relay server of a daemon: serves snapshots and records of its followers."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import singledispatchmethod
from http import HTTPStatus

from aiohttp import web
from aiohttp.http import HttpProcessingError

from ..configuration import StreamFollower
from ..core import TimerService, new_identifier, with_timeout
from ..messages import KeyRing
from ..metrics import Metrics
from .frames import (
    MAX_REQUEST_BYTES,
    PAGE_BYTES,
    open_request,
    read_frame,
    seal_reply,
)
from .messages import (
    RELAY_PATH,
    Announce,
    Announced,
    FetchRecords,
    FetchSnapshot,
    Records,
    Refused,
    RelayError,
    RelayReply,
    SnapshotPage,
    decode_relay,
    encode_relay,
)

# Bound of the wait for the body of a request.
READ_TIMEOUT_SECONDS = 2.0
# Peers that start together share one export; it is released soon after, because it
# is as large as all documents of its stream.
EXPORT_KEEP_SECONDS = 10.0

_STATUSES = {
    "oversized": HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    "relay_timeout": HTTPStatus.REQUEST_TIMEOUT,
}

AnnounceHandler = Callable[[Announce], None]


@dataclass(frozen=True, slots=True)
class _Export:
    snapshot_id: str
    position: int
    data: bytes

    @property
    def pages(self) -> int:
        return -(-len(self.data) // PAGE_BYTES)


class RelayServer:
    """Answers the requests of peers.

    Parameters
    ----------
    keys : KeyRing
        Shared keys.
    followers : mapping of str to StreamFollower
        Followers by stream.
    timers : TimerService
        Releases exports.
    on_announce : callable, optional
        Called with each ``Announce``.
    metrics : Metrics, optional
        Counts refused frames as drops.

    Attributes
    ----------
    refused : collections.Counter
        Refused frames by code.
    """

    def __init__(
        self,
        keys: KeyRing,
        followers: Mapping[str, StreamFollower],
        timers: TimerService,
        *,
        on_announce: AnnounceHandler | None = None,
        metrics: Metrics | None = None,
    ):
        self._keys = keys
        self._followers = followers
        self._timers = timers
        self._on_announce = on_announce
        self._metrics = metrics
        self._exports: dict[str, _Export] = {}
        self.refused: Counter[str] = Counter()

    def register_routes(self, app: web.Application) -> None:
        """Register the handler of relay requests."""
        app.router.add_post(RELAY_PATH, self.handle)

    async def handle(self, request: web.Request) -> web.Response:
        """Answer one request frame; a refused one gets a status without a body."""
        try:
            frame = await self._read(request)
            reply = self.answer(frame)
        except RelayError as exc:
            self._refuse(exc.code)
            status = _STATUSES.get(exc.code, HTTPStatus.FORBIDDEN)
            return web.Response(status=status)
        return web.Response(body=reply, content_type="application/octet-stream")

    def answer(self, frame: bytes) -> bytes:
        """Return the reply frame.

        Raises
        ------
        RelayError
            If the frame is refused.
        """
        key, nonce, payload = open_request(self._keys, frame)
        reply = self._handle(decode_relay(payload))
        return seal_reply(key, nonce, encode_relay(reply))

    async def _read(self, request: web.Request) -> bytes:
        body = read_frame(request.content, MAX_REQUEST_BYTES)
        try:
            return await with_timeout(self._timers, body, READ_TIMEOUT_SECONDS)
        except TimeoutError as exc:
            raise RelayError("body not received", code="relay_timeout") from exc
        except (web.RequestPayloadError, HttpProcessingError, OSError) as exc:
            raise RelayError(f"body not received: {exc!r}", code="truncated") from exc

    @singledispatchmethod
    def _handle(self, request: object) -> RelayReply:
        raise RelayError(f"not a request: {type(request).__name__}", code="bad_message")

    @_handle.register
    def _handle_announce(self, request: Announce) -> RelayReply:
        if self._on_announce is not None:
            self._on_announce(request)
        return Announced()

    @_handle.register
    def _handle_records(self, request: FetchRecords) -> RelayReply:
        follower = self._followers.get(request.stream)
        if follower is None:
            return Refused("unknown_stream")
        return Records(request.stream, follower.recent.since(request.offset))

    @_handle.register
    def _handle_snapshot(self, request: FetchSnapshot) -> RelayReply:
        follower = self._followers.get(request.stream)
        if follower is None:
            return Refused("unknown_stream")
        if not request.snapshot_id and follower.position <= request.position:
            return SnapshotPage(request.stream, follower.position, "", 0, 0)
        export = self._export(follower, request)
        if export is None or not 0 <= request.page < export.pages:
            return Refused("snapshot_gone")
        start = request.page * PAGE_BYTES
        return SnapshotPage(
            request.stream,
            export.position,
            export.snapshot_id,
            request.page,
            export.pages,
            export.data[start : start + PAGE_BYTES],
        )

    def _export(
        self, follower: StreamFollower, request: FetchSnapshot
    ) -> _Export | None:
        """Return the export asked for; a new one if none is kept or it is too old."""
        kept = self._exports.get(request.stream)
        if request.snapshot_id:
            is_same = kept is not None and kept.snapshot_id == request.snapshot_id
            return kept if is_same else None
        if kept is not None and kept.position > request.position:
            return kept
        export = _Export(
            new_identifier("snap"), follower.position, follower.view.export()
        )
        self._exports[request.stream] = export
        self._timers.call_after(
            EXPORT_KEEP_SECONDS, lambda: self._release(request.stream, export)
        )
        return export

    def _release(self, stream: str, export: _Export) -> None:
        if self._exports.get(stream) is export:
            del self._exports[stream]

    def _refuse(self, code: str) -> None:
        self.refused[code] += 1
        if self._metrics is not None:
            self._metrics.drops.labels(f"relay_{code}").inc()
