"""Carry-forward: keys are appended again before the records that define them expire.

Any number of entries may do this at once. Duplicate carry records are harmless: a
carry record states the version that its key had at ``as_of``, so a reader that knows
this version or a later one changes nothing, and one that knows an earlier version ends
at the same state after the first copy as after the last. A carry record that a change
has overtaken names an older version and is ignored. Deleted keys are carried too:
without the version of the deletion, a delayed copy of the change that created the key
would create it again.
"""

import random

from ..core import LogError, LogStore, TimerService
from ..metrics import Metrics
from .records import CarryRecord, encode_record
from .view import CARRY_FRACTION, ConfigurationView, Entry

CHECK_INTERVAL_SECONDS = 60.0
# Random delay, so that usually one entry carries and the others see its records.
MAX_DELAY_SECONDS = 600.0
# The log accepts several hundred appends a second for the whole system.
BATCH_RECORDS = 200
MAX_BATCH_BYTES = 512 * 1024
BATCH_INTERVAL_SECONDS = 1.0


class CarryForwarder:
    """Carries aging keys of one view.

    Parameters
    ----------
    log : LogStore
        The log service.
    view : ConfigurationView
        A view that a follower keeps up to date.
    timers : TimerService
        Clock and delays.
    rng : random.Random, optional
        Source of the random delay.
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
        """Check for aging keys periodically until cancelled."""
        while True:
            await self._timers.sleep(CHECK_INTERVAL_SECONDS)
            if not self.aging_keys():
                continue
            await self._timers.sleep(self._rng.uniform(0.0, self._max_delay_s))
            await self.carry_aging_keys()

    def aging_keys(self) -> list[tuple[str, str]]:
        """Return the keys that are old enough to be carried.

        Keys whose value is in doubt, or whose body is not understood here, are left
        to readers that know them.
        """
        return [
            (kind, name)
            for kind, name, entry in self._view.entries()
            if self._should_carry(kind, name, entry)
        ]

    async def carry_aging_keys(self) -> int:
        """Append carry records for the aging keys; return how many were appended.

        Each batch is checked again before it is appended, since another entry may
        have carried its keys in the meantime.
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
                # The next check finds the keys that are still due.
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
                    # The next check finds the rest.
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
