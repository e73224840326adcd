"""Which hosts hold which prefix in their cache, from late and incomplete events."""

from collections import OrderedDict


class PrefixIndex:
    """Bounded index of cached prefixes.

    Events of a host carry consecutive sequence numbers. After a gap nothing that is
    known of the host can be trusted, so its entries are removed; an event that arrives
    after a later one is ignored.

    Parameters
    ----------
    capacity : int
        Pairs of prefix and host that are kept; the least recently used go first.

    Examples
    --------
    >>> index = PrefixIndex(capacity=10)
    >>> index.on_event("h1", 1, "poem", stored=True)
    >>> index.hosts("poem")
    ('h1',)
    >>> index.on_event("h1", 3, "letter", stored=True)
    >>> index.hosts("poem")
    ()
    """

    __slots__ = ("_by_host", "_capacity", "_pairs", "_sequences", "_size", "gaps")

    def __init__(self, capacity: int = 4096):
        if capacity < 1:
            raise ValueError(f"capacity: expected 1 or more, got {capacity}")
        self._capacity = capacity
        self._pairs: OrderedDict[str, dict[str, None]] = OrderedDict()
        self._by_host: dict[str, OrderedDict[str, None]] = {}
        self._sequences: dict[str, int] = {}
        self._size = 0
        self.gaps = 0

    def __len__(self) -> int:
        return self._size

    def on_event(self, host: str, sequence: int, prefix: str, stored: bool) -> None:
        """Apply one cache event of a host."""
        last = self._sequences.get(host)
        if last is not None and sequence <= last:
            return
        if last is not None and sequence > last + 1:
            self.gaps += 1
            self.forget(host)
        self._sequences[host] = sequence
        if stored:
            self._add(host, prefix)
        else:
            self._discard(host, prefix)

    def forget(self, host: str) -> None:
        """Remove all entries of a host, for instance after its link was lost."""
        self._sequences.pop(host, None)
        for prefix in list(self._by_host.get(host, ())):
            self._discard(host, prefix)

    def hosts(self, prefix: str) -> tuple[str, ...]:
        """Return the hosts that hold a prefix, most recent last."""
        if prefix not in self._pairs:
            return ()
        self._pairs.move_to_end(prefix)
        return tuple(self._pairs[prefix])

    def _add(self, host: str, prefix: str) -> None:
        hosts = self._pairs.setdefault(prefix, {})
        if hosts.pop(host, self) is self:
            self._size += 1
        hosts[host] = None
        self._pairs.move_to_end(prefix)
        self._by_host.setdefault(host, OrderedDict())[prefix] = None
        while self._size > self._capacity:
            oldest = next(iter(self._pairs))
            self._discard(next(iter(self._pairs[oldest])), oldest)

    def _discard(self, host: str, prefix: str) -> None:
        hosts = self._pairs.get(prefix)
        if hosts is None or host not in hosts:
            return
        del hosts[host]
        self._size -= 1
        if not hosts:
            del self._pairs[prefix]
        del self._by_host[host][prefix]
        if not self._by_host[host]:
            del self._by_host[host]
