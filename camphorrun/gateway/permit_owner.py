"""Grants permits for the rate limits that a gateway owns, to all gateways."""

from ..catalog import Boot
from ..core import EventLog, TimerService
from ..limits import PermitAnswer, PermitPool
from .messages import PermitOrder, PermitReply
from .state import GatewayState

# A gateway that lends no share to this one requests a permit again after this time.
UNKNOWN_POOL_RETRY_SECONDS = 0.1
# Pools without leases belong to replicas or gateways that are gone.
UNUSED_POOL_SECONDS = 10.0


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
        self._pools: dict[Boot, PermitPool] = {}
        self._limits.subscribe(self._on_limit_change)

    def answer(self, order: PermitOrder) -> PermitReply:
        """Accept the shares that an order lends, and grant or refuse its permit."""
        now = self._timers.now()
        self._state.merge_rate_limits(order.rate_limits, now, order.sender)
        if order.lends:
            for message in order.rate_limits:
                self._renew((message.replica, message.started_ms), order, now)
        answer = PermitAnswer(False, 0.0)
        if order.replica:
            answer = self._request((order.replica, order.started_ms), order, now)
        newer = self._limits.newer_messages(order.rate_limits, now)
        return PermitReply(answer.granted, answer.wait_s, newer)

    def owned(self) -> list[Boot]:
        """Return the starts of replicas whose permits this gateway grants."""
        return list(self._pools)

    def remove_unused_pools(self) -> None:
        """Remove the pools to which no gateway lends its share any more."""
        now = self._timers.now()
        for boot, pool in list(self._pools.items()):
            if pool.unused_s(now) > UNUSED_POOL_SECONDS:
                del self._pools[boot]

    def _renew(self, boot: Boot, order: PermitOrder, now: float) -> None:
        limit = self._limits.get(boot)
        if limit is None:
            return
        if boot not in self._pools:
            self._pools[boot] = PermitPool(limit, now)
            self._events.log_state_change("permit_pool", replica=boot[0], per_s=limit)
        pool = self._pools[boot]
        pool.renew(order.sender, order.group_size, order.lease_s, now)

    def _request(self, boot: Boot, order: PermitOrder, now: float) -> PermitAnswer:
        if self._limits.get(boot) is None:
            return PermitAnswer(True, 0.0)
        if boot not in self._pools:
            return PermitAnswer(False, UNKNOWN_POOL_RETRY_SECONDS)
        return self._pools[boot].request(order.sender, order.max_wait_s, now)

    def _on_limit_change(self, boot: Boot) -> None:
        limit = self._limits.get(boot)
        if limit is None:
            self._pools.pop(boot, None)
        elif boot in self._pools:
            self._pools[boot].set_rate_limit(limit, self._timers.now())
