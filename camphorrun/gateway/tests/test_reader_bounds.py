"""Time in which a gateway notices that its zone reader is in trouble, for all phases.

A gateway follows a simulated reader under a manual clock, so each play has the same
result every time.
"""

import asyncio

import msgspec
import pytest

from ...catalog import Record, RecordPage
from ...core import EventLog, ManualTimerService
from ...metrics import Metrics
from ...platform import CONFIGURATION_TOPIC, REPLICA_TOPIC
from ...routing import reader_preference
from ..errors import PeerError
from ..messages import SyncMessage
from ..peers import member_name
from ..state import GatewayState
from ..store_sync import REPLICA_POLL_SECONDS, StoreSync
from ..zone_readers import ZoneReaders
from .cluster import configuration

# Bound of the platform for a host that nothing has disturbed.
APPLY_SECONDS = 2.0
STEP_SECONDS = 0.02
STORE_SECONDS = 0.02
PHASES = [n * REPLICA_POLL_SECONDS / 10 for n in range(10)]


class SimulatedStore:
    """Store with a configuration whose version rises at a given time."""

    def __init__(self, timers: ManualTimerService, changed_at: float):
        self.era = 1
        self._timers = timers
        self._changed_at = changed_at

    def version(self) -> int:
        return 2 if self._timers.now() >= self._changed_at else 1

    async def read_records(self, topic, era, offset, wait_s=0.0) -> RecordPage:
        end_at = self._timers.now() + wait_s
        while self._timers.now() < end_at and offset >= self.version():
            await self._timers.sleep(STEP_SECONDS)
        await self._timers.sleep(STORE_SECONDS)
        return self.page(topic, offset)

    async def list_records(self, topic) -> RecordPage:
        await self._timers.sleep(STORE_SECONDS)
        return self.page(topic, 0)

    def page(self, topic, offset) -> RecordPage:
        if topic == REPLICA_TOPIC:
            return RecordPage((), 0, is_listing=offset == 0, era=1)
        records = tuple(
            Record("config", n - 1, msgspec.json.encode(configuration(n)), 1, (n,))
            for n in range(offset + 1, self.version() + 1)
        )
        return RecordPage(records, self.version(), is_listing=offset == 0, era=1)


class SimulatedPeers:
    """The other gateways of the zone, which read the store until they are cut off.

    ``cut_at`` is the time of the cut. ``silent`` holds those that answer nothing from
    then on, the others answer with what they knew.
    """

    def __init__(self, timers, state, store, cut_at: float, silent: frozenset[str]):
        self._timers = timers
        self._state = state
        self._store = store
        self._cut_at = cut_at
        self._silent = silent

    async def sync_from(self, address, timeout_s, max_bytes) -> SyncMessage:
        now = self._timers.now()
        if now >= self._cut_at and address in self._silent:
            await self._timers.sleep(timeout_s)
            raise PeerError(f"{address}: silent")
        if now < self._cut_at:
            page = self._store.page(CONFIGURATION_TOPIC, 1)
            self._state.apply(CONFIGURATION_TOPIC, page, address)
        # The last poll of the reader was answered right before the cut.
        age_s = max(0.0, now - self._cut_at)
        ages_s = {REPLICA_TOPIC: age_s, CONFIGURATION_TOPIC: age_s}
        return SyncMessage({}, [], ages_s)


async def measure_delay_s(phase_s: float, silent: frozenset[str]) -> float:
    """Return the time from a change, right after a cut, until it is in force here."""
    timers = ManualTimerService()
    metrics, events = Metrics(), EventLog("g", timers, None)
    # A gateway whose address comes last in the order of its zone.
    names = [member_name(f"g{n}", f"10.0.0.{n}:1", "x", "z") for n in range(1, 5)]
    own = _last_in_order(names)
    state = GatewayState(own, metrics, events)
    cut_at = 3.0 + phase_s
    store = SimulatedStore(timers, cut_at)
    addresses = [name.split("|")[1] for name in names]
    order = [a for a in _order(addresses) if a != own.split("|")[1]]
    peers = SimulatedPeers(
        timers, state, store, cut_at, frozenset(order[int(n)] for n in silent)
    )
    shared = {"timers": timers, "metrics": metrics, "events": events}
    readers = ZoneReaders(state, peers, "z", **shared)
    sync = StoreSync(store, state, readers, ttl_s=3.0, **shared)
    state.peers_queried = state.quarantine_queried = True
    state.set_members(tuple(names))
    tasks = [
        asyncio.ensure_future(sync.follow_configuration()),
        asyncio.ensure_future(sync.follow_replicas()),
    ]
    try:
        await _advance_until(timers, lambda: timers.now() >= cut_at)
        assert state.deployment.version == 1
        assert readers.follows_reader
        await _advance_until(timers, lambda: state.deployment.version == 2)
        return timers.now() - cut_at
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _advance_until(timers: ManualTimerService, condition) -> None:
    for _ in range(1000):
        if condition():
            return
        timers.advance(STEP_SECONDS)
        for _ in range(6):
            await asyncio.sleep(0)
    raise AssertionError("condition not met")


class TestReaderInTrouble:
    """A calm gateway whose reader of the store is disturbed."""

    @pytest.mark.parametrize(
        "silent",
        ["", "0", "1", "01", "012"],
        ids=lambda silent: f"silent-{silent or 'none'}",
    )
    def test_follower_is_in_time(self, silent):
        """Guards against a follower that keeps a reader without fresh records.

        The reader and two other candidates are cut off from the store; some are silent.
        """
        delays_s = [
            asyncio.run(measure_delay_s(phase_s, frozenset(silent)))
            for phase_s in PHASES
        ]
        assert max(delays_s) < APPLY_SECONDS, delays_s


def _order(addresses: list[str]) -> list[str]:
    return list(reader_preference(set(addresses)))


def _last_in_order(names: list[str]) -> str:
    last = _order([name.split("|")[1] for name in names])[-1]
    return next(name for name in names if name.split("|")[1] == last)


class TestPauses:
    """Answers that were sent before a pause of the process and are read after it."""

    @pytest.mark.parametrize("source", ["reader", "store"])
    def test_answer_from_before_a_pause_confirms_nothing(self, source):
        """Guards against requests served with what was known before a pause."""

        async def scenario():
            timers = ManualTimerService()
            shared = {
                "timers": timers,
                "metrics": Metrics(),
                "events": EventLog("g", timers, None),
            }
            names = [member_name(f"g{n}", f"10.0.0.{n}:1", "x", "z") for n in (1, 2)]
            state = GatewayState(
                _last_in_order(names), shared["metrics"], shared["events"]
            )
            store = SimulatedStore(timers, changed_at=1000.0)
            peers = SimulatedPeers(timers, state, store, 1000.0, frozenset())
            readers = ZoneReaders(state, peers, "z", **shared)
            sync = StoreSync(store, state, readers, ttl_s=3.0, **shared)
            state.peers_queried = state.quarantine_queried = True
            for topic in state.views:
                state.apply(topic, store.page(topic, 0), "store")
            state.set_members(tuple(names))
            assert state.ready

            async def pause(*_args):
                """Suspend the process while an answer is on its way."""
                timers.advance(30.0)
                state.require_confirmation(timers.now())

            if source == "reader":
                peers.sync_from = _after(peers.sync_from, pause)
                assert await readers.refresh()
            else:
                read = store.read_records
                store.read_records = _after(read, pause)
                await _run(timers, sync._read_topic(CONFIGURATION_TOPIC, 1.0))
                store.read_records = read
            assert state._unconfirmed_topics == set(state.views)
            for topic in state.views:
                await _run(timers, sync._read_topic(topic, 0.0))
            assert not state.awaits_confirmation

        asyncio.run(scenario())


def _after(call, then):
    """Return a coroutine function that runs ``then`` between a call and its result."""

    async def wrapped(*args):
        result = await call(*args)
        await then()
        return result

    return wrapped


async def _run(timers: ManualTimerService, awaitable) -> None:
    task = asyncio.ensure_future(awaitable)
    await _advance_until(timers, task.done)
    task.result()
