"""Tests of views: conflicts, newer schemas, expiry and snapshots."""

import asyncio
import random

import pytest

from ...core import LogRecord, ManualTimerService, MemoryLog
from .. import (
    ApplyResult,
    CarryForwarder,
    CarryRecord,
    ConfigurationChange,
    ConfigurationView,
    Drain,
    SnapshotError,
    encode_document,
    encode_record,
)

RETENTION_SECONDS = 100.0


def _view():
    return ConfigurationView("fleet", retention_s=RETENTION_SECONDS)


def _change(change_id, expected, **options):
    body = encode_document(Drain("h", change_id))
    return ConfigurationChange(change_id, "drain", "h", expected, body, **options)


def _carry(version, as_of, reason="carried"):
    body = encode_document(Drain("h", reason))
    return CarryRecord("drain", "h", version, "c0", body, False, as_of)


def _apply(view, offset, record, time_ms=1):
    value = record if isinstance(record, bytes) else encode_record(record)
    return view.apply(LogRecord(offset, time_ms, value))


class TestConflicts:
    """Exactly one of several changes wins and none comes back."""

    def test_conflict_and_copies(self):
        """Guards against a delayed copy that reverts a later change."""
        view = _view()
        first, second = _change("c1", 0), _change("c2", 0)
        assert _apply(view, 1, first) is ApplyResult.WON
        assert _apply(view, 2, second) is ApplyResult.LOST
        assert _apply(view, 3, first) is ApplyResult.DUPLICATE
        assert _apply(view, 4, _change("c3", 1)) is ApplyResult.WON
        assert _apply(view, 5, first) is ApplyResult.DUPLICATE
        assert _apply(view, 5, _change("c4", 4)) is ApplyResult.STALE
        assert view.version("drain", "h") == 4
        assert view.decision("c2").version == 1

    def test_deletion_is_a_version(self):
        """Guards against a copy of the creation that undoes a deletion."""
        view = _view()
        _apply(view, 1, _change("c1", 0))
        assert _apply(view, 2, _change("c2", 1, deleted=True)) is ApplyResult.WON
        _apply(view, 3, _change("c1", 0))
        assert view.get("drain", "h") is None
        assert view.names("drain") == []


class TestUnreadable:
    """Records that this program cannot read do not stop it."""

    def test_unreadable_record(self):
        """Guards against a reader that stops at a damaged record."""
        view = _view()
        assert _apply(view, 1, b"\xc1") is ApplyResult.UNREADABLE
        assert _apply(view, 2, _change("c", 0)) is ApplyResult.WON

    def test_newer_schema(self):
        """Guards against readers of two program versions that disagree on versions."""
        view = _view()
        _apply(view, 1, _change("old", 0))
        newer = _change("new", 1, schema=2)
        assert _apply(view, 2, newer) is ApplyResult.NEWER_SCHEMA
        assert view.get("drain", "h").reason == "old"
        assert view.not_current() == [("drain", "h")]
        assert _apply(view, 3, _change("late", 1)) is ApplyResult.LOST
        assert _apply(view, 4, _change("next", 2)) is ApplyResult.WON
        assert view.not_current() == []


class TestExpiry:
    """A reader whose base expired decides nothing without a carry record."""

    def test_tentative_until_carried(self):
        """Guards against a late reader that accepts a change that lost."""
        view = _view()
        assert _apply(view, 20, _change("c20", 15)) is ApplyResult.TENTATIVE
        assert _apply(view, 21, _change("c21", 10)) is ApplyResult.TENTATIVE
        assert view.get("drain", "h") is None
        assert _apply(view, 22, _carry(10, as_of=19)) is ApplyResult.CARRIED
        assert view.version("drain", "h") == 21
        assert view.decision("c20").result is ApplyResult.LOST

    def test_replaced_change_stays_unknown(self):
        """Guards against a winner that is reported as a loser once it is replaced."""
        view = _view()
        _apply(view, 20, _change("c20", 15))
        _apply(view, 21, _change("c21", 20))
        _apply(view, 22, _change("c22", 15))
        _apply(view, 23, _carry(21, as_of=22))
        results = [view.decision(name).result for name in ("c20", "c21", "c22")]
        assert results == [ApplyResult.STALE, ApplyResult.WON, ApplyResult.LOST]

    def test_age_of_a_key(self):
        """Guards against a key that is not carried although its base expires."""
        view = _view()
        _apply(view, 1, _change("c1", 0), time_ms=10)
        _apply(view, 2, _change("c2", 1), time_ms=20)
        assert _apply(view, 3, _carry(1, as_of=1), time_ms=30) is ApplyResult.STALE
        assert view.entry("drain", "h").anchor_ms == 10
        _apply(view, 4, _carry(2, as_of=3), time_ms=40)
        assert view.entry("drain", "h").anchor_ms == 40

    def test_gap_makes_known_keys_uncertain(self):
        """Guards against a change that wins over a value replaced in the gap."""
        view = _view()
        _apply(view, 1, _change("c1", 0))
        assert _apply(view, 9, _change("c9", 1)) is ApplyResult.TENTATIVE
        assert _apply(view, 10, _carry(5, as_of=9)) is ApplyResult.CARRIED
        assert view.decision("c9").result is ApplyResult.LOST

    def test_old_carry_record_leaves_doubt(self):
        """Guards against a carry record that misses a change below the floor."""
        view = _view()
        _apply(view, 20, _carry(10, as_of=15))
        assert view.get("drain", "h") is not None
        assert not view.is_certain("drain", "h")
        assert _apply(view, 21, _change("c21", 10)) is ApplyResult.TENTATIVE

    def test_deletion_is_carried(self):
        """Guards against a deleted key that returns after its records expired."""
        timers = ManualTimerService(start_s=1.0)
        log = MemoryLog(timers, RETENTION_SECONDS)
        carriers, late = [_view(), _view()], _view()

        async def read(view):
            view.apply_page(await log.read("fleet", view.position + 1))

        async def scenario():
            created = encode_record(_change("c1", 0))
            await log.append("fleet", [created])
            deletion = encode_record(_change("c2", 1, deleted=True))
            await log.append("fleet", [deletion])
            timers.advance(50.0)
            appended = []
            for view in carriers:
                await read(view)
                appended.append(
                    await CarryForwarder(log, view, timers).carry_aging_keys()
                )
            timers.advance(60.0)
            log.expire()
            await log.append("fleet", [created])
            await read(late)
            return appended

        # The second carrier reads the record of the first one and appends nothing.
        assert asyncio.run(scenario()) == [1, 0]
        assert late.version("drain", "h") == 2
        assert late.get("drain", "h") is None

    def test_delayed_carriers(self):
        """Guards against entries that all carry the same keys."""
        timers = ManualTimerService(start_s=1.0)
        log = MemoryLog(timers, RETENTION_SECONDS)
        views = [_view(), _view()]

        async def read():
            for view in views:
                view.apply_page(await log.read("fleet", view.position + 1))

        async def scenario():
            await log.append("fleet", [encode_record(_change("c1", 0))])
            tasks = [
                asyncio.ensure_future(
                    CarryForwarder(
                        log, view, timers, rng=random.Random(seed), max_delay_s=30.0
                    ).run()
                )
                for seed, view in enumerate(views)
            ]
            for _ in range(95):
                await read()
                await asyncio.sleep(0)
                timers.advance(1.0)
                await asyncio.sleep(0)
            for task in tasks:
                task.cancel()

        asyncio.run(scenario())
        assert log.append_count == 2


class TestSnapshots:
    """Snapshots never move a view back."""

    def test_lower_and_foreign_snapshots(self):
        """Guards against a value that reverts, and against damaged snapshots."""
        old, new = _view(), _view()
        _apply(old, 1, _change("c1", 0))
        new.install(old.export())
        _apply(new, 2, _change("c2", 1))
        assert not new.install(old.export())
        assert old.install(new.export())
        assert old.get("drain", "h") == new.get("drain", "h") == Drain("h", "c2")
        for data in (b"", b"\xc1", ConfigurationView("accounts").export()):
            with pytest.raises(SnapshotError):
                new.install(data)

    def test_incomplete_snapshot(self):
        """Guards against the loss of keys that a late reader does not know."""
        late, full = _view(), _view()
        _apply(full, 1, _change("c1", 0))
        _apply(late, 9, b"")
        assert not full.install(late.export())
        assert full.get("drain", "h") is not None
