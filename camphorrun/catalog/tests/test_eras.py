"""State machine test of record views across restores of the metadata store.

The machine runs writers, a store that is restored from copies, readers of the store,
and a view that is fed by peers alone. It checks that no view reverts to an older
record.
"""

from unittest.mock import patch

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from .. import Record, RecordPage, RecordView

CONFIG = "config"
REPLICAS = ("r0", "r1", "r2")
# Two readers of the store, and one view that gets records only from its peers.
VIEWS = 3
READERS = 2
# With fewer distinct states the machine has explored too little for a valid check.
MIN_STATES = 500
SETTINGS = settings(
    max_examples=250,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    report_multiple_bugs=False,
    # Shrinking takes minutes, which pays only in a run by hand.
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=list(HealthCheck),
)

replica_names = st.sampled_from(REPLICAS)
reader_numbers = st.integers(0, READERS - 1)
view_numbers = st.integers(0, VIEWS - 1)


class _Store:
    """One keyed topic of the store, written by the operator and by replicas."""

    def __init__(self):
        self.era = 1
        self.log: list[tuple[str, bytes, tuple[int, ...]]] = []

    def write(self, key: str, value: bytes, rank: tuple[int, ...]) -> None:
        self.log.append((key, value, rank))

    def records(self, start: int) -> list[Record]:
        return [
            Record(key, offset, value, self.era, rank if value else ())
            for offset, (key, value, rank) in enumerate(self.log)
            if offset >= start
        ]

    def listing(self) -> RecordPage:
        newest = {record.key: record for record in self.records(0)}
        live = tuple(record for record in newest.values() if record.value)
        return RecordPage(live, len(self.log), is_listing=True, era=self.era)

    def read(self, start: int) -> RecordPage:
        return RecordPage(tuple(self.records(start)), len(self.log), era=self.era)


class RecordViewMachine(RuleBasedStateMachine):
    """No record reverts, no removed key returns, and rewritten records take effect."""

    states: set = set()

    @initialize()
    def begin(self):
        self.store = _Store()
        self.saved_log = []
        self.version = 0
        # Start number and sequence number of each replica, and its state: ready,
        # draining, or empty once it has left.
        self.written = dict.fromkeys(REPLICAS, (1, 0))
        self.status = dict.fromkeys(REPLICAS, b"ready")
        self.lost_keys = set()
        self.views = [RecordView() for _ in range(VIEWS)]
        self.newest_seen = [{} for _ in range(VIEWS)]
        self.late_pages: list[RecordPage] = []
        self.publish()
        for name in REPLICAS:
            self.report(name)

    # Rules of the writers.

    @rule()
    def publish(self):
        self.version += 1
        self._write_config()

    @rule(name=replica_names)
    def report(self, name):
        boot, sequence = self.written[name]
        if self.status[name]:
            self.written[name] = boot, sequence + 1
            self._write_replica(name)

    @rule(name=replica_names)
    def drain(self, name):
        if self.status[name]:
            self.status[name] = b"draining"
            self.report(name)

    @rule(name=replica_names)
    def leave(self, name):
        if self.status[name]:
            self.status[name] = b""
            self._write_replica(name)

    @rule(name=replica_names)
    def restart(self, name):
        boot, _ = self.written[name]
        self.written[name] = boot + 1, 0
        self.status[name] = b"ready"
        self.report(name)

    def _write_config(self):
        self.lost_keys.discard(CONFIG)
        self.store.write(CONFIG, b"v%d" % self.version, (self.version,))

    def _write_replica(self, name):
        self.lost_keys.discard(name)
        self.store.write(name, self.status[name], self.written[name])

    # Rules of the store.

    @rule()
    def take_copy(self):
        self.saved_log = list(self.store.log)

    @rule()
    def restore(self):
        if len(self.store.log) - len(self.saved_log) > 0:
            self.lost_keys |= {
                key for key, _, _ in self.store.log[len(self.saved_log) :]
            }
        self.store.log = list(self.saved_log)
        self.store.era += 1

    @rule()
    def write_again(self):
        for key in sorted(self.lost_keys):
            self._write_config() if key == CONFIG else self._write_replica(key)

    # Rules of the readers and peers.

    @rule(number=reader_numbers)
    def poll(self, number):
        view = self.views[number]
        if not view.is_initialised or view.era < self.store.era:
            self._apply(number, self.store.listing())
        else:
            self._apply(number, self.store.read(view.end))

    @rule(listing=st.booleans())
    def delay_answer(self, listing):
        page = self.store.listing() if listing else self.store.read(0)
        self.late_pages = [*self.late_pages[-2:], page]

    @rule(number=reader_numbers)
    def deliver_late_page(self, number):
        if self.late_pages:
            self._apply(number, self.late_pages.pop())

    @rule(asked=view_numbers, asking=view_numbers)
    def ask_peer(self, asked, asking):
        view, peer = self.views[asking], self.views[asked]
        if peer.is_initialised:
            start = view.end if view.is_initialised else 0
            self._apply(asking, peer.page_since(start, 100, view.era))

    @rule(number=view_numbers)
    def restart_process(self, number):
        """Replace a view by an empty one, which asks its peers before it serves."""
        self.views[number] = RecordView()
        self.newest_seen[number] = {}
        for other in range(VIEWS):
            if other != number:
                self.ask_peer(other, number)

    def _apply(self, number: int, page: RecordPage) -> None:
        self.views[number].apply(page)

    # Checks.

    @invariant()
    def no_record_reverts(self):
        for view, seen in zip(self.views, self.newest_seen, strict=True):
            for key in (CONFIG, *REPLICAS):
                record = view._records.get(key)
                if record is None:
                    continue
                known = seen.get(key, ((), True))
                now = record.rank, bool(record.value)
                assert not now[0] or now[0] >= known[0], (key, known, now)
                if known[0] == now[0] and not known[1]:
                    assert not record.value, f"{key}: in effect again after its removal"
                seen[key] = max(known[0], now[0]), now[1]
        summary = tuple(
            (view.era, tuple((r.key, r.era, r.value) for r in view.live_records()))
            for view in self.views
        )
        RecordViewMachine.states.add((self.store.era, self.version, summary))

    def teardown(self):
        """Check that rewritten records take effect and that all others are removed."""
        self.write_again()
        for name in REPLICAS:
            self.report(name)
        for number in range(READERS):
            self.poll(number)
            self.poll(number)
        self.ask_peer(0, 2)
        for view in self.views:
            for name in REPLICAS:
                if name in view.missing_from_store:
                    view.remove_missing(name)
            assert view.get(CONFIG).value == b"v%d" % self.version
            for name in REPLICAS:
                record = view.get(name)
                assert (record.value if record else b"") == self.status[name], name


def _supersedes_by_offset(self: Record, current: Record) -> bool:
    return self.offset > current.offset


def _apply_all_records(self: RecordView, page: RecordPage) -> list[str]:
    changed = [record.key for record in page.records]
    self._records.update({record.key: record for record in page.records})
    return changed


def _begin_era_without_records(self: RecordView, era: int) -> None:
    self.era = era
    self.end = self._listing_end = 0
    self._records.clear()


class TestRecordViewMachine:
    """The state machine, and faults in the view that it must detect."""

    def test_no_view_reverts(self):
        """Guards against views that revert to older records after a restore."""
        RecordViewMachine.states.clear()
        run_state_machine_as_test(RecordViewMachine, settings=SETTINGS)
        print(f"{len(RecordViewMachine.states)} distinct states")
        assert len(RecordViewMachine.states) >= MIN_STATES

    @pytest.mark.parametrize(
        ("owner", "name", "fault", "steps"),
        [
            (
                Record,
                "supersedes",
                _supersedes_by_offset,
                "take_copy publish publish publish poll restore poll publish poll",
            ),
            (
                RecordView,
                "_merge_earlier_era",
                _apply_all_records,
                "delay_answer take_copy publish poll restore poll deliver_late_page",
            ),
            (
                RecordView,
                "_begin_era",
                _begin_era_without_records,
                "take_copy publish poll restore poll",
            ),
        ],
    )
    def test_machine_detects_fault(self, owner, name, fault, steps):
        """Guards against a state machine that passes with a faulty view.

        A fixed sequence of rules passes without the fault and fails with it.
        """
        run_rules(steps)
        with patch.object(owner, name, fault), pytest.raises(AssertionError):
            run_rules(steps)


def run_rules(steps: str) -> None:
    """Run a sequence of rules with the first reader and check the invariants."""
    machine = RecordViewMachine()
    machine.begin()
    arguments = {
        "poll": {"number": 0},
        "deliver_late_page": {"number": 0},
        "delay_answer": {"listing": True},
    }
    for step in steps.split():
        getattr(machine, step)(**arguments.get(step, {}))
        machine.no_record_reverts()
    machine.teardown()
