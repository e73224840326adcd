"""Decides what may not be sent to replicas because it crashes them."""

from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass

from .evidence import Crash, CrashEvidence, Occurrence, Suspects, separate_times
from .fingerprints import is_request_fingerprint

# Fingerprints that all requests have which caused some crashes.
Cause = frozenset[str]

# Crashes without an answer in between, after which a request is taken for their cause.
MIN_REQUEST_CRASHES = 3
# The same for parts that different requests have. One of these requests alone would be
# the narrower cause.
MIN_PART_CRASHES = 4
# Time for an answer that clears a suspect, from the crash with which it reached the
# number of crashes. Requests that are sent again after a crash are answered within it.
CONFIRMATION_SECONDS = 0.5
# A cause is tried again after this time, because the fault may have been mended. The
# time doubles with each trial, up to the maximum.
FIRST_TRIAL_SECONDS = 12.0
MAX_TRIAL_SECONDS = 600.0
# A block ends if neither a crash nor a trial has confirmed it for this time.
BLOCK_SECONDS = 3600.0
MAX_BLOCKS = 1024


@dataclass(slots=True)
class Block:
    """Block of the requests that have all fingerprints of a cause.

    Attributes
    ----------
    since : float
        Start of the block.
    crashed_at : float
        Time of the last crash.
    trials : int
        Number of trials so far.
    tried_at : float
        Time of the last trial, minus infinity without one.
    """

    since: float
    crashed_at: float
    trials: int = 0
    tried_at: float = float("-inf")

    @property
    def trial_at(self) -> float:
        """When the next trial may start."""
        pause_s = min(MAX_TRIAL_SECONDS, FIRST_TRIAL_SECONDS * 2.0**self.trials)
        return max(self.since, self.tried_at) + pause_s

    @property
    def confirmed_at(self) -> float:
        """When the block was last confirmed or tried."""
        return max(self.since, self.crashed_at, self.tried_at)

    def merge(self, other: "Block") -> None:
        """Add what another gateway knows of the same block."""
        self.since = min(self.since, other.since)
        self.crashed_at = max(self.crashed_at, other.crashed_at)
        self.trials = max(self.trials, other.trials)
        self.tried_at = max(self.tried_at, other.tried_at)


class Quarantine:
    """Blocks requests that crash the replicas to which they are sent.

    The fingerprints that several crashes have in common, and that no answer has
    cleared, are their cause. Fingerprints that were always in the same requests can't
    be told apart and form one cause. It blocks only requests that have all of them;
    others show which one it is. So a request that comes again is blocked by itself, and
    parts of it only after the crash of another request. A crash that a known cause
    explains does not count against what else was at the replica.

    Examples
    --------
    >>> quarantine = Quarantine()
    >>> for second in range(4):
    ...     new = quarantine.add_crash("i-1", second, second, [("a", "b")])
    >>> quarantine.evaluate(now=3.4), len(quarantine.evaluate(now=3.5))
    ([], 1)
    >>> quarantine.find_blocked(["a"]), sorted(quarantine.find_blocked(["a", "b", "c"]))
    (None, ['a', 'b'])
    >>> quarantine.clear("a", 4.5), sorted(quarantine.find_blocked(["b"]))
    (True, ['b'])
    """

    def __init__(self):
        self.evidence = CrashEvidence()
        self._blocks: OrderedDict[Cause, Block] = OrderedDict()
        self._listeners: list[Callable[[Cause], None]] = []

    def subscribe(self, listener: Callable[[Cause], None]) -> None:
        """Register a listener that is called with each cause that is blocked."""
        self._listeners.append(listener)

    def add_crash(
        self, replica: str, sent_at: float, at: float, requests: Collection[Suspects]
    ) -> list[Suspects]:
        """Record requests that a replica had when it crashed; return the new ones.

        See Also
        --------
        CrashEvidence.add_crash
        """
        for cause, block in self._blocks.items():
            if any(cause.issubset(request) for request in requests):
                block.crashed_at = max(block.crashed_at, at)
        return self.evidence.add_crash(replica, sent_at, at, requests)

    def clear(self, suspect: str, begun_at: float) -> bool:
        """Record that a replica began an answer and lived; return if that is news.

        A cause that has the fingerprint loses it, as one of the others must have caused
        the crashes.
        """
        is_news = self.evidence.clear(suspect, begun_at)
        for cause, block in list(self._blocks.items()):
            if suspect in cause and begun_at > block.crashed_at:
                is_news = True
                del self._blocks[cause]
                if len(cause) > 1:
                    self.block(cause - {suspect}, block)
        return is_news

    def evaluate(self, now: float) -> list[Cause]:
        """Block the causes of crashes and end old blocks; return the new causes.

        Of the candidates at the same time, only those with most crashes are blocked.
        The others may only have been at the same replicas.
        """
        self.evidence.remove_expired(now)
        for cause, block in list(self._blocks.items()):
            if now - block.confirmed_at > BLOCK_SECONDS:
                del self._blocks[cause]
        times_by_cause = self._candidates()
        most = max(map(len, times_by_cause.values()), default=0)
        return [
            cause
            for cause, times in times_by_cause.items()
            if len(times) == most
            and now >= times[_min_crashes(cause) - 1] + CONFIRMATION_SECONDS
            and self.block(cause, Block(now, times[-1]))
        ]

    def _candidates(self) -> dict[Cause, list[float]]:
        """Return possible causes that are not blocked, with the times of crashes."""
        groups: dict[frozenset[Occurrence], set[str]] = {}
        for suspect in self.evidence.suspects(MIN_REQUEST_CRASHES):
            occurrences = self._occurrences(suspect)
            groups.setdefault(occurrences, set()).add(suspect)
        times_by_cause = {}
        for occurrences, suspects in groups.items():
            cause = frozenset(suspects)
            times = separate_times(self.evidence.crash_times(occurrences))
            if len(times) >= _min_crashes(cause) and cause not in self._blocks:
                times_by_cause[cause] = times
        return times_by_cause

    def _occurrences(self, suspect: str) -> frozenset[Occurrence]:
        """Return what speaks against a fingerprint and no other cause explains."""
        causes = [cause for cause in self._blocks if suspect not in cause]

        def is_explained(crash: Crash) -> bool:
            return any(c.issubset(r) for c in causes for r in crash.requests)

        return self.evidence.occurrences(suspect, is_explained if causes else None)

    def block(self, cause: Cause, block: Block) -> bool:
        """Add a block, or what another gateway knows of it; return whether it is new.

        Fingerprints that were cleared since are left out. Blocks of requests that the
        new one includes are replaced by it.
        """
        cleared_at = self.evidence.cleared_at
        cause = frozenset(s for s in cause if cleared_at(s) <= block.crashed_at)
        if not cause:
            return False
        included = next((known for known in self._blocks if known <= cause), None)
        if included is not None:
            self._blocks[included].merge(block)
            return False
        for wider in [known for known in self._blocks if known > cause]:
            block.merge(self._blocks.pop(wider))
        self._blocks[cause] = block
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)
        for listener in self._listeners:
            listener(cause)
        return True

    def find_blocked(
        self, suspects: Collection[str], exempt: Cause | None = None
    ) -> Cause | None:
        """Return a blocked cause that a request has, None if it has none.

        ``exempt`` is a cause that does not count.
        """
        causes = (cause for cause in self._blocks if cause.issubset(suspects))
        return next((cause for cause in causes if cause != exempt), None)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether an answer with a fingerprint would clear it of something."""
        is_blocked = any(fingerprint in cause for cause in self._blocks)
        return is_blocked or self.evidence.is_suspect(fingerprint)

    def blocks(self) -> list[tuple[Cause, Block]]:
        """Return the blocked causes."""
        return list(self._blocks.items())

    def get(self, cause: Cause) -> Block | None:
        """Return the block of a cause, None if it is not blocked."""
        return self._blocks.get(cause)

    def trial_wait_s(self, cause: Cause, now: float) -> float:
        """Return the time until the next trial, 0 if it may start or none is needed."""
        block = self._blocks.get(cause)
        return max(0.0, block.trial_at - now) if block is not None else 0.0

    def start_trial(self, cause: Cause, now: float) -> bool:
        """Return whether one request with a blocked cause may be sent now."""
        block = self._blocks.get(cause)
        if block is None or now < block.trial_at:
            return False
        block.trials += 1
        block.tried_at = now
        return True


def _min_crashes(cause: Cause) -> int:
    is_request = any(map(is_request_fingerprint, cause))
    return MIN_REQUEST_CRASHES if is_request else MIN_PART_CRASHES
