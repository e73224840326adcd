"""Account of the bytes that a gateway holds, and whom it disconnects when it is full.

Load pattern: callers and replicas that read slowly. Each connection's buffers are
bounded, but not their sum, and a process that exceeds the memory of its host is killed
with all its requests. So the sum of requests, buffered responses and unread output is
counted. When the account fills up, new requests are refused first; then callers that
read nothing are disconnected, at first those who lose least by it.
"""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from math import inf

BYTES_PER_MB = 1_000_000
# A fresh process uses about 50 MB; configuration and registrations come on top.
PROCESS_MB = 60.0
# Of what the process leaves, half is for counted bytes. The other half is for what is
# not counted: copies while data is joined, encoded or written, objects of requests and
# connections, and free blocks that the allocator can't return.
HELD_SHARE = 0.5
# On a host that is smaller than the process, some requests must still be served.
MIN_SHARE = 1 / 8


class PressureLevel(IntEnum):
    """How full an account is.

    Attributes
    ----------
    NORMAL
        All requests are read.
    REFUSING
        No new request is read. Callers that read nothing are disconnected, the longer
        they lose something by it the later.
    SHEDDING
        Requests that are not read completely are refused as well, and no more than
        necessary is buffered for callers that lose little.
    FULL
        Nothing is read ahead from replicas.
    """

    NORMAL = 0
    REFUSING = 1
    SHEDDING = 2
    FULL = 3


class Loss(IntEnum):
    """What a caller loses if it is disconnected, in ascending order.

    Attributes
    ----------
    UNREAD
        A request that was not read completely, so that nothing has run.
    RESUMABLE
        A stream that can be resumed after the last event that was read.
    REPEATABLE
        A response that another run of the request gives again.
    ONCE
        The response to a request that must not run again.
    """

    UNREAD = 0
    RESUMABLE = 1
    REPEATABLE = 2
    ONCE = 3


# Time for which a caller must have read nothing before it is disconnected, by its loss
# and by the level from ``NORMAL`` on. Less than a second may be due to a lost packet.
# Replicas abort what they can't send for some seconds, so longer times help nobody.
_STALL_SECONDS = {
    Loss.UNREAD: (inf, 1.0, 0.0, 0.0),
    Loss.RESUMABLE: (inf, 1.0, 1.0, 1.0),
    Loss.REPEATABLE: (inf, 2.0, 1.0, 1.0),
    Loss.ONCE: (inf, 4.0, 2.0, 1.0),
}
# Shares of the limit at which each level begins, and below which it ends. The gap keeps
# the level from changing with each request.
_BEGIN_SHARES = (0.0, 0.7, 0.85, 1.0)
_END_SHARES = (0.0, 0.6, 0.75, 0.9)


def held_limit(memory_mb: float) -> int:
    """Return how many bytes may be held on a host with ``memory_mb`` megabytes."""
    free_mb = max(memory_mb - PROCESS_MB, memory_mb * MIN_SHARE)
    return int(free_mb * HELD_SHARE * BYTES_PER_MB)


class Lease:
    """Bytes that one owner holds.

    Attributes
    ----------
    size : int
        Number of bytes; 0 after the release.
    """

    __slots__ = ("_account", "_is_released", "_part", "size")

    def __init__(self, account: "MemoryAccount", part: str):
        self._account = account
        self._part = part
        self._is_released = False
        self.size = 0

    def resize(self, size: int) -> None:
        """Change the size to that of bytes which are in memory already.

        It may exceed the limit, as refusing would not free them. No effect after the
        release.
        """
        if size != self.size and not self._is_released:
            self._account.change(self._part, size - self.size)
            self.size = size

    def release(self) -> None:
        """Give all bytes back; a second call has no effect."""
        self.resize(0)
        self._is_released = True

    @property
    def is_account_full(self) -> bool:
        """Whether nothing more should be read ahead."""
        return self._account.level >= PressureLevel.FULL


class MemoryAccount:
    """Sum of the held bytes of a process, by part.

    Parameters
    ----------
    limit : int
        Bytes that may be held.
    on_level : callable
        Called with the new level after each change of the pressure level.

    Attributes
    ----------
    used, peak : int
        Bytes that are held now, and the most that ever were.
    held : dict of str to int
        Bytes held now, by part.
    level : PressureLevel
        How full the account is.
    """

    def __init__(
        self,
        limit: int,
        parts: Iterable[str],
        on_level: Callable[[PressureLevel], None] = lambda level: None,
    ):
        if limit <= 0:
            raise ValueError(f"limit: expected more than 0 bytes, got {limit}")
        self.limit = limit
        self.used = 0
        self.peak = 0
        self.held = dict.fromkeys(parts, 0)
        self.level = PressureLevel.NORMAL
        self._on_level = on_level
        self._begin_at = [share * limit for share in _BEGIN_SHARES]
        self._end_at = [share * limit for share in _END_SHARES]

    def open(self, part: str) -> Lease:
        """Return an empty lease of a part."""
        return Lease(self, part)

    def reserve(self, size: int, part: str) -> Lease | None:
        """Return a lease of ``size`` bytes, or None if that would exceed the limit."""
        if self.used + size > self.limit:
            return None
        lease = Lease(self, part)
        lease.resize(size)
        return lease

    def release(self, lease: Lease) -> None:
        """Give the bytes of a lease back."""
        lease.release()

    def change(self, part: str, size: int) -> None:
        """Add ``size`` bytes, which may be negative, to a part; used by leases."""
        self.held[part] += size
        self.used += size
        self.peak = max(self.peak, self.used)
        level = self.level
        while level < PressureLevel.FULL and self.used >= self._begin_at[level + 1]:
            level = PressureLevel(level + 1)
        while level and self.used < self._end_at[level]:
            level = PressureLevel(level - 1)
        if level != self.level:
            self.level = level
            self._on_level(level)

    @property
    def excess(self) -> int:
        """Bytes to give back until new requests are read again."""
        if not self.level:
            return 0
        return max(1, self.used - int(self._end_at[PressureLevel.REFUSING]))


@dataclass(slots=True)
class Holder:
    """A connection of a caller that holds bytes.

    Attributes
    ----------
    key : hashable
        Identifies the connection.
    size : int
        Bytes that are given back if it is closed.
    stalled_s : float
        Time since the caller has read a byte; for a request that is being read, time
        since its first byte.
    loss : Loss
        What the caller loses.
    has_begun : bool
        Whether the response has begun.
    is_running : bool
        Whether a request of the connection has not ended.
    """

    key: Hashable
    size: int
    stalled_s: float
    loss: Loss
    has_begun: bool = True
    is_running: bool = False


def choose_closures(
    holders: Iterable[Holder], excess: int, level: PressureLevel
) -> list[Holder]:
    """Return the connections to close, until ``excess`` bytes are given back.

    Those who lose least come first, among them those that have read nothing for
    longest. A request that must not run again is not cut off while it runs.
    """
    candidates = []
    for holder in holders:
        loss = holder.loss
        if loss is Loss.REPEATABLE and not holder.has_begun:
            loss = Loss.RESUMABLE
        if loss is Loss.ONCE and holder.is_running:
            continue
        if holder.stalled_s < _STALL_SECONDS[loss][level]:
            continue
        candidates.append((loss, -holder.stalled_s, len(candidates), holder))
    chosen = []
    for *_, holder in sorted(candidates):
        if excess <= 0:
            break
        excess -= holder.size
        chosen.append(holder)
    return chosen
