"""Keeps blocked causes in the store, so that they outlive all gateways."""

import msgspec

from ..core import EventLog, TimerService
from ..metrics import Metrics
from ..platform import QUARANTINE_TOPIC, StoreClient, StoreError
from ..quarantine import Block, Cause, cause_fingerprint
from ..routing import rendezvous_order
from .peers import member_address
from .state import GatewayState

UPDATE_INTERVAL_SECONDS = 0.5
LOAD_RETRY_SECONDS = 1.0
# Gateways that write a block. The second one is needed if the first has failed.
WRITERS = 2


class _StoredBlock(msgspec.Struct):
    """Value of a stored block; clocks of gateways differ, so it has no time."""

    cause: frozenset[str]
    trials: int
    version: int = 1


class QuarantineStore:
    """Loads the stored blocks at the start, and stores changes from then on."""

    def __init__(
        self,
        store: StoreClient,
        state: GatewayState,
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._store = store
        self._state = state
        self._timers = timers
        self._metrics = metrics
        self._events = events
        # Number of trials of each cause whose record is up to date.
        self._stored: dict[Cause, int] = {}

    async def keep_blocks(self) -> None:
        """Load the stored blocks, then store those that change until cancelled.

        The gateway does not wait for a store that fails: the first attempt ends the
        wait, and the others follow while it serves requests.
        """
        while not await self._load():
            await self._timers.sleep(LOAD_RETRY_SECONDS)
        while True:
            await self._timers.sleep(UPDATE_INTERVAL_SECONDS)
            await self._store_changes()

    async def _load(self) -> bool:
        """Add the stored blocks; return whether the store answered."""
        try:
            page = await self._store.list_records(QUARANTINE_TOPIC)
        except StoreError as exc:
            self._metrics.retries.labels("store").inc()
            self._events.log_state_change("quarantine_unread", error=str(exc))
            return False
        finally:
            self._state.quarantine_queried = True
        for record in page.records:
            if record.value:
                self._add(record.key, record.value)
        return True

    def _add(self, key: str, value: bytes) -> None:
        try:
            stored = msgspec.json.decode(value, type=_StoredBlock)
        except (msgspec.DecodeError, RecursionError, ValueError) as exc:
            self._metrics.drops.labels("quarantine_record").inc()
            self._events.log_state_change(
                "quarantine_unreadable", key=key, error=str(exc)
            )
            return
        now = self._timers.now()
        block = Block(now, now, stored.trials)
        if stored.trials:
            block.tried_at = now
        if self._state.quarantine.block(stored.cause, block):
            self._events.log_state_change(
                "quarantine",
                cause=sorted(stored.cause),
                change="blocked",
                source="store",
            )
        self._stored[stored.cause] = stored.trials

    async def _store_changes(self) -> None:
        blocks = dict(self._state.quarantine.blocks())
        trials = {cause: block.trials for cause, block in blocks.items()}
        for cause, count in trials.items():
            if self._stored.get(cause) != count:
                value = msgspec.json.encode(_StoredBlock(cause, count))
                if not await self._write(cause, value):
                    return
                self._stored[cause] = count
        for cause in self._stored.keys() - trials.keys():
            if not await self._write(cause, b""):
                return
            del self._stored[cause]

    async def _write(self, cause: Cause, value: bytes) -> bool:
        """Write a record if it is this gateway's task; return whether it is written."""
        if not self._is_writer(cause):
            return True
        try:
            await self._store.append_record(
                QUARANTINE_TOPIC, cause_fingerprint(cause), value
            )
        except StoreError as exc:
            self._metrics.retries.labels("store").inc()
            self._events.log_state_change("quarantine_unwritten", error=str(exc))
            return False
        return True

    def _is_writer(self, cause: Cause) -> bool:
        members = map(member_address, self._state.members)
        order = rendezvous_order(cause_fingerprint(cause), set(filter(None, members)))
        return member_address(self._state.member) in order[:WRITERS]
