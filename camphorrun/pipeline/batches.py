"""Batching queue of a stage service.

Load pattern: a stage replica processes one call at a time, and each call has a fixed
cost however few pieces it carries, so throughput depends on full calls. In a burst more
pieces are queued than can be processed in time. First-come first-served order would
then spend every call on requests that have already missed their objective.

Order of the queue: requests that can still meet their objective go before late ones.
While the backlog is long, more urgent priorities go before less urgent ones, and the
client accounts of a priority get fair shares of the calls (see ``account_shares``).
Among equals, the request with the earliest latest start goes first.
"""

import math
from collections import Counter
from collections.abc import Iterator, Mapping

from ..catalog import StageCapacity, is_home
from .account_shares import AccountShares, has_rivals
from .call_speed import NOMINAL_SPEED, CallSpeed
from .piece_group import PieceGroup
from .transfers import least_transfer_zones, transfer_wait_s

# Backlog in full calls for each replica, above which priority goes before latest start.
LONG_BACKLOG_CALLS = 1.0
# A group stops waiting for a replica near its inputs this long before its latest start.
SLACK_MARGIN_SECONDS = 0.1
# Transfers worth a shorter wait than this move too few bytes to hold a group back.
MIN_TRANSFER_WAIT_SECONDS = 0.02
# Share of the predicted downstream time that a request is certain to need; a group is
# expired only if its deadline leaves less than that.
MIN_DOWNSTREAM_SHARE = 0.7
# A group that is predicted to be late by up to this much is still queued, because
# predictions are uncertain.
LATE_TOLERANCE_SECONDS = 0.05
# Smoothing factor of the mean batch size while a backlog remains.
BATCH_SIZE_WEIGHT = 0.1


class BatchQueue:
    """Queue of the pieces that wait for the replicas of one stage service.

    Parameters
    ----------
    capacity : StageCapacity
        Capacity of one replica.

    Attributes
    ----------
    slowdown : float
        Call time at the mean speed of the replicas as a multiple of the nominal one, 1
        if they report no speed. A group is late if such a call would finish it late.

    Examples
    --------
    >>> capacity = StageCapacity(1, 2, 4, 0.2, 0.01, 1000, 4.0)
    >>> from collections import deque
    >>> queue = BatchQueue(capacity)
    >>> group = PieceGroup(
    ...     "r", 0, "k", None, 10, 1, 2.0, 8.0, 0.5, 0.0, waiting_pieces=deque([0, 1])
    ... )
    >>> queue.add(group)
    >>> [piece for _, piece in queue.next_batch(25, 1, now=0.0)]
    [0, 1]
    """

    def __init__(self, capacity: StageCapacity):
        self.capacity = capacity
        self.slowdown = 1.0
        self._groups: list[PieceGroup] = []
        # Last wait and its time by (result size, priority): large results also wait for
        # space, and less urgent requests wait longer behind a backlog. The third part
        # is the home zones, as only some of the replicas serve a group that has them.
        self._last_waits: dict[
            tuple[int, int, frozenset[str] | None], tuple[float, float]
        ] = {}
        # The same without the requests of accounts over their share.
        self._last_waits_within: dict[
            tuple[int, int, frozenset[str] | None], tuple[float, float]
        ] = {}
        # Mean pieces of a call behind a backlog; limited space may keep it below the
        # batch size.
        self._mean_batch_size = float(capacity.batch)
        self._shares = AccountShares()

    def __len__(self) -> int:
        return sum(len(group.waiting_pieces) for group in self._groups)

    @property
    def groups(self) -> list[PieceGroup]:
        """Queued groups, as a copy of the list."""
        return list(self._groups)

    def add(self, group: PieceGroup) -> None:
        """Queue a group."""
        if group not in self._groups:
            self._groups.append(group)

    def requeue(self, group: PieceGroup, pieces: list[int], *, worked: bool) -> None:
        """Queue pieces again after a failed call, in front of the rest of their group.

        The client account is charged again only if a replica may have ``worked`` on
        them.
        """
        group.waiting_pieces.extendleft(reversed(pieces))
        self.add(group)
        if not worked:
            self._shares.refund(group, len(pieces) * self._piece_cost_s())

    def remove(self, group: PieceGroup) -> None:
        """Remove a group, for instance after its caller disconnected."""
        if group in self._groups:
            self._groups.remove(group)

    def home_sets(self, zone: str = "") -> list[frozenset[str] | None]:
        """Return the distinct home zones of the queued groups, in order of arrival.

        Only those that include ``zone``, if it is not empty.
        """
        found = dict.fromkeys(group.home_zones for group in self._groups)
        return [zones for zones in found if not zone or is_home(zone, zones)]

    def pieces_for(self, zone: str) -> int:
        """Return the number of queued pieces that a replica in ``zone`` may take."""
        return sum(
            len(group.waiting_pieces)
            for group in self._groups
            if is_home(zone, group.home_zones)
        )

    def next_batch(
        self,
        free_bytes: int,
        replicas: float,
        now: float,
        *,
        min_pieces: int = 1,
        zone: str = "",
        free_at: Mapping[str, float] | None = None,
        speed: CallSpeed = NOMINAL_SPEED,
        speeds: Mapping[frozenset[str] | None, CallSpeed] | None = None,
    ) -> list[tuple[PieceGroup, int]]:
        """Remove and return the pieces of the next call; empty if none should be sent.

        The pieces of a request stay together if one call can hold them. A stage that is
        split over calls ends with the last of them, and its results are spread over
        several replicas.

        Parameters
        ----------
        free_bytes : int
            Free space for results at the replica that gets the call.
        replicas : float
            Number of replicas that share the backlog, or the sum of their speeds.
        now : float
            Current time in seconds of the timer service.
        min_pieces : int
            Smallest batch worth the fixed cost of a call; a smaller one is not taken.
        zone : str
            Availability zone of the replica.
        free_at : mapping of str to float
            Time at which the next replica of each zone can begin a call; a zone without
            a working replica is missing.
        speed : CallSpeed
            Speed of the replica, compared with faster ones.
        speeds : mapping of frozenset of str or None to CallSpeed, optional
            The same by the home zones of a group, compared with the replicas in them. A
            group whose home zones it lacks is left out. ``speed`` is used without it.
        """
        chosen: list[tuple[PieceGroup, int]] = []
        eligible = self._eligible_groups(replicas, now, zone, free_at or {})
        if speeds is not None:
            eligible = (group for group in eligible if group.home_zones in speeds)
        for group in self._without_urgent_groups(eligible, speeds, speed, now):
            piece_count = len(group.waiting_pieces)
            fit_count = min(piece_count, self.capacity.batch - len(chosen))
            if group.result_bytes > 0:
                fit_count = min(fit_count, free_bytes // group.result_bytes)
            if chosen and fit_count < piece_count <= self.capacity.batch:
                continue
            free_bytes -= fit_count * group.result_bytes
            chosen.extend((group, group.waiting_pieces[i]) for i in range(fit_count))
            if len(chosen) >= self.capacity.batch:
                break
        if len(chosen) < min_pieces:
            return []
        self._dequeue(chosen, replicas, now)
        return chosen

    def _without_urgent_groups(
        self,
        groups: Iterator[PieceGroup],
        speeds: Mapping[frozenset[str] | None, CallSpeed] | None,
        default_speed: CallSpeed,
        now: float,
    ) -> Iterator[PieceGroup]:
        """Yield the groups that are not left to faster replicas."""
        batch = self.capacity.batch
        left_pieces: Counter[frozenset[str] | None] = Counter()
        for group in groups:
            zones = group.home_zones
            speed = default_speed if speeds is None else speeds[zones]
            end_at = now + self.capacity.call_time_s(batch) * speed.slowdown
            due_at = group.latest_start(0.0)
            if speed.is_left(
                due_at, end_at=end_at, pieces_before=left_pieces[zones], batch=batch
            ):
                left_pieces[zones] += len(group.waiting_pieces)
            else:
                yield group

    def _call_s(self, pieces: int) -> float:
        """Return the time of a call at the mean speed of the replicas."""
        return self.capacity.call_time_s(pieces) * self.slowdown

    def _dequeue(
        self, chosen: list[tuple[PieceGroup, int]], replicas: float, now: float
    ) -> None:
        backlog_is_long = self.has_long_backlog(replicas)
        over_share = self.accounts_over_share(replicas)
        for group, _ in chosen:
            group.waiting_pieces.popleft()
            group.is_started = True
            self._record_wait(group, now, over_share)
        if backlog_is_long:
            call_s = self.capacity.call_time_s(len(chosen))
            self._shares.charge(self._groups, chosen, call_s / len(chosen))
        self._groups = [group for group in self._groups if group.waiting_pieces]
        if self._groups:
            self._mean_batch_size += BATCH_SIZE_WEIGHT * (
                len(chosen) - self._mean_batch_size
            )

    def predicted_wait_s(
        self,
        group: PieceGroup,
        speed: float,
        now: float,
        zone_speeds: Mapping[str, float] | None = None,
    ) -> float:
        """Return the wait until the last piece of a group added now is dispatched.

        The prediction counts the pieces of all groups that sort before this one. If
        result space limits the calls, the waits of groups with results of the same size
        are longer and are used instead (``expected_wait_s``). ``speed`` is the sum of
        the replicas' relative speeds, 1 for a replica of usual speed. The wait is
        infinite if it is 0. Replicas outside the home zones of the group don't count in
        it; ``zone_speeds`` divides the pieces of groups with other home zones between
        the zones.
        """
        if speed <= 0.0:
            return math.inf
        call_s = self.capacity.call_time_s(self.capacity.batch)
        ahead = self._pieces_ahead(group, speed, now, zone_speeds or {})
        calls = (ahead + len(group.waiting_pieces)) / self._batch_size() / speed
        # On average the calls in progress are half done. The wait ends when the last
        # call starts, not when it finishes.
        calls_s = max(0.0, calls - 0.5) * call_s
        expected_s = self.expected_wait_s(
            group.result_bytes,
            group.priority,
            now,
            group.home_zones,
            account=group.account,
            speed=speed,
        )
        return max(calls_s, expected_s)

    def _pieces_ahead(
        self,
        group: PieceGroup,
        speed: float,
        now: float,
        zone_speeds: Mapping[str, float],
    ) -> float:
        """Return the number of pieces that sort before a group added now."""
        backlog_is_long = self.has_long_backlog(speed)
        groups = [*self._groups, group]
        if backlog_is_long and has_rivals(groups):
            order = self._share_order(groups, now)
            before = order[: order.index(group)]
        else:
            own_key = self._schedule_key(group, backlog_is_long, now)
            before = [
                other
                for other in self._groups
                if self._schedule_key(other, backlog_is_long, now) <= own_key
            ]
        return sum(
            len(other.waiting_pieces) * _shared_part(other, group, zone_speeds)
            for other in before
        )

    def is_late(self, group: PieceGroup, wait_s: float, now: float) -> bool:
        """Return whether a wait makes a group miss its objective.

        Always False while nothing is queued.
        """
        call_s = self._call_s(self.capacity.batch)
        latest_at = group.latest_start(call_s) + LATE_TOLERANCE_SECONDS
        return bool(self._groups) and now + wait_s > latest_at

    def expected_wait_s(
        self,
        result_bytes: int,
        priority: int,
        now: float,
        home_zones: frozenset[str] | None = None,
        *,
        account: str = "",
        speed: float = math.inf,
    ) -> float:
        """Return the expected wait of pieces by result size, priority and home zones.

        The larger of two waits is returned: the last finished one, reduced by the time
        since it ended, and the longest one so far of a queued request that is not late.
        Less urgent requests do not count. While the backlog is long for replicas with
        the sum of speeds ``speed``, an ``account`` within its share does not wait for
        accounts of its priority that are over theirs, so these do not count for it.
        """
        over_share = self.accounts_over_share(speed)
        excluded: set[tuple[int, str]] = set()
        last_waits = self._last_waits
        is_within = (priority, account) not in over_share
        if is_within and self._has_other_account(priority, account, speed):
            excluded = {key for key in over_share if key[0] == priority}
            last_waits = {
                key: self._last_waits_within.get(key, (0.0, now))
                if key[1] == priority
                else wait
                for key, wait in last_waits.items()
            }
        call_s = self._call_s(self.capacity.batch)
        waits = [
            now - group.arrived_at
            for group in self._groups
            if group.result_bytes == result_bytes
            and group.priority <= priority
            and group.home_zones == home_zones
            and group.latest_start(call_s) >= now
            and (group.priority, group.account) not in excluded
        ]
        waits.extend(
            last_s - (now - seen_at)
            for (size, last_priority, zones), (last_s, seen_at) in last_waits.items()
            if size == result_bytes
            and last_priority <= priority
            and zones == home_zones
        )
        return max(0.0, max(waits, default=0.0))

    def expire(self, replicas: float, now: float) -> list[PieceGroup]:
        """Remove and return the groups that can no longer be served.

        A group expires if it cannot finish before its deadline, or if it is late while
        a long backlog leaves it no call. Its caller then gets the refusal at once
        instead of waiting until the deadline. If its client account is within its
        share, only the pieces that precede it count as backlog.
        """
        min_call_s = self.capacity.call_time_s(1)
        call_s = self._call_s(self.capacity.batch)
        backlog_is_long = self.has_long_backlog(replicas)
        over_share = self.accounts_over_share(replicas)
        served_late = self._groups_served_late(replicas, now, over_share)

        def must_expire(group: PieceGroup) -> bool:
            needed_s = min_call_s + group.downstream_s * MIN_DOWNSTREAM_SHARE
            if group.deadline_at - needed_s < now:
                return True
            if group in served_late:
                return False
            return backlog_is_long and group.latest_start(call_s) < now

        expired = [group for group in self._groups if must_expire(group)]
        for group in expired:
            self._groups.remove(group)
            self._record_wait(group, now, over_share)
        return expired

    def _groups_served_late(
        self, replicas: float, now: float, over_share: set[tuple[int, str]]
    ) -> set[PieceGroup]:
        """Return the late groups that a long backlog of others leaves a call."""
        call_s = self._call_s(self.capacity.batch)
        late = {group for group in self._groups if group.latest_start(call_s) < now}
        if not late or not self.has_long_backlog(replicas):
            return set()
        if not has_rivals(self._groups):
            return set()
        max_ahead = LONG_BACKLOG_CALLS * self.capacity.batch * replicas
        ahead = 0
        served = set()
        for group in self._share_order(self._groups, now):
            if group in late:
                if ahead > max_ahead:
                    break
                if (group.priority, group.account) in over_share:
                    continue
                served.add(group)
            ahead += len(group.waiting_pieces)
        return served

    def _record_wait(
        self, group: PieceGroup, now: float, over_share: set[tuple[int, str]]
    ) -> None:
        key = group.result_bytes, group.priority, group.home_zones
        self._last_waits[key] = now - group.arrived_at, now
        if (group.priority, group.account) not in over_share:
            self._last_waits_within[key] = self._last_waits[key]

    def pieces_over_share(self, speed: float) -> int:
        """Return the number of queued pieces of accounts over their share."""
        over_share = self.accounts_over_share(speed)
        return sum(
            len(group.waiting_pieces)
            for group in self._groups
            if (group.priority, group.account) in over_share
        )

    def accounts_over_share(self, speed: float) -> set[tuple[int, str]]:
        """Return priority and name of the accounts with more than their share queued.

        There are none without a long backlog.
        """
        if not self.has_long_backlog(speed):
            return set()
        return self._shares.accounts_over_share(
            self._groups,
            self._piece_cost_s(),
            full_call_s=self.capacity.call_time_s(self.capacity.batch),
            speed=speed,
        )

    def _has_other_account(self, priority: int, account: str, speed: float) -> bool:
        """Return whether an account shares the calls of a long backlog with others."""
        return self.has_long_backlog(speed) and any(
            group.priority == priority and group.account != account
            for group in self._groups
        )

    def _batch_size(self) -> float:
        return max(1.0, min(self._mean_batch_size, float(self.capacity.batch)))

    def _piece_cost_s(self) -> float:
        """Return the time of a call behind a backlog, divided by its pieces."""
        return self.capacity.piece_s + self.capacity.call_s / self._batch_size()

    def backlog_s(self, replicas: float) -> float:
        """Return the time that the replicas need for all queued pieces."""
        if not replicas:
            return math.inf
        calls = len(self) / self.capacity.batch
        return calls * self.capacity.call_time_s(self.capacity.batch) / replicas

    def has_long_backlog(self, replicas: float) -> bool:
        """Return whether the queue holds more than LONG_BACKLOG_CALLS a replica."""
        call_s = self.capacity.call_time_s(self.capacity.batch)
        return self.backlog_s(replicas) > LONG_BACKLOG_CALLS * call_s

    def _schedule_key(
        self, group: PieceGroup, backlog_is_long: bool, now: float
    ) -> tuple[bool, int, float]:
        start_at = group.latest_start(self._call_s(self.capacity.batch))
        return start_at < now, group.priority if backlog_is_long else 0, start_at

    def _eligible_groups(
        self, replicas: float, now: float, zone: str, free_at: Mapping[str, float]
    ) -> Iterator[PieceGroup]:
        """Yield the groups that a replica in ``zone`` may take, in schedule order."""
        backlog_is_long = self.has_long_backlog(replicas)
        if not backlog_is_long:
            self._shares.reset()
        deferred_pieces: Counter[str] = Counter()
        for group in self._schedule_order(backlog_is_long, now, zone):
            if not is_home(zone, group.home_zones):
                continue
            if backlog_is_long or not self._waits_for_nearer_zone(
                group, now, zone, free_at, deferred_pieces
            ):
                yield group

    def _schedule_order(
        self, backlog_is_long: bool, now: float, zone: str
    ) -> list[PieceGroup]:
        def zone_key(group: PieceGroup) -> tuple[bool, int, float]:
            late, urgency, start_at = self._schedule_key(group, backlog_is_long, now)
            return late, urgency, start_at + transfer_wait_s(group.transfers, zone)

        groups = sorted(self._groups, key=zone_key)
        return self._divide(groups, now) if backlog_is_long else groups

    def _share_order(self, groups: list[PieceGroup], now: float) -> list[PieceGroup]:
        """Return groups in their order in a long backlog, without zones."""
        return self._divide(
            sorted(groups, key=lambda group: self._schedule_key(group, True, now)), now
        )

    def _divide(self, groups: list[PieceGroup], now: float) -> list[PieceGroup]:
        """Return groups by account shares within one priority, stable otherwise."""
        if not has_rivals(groups):
            return groups
        lags_s = self._shares.lags_s(groups, self._piece_cost_s())
        call_s = self._call_s(self.capacity.batch)
        keys = [
            (group.latest_start(call_s) < now, group.priority, lag_s)
            for group, lag_s in zip(groups, lags_s, strict=True)
        ]
        return [groups[i] for i in sorted(range(len(groups)), key=keys.__getitem__)]

    def _waits_for_nearer_zone(
        self,
        group: PieceGroup,
        now: float,
        zone: str,
        free_at: Mapping[str, float],
        deferred_pieces: Counter[str],
    ) -> bool:
        """Return whether a group is left to a replica nearer to its inputs.

        ``deferred_pieces`` counts the pieces already left to each zone in this pass; it
        is updated.
        """
        max_transfer_wait_s = transfer_wait_s(group.transfers, zone)
        if max_transfer_wait_s < MIN_TRANSFER_WAIT_SECONDS:
            return False
        nearest_zones = least_transfer_zones(group.transfers, free_at)
        if not nearest_zones or zone in nearest_zones:
            return False
        call_s = self.capacity.call_time_s(self.capacity.batch)
        nearest_zone = min(nearest_zones, key=lambda name: free_at[name])
        calls_ahead = (
            deferred_pieces[nearest_zone] + len(group.waiting_pieces) - 1
        ) // self.capacity.batch
        taken_at = max(now, free_at[nearest_zone]) + calls_ahead * call_s
        latest_at = min(
            group.arrived_at + max_transfer_wait_s,
            group.latest_start(call_s) - SLACK_MARGIN_SECONDS,
        )
        if taken_at > latest_at:
            return False
        deferred_pieces[nearest_zone] += len(group.waiting_pieces)
        return True


def _shared_part(
    other: PieceGroup, group: PieceGroup, zone_speeds: Mapping[str, float]
) -> float:
    """Return the part of a group's pieces that runs in the home zones of another.

    Its pieces are assumed to spread over its own home zones in proportion to their
    speeds.
    """
    if group.home_zones is None or other.home_zones == group.home_zones:
        return 1
    own_speed = shared_speed = 0.0
    for zone, speed in zone_speeds.items():
        if is_home(zone, other.home_zones):
            own_speed += speed
            shared_speed += speed if zone in group.home_zones else 0.0
    return shared_speed / own_speed if own_speed else 0.0
