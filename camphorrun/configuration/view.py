"""View of one configuration stream, the same for every reader at a position."""

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
# Records are carried at CARRY_FRACTION of the retention time. HORIZON_FRACTION adds
# room for delays of the carriers. Twice the horizon is less than the retention time,
# so every key that existed at the oldest retained record has been carried since.
CARRY_FRACTION = 0.4
HORIZON_FRACTION = 0.45
CACHE_DOCUMENTS = 256
MAX_TENTATIVE = 10_000
MAX_DECISIONS = 4096
_SNAPSHOT_SCHEMA = 1

Key = tuple[str, str]


class SnapshotError(CamphorrunError):
    """Bytes that are not a snapshot of this stream."""

    default_code = "bad_snapshot"


class ApplyResult(Enum):
    """Effect of one record on a view."""

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

    ``anchor_ms`` is the log time of the oldest record that a reader needs to know
    this state: the last carry record, or the record that created the key. ``current``
    is False when the body of ``version`` is not decodable here; ``body`` is then
    the last one that is.
    """

    version: int
    anchor_ms: int
    change_id: str
    body: bytes
    deleted: bool = False
    current: bool = True


@dataclass(frozen=True, slots=True)
class _Tentative:
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
    tentative: list[_Tentative]


_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(_Snapshot)


class ConfigurationView:
    """State of all keys of one stream after the records up to ``position``.

    Parameters
    ----------
    stream : str
        Name of the stream.
    retention_s : float
        Retention time of the log service in seconds.

    Attributes
    ----------
    position : int
        Offset of the last record applied, 0 for none.
    counts : dict
        Records applied, by ``ApplyResult``.
    """

    def __init__(self, stream: str, *, retention_s: float = DEFAULT_RETENTION_SECONDS):
        self.stream = stream
        self.retention_s = retention_s
        self.position = 0
        self.counts = dict.fromkeys(ApplyResult, 0)
        self._horizon_ms = int(retention_s * HORIZON_FRACTION * 1000)
        # All records from _floor on have been read; it is 1 for a reader that has
        # seen the whole stream.
        self._floor = 1
        self._floor_ms = 0
        self._time_ms = 0
        self._entries: dict[str, dict[str, Entry]] = {kind: {} for kind in KINDS}
        # Keys whose value may have been replaced by a record below the floor.
        self._uncertain: set[Key] = set()
        self._tentative: dict[Key, list[_Tentative]] = {}
        self._tentative_count = 0
        self._changed: set[Key] = set()
        self._decisions: OrderedDict[str, Decision] = OrderedDict()
        self._cache: OrderedDict[Key, tuple[bytes, Document]] = OrderedDict()

    @property
    def log_time_ms(self) -> int:
        """Latest clock reading of the log service that was seen."""
        return self._time_ms

    @property
    def settled(self) -> bool:
        """Whether every key of the stream is known without doubt."""
        return self._is_absence_certain(self._time_ms) and not (
            self._uncertain or self._tentative
        )

    def get(self, kind: str, name: str) -> Document | None:
        """Return the document in effect, None if there is none."""
        entry = self.entry(kind, name)
        if entry is None or entry.deleted or not entry.body:
            return None
        key = (kind, name)
        cached = self._cache.get(key)
        if cached is not None and cached[0] is entry.body:
            self._cache.move_to_end(key)
            return cached[1]
        document = decode_document(kind, entry.body)
        self._cache[key] = (entry.body, document)
        self._cache.move_to_end(key)
        if len(self._cache) > CACHE_DOCUMENTS:
            self._cache.popitem(last=False)
        return document

    def names(self, kind: str) -> list[str]:
        """Return the names that have a document, sorted."""
        entries_by_name = self._entries.get(kind, {})
        return sorted(
            name for name, entry in entries_by_name.items() if _is_live(entry)
        )

    def version(self, kind: str, name: str) -> int:
        """Return the version of a key, also of a deleted one; 0 if unknown."""
        entry = self.entry(kind, name)
        return 0 if entry is None else entry.version

    def entry(self, kind: str, name: str) -> Entry | None:
        """Return the state of a key."""
        return self._entries.get(kind, {}).get(name)

    def entries(self) -> Iterator[tuple[str, str, Entry]]:
        """Iterate over kind, name and state of all keys, deleted ones included."""
        for kind, entries_by_name in self._entries.items():
            for name, entry in entries_by_name.items():
                yield kind, name, entry

    def is_certain(self, kind: str, name: str) -> bool:
        """Whether no unread record can have replaced the value of a key."""
        key = (kind, name)
        return key not in self._uncertain and key not in self._tentative

    def not_current(self) -> list[Key]:
        """Return the keys whose last body is not decodable here."""
        return [(k, n) for k, n, entry in self.entries() if not entry.current]

    def decision(self, change_id: str) -> Decision | None:
        """Return the result of a recent change, None if it has not been read."""
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
        result = self._apply_change(_Tentative(record.offset, record.time_ms, decoded))
        return self._count(result)

    def apply_page(self, page: LogPage) -> list[ApplyResult]:
        """Apply the records of a page and take note of its end."""
        results = [self.apply(record) for record in page.records]
        self.note_read(page)
        return results

    def pop_changed_keys(self) -> set[Key]:
        """Return the keys that changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def note_read(self, page: LogPage) -> None:
        """Take note of a page after its records were applied.

        A page without records may still show that records have expired unread, and
        at the end of the stream the log's clock bounds what can be missing.
        """
        if page.next_offset - 1 > self.position:
            self._skip_expired_records(page.next_offset, page.log_time_ms)
            self.position = page.next_offset - 1
        if page.next_offset >= page.end_offset:
            self._time_ms = max(self._time_ms, page.log_time_ms)

    def export(self) -> bytes:
        """Return a snapshot for ``install``."""
        tentative = [item for items in self._tentative.values() for item in items]
        snapshot = _Snapshot(
            _SNAPSHOT_SCHEMA,
            self.stream,
            self.position,
            self._floor,
            self._floor_ms,
            self._time_ms,
            self.settled,
            self._entries,
            sorted(self._uncertain),
            tentative,
        )
        return msgspec.msgpack.encode(snapshot)

    def install(self, data: bytes) -> bool:
        """Replace the state by a snapshot and return whether it was used.

        A snapshot at a lower position is ignored. One that is not settled may lack
        keys that this view has, so only an empty view uses it.

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
        self._uncertain = set(snapshot.uncertain)
        self._tentative = {}
        for item in snapshot.tentative:
            key = (item.change.kind, item.change.name)
            self._tentative.setdefault(key, []).append(item)
        self._tentative_count = len(snapshot.tentative)
        return True

    def _mark_installed_changes(
        self, kind: str, entries_by_name: dict[str, Entry]
    ) -> None:
        for name, entry in entries_by_name.items():
            if entry.version != self.version(kind, name):
                self._changed.add((kind, name))

    def _decode_snapshot(self, data: bytes) -> _Snapshot:
        try:
            snapshot = _SNAPSHOT_DECODER.decode(data)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise SnapshotError(f"expected a snapshot: {exc}") from exc
        if snapshot.schema != _SNAPSHOT_SCHEMA or snapshot.stream != self.stream:
            raise SnapshotError(f"snapshot of {snapshot.stream[:40]!r}")
        return snapshot

    def _should_install(self, snapshot: _Snapshot) -> bool:
        if not snapshot.settled:
            return self.position == 0 and snapshot.position > 0
        if snapshot.position == self.position:
            return not self.settled
        return snapshot.position > self.position

    def _skip_expired_records(self, offset: int, time_ms: int) -> None:
        """Continue after records that expired before they were read."""
        self._floor = offset
        self._floor_ms = time_ms
        self._uncertain = {(kind, name) for kind, name, _ in self.entries()}
        # The missing records may have decided these changes; no later record can.
        for items in self._tentative.values():
            for item in items:
                self._record_decision(item.change, ApplyResult.STALE, 0)
        self._tentative = {}
        self._tentative_count = 0

    def _is_absence_certain(self, time_ms: int) -> bool:
        """Whether a key without any record up to ``time_ms`` does not exist."""
        return self._floor <= 1 or time_ms > self._floor_ms + self._horizon_ms

    def _apply_change(self, item: _Tentative) -> ApplyResult:
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

    def _is_undecidable(self, key: Key, entry: Entry | None, item: _Tentative) -> bool:
        if key in self._tentative:
            return True
        if entry is None:
            return not self._is_absence_certain(item.time_ms)
        # Versions only grow, so an expected version below a known one has lost.
        return key in self._uncertain and item.change.expected >= entry.version

    def _keep_tentative(self, key: Key, item: _Tentative) -> ApplyResult:
        if self._tentative_count < MAX_TENTATIVE:
            self._tentative.setdefault(key, []).append(item)
            self._tentative_count += 1
        else:
            # Without the change the key can only be decided by a later carry record.
            self._uncertain.add(key)
        return self._record_decision(
            item.change, ApplyResult.TENTATIVE, self.version(*key)
        )

    def _set_entry_from_change(self, entry: Entry | None, item: _Tentative) -> bool:
        change = item.change
        anchor_ms = item.time_ms if entry is None else entry.anchor_ms
        return self._set_entry(change, item.offset, anchor_ms)

    def _set_entry(
        self,
        record: ConfigurationChange | CarryRecord,
        version: int,
        anchor_ms: int,
    ) -> bool:
        """Set a key; return whether its body is decodable here."""
        is_decodable = _can_decode_body(record)
        old = self.entry(record.kind, record.name)
        self._changed.add((record.kind, record.name))
        body, deleted = record.body, record.deleted
        if not is_decodable:
            # The last body that is decodable stays in effect.
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
            # A change between as_of and the floor may have been missed.
            self._uncertain.add(key)
            return result
        self._uncertain.discard(key)
        self._replay_tentative(key, carry.as_of)
        return result

    def _replay_tentative(self, key: Key, as_of: int) -> None:
        """Decide the tentative changes of a key whose state at ``as_of`` is known."""
        items = self._tentative.pop(key, [])
        self._tentative_count -= len(items)
        for item in items:
            if item.offset > as_of:
                self._apply_change(item)
                continue
            version = self.version(*key)
            result = ApplyResult.WON if item.offset == version else ApplyResult.LOST
            if item.offset < version:
                # It may have won before a later change replaced it.
                result = ApplyResult.STALE
            self._record_decision(item.change, result, version)

    def _record_decision(
        self, change: ConfigurationChange, result: ApplyResult, version: int
    ) -> ApplyResult:
        """Keep the result of the first copy; a later copy is a duplicate."""
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
    """Whether this program can decode the body.

    The body never influences which change wins: program versions that check
    bodies differently still have to agree on versions.
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
    """Keep the own body where a snapshot's exporter did not understand it."""
    if other is None or other.current or other.version != own.version:
        return
    other.body = own.body
    other.deleted = own.deleted
    other.current = own.current
