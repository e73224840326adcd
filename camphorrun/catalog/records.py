"""Newest record of each key, merged from the metadata store and from peers.

A view never replaces a record by an older one. Each record has the position that the
store gave it: an era, which the store increments each time it is restored from an older
copy of its data, and an offset within the era. Within an era the record with the higher
offset is newer. A new era assigns the same offsets again and may hold older records
than those already known. Between eras the rank that the writer gives its records
therefore decides: the version of a configuration, or the start time and the sequence
number of a replica. If a record has no rank, or both ranks are equal, the record of the
higher era wins.

A listing has only the newest record of a key. If that one does not count, the view
knows nothing of the key, whose earlier record may be in force. The store would have to
be read from an earlier offset, where records may be deleted, which costs further
requests. The record is therefore taken from a peer that tells it anyway and has read
the one that does not count. Without such a peer the key is unknown until its writer
writes it again.

Writers write again the records that a restore lost. Until then the records of earlier
eras stay in effect. Those that are not written again are removed by `remove_missing`.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class Record:
    """A record of a key; an empty value means that the key was removed.

    Attributes
    ----------
    era : int
        Era of the store in which the record was read; 0 if the store has none.
    rank : tuple of int
        Order that the writer gives its own records, empty if unknown. A removal has the
        rank of the record that it removes.
    """

    key: str
    offset: int
    value: bytes
    era: int = 0
    rank: tuple[int, ...] = ()

    def supersedes(self, current: "Record") -> bool:
        """Return whether this record replaces the current record of the same key.

        Examples
        --------
        >>> lost = Record("k", 9, b"v7", era=1, rank=(7,))
        >>> copy = Record("k", 4, b"v5", era=2, rank=(5,))
        >>> copy.supersedes(lost), lost.supersedes(copy)
        (False, True)
        >>> Record("k", 5, b"v7", era=2, rank=(7,)).supersedes(lost)
        True
        """
        if self.era == current.era:
            if self.offset == current.offset:
                # A listing that lacks the key ends behind the record.
                return bool(current.value) and not self.value
            return self.offset > current.offset
        if self.rank and current.rank and self.rank != current.rank:
            return self.rank > current.rank
        if self.rank and self.rank == current.rank and not current.value:
            # A restored store lists a removed record again, with the same rank. Only
            # another removal replaces the removal.
            return not self.value and self.era > current.era
        return self.era > current.era


@dataclass(frozen=True, slots=True)
class RecordPage:
    """A batch of records of one topic.

    Attributes
    ----------
    end : int
        Offset up to which the records are complete.
    complete : bool
        True if ``end`` is the end of the topic.
    is_listing : bool
        True if the page holds all keys of the topic. A key that it lacks was removed,
        unless the known record of the key is of an earlier era.
    era : int
        Era of the store when the page was read.
    """

    records: tuple[Record, ...]
    end: int
    complete: bool = True
    is_listing: bool = False
    era: int = 0


class RecordView:
    """Newest record of each key of one topic.

    Parameters
    ----------
    adopts_unranked : bool
        Whether a record of an unknown key is also applied from an earlier era if it has
        no rank. The current era may have removed it before this view knew the key, so
        records of earlier eras must be removed by ``remove_missing`` after some time.
    accepts : callable, optional
        Returns whether a record counts. One that does not leaves the known record of
        its key in effect, here and at the peers that get the records of this view.

    Attributes
    ----------
    era, end : int
        Position up to which all records are known; 0 if none is.
    is_initialised : bool
        True once a page was applied.
    missing_from_store : set of str
        Keys in effect that have no record in the current era yet.

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
        "_adopts_unranked",
        "_accepts",
        "_hidden",
        "_listing_end",
        "_records",
        "end",
        "era",
        "is_initialised",
        "missing_from_store",
    )

    def __init__(
        self,
        accepts: Callable[[Record], bool] = lambda _: True,
        *,
        adopts_unranked: bool = False,
    ):
        self._accepts = accepts
        self._adopts_unranked = adopts_unranked
        self._records: dict[str, Record] = {}
        # End of the latest listing. Removals before this offset are not recorded,
        # because a listing has no removed keys.
        self._listing_end = 0
        # Unknown keys whose newest record in the latest listing does not count, with
        # the end of the shortest page that tells the record in force before it.
        self._hidden: dict[str, int] = {}
        self.era = 0
        self.end = 0
        self.is_initialised = False
        self.missing_from_store: set[str] = set()

    def get(self, key: str) -> Record | None:
        """Return the newest record of a key, None if it was removed or is unknown."""
        record = self._records.get(key)
        return record if record is not None and record.value else None

    def live_records(self) -> list[Record]:
        """Return the newest record of each key that was not removed."""
        return [record for record in self._records.values() if record.value]

    def apply(self, page: RecordPage) -> list[str]:
        """Apply the newer records of a page; return the keys whose value changed.

        The first page of a new era must be a listing, because only a listing tells
        which keys the era holds. Other pages of the new era are ignored until then.
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
        if page.is_listing and page.end == self._listing_end:
            self._hidden = {
                record.key: record.offset + 1 if record.offset >= 0 else page.end
                for record in page.records
                if record.key not in self._records
            }
        self.is_initialised = True
        self.end = max(self.end, page.end)
        return changed

    def remove_missing(self, key: str) -> bool:
        """Remove a key that was not written again in the current era.

        Return False if the key has a record of the current era or was removed already.
        In any case the key no longer counts as missing.
        """
        self.missing_from_store.discard(key)
        current = self.get(key)
        if current is None or current.era == self.era:
            return False
        # Any record of the current era replaces a removal with offset -1; none of an
        # earlier era does.
        self._records[key] = Record(key, -1, b"", self.era)
        return True

    def page_since(self, end: int, limit: int, era: int = 0) -> RecordPage:
        """Return up to ``limit`` records from an offset on, oldest first, for a peer.

        Records of earlier eras that the current era lacks are always included, on top
        of the limit. A peer in another era gets all records, including removals,
        because it can't tell which ones it lacks. A peer behind the latest listing gets
        a listing, because earlier removals are not recorded.
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
        """Start a new era, in which no key in effect has a record yet."""
        self.era = era
        self.end = self._listing_end = 0
        self._hidden = {}
        self.missing_from_store = {record.key for record in self.live_records()}

    def _merge_earlier_era(self, page: RecordPage) -> list[str]:
        """Apply the records of a page of an earlier era that supersede known ones.

        The end of the page and the keys that it lacks are ignored, because they say
        nothing about the current era. A record of an unknown key is applied only if it
        has a value, and a rank unless this view adopts records without one.
        """
        changed = []
        for record in page.records:
            is_unknown = record.key not in self._records
            is_adopted = bool(record.rank) or self._adopts_unranked
            if is_unknown and not (is_adopted and record.value):
                continue
            if self._store_if_newer(record):
                changed.append(record.key)
        return changed

    def _drop_removed(self, page: RecordPage) -> tuple[Record, ...]:
        """Return the records of a page that were not removed before a listing.

        A listing holds all keys. An older record of a key that the listing lacks is
        outdated: the key had been removed before the listing, and that removal is not
        recorded here. A hidden key was not removed.
        """
        if page.is_listing and page.end >= self._listing_end:
            return page.records
        return tuple(
            record
            for record in page.records
            if record.key in self._records
            or record.era != self.era
            or record.offset >= self._listing_end
            or page.end >= self._hidden.get(record.key, math.inf)
        )

    def _removals_from(self, page: RecordPage) -> list[Record]:
        """Return a removal for each key that a listing lacks.

        Keys whose record is newer than the listing, or of another era, are kept.
        """
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
        """Store a record if it is newer; return whether the key's value changed."""
        is_current_era = record.era == self.era
        current = self._records.get(record.key)
        is_newer = current is None or record.supersedes(current)
        is_missing = is_current_era and record.key in self.missing_from_store
        if (is_newer or is_missing) and record.value and not self._accepts(record):
            return False
        if is_current_era:
            self.missing_from_store.discard(record.key)
        if not is_newer:
            return False
        if current is not None and not record.value and not record.rank:
            record = replace(record, rank=current.rank)
        self._records[record.key] = record
        if record.value and not is_current_era:
            self.missing_from_store.add(record.key)
        return (current.value if current is not None else b"") != record.value
