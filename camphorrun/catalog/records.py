"""Newest records by key, from the store or from peers, that never go back.

Every record carries the position that the store gave it: an era, which rises each time
the store comes back from an older copy of itself, and an offset within the era. Within
an era the higher offset is newer. A new era gives offsets out again and may hold older
records than those already known, so across eras the writer's own rank decides: the
version of a configuration, start and sequence of a replica. A record without a rank,
and one of equal rank, yields to the higher era.

What a copy of the store lost is written again by its writers. Until then the records of
earlier eras stay in force; those that are not written again are dropped by
`remove_missing`.
"""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class Record:
    """The newest known record of a key; an empty value means that it was removed.

    Attributes
    ----------
    era : int
        Era of the store in which the record was read; 0 if the store has none.
    rank : tuple of int
        Order that the writer itself gives its records, empty if unknown; that of a
        removal is the rank of the record that was removed.
    """

    key: str
    offset: int
    value: bytes
    era: int = 0
    rank: tuple[int, ...] = ()

    def supersedes(self, known: "Record") -> bool:
        """Return whether this record takes the place of a known one of its key.

        Examples
        --------
        >>> lost = Record("k", 9, b"v7", era=1, rank=(7,))
        >>> copy = Record("k", 4, b"v5", era=2, rank=(5,))
        >>> copy.supersedes(lost), lost.supersedes(copy)
        (False, True)
        >>> Record("k", 5, b"v7", era=2, rank=(7,)).supersedes(lost)
        True
        """
        if self.era == known.era:
            return self.offset > known.offset
        if self.rank and known.rank and self.rank != known.rank:
            return self.rank > known.rank
        if self.rank and self.rank == known.rank and not known.value:
            # A copy lists again what had been removed.
            return not self.value and self.era > known.era
        return self.era > known.era


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records with the offset up to which they are complete.

    ``complete`` means that the reader has reached the end; ``is_listing`` that the page
    holds all keys, so that a key it lacks was removed, unless it is known from an
    earlier ``era``.
    """

    records: tuple[Record, ...]
    end: int
    complete: bool = True
    is_listing: bool = False
    era: int = 0


class RecordView:
    """Newest record of each key of one topic.

    Attributes
    ----------
    era, end : int
        Position up to which all records are known; 0 if nothing is.
    missing_from_store : set of str
        Keys in force of which the present era of the store has no record yet.

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

    __slots__ = (
        "_listing_end",
        "_records",
        "end",
        "era",
        "is_initialised",
        "missing_from_store",
    )

    def __init__(self):
        self._records: dict[str, Record] = {}
        # Removals before the last listing are not known.
        self._listing_end = 0
        self.era = 0
        self.end = 0
        self.is_initialised = False
        self.missing_from_store: set[str] = set()

    def get(self, key: str) -> Record | None:
        """Return the newest record of a key; None if it was removed or never was."""
        record = self._records.get(key)
        return record if record is not None and record.value else None

    def live_records(self) -> list[Record]:
        """Return all records that were not removed."""
        return [record for record in self._records.values() if record.value]

    def apply(self, page: RecordPage) -> list[str]:
        """Take over newer records; return the keys that changed.

        The first page of a new era must be a listing: no other one says what the era
        holds, so it is left out until a listing has come.
        """
        if self.is_initialised and page.era > self.era and not page.is_listing:
            return []
        if page.era < self.era:
            return self._merge_earlier_era(page)
        if page.era > self.era:
            self._begin_era(page.era)
        records = self._drop_removed(page)
        if page.is_listing:
            records = (*records, *self._removals_from(page))
        changed = [record.key for record in records if self._store_if_newer(record)]
        self.is_initialised = True
        self.end = max(self.end, page.end)
        return changed

    def remove_missing(self, key: str) -> bool:
        """Remove a key that was not written again; return whether it was in force."""
        self.missing_from_store.discard(key)
        known = self.get(key)
        if known is None or known.era == self.era:
            return False
        # Whatever the present era still brings is newer, and nothing earlier is.
        self._records[key] = Record(key, -1, b"", self.era)
        return True

    def page_since(self, end: int, limit: int, era: int = 0) -> RecordPage:
        """Return records at or after a position, oldest first, for a peer.

        Records that the present era lacks are always among them. A peer at another era
        gets everything, removals too, because it can't tell what it misses.
        """
        if era != self.era:
            records = tuple(self._records.values())
            return RecordPage(records, self.end, is_listing=True, era=self.era)
        if end < self._listing_end:
            live = tuple(self.live_records())
            return RecordPage(live, self.end, is_listing=True, era=self.era)
        records = self._records.values()
        earlier_era_records = tuple(
            record for record in records if record.era != self.era
        )
        newer = sorted(
            (r for r in records if r.era == self.era and r.offset >= end),
            key=lambda record: record.offset,
        )
        if len(newer) <= limit:
            return RecordPage((*earlier_era_records, *newer), self.end, era=self.era)
        end = newer[limit - 1].offset + 1
        return RecordPage(
            (*earlier_era_records, *newer[:limit]), end, False, era=self.era
        )

    def _begin_era(self, era: int) -> None:
        """Begin a new era: what is in force has no record there yet."""
        self.era = era
        self.end = self._listing_end = 0
        self.missing_from_store = {record.key for record in self.live_records()}

    def _merge_earlier_era(self, page: RecordPage) -> list[str]:
        """Take over what a page of an earlier era knows better.

        Its end and the keys that it lacks say nothing about the present era.
        """
        changed = []
        for record in page.records:
            is_unknown = record.key not in self._records
            if is_unknown and not (record.rank and record.value):
                continue
            if self._store_if_newer(record):
                changed.append(record.key)
        return changed

    def _drop_removed(self, page: RecordPage) -> tuple[Record, ...]:
        """Return the records of a page but those that were removed before a listing.

        A listing names all keys. A record from before it, of a key that it lacks, is
        late: the key had been removed by then, which is not recorded here.
        """
        if page.is_listing and page.end >= self._listing_end:
            return page.records
        return tuple(
            record
            for record in page.records
            if record.key in self._records
            or record.era != self.era
            or record.offset >= self._listing_end
        )

    def _removals_from(self, page: RecordPage) -> list[Record]:
        """Return removals of the keys that a listing lacks, unless they are newer."""
        self._listing_end = max(self._listing_end, page.end)
        listed = {record.key for record in page.records}
        return [
            replace(record, offset=page.end - 1, value=b"")
            for key, record in self._records.items()
            if key not in listed
            and record.value
            and record.era == page.era
            and record.offset < page.end
        ]

    def _store_if_newer(self, record: Record) -> bool:
        """Take over a record if it is newer; return whether its value changed."""
        is_present = record.era == self.era
        if is_present:
            self.missing_from_store.discard(record.key)
        known = self._records.get(record.key)
        if known is not None:
            if not record.supersedes(known):
                return False
            if not record.value and not record.rank:
                record = replace(record, rank=known.rank)
        self._records[record.key] = record
        if record.value and not is_present:
            self.missing_from_store.add(record.key)
        return (known.value if known is not None else b"") != record.value
