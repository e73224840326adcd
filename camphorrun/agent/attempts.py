"""Attempts that an agent knows, with their results until they are acknowledged."""

import asyncio
from collections import OrderedDict
from enum import Enum

from ..messages import (
    AttemptId,
    ClaimLost,
    Dispatch,
    NotStarted,
    ResultEnd,
    ResultPart,
)
from ..transport import Link

FinalMessage = ResultEnd | NotStarted | ClaimLost

# A dispatch older than this was given up by its entry long ago.
TOMBSTONE_SECONDS = 600.0
MAX_TOMBSTONES = 20_000


class AttemptState(Enum):
    """Progress of an attempt at its agent."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    RUNNING = "running"
    FINISHED = "finished"


class AttemptRecord:
    """One attempt: its dispatch, the link of its entry, and its result so far."""

    __slots__ = (
        "deadline_at",
        "dispatch",
        "final",
        "finished_at",
        "link",
        "owner",
        "parts",
        "received_at",
        "size",
        "started_at",
        "state",
        "task",
    )

    def __init__(self, dispatch: Dispatch, link: Link, now: float):
        self.dispatch = dispatch
        self.link = link
        self.owner = link.peer.incarnation
        self.received_at = now
        self.deadline_at = now + dispatch.remaining_s
        self.state = AttemptState.QUEUED
        self.started_at = 0.0
        self.finished_at = 0.0
        self.parts: list[ResultPart] = []
        self.final: FinalMessage | None = None
        self.task: asyncio.Task | None = None
        self.size = 0

    def add_part(self, part: ResultPart) -> None:
        """Keep a part until the result is acknowledged."""
        self.parts.append(part)
        self.size += len(part.data)


class AttemptStore:
    """Attempts by identity, bounded in time and bytes.

    Parameters
    ----------
    keep_s : float
        Seconds that a finished, unacknowledged result is kept.
    max_bytes : int
        Bytes of finished results that are kept; the oldest are dropped first.
    """

    def __init__(self, keep_s: float, max_bytes: int):
        self._keep_s = keep_s
        self._max_bytes = max_bytes
        self._records: OrderedDict[AttemptId, AttemptRecord] = OrderedDict()
        self._tombstones: OrderedDict[AttemptId, float] = OrderedDict()
        self._finished: OrderedDict[AttemptId, AttemptRecord] = OrderedDict()
        self.finished_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def unfinished(self) -> int:
        """Attempts that are queued, claiming or running."""
        return len(self._records) - len(self._finished)

    def unfinished_models(self) -> frozenset[str]:
        """Return the models of attempts that are queued, claiming or running."""
        return frozenset(
            record.dispatch.model
            for record in self._records.values()
            if record.state is not AttemptState.FINISHED
        )

    def find(self, attempt: AttemptId) -> AttemptRecord | None:
        """Return the record of an attempt, if it is known."""
        return self._records.get(attempt)

    def is_refused(self, attempt: AttemptId) -> bool:
        """Return whether the agent promised never to run the attempt."""
        return attempt in self._tombstones

    def add(self, record: AttemptRecord) -> None:
        """Add a new attempt."""
        self._records[record.dispatch.attempt] = record

    def refuse(self, attempt: AttemptId, now: float) -> None:
        """Remember that the attempt must never run."""
        self._tombstones[attempt] = now
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)

    def finish(self, record: AttemptRecord, final: FinalMessage, now: float) -> None:
        """Keep the final message of an attempt until it is acknowledged."""
        record.state = AttemptState.FINISHED
        record.final = final
        record.finished_at = now
        record.size += len(getattr(final, "data", b""))
        self._finished[record.dispatch.attempt] = record
        self.finished_bytes += record.size
        while self.finished_bytes > self._max_bytes and len(self._finished) > 1:
            self.remove(next(iter(self._finished)), now)

    def remove(self, attempt: AttemptId, now: float) -> None:
        """Forget an attempt and refuse it from now on."""
        record = self._records.pop(attempt, None)
        if record is None:
            return
        if self._finished.pop(attempt, None) is not None:
            self.finished_bytes -= record.size
        self.refuse(attempt, now)

    def expire(self, now: float) -> int:
        """Forget old results and tombstones; return the results dropped."""
        old = [
            attempt
            for attempt, record in self._finished.items()
            if now - record.finished_at >= self._keep_s
        ]
        for attempt in old:
            self.remove(attempt, now)
        while self._tombstones:
            attempt, refused_at = next(iter(self._tombstones.items()))
            if now - refused_at < TOMBSTONE_SECONDS:
                break
            del self._tombstones[attempt]
        return len(old)
