"""Incarnations of agents that were replaced by later ones."""

from collections import OrderedDict, deque

MAX_HOSTS = 4096
KEPT_PER_HOST = 8


class Incarnations:
    """Remembers, for each host, the incarnations whose successor has been seen.

    Incarnations are random, so their order is known only from the links: the one that
    answered last is the present one. Memory is bounded; the host that was seen longest
    ago is forgotten first.

    Examples
    --------
    >>> seen = Incarnations()
    >>> seen.note("h", "first")
    >>> seen.note("h", "second")
    >>> seen.is_replaced("h", "first"), seen.is_replaced("h", "second")
    (True, False)
    """

    def __init__(self):
        self._by_host: OrderedDict[str, deque[str]] = OrderedDict()

    def note(self, host: str, incarnation: str) -> None:
        """Take note of the incarnation that answered on a link."""
        seen = self._by_host.setdefault(host, deque(maxlen=KEPT_PER_HOST))
        self._by_host.move_to_end(host)
        if incarnation in seen:
            seen.remove(incarnation)
        seen.append(incarnation)
        if len(self._by_host) > MAX_HOSTS:
            self._by_host.popitem(last=False)

    def is_replaced(self, host: str, incarnation: str) -> bool:
        """Return whether a later incarnation of the host has answered."""
        seen = self._by_host.get(host)
        return bool(seen) and incarnation in seen and seen[-1] != incarnation
