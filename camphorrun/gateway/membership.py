"""Membership of this gateway in the group, as the store has confirmed it."""

# Leases for which a gateway has been a member before the others certainly know it: they
# learn it within one, and what they did before has ended after another one.
SETTLING_LEASES = 2.0


class Membership:
    """Time for which this gateway is certainly a member, and known to the others.

    Examples
    --------
    >>> membership = Membership()
    >>> membership.renew(10.0, lease_s=3.0)
    >>> membership.renew(12.0, lease_s=3.0)
    >>> membership.renew(14.5, lease_s=3.0)
    >>> membership.settled_left_s(15.0), membership.settled_left_s(16.5)
    (0.0, 1.0)
    >>> membership.settled_left_s(17.5)
    0.0
    """

    __slots__ = ("_settled_at", "_until")

    def __init__(self):
        self._settled_at = float("inf")
        self._until = float("-inf")

    def renew(self, at: float, lease_s: float) -> None:
        """Record that the store has renewed the membership.

        Parameters
        ----------
        at : float
            Time before the call, so that the lease has not ended earlier at the store.
        lease_s : float
            Duration of the lease.
        """
        if at >= self._until:
            self._settled_at = at + SETTLING_LEASES * lease_s
        self._until = max(self._until, at + lease_s)

    def end(self) -> None:
        """Record that this gateway is no member any more."""
        self._until = float("-inf")

    def is_settling(self, now: float) -> bool:
        """Return whether this gateway is too new for the others to know it."""
        return now < self._settled_at or now >= self._until

    def settled_left_s(self, now: float) -> float:
        """Return how long the membership lasts, 0 if it has ended or is too new."""
        return 0.0 if self.is_settling(now) else max(0.0, self._until - now)
