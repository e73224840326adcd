"""State machine test of publishers and readers of one log with append faults.

A model applies each appended change as a compare-and-set. Views, after expiry, restarts
and snapshots, must agree with the model, and so must the results of publications.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ...core import AppendFault, ManualTimerService, MemoryLog
from .. import (
    CarryForwarder,
    ConfigurationChange,
    ConfigurationView,
    Drain,
    PublishStatus,
    encode_document,
    encode_record,
    publish,
)

RETENTION_SECONDS = 1000.0
STEP_SECONDS = 10.0
FORCED_CARRY_SECONDS = 420.0
READERS = st.integers(0, 3)
NAMES = ("a", "b", "c")


def _run(coroutine):
    """Run a coroutine that never suspends, without the overhead of an event loop."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("coroutine suspended")


class ConfigurationMachine(RuleBasedStateMachine):
    """Compares views with a model that applies the whole stream.

    Guards against readers that decide a change differently, versions that go back, and
    publications reported with a wrong result.
    """

    def __init__(self):
        super().__init__()
        self.timers = ManualTimerService(start_s=1.0)
        self.log = MemoryLog(self.timers, RETENTION_SECONDS)
        self.readers = [self._view() for _ in range(4)]
        self.carrier = self._view()
        self.highest = [{} for _ in self.readers]
        self.changes = []
        self.accepted = {}
        self.conflicted = set()
        # Winning versions of each name in order, as the model decides them.
        self.winners = {name: [0] for name in NAMES}
        self.winning_ids = {}
        self.model_position = 0

    def _view(self):
        return ConfigurationView("fleet", retention_s=RETENTION_SECONDS)

    def _read(self, view, limit=500):
        page = _run(self.log.read("fleet", view.position + 1, limit))
        view.apply_page(page)

    def _update_model(self):
        """Apply the records appended since the last call to the model."""
        page = _run(self.log.read("fleet", self.model_position + 1, 100_000))
        by_value = {encode_record(change): change for change in self.changes}
        for record in page.records:
            self.model_position = record.offset
            change = by_value.get(record.value)
            if change and change.expected == self.winners[change.name][-1]:
                self.winners[change.name].append(record.offset)
                self.winning_ids[change.change_id] = record.offset

    def _carry(self, view):
        _run(CarryForwarder(self.log, view, self.timers).carry_aging_keys())

    @rule(
        reader=READERS,
        name=st.sampled_from(NAMES),
        outdated=st.booleans(),
        deleted=st.booleans(),
        fault=st.sampled_from([None, None, *AppendFault]),
    )
    def publish_change(self, reader, name, outdated, deleted, fault):
        view = self.readers[reader]
        number = len(self.changes)
        body = b"" if deleted else encode_document(Drain(name, str(number)))
        expected = max(0, view.version("drain", name) - outdated)
        change = ConfigurationChange(
            f"c{number}", "drain", name, expected, body, deleted=deleted
        )
        self.changes.append(change)
        self.log.append_faults = [fault] if fault else []
        result = _run(publish(self.log, view, change))
        self.log.append_faults = []
        if result.status is PublishStatus.ACCEPTED:
            self.accepted[change.change_id] = result.version
        if result.status is PublishStatus.CONFLICT:
            self.conflicted.add(change.change_id)
        if fault is AppendFault.REFUSED:
            assert result.status is PublishStatus.UNAVAILABLE

    @rule(data=st.data())
    def append_copy(self, data):
        if self.changes:
            change = data.draw(st.sampled_from(self.changes))
            _run(self.log.append("fleet", [encode_record(change)]))

    @rule(reader=READERS, limit=st.integers(1, 20))
    def read(self, reader, limit):
        self._read(self.readers[reader], limit)

    @rule(reader=READERS)
    def carry(self, reader):
        self._carry(self.readers[reader])

    @rule(reader=READERS)
    def restart_empty(self, reader):
        self.readers[reader] = self._view()
        self.highest[reader] = {}

    @rule(source=READERS, reader=READERS)
    def install(self, source, reader):
        self.readers[reader].install(self.readers[source].export())

    @rule(steps=st.integers(1, 60))
    def pass_time(self, steps):
        """Advance the clock while keys are carried forward, then expire old records."""
        self._update_model()
        for _ in range(steps):
            self.timers.advance(STEP_SECONDS)
            self._read(self.carrier, 100_000)
            oldest = [entry.anchor_ms for _, _, entry in self.carrier.entries()]
            limit_ms = self.timers.now() * 1000 - FORCED_CARRY_SECONDS * 1000
            if any(anchor < limit_ms for anchor in oldest):
                self._carry(self.carrier)
        self._update_model()
        self.log.expire()

    def _version_at(self, name, position):
        return max(v for v in self.winners[name] if v <= position)

    def _check(self, view, name):
        version = view.version("drain", name)
        expected = self._version_at(name, view.position)
        if view.settled:
            assert version == expected
        assert version in self.winners[name] and version <= expected
        if version:
            [change_id] = [c for c, v in self.winning_ids.items() if v == version]
            change = self.changes[int(change_id[1:])]
            document = view.get("drain", name)
            assert (document is None) == change.deleted
            assert document is None or document.reason == change_id[1:]

    @invariant()
    def readers_agree_with_the_model(self):
        self._update_model()
        for view, highest in zip(self.readers, self.highest, strict=True):
            for name in NAMES:
                self._check(view, name)
                assert view.version("drain", name) >= highest.get(name, 0)
                highest[name] = view.version("drain", name)

    @invariant()
    def publication_results_agree_with_the_model(self):
        self._update_model()
        for change_id, version in self.accepted.items():
            assert self.winning_ids[change_id] == version
        assert not self.conflicted & set(self.winning_ids)

    def teardown(self):
        """Check that all readers end with the complete state of the model."""
        for _ in range(12):
            self.pass_time(10)
            for view in self.readers:
                self._read(view, 100_000)
        for view in self.readers:
            assert view.settled
            for name in NAMES:
                assert view.version("drain", name) == self.winners[name][-1]


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
