"""Carry-forward: appends the state of keys again before their records expire.

Any number of entries may carry the same keys at once. Duplicate carry records are
harmless: a carry record has the version that its key had at ``as_of``. A reader that
knows this version or a later one changes nothing, and a reader that knows an earlier
one has the same state after the first copy as after the last. A carry record that
follows a newer change has an older version and is ignored. Deleted keys are carried
too: without the version of the deletion, a delayed copy of the change that created the
key would create it again.
"""

import random

from ..core import LogError, LogStore, TimerService
from ..metrics import Metrics
from .records import CarryRecord, encode_record
from .view import CARRY_FRACTION, ConfigurationView, Entry

CHECK_INTERVAL_SECONDS = 60.0
# Upper bound of a random delay. It makes it likely that one entry carries the keys, and
# that the others read its records before they start.
MAX_DELAY_SECONDS = 600.0
# Batches are limited because the log accepts only several hundred appends a second for
# the whole system.
BATCH_RECORDS = 200
MAX_BATCH_BYTES = 512 * 1024
BATCH_INTERVAL_SECONDS = 1.0


class CarryForwarder:
    """Appends carry records for the aging keys of one view.

    Parameters
    ----------
    log : LogStore
        The log service.
    view : ConfigurationView
        A view that a follower keeps up to date.
    timers : TimerService
        Clock and timers.
    rng : random.Random, optional
        Random number generator of the delay.
    metrics : Metrics, optional
        Counts carried records.
    max_delay_s : float
        Upper bound of the random delay in seconds.
    """

    def __init__(
        self,
        log: LogStore,
        view: ConfigurationView,
        timers: TimerService,
        *,
        rng: random.Random | None = None,
        metrics: Metrics | None = None,
        max_delay_s: float = MAX_DELAY_SECONDS,
    ):
        self._log = log
        self._view = view
        self._timers = timers
        self._rng = rng or random.Random()
        self._metrics = metrics
        self._max_delay_s = max_delay_s

    async def run(self) -> None:
        """Check for aging keys every ``CHECK_INTERVAL_SECONDS`` until cancelled."""
        while True:
            await self._timers.sleep(CHECK_INTERVAL_SECONDS)
            if not self.aging_keys():
                continue
            await self._timers.sleep(self._rng.uniform(0.0, self._max_delay_s))
            await self.carry_aging_keys()

    def aging_keys(self) -> list[tuple[str, str]]:
        """Return kind and name of the keys that are old enough to be carried.

        Keys whose value is uncertain, or whose body can't be decoded here, are left to
        entries that know them.
        """
        return [
            (kind, name)
            for kind, name, entry in self._view.entries()
            if self._should_carry(kind, name, entry)
        ]

    async def carry_aging_keys(self) -> int:
        """Append carry records for the aging keys; return their number.

        The keys of a batch are checked again before it is appended, because another
        entry may have carried them in the meantime.
        """
        keys = self.aging_keys()
        appended = 0
        for start in range(0, len(keys), BATCH_RECORDS):
            if start:
                await self._timers.sleep(BATCH_INTERVAL_SECONDS)
            values = self._encode(keys[start : start + BATCH_RECORDS])
            if not values:
                continue
            try:
                await self._log.append(self._view.stream, values)
            except LogError:
                # The next check carries the remaining keys.
                self._count("carry_failed", len(values))
                break
            appended += len(values)
            self._count("carry_appended", len(values))
        return appended

    def _encode(self, keys: list[tuple[str, str]]) -> list[bytes]:
        values: list[bytes] = []
        size = 0
        for kind, name in keys:
            entry = self._view.entry(kind, name)
            if entry is not None and self._should_carry(kind, name, entry):
                record = CarryRecord(
                    kind,
                    name,
                    entry.version,
                    entry.change_id,
                    b"" if entry.deleted else entry.body,
                    entry.deleted,
                    self._view.position,
                )
                value = encode_record(record)
                size += len(value)
                if values and size > MAX_BATCH_BYTES:
                    # The next check carries the remaining keys.
                    break
                values.append(value)
        return values

    def _should_carry(self, kind: str, name: str, entry: Entry) -> bool:
        age_ms = self._view.log_time_ms - entry.anchor_ms
        is_old = age_ms > self._view.retention_s * CARRY_FRACTION * 1000
        return is_old and entry.current and self._view.is_certain(kind, name)

    def _count(self, result: str, records: int) -> None:
        if self._metrics is not None:
            self._metrics.config_records.labels(result).inc(records)
