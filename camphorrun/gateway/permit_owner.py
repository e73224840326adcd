"""Grants permits for the rate limits that a gateway owns, to all gateways.

A replica has one pool for all its starts: a process that starts again at the same
address gets what the pool of the earlier start may still grant.
"""

from collections import OrderedDict
from random import Random

from ..catalog import Boot
from ..core import EventLog, TimerService
from ..limits import PermitAnswer, PermitPool
from .messages import PermitOrder, PermitReply
from .rate_limits import LimitInForce
from .state import GatewayState

# A gateway that lends no share to this one requests a permit again after this time.
UNKNOWN_POOL_RETRY_SECONDS = 0.1
# Pools without leases belong to replicas or gateways that are gone.
UNUSED_POOL_SECONDS = 10.0
# A serial stands for the time since the one before it, so few are kept.
SERIAL_INTERVAL_SECONDS = 0.05
MAX_SERIALS = 512


class SerialTimes:
    """Times at which the serials of replies were issued.

    A lease lasts from the time of a serial that the lender has received. It therefore
    ends here before it ends at the lender, also if the order was delivered late,
    because this process was frozen.

    Examples
    --------
    >>> times = SerialTimes(first=7)
    >>> times.issue(10.0), times.issue(10.01), times.issue(11.0)
    (7, 7, 8)
    >>> times.issued_at(7), times.issued_at(9)
    (10.0, None)
    """

    __slots__ = ("_next", "_times")

    def __init__(self, first: int):
        self._next = first
        self._times: OrderedDict[int, float] = OrderedDict()

    def issue(self, now: float) -> int:
        """Return the serial of a reply that is sent now."""
        if self._times:
            serial = self._next - 1
            if now - self._times[serial] < SERIAL_INTERVAL_SECONDS:
                return serial
        self._times[self._next] = now
        self._next += 1
        while len(self._times) > MAX_SERIALS:
            self._times.popitem(last=False)
        return self._next - 1

    def issued_at(self, serial: int) -> float | None:
        """Return when a serial was issued at the earliest, None if it is not known."""
        return self._times.get(serial)


class PermitOwner:
    """Pools of the rate limits whose shares gateways lend to this one.

    Parameters
    ----------
    state : GatewayState
        Source of the rate limits.
    """

    def __init__(self, state: GatewayState, timers: TimerService, events: EventLog):
        self._state = state
        self._limits = state.rate_limits
        self._timers = timers
        self._events = events
        self._pools: dict[str, PermitPool] = {}
        # A new process doesn't know the serials of an earlier one.
        self._serials = SerialTimes(1 + Random().getrandbits(48))
        self._limits.subscribe(self._on_limit_change)

    def answer(self, order: PermitOrder) -> PermitReply:
        """Accept the shares that an order lends, and grant or refuse its permit."""
        now = self._timers.now()
        self._state.merge_rate_limits(order.rate_limits, now, order.sender)
        self._state.merge_cold(order.cold, now, order.sender)
        if order.lends:
            self._renew_all(order, now)
        answer = PermitAnswer(False, 0.0)
        if order.returns:
            self._take_back(order, now)
        elif order.replica:
            answer = self._request((order.replica, order.started_ms), order, now)
        return PermitReply(
            answer.granted,
            answer.wait_s,
            self._limits.newer_messages(order.rate_limits, now),
            self._limits.cold_messages(_boots(order), now, repeats=True),
            self._serials.issue(now),
        )

    def owned(self) -> list[str]:
        """Return the replicas whose permits this gateway grants."""
        return list(self._pools)

    def cold_used_share(self) -> float:
        """Return the used part of the permits of cold replicas, 0 without any."""
        now = self._timers.now()
        cold = {boot[0] for boot in self._limits.cold.in_force(now)}
        pools = [pool for name, pool in self._pools.items() if name in cold]
        offered = sum(pool.offered for pool in pools)
        return sum(pool.used for pool in pools) / offered if offered else 0.0

    def remove_unused_pools(self) -> None:
        """Remove the pools to which no gateway lends its share any more."""
        now = self._timers.now()
        for replica, pool in list(self._pools.items()):
            if pool.unused_s(now) > UNUSED_POOL_SECONDS:
                del self._pools[replica]

    def _renew_all(self, order: PermitOrder, now: float) -> None:
        """Record the leases of an order, cold replicas' only if it names them so."""
        issued_at = self._serials.issued_at(order.serial)
        cold = {(message.replica, message.started_ms) for message in order.cold}
        for boot in cold:
            if issued_at is not None:
                self._renew(boot, order, order.lease_s - (now - issued_at), now)
        for message in order.rate_limits:
            boot = (message.replica, message.started_ms)
            if self._is_former(boot):
                # Members of the previous release lend shares of former starts, too.
                continue
            limit = self._limits.limit_in_force(boot, now)
            if boot not in cold and limit is not None and not limit.is_cold:
                self._renew(boot, order, order.lease_s, now)

    def _renew(
        self, boot: Boot, order: PermitOrder, lease_s: float, now: float
    ) -> None:
        limit = self._limits.limit_in_force(boot, now)
        if limit is not None and lease_s > 0.0:
            pool = self._pool(boot, limit, now)
            pool.renew(order.sender, order.group_size, lease_s, now)

    def _pool(self, boot: Boot, limit: LimitInForce, now: float) -> PermitPool:
        """Return the pool of a replica, which is created if necessary."""
        pool = self._pools.get(boot[0])
        if pool is None:
            pool = self._pools[boot[0]] = PermitPool(limit.per_s, now, limit.rules)
            self._events.log_state_change(
                "permit_pool", replica=boot[0], per_s=limit.per_s, cold=limit.is_cold
            )
        pool.set_rate_limit(limit.per_s, now, limit.rules)
        return pool

    def _request(self, boot: Boot, order: PermitOrder, now: float) -> PermitAnswer:
        limit = self._limits.limit_in_force(boot, now)
        if limit is None:
            return PermitAnswer(True, 0.0)
        if boot[0] not in self._pools or self._is_former(boot):
            return PermitAnswer(False, UNKNOWN_POOL_RETRY_SECONDS)
        pool = self._pool(boot, limit, now)
        return pool.request(order.sender, order.max_wait_s, now)

    def _is_former(self, boot: Boot) -> bool:
        """Return whether another start of the replica is registered."""
        return boot[0] in self._state.replicas and not self._state.is_registered(boot)

    def _take_back(self, order: PermitOrder, now: float) -> None:
        pool = self._pools.get(order.replica)
        limit = self._limits.limit_in_force((order.replica, order.started_ms), now)
        if pool is not None and limit is not None and limit.is_cold:
            pool.give_back(now)

    def _on_limit_change(self, boot: Boot) -> None:
        now = self._timers.now()
        limit = self._limits.limit_in_force(boot, now)
        if self._is_former(boot):
            return
        if limit is None:
            self._pools.pop(boot[0], None)
        elif boot[0] in self._pools:
            self._pool(boot, limit, now)


def _boots(order: PermitOrder) -> list[Boot]:
    """Return the starts of replicas that an order names."""
    messages = (*order.rate_limits, *order.cold)
    boots = dict.fromkeys((m.replica, m.started_ms) for m in messages)
    if order.replica:
        boots[order.replica, order.started_ms] = None
    return list(boots)
