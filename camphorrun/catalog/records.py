"""Newest records by key, from the store or from peers, that never go back.

Every record carries the offset that the store gave it. A record replaces only one with
a lower offset, whatever way it came, so stale replies and late peers do no harm.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Record:
    """The newest known record of a key; an empty value means that it was removed."""

    key: str
    offset: int
    value: bytes


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records with the offset up to which they are complete.

    ``complete`` means that the reader has reached the end; ``is_listing`` that the page
    holds all keys, so that a key it lacks was removed.
    """

    records: tuple[Record, ...]
    end: int
    complete: bool = True
    is_listing: bool = False


class RecordView:
    """Newest record of each key of one topic.

    Attributes
    ----------
    end : int
        Offset up to which all records are known; 0 if nothing is.

    Examples
    --------
    >>> view = RecordView()
    >>> view.apply(RecordPage((Record("a", 3, b"x"),), 4))
    ['a']
    >>> view.apply(RecordPage((Record("a", 1, b"old"),), 2))
    []
    >>> view.get("a").value, view.end
    (b'x', 4)
    """

    __slots__ = ("_listed_at", "_records", "end", "known")

    def __init__(self):
        self._records: dict[str, Record] = {}
        # Removals before the last listing are not known.
        self._listed_at = 0
        self.end = 0
        self.known = False

    def get(self, key: str) -> Record | None:
        """Return the newest record of a key; None if it was removed or never was."""
        record = self._records.get(key)
        return record if record is not None and record.value else None

    def live(self) -> list[Record]:
        """Return all records that were not removed."""
        return [record for record in self._records.values() if record.value]

    def apply(self, page: RecordPage) -> list[str]:
        """Take over newer records; return the keys that changed."""
        records = self._completed(page) if page.is_listing else page.records
        changed = [record.key for record in records if self._store(record)]
        self.known = True
        self.end = max(self.end, page.end)
        return changed

    def _completed(self, page: RecordPage) -> tuple[Record, ...]:
        """Add removals of the keys that a listing lacks, unless they are newer."""
        self._listed_at = max(self._listed_at, page.end)
        listed = {record.key for record in page.records}
        missing = [
            Record(key, page.end - 1, b"")
            for key, record in self._records.items()
            if key not in listed and record.value and record.offset < page.end
        ]
        return (*page.records, *missing)

    def since(self, end: int, limit: int) -> RecordPage:
        """Return records at or after an offset, oldest first, for a peer."""
        if end < self._listed_at:
            return RecordPage(tuple(self.live()), self.end, is_listing=True)
        newer = sorted(
            (record for record in self._records.values() if record.offset >= end),
            key=lambda record: record.offset,
        )
        if len(newer) <= limit:
            return RecordPage(tuple(newer), self.end)
        return RecordPage(tuple(newer[:limit]), newer[limit - 1].offset + 1, False)

    def _store(self, record: Record) -> bool:
        known = self._records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        self._records[record.key] = record
        return known is None or known.value != record.value
