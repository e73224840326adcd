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

    __slots__ = (
        "_capacity",
        "_hosts_by_prefix",
        "_last_sequences",
        "_pair_count",
        "_prefixes_by_host",
        "gaps",
    )

    def __init__(self, capacity: int = 4096):
        if capacity < 1:
            raise ValueError(f"capacity: expected 1 or more, got {capacity}")
        self._capacity = capacity
        self._hosts_by_prefix: OrderedDict[str, dict[str, None]] = OrderedDict()
        self._prefixes_by_host: dict[str, OrderedDict[str, None]] = {}
        self._last_sequences: dict[str, int] = {}
        self._pair_count = 0
        self.gaps = 0

    def __len__(self) -> int:
        return self._pair_count

    def on_event(self, host: str, sequence: int, prefix: str, stored: bool) -> None:
        """Apply one cache event of a host."""
        last = self._last_sequences.get(host)
        if last is not None and sequence <= last:
            return
        if last is not None and sequence > last + 1:
            self.gaps += 1
            self.remove_host(host)
        self._last_sequences[host] = sequence
        if stored:
            self._add(host, prefix)
        else:
            self._discard(host, prefix)

    def remove_host(self, host: str) -> None:
        """Remove all entries of a host, for instance after its link was lost."""
        self._last_sequences.pop(host, None)
        for prefix in list(self._prefixes_by_host.get(host, ())):
            self._discard(host, prefix)

    def hosts(self, prefix: str) -> tuple[str, ...]:
        """Return the hosts that hold a prefix, most recent last."""
        if prefix not in self._hosts_by_prefix:
            return ()
        self._hosts_by_prefix.move_to_end(prefix)
        return tuple(self._hosts_by_prefix[prefix])

    def _add(self, host: str, prefix: str) -> None:
        hosts = self._hosts_by_prefix.setdefault(prefix, {})
        if hosts.pop(host, self) is self:
            self._pair_count += 1
        hosts[host] = None
        self._hosts_by_prefix.move_to_end(prefix)
        self._prefixes_by_host.setdefault(host, OrderedDict())[prefix] = None
        while self._pair_count > self._capacity:
            oldest = next(iter(self._hosts_by_prefix))
            self._discard(next(iter(self._hosts_by_prefix[oldest])), oldest)

    def _discard(self, host: str, prefix: str) -> None:
        hosts = self._hosts_by_prefix.get(prefix)
        if hosts is None or host not in hosts:
            return
        del hosts[host]
        self._pair_count -= 1
        if not hosts:
            del self._hosts_by_prefix[prefix]
        del self._prefixes_by_host[host][prefix]
        if not self._prefixes_by_host[host]:
            del self._prefixes_by_host[host]
