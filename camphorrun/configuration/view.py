"""View of one configuration stream.

A view depends only on the records up to its position, so all readers at a position
agree. Old records of the stream expire. A reader that starts late, or falls behind, may
therefore miss the records of a key. Such a key is uncertain, and changes to it are
tentative, until a carry record states its version.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import msgspec

from ..core import CamphorrunError, LogPage, LogRecord
from .documents import KINDS, Document, DocumentError, decode_document
from .records import (
    SCHEMA_VERSION,
    CarryRecord,
    ConfigurationChange,
    RecordError,
    decode_record,
)

DEFAULT_RETENTION_SECONDS = 7 * 86400.0
# Age, as a fraction of the retention time, at which a key is carried forward.
# HORIZON_FRACTION adds a margin for delays of the carriers. Twice the horizon is less
# than the retention time, so every key that existed at the time of the oldest retained
# record has been carried since then.
CARRY_FRACTION = 0.4
HORIZON_FRACTION = 0.45
CACHE_DOCUMENTS = 256
MAX_TENTATIVE = 10_000
MAX_DECISIONS = 4096
_SNAPSHOT_SCHEMA = 1

Key = tuple[str, str]


class SnapshotError(CamphorrunError):
    """Data that is not a valid snapshot of the stream."""

    default_code = "bad_snapshot"


class ApplyResult(Enum):
    """Effect of one record on a view.

    - ``WON``: the change took effect.
    - ``LOST``: the key did not have the expected version.
    - ``DUPLICATE``: an earlier copy of the record took effect.
    - ``CARRIED``: a carry record set the key.
    - ``TENTATIVE``: the change can't be decided until the key is carried.
    - ``UNREADABLE``: the record can't be decoded, or its kind is unknown.
    - ``NEWER_SCHEMA``: the record took effect, but its body can't be decoded here.
    - ``STALE``: the record is older than the state of the view, or it is a tentative
      change that can't be decided any more.
    """

    WON = "won"
    LOST = "lost"
    DUPLICATE = "duplicate"
    CARRIED = "carried"
    TENTATIVE = "tentative"
    UNREADABLE = "unreadable"
    NEWER_SCHEMA = "newer_schema"
    STALE = "stale"


@dataclass(frozen=True, slots=True)
class Decision:
    """Result of a change and the version of its key right after it."""

    result: ApplyResult
    version: int


@dataclass(slots=True)
class Entry:
    """State of one key.

    ``anchor_ms`` is the log time of the oldest record that a reader needs for this
    state: the last carry record, or the record that created the key. ``current`` is
    False if the body of ``version`` can't be decoded here; ``body`` is then the last
    body that can be.
    """

    version: int
    anchor_ms: int
    change_id: str
    body: bytes
    deleted: bool = False
    current: bool = True


@dataclass(frozen=True, slots=True)
class _TentativeChange:
    offset: int
    time_ms: int
    change: ConfigurationChange


@dataclass(slots=True)
class _Snapshot:
    schema: int
    stream: str
    position: int
    floor: int
    floor_ms: int
    time_ms: int
    settled: bool
    entries: dict[str, dict[str, Entry]]
    uncertain: list[Key]
    tentative: list[_TentativeChange]


_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(_Snapshot)


class ConfigurationView:
    """State of all keys of one stream at ``position``.

    Parameters
    ----------
    stream : str
        Name of the stream.
    retention_s : float
        Retention time of the log service in seconds.

    Attributes
    ----------
    position : int
        Offset of the last record applied, 0 if none was.
    counts : dict
        Number of records by ``ApplyResult``.
    """

    def __init__(self, stream: str, *, retention_s: float = DEFAULT_RETENTION_SECONDS):
        self.stream = stream
        self.retention_s = retention_s
        self.position = 0
        self.counts = dict.fromkeys(ApplyResult, 0)
        self._horizon_ms = int(retention_s * HORIZON_FRACTION * 1000)
        # All records from offset _floor on have been read, and _floor_ms is the log
        # time at that offset. _floor is 1 for a reader that has read the whole stream.
        self._floor = 1
        self._floor_ms = 0
        self._time_ms = 0
        self._entries: dict[str, dict[str, Entry]] = {kind: {} for kind in KINDS}
        # Keys that may have been changed by a record below the floor.
        self._uncertain_keys: set[Key] = set()
        self._tentative_changes: dict[Key, list[_TentativeChange]] = {}
        self._tentative_count = 0
        self._changed_keys: set[Key] = set()
        self._decisions: OrderedDict[str, Decision] = OrderedDict()
        self._document_cache: OrderedDict[Key, tuple[bytes, Document]] = OrderedDict()

    @property
    def log_time_ms(self) -> int:
        """Latest time of the log service that was read, in milliseconds."""
        return self._time_ms

    @property
    def settled(self) -> bool:
        """Whether the state of every key of the stream is certain."""
        return self._is_absence_certain(self._time_ms) and not (
            self._uncertain_keys or self._tentative_changes
        )

    def get(self, kind: str, name: str) -> Document | None:
        """Return the document in effect for a key, None if there is none."""
        entry = self.entry(kind, name)
        if entry is None or entry.deleted or not entry.body:
            return None
        key = (kind, name)
        cached = self._document_cache.get(key)
        if cached is not None and cached[0] is entry.body:
            self._document_cache.move_to_end(key)
            return cached[1]
        document = decode_document(kind, entry.body)
        self._document_cache[key] = (entry.body, document)
        self._document_cache.move_to_end(key)
        if len(self._document_cache) > CACHE_DOCUMENTS:
            self._document_cache.popitem(last=False)
        return document

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind that have a document in effect, sorted."""
        entries_by_name = self._entries.get(kind, {})
        return sorted(
            name for name, entry in entries_by_name.items() if _is_live(entry)
        )

    def version(self, kind: str, name: str) -> int:
        """Return the version of a key, even if it is deleted; 0 if it is unknown."""
        entry = self.entry(kind, name)
        return 0 if entry is None else entry.version

    def entry(self, kind: str, name: str) -> Entry | None:
        """Return the state of a key, None if it is unknown."""
        return self._entries.get(kind, {}).get(name)

    def entries(self) -> Iterator[tuple[str, str, Entry]]:
        """Iterate over kind, name and state of all keys, including deleted ones."""
        for kind, entries_by_name in self._entries.items():
            for name, entry in entries_by_name.items():
                yield kind, name, entry

    def is_certain(self, kind: str, name: str) -> bool:
        """Return whether no unread record can have changed a key."""
        key = (kind, name)
        return key not in self._uncertain_keys and key not in self._tentative_changes

    def not_current(self) -> list[Key]:
        """Return the keys whose latest body can't be decoded here."""
        return [(k, n) for k, n, entry in self.entries() if not entry.current]

    def decision(self, change_id: str) -> Decision | None:
        """Return the decision on a recent change, None if the change was not read."""
        return self._decisions.get(change_id)

    def apply(self, record: LogRecord) -> ApplyResult:
        """Apply one record; records at or below ``position`` have no effect."""
        if record.offset <= self.position:
            return self._count(ApplyResult.STALE)
        if record.offset > self.position + 1:
            self._skip_expired_records(record.offset, record.time_ms)
        self.position = record.offset
        self._time_ms = max(self._time_ms, record.time_ms)
        try:
            decoded = decode_record(record.value)
        except RecordError:
            return self._count(ApplyResult.UNREADABLE)
        if isinstance(decoded, CarryRecord):
            return self._count(self._apply_carry(record, decoded))
        result = self._apply_change(
            _TentativeChange(record.offset, record.time_ms, decoded)
        )
        return self._count(result)

    def apply_page(self, page: LogPage) -> list[ApplyResult]:
        """Apply the records of a page, then its end and its log time."""
        results = [self.apply(record) for record in page.records]
        self.note_read(page)
        return results

    def pop_changed_keys(self) -> set[Key]:
        """Return the keys that changed since the last call, and clear the set."""
        changed, self._changed_keys = self._changed_keys, set()
        return changed

    def note_read(self, page: LogPage) -> None:
        """Apply the end and the log time of a page after its records were applied.

        A page without records may still show that records expired before they were
        read. At the end of the stream the time of the log limits which keys can be
        missing.
        """
        if page.next_offset - 1 > self.position:
            self._skip_expired_records(page.next_offset, page.log_time_ms)
            self.position = page.next_offset - 1
        if page.next_offset >= page.end_offset:
            self._time_ms = max(self._time_ms, page.log_time_ms)

    def export(self) -> bytes:
        """Return a snapshot of the view, to be used with ``install``."""
        tentative = [
            item for items in self._tentative_changes.values() for item in items
        ]
        snapshot = _Snapshot(
            _SNAPSHOT_SCHEMA,
            self.stream,
            self.position,
            self._floor,
            self._floor_ms,
            self._time_ms,
            self.settled,
            self._entries,
            sorted(self._uncertain_keys),
            tentative,
        )
        return msgspec.msgpack.encode(snapshot)

    def install(self, data: bytes) -> bool:
        """Replace the state by that of a snapshot; return False if it is ignored.

        A snapshot at a lower position is ignored, and so is one at the same position if
        this view is settled. A snapshot that is not settled may lack keys that this
        view has, so only an empty view uses it.

        Raises
        ------
        SnapshotError
            If ``data`` is not a snapshot of this stream.
        """
        snapshot = self._decode_snapshot(data)
        if not self._should_install(snapshot):
            return False
        for kind, entries_by_name in self._entries.items():
            for name, entry in entries_by_name.items():
                _keep_decodable_body(entry, snapshot.entries.get(kind, {}).get(name))
        for kind in KINDS:
            self._mark_installed_changes(kind, snapshot.entries.get(kind, {}))
        self._entries = {kind: snapshot.entries.get(kind, {}) for kind in KINDS}
        self.position = snapshot.position
        self._floor = snapshot.floor
        self._floor_ms = snapshot.floor_ms
        self._time_ms = max(self._time_ms, snapshot.time_ms)
        self._uncertain_keys = set(snapshot.uncertain)
        self._tentative_changes = {}
        for item in snapshot.tentative:
            key = (item.change.kind, item.change.name)
            self._tentative_changes.setdefault(key, []).append(item)
        self._tentative_count = len(snapshot.tentative)
        return True

    def _mark_installed_changes(
        self, kind: str, entries_by_name: dict[str, Entry]
    ) -> None:
        for name, entry in entries_by_name.items():
            if entry.version != self.version(kind, name):
                self._changed_keys.add((kind, name))

    def _decode_snapshot(self, data: bytes) -> _Snapshot:
        try:
            snapshot = _SNAPSHOT_DECODER.decode(data)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise SnapshotError(f"expected a snapshot: {exc}") from exc
        if snapshot.schema != _SNAPSHOT_SCHEMA or snapshot.stream != self.stream:
            raise SnapshotError(
                f"snapshot: expected {self.stream!r} with schema {_SNAPSHOT_SCHEMA}, "
                f"got {snapshot.stream[:40]!r} with schema {snapshot.schema}"
            )
        return snapshot

    def _should_install(self, snapshot: _Snapshot) -> bool:
        if not snapshot.settled:
            return self.position == 0 and snapshot.position > 0
        if snapshot.position == self.position:
            return not self.settled
        return snapshot.position > self.position

    def _skip_expired_records(self, offset: int, time_ms: int) -> None:
        """Continue at an offset after records that expired before they were read."""
        self._floor = offset
        self._floor_ms = time_ms
        self._uncertain_keys = {(kind, name) for kind, name, _ in self.entries()}
        # The expired records may have decided the tentative changes, and no later
        # record can.
        for items in self._tentative_changes.values():
            for item in items:
                self._record_decision(item.change, ApplyResult.STALE, 0)
        self._tentative_changes = {}
        self._tentative_count = 0

    def _is_absence_certain(self, time_ms: int) -> bool:
        """Return whether a key without records up to ``time_ms`` does not exist."""
        return self._floor <= 1 or time_ms > self._floor_ms + self._horizon_ms

    def _apply_change(self, item: _TentativeChange) -> ApplyResult:
        change = item.change
        if change.kind not in self._entries:
            return ApplyResult.UNREADABLE
        key = (change.kind, change.name)
        entry = self.entry(*key)
        version = 0 if entry is None else entry.version
        if entry is not None and entry.change_id == change.change_id:
            self._record_decision(change, ApplyResult.WON, version)
            return ApplyResult.DUPLICATE
        if self._is_undecidable(key, entry, item):
            return self._keep_tentative(key, item)
        if change.expected != version:
            return self._record_decision(change, ApplyResult.LOST, version)
        is_decodable = self._set_entry_from_change(entry, item)
        result = ApplyResult.WON if is_decodable else ApplyResult.NEWER_SCHEMA
        return self._record_decision(change, result, item.offset)

    def _is_undecidable(
        self, key: Key, entry: Entry | None, item: _TentativeChange
    ) -> bool:
        if key in self._tentative_changes:
            return True
        if entry is None:
            return not self._is_absence_certain(item.time_ms)
        # Versions only increase, so a change that expects a lower version than the
        # known one has lost.
        return key in self._uncertain_keys and item.change.expected >= entry.version

    def _keep_tentative(self, key: Key, item: _TentativeChange) -> ApplyResult:
        if self._tentative_count < MAX_TENTATIVE:
            self._tentative_changes.setdefault(key, []).append(item)
            self._tentative_count += 1
        else:
            # The change is dropped, so only a later carry record can decide the key.
            self._uncertain_keys.add(key)
        return self._record_decision(
            item.change, ApplyResult.TENTATIVE, self.version(*key)
        )

    def _set_entry_from_change(
        self, entry: Entry | None, item: _TentativeChange
    ) -> bool:
        change = item.change
        anchor_ms = item.time_ms if entry is None else entry.anchor_ms
        return self._set_entry(change, item.offset, anchor_ms)

    def _set_entry(
        self,
        record: ConfigurationChange | CarryRecord,
        version: int,
        anchor_ms: int,
    ) -> bool:
        """Set the entry of a key; return whether its body can be decoded here."""
        is_decodable = _can_decode_body(record)
        old = self.entry(record.kind, record.name)
        self._changed_keys.add((record.kind, record.name))
        body, deleted = record.body, record.deleted
        if not is_decodable:
            # The last body that can be decoded stays in effect.
            body = b"" if old is None else old.body
            deleted = old is not None and old.deleted
        self._entries[record.kind][record.name] = Entry(
            version, anchor_ms, record.change_id, body, deleted, is_decodable
        )
        return is_decodable

    def _apply_carry(self, record: LogRecord, carry: CarryRecord) -> ApplyResult:
        if carry.kind not in self._entries or carry.as_of >= record.offset:
            return ApplyResult.UNREADABLE
        key = (carry.kind, carry.name)
        entry = self.entry(*key)
        version = 0 if entry is None else entry.version
        if carry.version < version:
            return ApplyResult.STALE
        result = ApplyResult.DUPLICATE
        if carry.version > version:
            is_decodable = self._set_entry(carry, carry.version, record.time_ms)
            result = ApplyResult.CARRIED if is_decodable else ApplyResult.NEWER_SCHEMA
        elif not entry.current and _can_decode_body(carry):
            self._set_entry(carry, carry.version, record.time_ms)
            result = ApplyResult.CARRIED
        else:
            entry.anchor_ms = record.time_ms
        if carry.as_of < self._floor - 1:
            # A change between as_of and the floor may have expired unread.
            self._uncertain_keys.add(key)
            return result
        self._uncertain_keys.discard(key)
        self._replay_tentative(key, carry.as_of)
        return result

    def _replay_tentative(self, key: Key, as_of: int) -> None:
        """Decide the tentative changes of a key whose version at ``as_of`` is known."""
        items = self._tentative_changes.pop(key, [])
        self._tentative_count -= len(items)
        for item in items:
            if item.offset > as_of:
                self._apply_change(item)
                continue
            version = self.version(*key)
            result = ApplyResult.WON if item.offset == version else ApplyResult.LOST
            if item.offset < version:
                # The change may have won before a later change replaced it.
                result = ApplyResult.STALE
            self._record_decision(item.change, result, version)

    def _record_decision(
        self, change: ConfigurationChange, result: ApplyResult, version: int
    ) -> ApplyResult:
        """Record the decision on a change; a later copy of it is a duplicate."""
        known = self._decisions.get(change.change_id)
        if known is not None and known.result is not ApplyResult.TENTATIVE:
            return ApplyResult.DUPLICATE
        self._decisions[change.change_id] = Decision(result, version)
        if len(self._decisions) > MAX_DECISIONS:
            self._decisions.popitem(last=False)
        return result

    def _count(self, result: ApplyResult) -> ApplyResult:
        self.counts[result] += 1
        return result


def _is_live(entry: Entry) -> bool:
    return bool(entry.body) and not entry.deleted


def _can_decode_body(record: ConfigurationChange | CarryRecord) -> bool:
    """Return whether this program version can decode the body of a record.

    The result must not influence which change wins, because program versions that
    validate bodies differently must still agree on versions.
    """
    if record.schema > SCHEMA_VERSION:
        return False
    if record.deleted:
        return True
    try:
        decode_document(record.kind, record.body)
    except DocumentError:
        return False
    return True


def _keep_decodable_body(own: Entry, other: Entry | None) -> None:
    """Copy the own body to an entry of a snapshot whose exporter couldn't decode it."""
    if other is None or other.current or other.version != own.version:
        return
    other.body = own.body
    other.deleted = own.deleted
    other.current = own.current
