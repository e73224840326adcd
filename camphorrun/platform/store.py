"""Client of the platform's metadata store.

The store is a log with topics. Topics whose names begin with ``keyed.`` are compacted:
the store keeps the newest record of each key for ever.
"""

import base64
import struct
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from ..catalog import Record, RecordPage
from ..core import TimerService, with_timeout
from ..http1 import ClientConnection, ConnectionPool, HttpError
from .decoding import Integer, decode_json
from .eras import StoreEra
from .errors import DecodeError, StoreError
from .evacuations import evacuated_zone
from .ranks import record_rank

CONNECT_TIMEOUT_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 1.5
# Time-out of the head of a response to a read, besides the time that the store is asked
# to wait. A read that was sent into an outage is never answered, so this bounds how
# long the end of the outage goes unnoticed.
READ_TIMEOUT_SECONDS = 1.0
# Time-out of the body after the head: a large configuration over a slow link.
BODY_TIMEOUT_SECONDS = 3.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MAX_PAGES = 200
# Value of a listed record that can't be decoded; no decoder accepts it.
UNREADABLE_VALUE = b"\xff"
_RECORD_LENGTH = struct.Struct(">I")
_POSITION_HEADER = struct.Struct(">QQ")


class _ListedKey(msgspec.Struct, rename="pascal"):
    key: str


class _ListedRecord(msgspec.Struct, rename="pascal"):
    """Item of a listing, of which no field may be absent."""

    key: str
    value: str
    offset: Integer


class _ListedOffset(msgspec.Struct, rename="pascal"):
    offset: Integer


class _ListingPage(msgspec.Struct, rename="pascal"):
    # Decoded one by one, because an entry of another writer may be malformed.
    items: list[msgspec.Raw]
    end: Integer
    has_more: bool = False


class _DeletedRecords(msgspec.Struct, rename="pascal"):
    """Refusal of an offset; without ``First`` the topic must be listed."""

    first: int | None = None


class _JoinResponse(msgspec.Struct):
    """Answer to a join; ``parts`` may be absent if the member has no partition."""

    generation: int = msgspec.field(name="Generation")
    parts: list[list[object]] = []


@dataclass(frozen=True, slots=True)
class Membership:
    """Result of joining a consumer group.

    Attributes
    ----------
    generation : int
        Number that grows with each change of the group's membership.
    partitions : int
        Number of partitions of the topic that are assigned to the member. A member
        without a partition is not listed for other members.
    """

    generation: int
    partitions: int


class StoreClient:
    """Client of the metadata store; each call has a time-out and a size limit.

    Parameters
    ----------
    address : str
        Address of the store as ``ip:port``.
    timers : TimerService
        Clock and timers for the time-outs.

    Attributes
    ----------
    calls : int
        Number of calls made. It is counted because the store charges for each call.
    """

    def __init__(self, address: str, timers: TimerService):
        host, _, port = address.rpartition(":")
        self._address = address
        self._pool = ConnectionPool(host, int(port), timers)
        self._timers = timers
        self._era = StoreEra()
        # Connections with a call in progress, which a restore of the store aborts.
        self._busy_connections: set[ClientConnection] = set()
        self.calls = 0

    @property
    def era(self) -> int:
        """Highest era seen in the store's responses, 0 if they have none."""
        return self._era.number

    async def read_records(
        self, topic: str, era: int, offset: int, wait_s: float = 0.0
    ) -> RecordPage:
        """Return the records of a topic from an offset on; each has a key.

        At the end of the topic the store waits up to ``wait_s`` seconds for a record.

        Raises
        ------
        StoreError
            With code ``trimmed`` if the records were deleted, or ``new_era`` if the
            store was restored from a copy. The caller must then list the topic instead.
            With code ``old_era`` if the response is from before ``era``.
        """
        query = {"Topic": topic, "part": 0, "From": offset}
        if wait_s > 0:
            query["WaitMs"] = int(wait_s * 1000)
        status, body, response_era = await self._call(
            "GET", "/log-read", query, timeout_s=wait_s + READ_TIMEOUT_SECONDS
        )
        if response_era < era:
            raise StoreError(
                f"store: response of era {response_era}, expected {era} or later",
                code="old_era",
            )
        if response_era > era:
            raise StoreError(
                f"{topic}: offsets of era {era} are void in era {response_era}",
                code="new_era",
            )
        if status == 410:
            raise StoreError(
                f"{topic}: records at {offset} were deleted",
                code="trimmed",
                first_offset=_first_offset(body),
            )
        self._require_success(status, body)
        return _decode_records(topic, era, body, offset)

    async def list_records(self, topic: str) -> RecordPage:
        """Return the newest record of each key.

        The pages of a listing are not a consistent snapshot. The result therefore has
        the end offset of the first page, so that a reader that goes on from there reads
        again what changed during the listing.

        Raises
        ------
        StoreError
            With code ``new_era`` if the store was restored during the listing.
        """
        records: list[Record] = []
        end = era = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"Topic": topic, "part": 0}
            if after:
                query["After"] = after
            status, body, response_era = await self._call("GET", "/log-newest", query)
            self._require_success(status, body)
            if era not in (None, response_era):
                raise StoreError(
                    f"{topic}: listing has pages of eras {era} and {response_era}",
                    code="new_era",
                )
            page = _decode(body, _ListingPage)
            end, era = page.end if end is None else end, response_era
            listed = [
                _convert_listed_record(topic, era, item, end) for item in page.items
            ]
            records.extend(filter(None, listed))
            last = next((r.key for r in reversed(listed) if r is not None), "")
            if not page.has_more or not page.items:
                return RecordPage(tuple(records), end, is_listing=True, era=era)
            if not last:
                raise StoreError(f"{topic}: page of a listing without a valid key")
            after = last
        raise StoreError(f"{topic}: listing has more than {MAX_PAGES} pages")

    async def append_record(self, topic: str, key: str, value: bytes) -> None:
        """Append a record to a keyed topic; an empty value removes the key.

        Raises
        ------
        StoreError
            With code ``uncertain`` if the record may have been appended nevertheless.
        """
        name = key.encode()
        content = bytes([len(name)]) + name + value
        record = _RECORD_LENGTH.pack(len(content)) + content
        query = {"Topic": topic, "part": 0}
        status, body, _ = await self._call("POST", "/log-append", query, record)
        self._require_success(status, body)

    async def join(
        self, group: str, topic: str, member: str, generation: int, ttl_s: float
    ) -> Membership:
        """Join a group, or renew the membership for another ``ttl_s`` seconds."""
        body = {
            "group": group,
            "Member": member,
            "Topics": [topic],
            "TtlMs": int(ttl_s * 1000),
            "Generation": generation,
        }
        status, response_body, _ = await self._call("POST", "/log-join", {}, body)
        self._require_success(status, response_body)
        joined = _decode(response_body, _JoinResponse)
        return Membership(joined.generation, len(joined.parts))

    async def leave(self, group: str, member: str) -> None:
        """End the membership before its time to live is over."""
        body = {"group": group, "Member": member}
        status, response_body, _ = await self._call("POST", "/log-leave", {}, body)
        self._require_success(status, response_body)

    async def members(self, group: str) -> tuple[str, ...]:
        """Return the members that own a partition of the group's topics, sorted."""
        status, body, _ = await self._call("GET", "/log-owners", {"group": group})
        self._require_success(status, body)
        # The columns of a row are topic, partition, member and offset.
        rows = _owner_rows(_decode(body, object))
        names = {row[2] for row in rows if len(row) > 2 and isinstance(row[2], str)}
        return tuple(sorted(names - {""}))

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_SECONDS,
    ) -> tuple[int, bytes, int]:
        target = f"{path}?{urlencode(query)}" if query else path
        is_raw = isinstance(body, bytes)
        data = body if is_raw else b"" if body is None else msgspec.json.encode(body)
        head = f"{method} {target} HTTP/1.1\r\nHost: {self._address}\r\n"
        if body is not None:
            kind = "octet-stream" if is_raw else "json"
            head += f"Content-Type: application/{kind}\r\n"
            head += f"Content-Length: {len(data)}\r\n"
        self.calls += 1
        try:
            conn = await self._pool.acquire(CONNECT_TIMEOUT_SECONDS)
        except HttpError as exc:
            raise StoreError(f"store: {exc}") from exc
        era = self.era
        self._busy_connections.add(conn)
        try:
            # Any failure closes the connection, because a connection that lost one
            # response returns no further ones.
            return await self._exchange(conn, head.encode() + b"\r\n" + data, timeout_s)
        except (HttpError, TimeoutError) as exc:
            conn.abort()
            code = "new_era" if self.era > era > 0 else "uncertain"
            raise StoreError(f"store: {path}: {exc!r}", code=code) from exc
        except BaseException:
            conn.abort()
            raise
        finally:
            self._busy_connections.discard(conn)
            self._pool.release(conn)

    async def _exchange(
        self, conn: ClientConnection, data: bytes, timeout_s: float
    ) -> tuple[int, bytes, int]:
        """Send a request and return status, body and era of the response.

        ``timeout_s`` is the time-out of the head. A response that shows a new era also
        ends all other calls in progress.
        """
        head = await with_timeout(self._timers, conn.request(data), timeout_s)
        previous_era = self.era
        era = self._era.observe(head)
        if era > previous_era > 0:
            self._abort_other_calls(conn)
        body = await with_timeout(
            self._timers, conn.read_all(MAX_RESPONSE_BYTES), BODY_TIMEOUT_SECONDS
        )
        return head.status, body, era

    def _abort_other_calls(self, conn: ClientConnection) -> None:
        """Abort the other calls, which were sent before the store was restored."""
        for other in self._busy_connections - {conn}:
            other.abort()

    @staticmethod
    def _require_success(status: int, body: bytes) -> None:
        if status != 200:
            raise StoreError(f"store: expected status 200, got {status}: {body[:80]!r}")


def _decode(body: bytes, kind: type):
    try:
        return decode_json(body, kind, "response")
    except DecodeError as exc:
        raise StoreError(
            f"store: response can't be decoded: {exc}", code="uncertain"
        ) from exc


def _first_offset(body: bytes) -> int | None:
    """Return the first offset that is left, None if the response does not tell it."""
    try:
        return decode_json(body, _DeletedRecords, "response").first
    except DecodeError:
        return None


def _owner_rows(response: object) -> list[list]:
    """Return the rows of a group listing.

    The rows are the response itself, or the first list in it if it is an object. Items
    that are not rows are ignored.
    """
    if isinstance(response, dict):
        lists = [value for value in response.values() if isinstance(value, list)]
        response = lists[0] if lists else []
    if not isinstance(response, list):
        return []
    return [row for row in response if isinstance(row, list)]


def _convert_listed_record(
    topic: str, era: int, data: bytes, end: int
) -> Record | None:
    """Return the record of an item of a listing, None if it has no key.

    An evacuation is in force whatever its value is. If its value can't be read, the
    bytes of the item stand for it. If its offset can't be read, that of the last record
    before the ``end`` of the listing stands for it: a removal that was known before the
    listing is older. Any other item that is malformed has the value
    ``UNREADABLE_VALUE`` and an offset before all others: its key is not removed, but
    nothing else is known of it.
    """
    try:
        item = decode_json(data, _ListedRecord, "listed record")
        value = base64.b64decode(item.value)
    except (DecodeError, ValueError):
        return _convert_unreadable_record(era, data, end)
    if item.value and not value and evacuated_zone(item.key) is not None:
        # An empty value would be a removal.
        return _convert_unreadable_record(era, data, end)
    rank = record_rank(topic, item.key, value)
    return Record(item.key, item.offset, value, era, rank)


def _convert_unreadable_record(era: int, data: bytes, end: int) -> Record | None:
    try:
        item = decode_json(data, _ListedKey, "listed record")
    except DecodeError:
        return None
    if evacuated_zone(item.key) is None:
        return Record(item.key, -1, UNREADABLE_VALUE, era)
    try:
        offset = decode_json(data, _ListedOffset, "listed record").offset
    except DecodeError:
        offset = end - 1
    return Record(item.key, offset, bytes(data), era)


def _decode_records(topic: str, era: int, body: bytes, offset: int) -> RecordPage:
    """Return the records in the body of a read response.

    The body starts with a header of two offsets, of which the first is the end of the
    topic. For each record follow its length, and the record itself.
    """
    if len(body) < _POSITION_HEADER.size:
        raise StoreError(
            f"store: expected {_POSITION_HEADER.size} header bytes, got {len(body)}",
            code="uncertain",
        )
    end, _ = _POSITION_HEADER.unpack_from(body)
    position = _POSITION_HEADER.size
    records = []
    while position + _RECORD_LENGTH.size <= len(body):
        (size,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        content = body[position : position + size]
        if len(content) < size:
            raise StoreError(
                f"store: expected a record of {size} bytes, got {len(content)}",
                code="uncertain",
            )
        position += size
        record = _decode_record(topic, era, content, offset)
        if record is not None:
            records.append(record)
        offset += 1
    return RecordPage(tuple(records), offset, offset >= end, era=era)


def _decode_record(topic: str, era: int, content: bytes, offset: int) -> Record | None:
    """Return a record from its bytes, None if they hold no valid key.

    The bytes are the length of the key in one byte, the key in UTF-8, and the value.
    """
    if not content or len(content) < 1 + content[0]:
        return None
    try:
        key = content[1 : 1 + content[0]].decode()
    except UnicodeDecodeError:
        return None
    value = content[1 + content[0] :]
    return Record(key, offset, value, era, record_rank(topic, key, value))
