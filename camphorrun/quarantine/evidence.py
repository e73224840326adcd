"""Requests that were at replicas when they crashed, and what ran without a crash."""

from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass

# Fingerprints of one request, by which it may be recognised.
Suspects = tuple[str, ...]
# Number of a crash, and a request that was at the replica.
Occurrence = tuple[int, Suspects]

# A crash says nothing about requests that come later than this.
EVIDENCE_SECONDS = 600.0
MAX_CRASHES = 128
# Bounds the memory of one crash. Replicas run fewer requests at a time.
MAX_REQUESTS_PER_CRASH = 128
MAX_CLEARANCES = 8192
# Crashes that follow each other faster than this count as one. The failure of a rack or
# a switch ends many replicas at once, whatever they are running.
MIN_CRASH_INTERVAL_SECONDS = 0.05
# Uncertainty of the times that other gateways tell. No replica starts and crashes again
# within it.
TIME_TOLERANCE_SECONDS = 0.3


@dataclass(slots=True)
class Crash:
    """A crash of a replica.

    Attributes
    ----------
    replica : str
        Identifier of the replica.
    at : float
        Time at which the first gateway noticed the crash.
    requests : set of Suspects
        Requests that the replica had, but had not begun to answer.
    """

    replica: str
    at: float
    requests: set[Suspects]


class CrashEvidence:
    """Crashes of replicas, and the fingerprints that were cleared since.

    A fingerprint is cleared by an answer that a replica began after the crashes.
    Reports of several gateways on one crash are merged; their order does not matter.

    Examples
    --------
    >>> evidence = CrashEvidence()
    >>> evidence.add_crash("i-1", 0.9, 1.0, [("a", "b")])
    [('a', 'b')]
    >>> evidence.add_crash("i-1", 1.9, 2.0, [("a", "b")])
    [('a', 'b')]
    >>> evidence.clear("a", 1.5)
    True
    >>> len(evidence.occurrences("a")), len(evidence.occurrences("b"))
    (1, 2)
    """

    __slots__ = ("_cleared_at", "_crashes", "_crashes_by_suspect", "_last_number")

    def __init__(self):
        self._last_number = 0
        self._crashes: OrderedDict[int, Crash] = OrderedDict()
        self._crashes_by_suspect: dict[str, set[int]] = {}
        self._cleared_at: OrderedDict[str, float] = OrderedDict()

    def add_crash(
        self, replica: str, sent_at: float, at: float, requests: Collection[Suspects]
    ) -> list[Suspects]:
        """Record a crash or further requests of it; return those that are new.

        It happened between ``sent_at``, when the requests were sent, and ``at``, when
        their connections broke. A gateway that was paused notices it late, and one may
        not know yet that the replica has started again since an earlier crash.
        """
        number = self._find_crash(replica, sent_at, at)
        crash = self._crashes[number]
        crash.at = min(crash.at, at)
        new = [request for request in requests if request not in crash.requests]
        del new[max(0, MAX_REQUESTS_PER_CRASH - len(crash.requests)) :]
        crash.requests.update(new)
        for request in new:
            for suspect in request:
                self._crashes_by_suspect.setdefault(suspect, set()).add(number)
        return new

    def _find_crash(self, replica: str, sent_at: float, at: float) -> int:
        """Return the number of a known crash within a time, or of a new one."""
        earliest = sent_at - TIME_TOLERANCE_SECONDS
        latest = at + TIME_TOLERANCE_SECONDS
        for number, crash in self._crashes.items():
            if crash.replica == replica and earliest <= crash.at <= latest:
                return number
        self._last_number += 1
        self._crashes[self._last_number] = Crash(replica, at, set())
        while len(self._crashes) > MAX_CRASHES:
            self._remove_oldest_crash()
        return self._last_number

    def clear(self, suspect: str, at: float) -> bool:
        """Record an answer that was begun at a time; return if it clears of a crash."""
        if at <= self.cleared_at(suspect):
            return False
        before = len(self.occurrences(suspect))
        self._cleared_at[suspect] = at
        self._cleared_at.move_to_end(suspect)
        while len(self._cleared_at) > MAX_CLEARANCES:
            self._cleared_at.popitem(last=False)
        return len(self.occurrences(suspect)) < before

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request with a fingerprint was at a replica that crashed."""
        return fingerprint in self._crashes_by_suspect

    def cleared_at(self, suspect: str) -> float:
        """Return when the last answer was begun, minus infinity without one."""
        return self._cleared_at.get(suspect, float("-inf"))

    def occurrences(
        self, suspect: str, is_explained: Callable[[Crash], bool] | None = None
    ) -> frozenset[Occurrence]:
        """Return the crashes and requests that speak against a fingerprint.

        Crashes before it was cleared don't, nor do those that are explained otherwise.
        """
        cleared_at = self.cleared_at(suspect)
        found = set()
        for number in self._crashes_by_suspect.get(suspect, ()):
            crash = self._crashes[number]
            if crash.at <= cleared_at or (is_explained and is_explained(crash)):
                continue
            found.update((number, r) for r in crash.requests if suspect in r)
        return frozenset(found)

    def crash_times(self, occurrences: Collection[Occurrence]) -> list[float]:
        """Return the times of the crashes of some occurrences, in order."""
        numbers = {number for number, _ in occurrences}
        return sorted(self._crashes[number].at for number in numbers)

    def suspects(self, min_crashes: int) -> list[str]:
        """Return the fingerprints of so many of the recorded crashes or more."""
        return [
            suspect
            for suspect, numbers in self._crashes_by_suspect.items()
            if len(numbers) >= min_crashes
        ]

    def crashes_since(self, at: float) -> list[Crash]:
        """Return the crashes that were noticed after a time."""
        return [crash for crash in self._crashes.values() if crash.at > at]

    def clearances_since(self, at: float) -> list[tuple[str, float]]:
        """Return fingerprints with the time at which they were cleared after ``at``."""
        return [item for item in self._cleared_at.items() if item[1] > at]

    def remove_expired(self, now: float) -> None:
        """Forget crashes and clearances that are too old to matter."""
        oldest = now - EVIDENCE_SECONDS
        while self._crashes and next(iter(self._crashes.values())).at < oldest:
            self._remove_oldest_crash()
        while self._cleared_at and next(iter(self._cleared_at.values())) < oldest:
            self._cleared_at.popitem(last=False)

    def _remove_oldest_crash(self) -> None:
        number, crash = self._crashes.popitem(last=False)
        for suspect in {suspect for request in crash.requests for suspect in request}:
            numbers = self._crashes_by_suspect[suspect]
            numbers.discard(number)
            if not numbers:
                del self._crashes_by_suspect[suspect]


def separate_times(times: list[float]) -> list[float]:
    """Return the times of crashes, without those that follow another one at once.

    Examples
    --------
    >>> separate_times([1.0, 1.01, 1.04, 2.0])
    [1.0, 2.0]
    """
    separate: list[float] = []
    for at in times:
        if not separate or at - separate[-1] >= MIN_CRASH_INTERVAL_SECONDS:
            separate.append(at)
    return separate
