"""Max-min fair shares of a stage service over client accounts, in a long backlog.

Load pattern: a burst of several seconds in which one client account sends most of the
requests. Without shares the accounts divide the calls in proportion to their requests,
and the small ones miss their objective.

Each priority has a virtual time, in seconds of replica work, that advances by the work
of a call divided by the number of accounts with queued pieces: it is the work that an
account gets which always has pieces queued. An account that becomes active starts at
the virtual time, so idle accounts bank no credit. The lag of a group is the work by
which its account is ahead of the virtual time when the group's turn comes. Groups
without lag are within the share of their account and keep their usual order; the
others follow by lag.

The start tag of a group counts, not its finish tag, so that large groups are not put
behind small ones of other accounts. Work is charged when a call takes the pieces, so
what is dropped from the queue costs its account nothing.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

from .piece_group import PieceGroup

# Work of an account beyond its share that does not yet count as over its share, in full
# calls; the same backlog in full calls for each replica counts as long for all accounts
# together.
MAX_LAG_CALLS = 1.0
# Accounts without queued pieces that are still ahead of the virtual time. Those with
# the least work ahead are removed first.
MAX_IDLE_ACCOUNTS = 1024


class _VirtualClock:
    """Virtual time of one priority, and where its accounts are.

    Attributes
    ----------
    time_s : float
        Virtual time in seconds of replica work.
    finish_s : dict of str to float
        Virtual time up to which each account has got its share.
    """

    __slots__ = ("finish_s", "time_s")

    def __init__(self):
        self.time_s = 0.0
        self.finish_s: dict[str, float] = {}

    def lead_s(self, account: str) -> float:
        """Return by how much an account is ahead; negative if it is behind."""
        return self.finish_s.get(account, self.time_s) - self.time_s

    def advance(self, work_s: float, active: set[str], queued: set[str]) -> None:
        """Advance by a call, and remove idle accounts.

        ``active`` are the accounts with queued pieces before the call, ``queued`` those
        that have some left.
        """
        self.time_s += work_s / len(active)
        first_s = min(self.finish_s[account] for account in queued)
        self.time_s = max(self.time_s, first_s)
        idle = [account for account in self.finish_s if account not in queued]
        idle.sort(key=self.finish_s.__getitem__)
        excess = len(idle) - MAX_IDLE_ACCOUNTS
        for position, account in enumerate(idle):
            if position >= excess and self.finish_s[account] > self.time_s:
                break
            del self.finish_s[account]


class AccountShares:
    """Work that the accounts got in the current backlog, by priority.

    Examples
    --------
    >>> def group(account, pieces=2):
    ...     group = PieceGroup("r", 0, "k", None, 10, 1, 2.0, 8.0, 0.5, 0.0)
    ...     group.waiting_pieces.extend(range(pieces))
    ...     group.account = account
    ...     return group
    >>> shares = AccountShares()
    >>> shares.lags_s([group("a"), group("a"), group("b")], piece_cost_s=0.5)
    [0.0, 1.0, 0.0]
    """

    __slots__ = ("_clocks",)

    def __init__(self):
        self._clocks: dict[int, _VirtualClock] = {}

    def __len__(self) -> int:
        return sum(len(clock.finish_s) for clock in self._clocks.values())

    def reset(self) -> None:
        """Let all accounts start equal, after the end of a long backlog."""
        self._clocks.clear()

    def lags_s(self, groups: Iterable[PieceGroup], piece_cost_s: float) -> list[float]:
        """Return the lag of each group in seconds of work, 0 within the share.

        A group with pieces in a call has no lag, because the rest of a half-made stage
        is wasted if it is late.

        Parameters
        ----------
        groups : iterable of PieceGroup
            Groups in their usual order, in which the groups of an account stay.
        piece_cost_s : float
            Work of one piece with its part of the fixed time of a call, in seconds.
        """
        leads_s: dict[tuple[int, str], float] = {}
        lags_s = []
        for group in groups:
            key = group.priority, group.account
            lead_s = leads_s.get(key)
            if lead_s is None:
                lead_s = self._lead_s(*key)
            lags_s.append(0.0 if group.is_started else max(0.0, lead_s))
            leads_s[key] = lead_s + len(group.waiting_pieces) * piece_cost_s
        return lags_s

    def accounts_over_share(
        self,
        groups: Iterable[PieceGroup],
        piece_cost_s: float,
        *,
        full_call_s: float,
        speed: float,
    ) -> set[tuple[int, str]]:
        """Return the priority and name of the accounts that are over their share.

        Their queued work alone is a long backlog for their share of the replicas. At a
        priority with a single account, the share is what another one would leave it.

        Parameters
        ----------
        groups : iterable of PieceGroup
            Queued groups, in any order.
        piece_cost_s : float
            Work of one piece as for ``lags_s``.
        full_call_s : float
            Time of a full call in seconds.
        speed : float
            Sum of the relative speeds of the replicas.
        """
        leads_s: dict[tuple[int, str], float] = {}
        for group in groups:
            key = group.priority, group.account
            lead_s = leads_s.get(key)
            if lead_s is None:
                lead_s = self._lead_s(*key)
            leads_s[key] = lead_s + len(group.waiting_pieces) * piece_cost_s
        counts = Counter(priority for priority, _ in leads_s)
        max_lag_s = MAX_LAG_CALLS * full_call_s
        return {
            (priority, account)
            for (priority, account), lead_s in leads_s.items()
            if lead_s > max_lag_s * max(1.0, speed / max(2, counts[priority]))
        }

    def charge(
        self,
        groups: Sequence[PieceGroup],
        batch: Iterable[tuple[PieceGroup, int]],
        piece_cost_s: float,
    ) -> None:
        """Charge a call to the accounts of its pieces.

        Parameters
        ----------
        groups : sequence of PieceGroup
            Groups that were queued before the call; the pieces of the call are not
            among their waiting pieces any more.
        batch : iterable of (PieceGroup, int)
            Pieces of the call.
        piece_cost_s : float
            Time of the call divided by its pieces, in seconds.
        """
        active: dict[int, set[str]] = {}
        queued: dict[int, set[str]] = {}
        for group in groups:
            active.setdefault(group.priority, set()).add(group.account)
            if group.waiting_pieces:
                queued.setdefault(group.priority, set()).add(group.account)
        for priority, accounts in active.items():
            clock = self._clocks.setdefault(priority, _VirtualClock())
            for account in accounts:
                clock.finish_s.setdefault(account, clock.time_s)
        work_s: dict[int, float] = {}
        for group, _ in batch:
            clock = self._clocks[group.priority]
            clock.finish_s[group.account] += piece_cost_s
            work_s[group.priority] = work_s.get(group.priority, 0.0) + piece_cost_s
        for priority, spent_s in work_s.items():
            if priority in queued:
                self._clocks[priority].advance(
                    spent_s, active[priority], queued[priority]
                )
            else:
                del self._clocks[priority]

    def refund(self, group: PieceGroup, work_s: float) -> None:
        """Take back the charge of pieces that no replica has worked on.

        An account does not get behind the virtual time by it, as the charge may belong
        to an earlier backlog.
        """
        clock = self._clocks.get(group.priority)
        if clock is not None and group.account in clock.finish_s:
            finish_s = clock.finish_s[group.account]
            clock.finish_s[group.account] = max(
                finish_s - work_s, min(finish_s, clock.time_s)
            )

    def _lead_s(self, priority: int, account: str) -> float:
        clock = self._clocks.get(priority)
        return 0.0 if clock is None else clock.lead_s(account)


def has_rivals(groups: Iterable[PieceGroup]) -> bool:
    """Return whether several accounts have groups of the same priority."""
    accounts: dict[int, str] = {}
    return any(
        accounts.setdefault(group.priority, group.account) != group.account
        for group in groups
    )
