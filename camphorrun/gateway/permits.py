"""Permits to send to replicas that limit the requests of all gateways together."""

import asyncio
from dataclasses import dataclass

import msgspec

from ..catalog import Boot
from ..core import EventLog, TimerService
from ..limits import PERMIT_LIFETIME_SECONDS
from ..metrics import Metrics
from ..routing import rendezvous_order
from .errors import PeerError, PermitRefusedError
from .messages import COLD_SCHEMA_VERSION, PermitOrder, PermitReply
from .peers import Peers, address_weights, member_address
from .permit_owner import PermitOwner
from .state import GatewayState

PERMIT_TIMEOUT_SECONDS = 0.25
# Leases are longer in a large group, which bounds the rate of renewals at an owner.
MIN_LEASE_SECONDS = 1.5
LEASE_SECONDS_PER_MEMBER = 0.03
RENEWALS_PER_LEASE = 3.0
# Shortest time between two rounds of renewals, also while limits change often.
MIN_RENEWAL_SECONDS = 0.05
# Shortest time until a permit is requested again.
MIN_REFUSAL_SECONDS = 0.02
# The same after an owner gave no answer. After several in a row the next owner is used
# until the failed one answers a probe, which lends it nothing.
FAILED_OWNER_SECONDS = 0.1
MAX_OWNER_FAILURES = 2
# Interval of the probes; it doubles with each one that fails, up to the maximum.
PROBE_SECONDS = 1.0
MAX_PROBE_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Permit:
    """Right to send one request to a replica until ``valid_until``.

    ``owner`` is the address of the gateway that granted it.
    """

    valid_until: float
    owner: str = ""


@dataclass(frozen=True, slots=True)
class _Lease:
    """The gateway to which this one lends its share of a limit, at most ``until``."""

    address: str
    until: float


class Permits:
    """Requests permits for this gateway, and lends its shares of the rate limits.

    The owner of a replica's limit is derived from the group members by rendezvous
    hashing. A share that is lent to a former owner is lent to the next one only after
    its lease has ended, so that it is never granted twice. The share of a cold
    replica's limit is lent only while this gateway is certainly a member that all
    others know.

    Parameters
    ----------
    state : GatewayState
        Source of the rate limits and the group members.
    peers : Peers
        Connections to the other gateways.
    owner : PermitOwner
        Pools of the limits that this gateway owns.
    """

    def __init__(
        self,
        state: GatewayState,
        peers: Peers,
        owner: PermitOwner,
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._state = state
        self._limits = state.rate_limits
        self._peers = peers
        self._owner = owner
        self._own_address = member_address(state.member)
        self._timers = timers
        self._metrics = metrics
        self._events = events
        # By replica: the next start of a process has the lease of the one before.
        self._leases: dict[str, _Lease] = {}
        self._owner_orders: dict[str, list[str]] = {}
        # Serial of the last reply of each gateway.
        self._serials: dict[str, int] = {}
        # Gateways that don't know cold replicas.
        self._outdated: set[str] = set()
        self._failures: dict[str, int] = {}
        self._next_probe_at: dict[str, float] = {}
        self._changed: set[Boot] = set()
        self._wakeup = asyncio.Event()
        self._limits.subscribe(self._on_limit_change)
        state.subscribe(members=self._on_member_change)

    def is_required(self, boot: Boot) -> bool:
        """Return whether a replica has a rate limit, or is cold."""
        return self._limits.limit_in_force(boot, self._timers.now()) is not None

    def is_cold(self, boot: Boot) -> bool:
        """Return whether a replica is cold."""
        cold = self._limits.cold
        return bool(cold) and cold.get(boot, self._timers.now()) is not None

    async def acquire(self, boot: Boot, max_wait_s: float = 0.0) -> Permit | None:
        """Return a permit for one request to a replica, None if it has no limit.

        Waits up to ``max_wait_s`` for the time at which the request may be sent.

        Raises
        ------
        PermitRefusedError
            If no permit is available in this time.
        """
        if not self.is_required(boot):
            return None
        address = self._lender_target(boot[0])
        asked_at = self._timers.now()
        reply = None
        if address is not None:
            lends = self._may_lend(boot, address)
            await self._fetch_serial(address, boot, lends)
            # Another order may have lent the share to another owner meanwhile.
            lends = lends and self._lends_now(boot, address)
            order = self._order([boot], lends, address)
            order.replica, order.started_ms = boot
            order.max_wait_s = max_wait_s
            reply = await self._send(address, order)
        if reply is None:
            raise self._refusal("no_owner", FAILED_OWNER_SECONDS)
        if not reply.granted:
            raise self._refusal("refused", max(MIN_REFUSAL_SECONDS, reply.wait_s))
        self._metrics.permits.labels("granted").inc()
        # Counted from before the call: this process may have been paused during it.
        valid_until = asked_at + reply.wait_s + PERMIT_LIFETIME_SECONDS
        if reply.wait_s > 0.0:
            await self._timers.sleep(reply.wait_s)
        return Permit(valid_until, address)

    async def give_back(self, boot: Boot, permit: Permit) -> None:
        """Return a permit that was not used and will not be used, at most once.

        Nothing is repeated if the owner does not answer; the permit is lost then.
        """
        if self.is_cold(boot):
            order = self._order([boot], False, permit.owner)
            order.replica, order.started_ms = boot
            order.returns = True
            self._metrics.permits.labels("returned").inc()
            await self._send(permit.owner, order)

    async def keep_leases(self) -> None:
        """Renew the leases of all shares until cancelled.

        The owner of a limit that has changed is told at once, and tells the others.
        """
        while True:
            self._wakeup.clear()
            await self.renew_leases()
            await self._timers.sleep(MIN_RENEWAL_SECONDS)
            await self._wait_for_change(self._lease_s / RENEWALS_PER_LEASE)

    async def renew_leases(self) -> None:
        """Renew the leases of all shares once, and send the limits that changed."""
        changed, self._changed = self._changed, set()
        limits = self._limits.limited(self._timers.now())
        limited = {boot for boot in limits if self._state.is_registered(boot)}
        self._remove_old_leases({replica for replica, _ in limited})
        await self._probe_failed_owners()
        await asyncio.gather(self._lend(limited | changed), self._announce(changed))
        self._owner.remove_unused_pools()
        self._metrics.cold_used_share.set(self._owner.cold_used_share())

    async def _wait_for_change(self, timeout_s: float) -> None:
        timer = self._timers.call_after(timeout_s, self._wakeup.set)
        await self._wakeup.wait()
        timer.cancel()

    def _remove_old_leases(self, limited: set[str]) -> None:
        now = self._timers.now()
        for replica, lease in list(self._leases.items()):
            if replica not in limited and lease.until < now:
                del self._leases[replica]

    async def _lend(self, boots: set[Boot]) -> None:
        """Send the shares and statements of some limits to their owners."""
        batches: dict[tuple[str, bool, bool], list[Boot]] = {}
        for boot in boots:
            address = self._lender_target(boot[0])
            if address is not None:
                kind = (address, self._may_lend(boot, address), self.is_cold(boot))
                batches.setdefault(kind, []).append(boot)
        await asyncio.gather(
            *(
                self._send_shares(address, batch, lends)
                for (address, lends, _), batch in batches.items()
            )
        )

    async def _send_shares(self, address: str, boots: list[Boot], lends: bool) -> None:
        await self._fetch_serial(address, boots[0], lends)
        if lends:
            boots = [boot for boot in boots if self._lends_now(boot, address)]
        await self._send(address, self._order(boots, lends, address))

    async def _fetch_serial(self, address: str, boot: Boot, lends: bool) -> None:
        """Send an order first if a lease would not count for want of a serial."""
        if lends and address not in self._serials and self.is_cold(boot):
            await self._send(address, self._order([boot], False, address))

    def _may_lend(self, boot: Boot, address: str) -> bool:
        """Return whether this gateway lends its share to an address now."""
        if address != self._preferred_owner(boot[0]):
            return False
        return not self.is_cold(boot) or self._settled_left_s() > 0.0

    def _lends_now(self, boot: Boot, address: str) -> bool:
        """Return whether a share may still be lent to an address, after a wait."""
        is_target = self._lender_target(boot[0]) == address
        return is_target and self._may_lend(boot, address)

    def _settled_left_s(self) -> float:
        return self._state.membership.settled_left_s(self._timers.now())

    async def _announce(self, boots: set[Boot]) -> None:
        """Tell all members the limits that changed, if this gateway owns them."""
        owned = [b for b in boots if self._preferred_owner(b[0]) == self._own_address]
        if owned:
            order = self._order(owned, lends=False, repeats=True)
            await asyncio.gather(
                *(self._send(address, order) for address in self._peers.addresses())
            )

    async def _probe_failed_owners(self) -> None:
        now = self._timers.now()
        due = [address for address, at in self._next_probe_at.items() if at <= now]
        order = self._order([], lends=False)
        await asyncio.gather(*(self._send(address, order) for address in due))

    # Owners

    def _preferred_owner(self, replica: str) -> str:
        """Return the first member, in rendezvous order, that answers."""
        if replica not in self._owner_orders:
            weights = address_weights(self._state.members)
            addresses = weights.keys() - {""}
            self._owner_orders[replica] = rendezvous_order(replica, addresses, weights)
        for address in self._owner_orders[replica]:
            if self._is_reachable(address) and address not in self._outdated:
                return address
        return self._own_address

    def _is_reachable(self, address: str) -> bool:
        if address == self._own_address:
            return True
        if address in self._next_probe_at:
            return False
        return not self._peers.link(address).is_suspect

    def _lender_target(self, replica: str) -> str | None:
        """Return the gateway that has or gets this gateway's share of a limit.

        None while a former owner that does not answer still has the share, and before
        the members are known, because then the share is not known either. The lease of
        a former owner that answers is not renewed, but its permits are used until then.
        """
        if not self._state.members_known:
            return None
        preferred = self._preferred_owner(replica)
        lease = self._leases.get(replica)
        if lease is None or self._timers.now() >= lease.until:
            return preferred
        return lease.address if self._is_reachable(lease.address) else None

    @property
    def _lease_s(self) -> float:
        members = len(self._state.members)
        return max(MIN_LEASE_SECONDS, LEASE_SECONDS_PER_MEMBER * members)

    def _order(
        self,
        boots: list[Boot],
        lends: bool,
        address: str = "",
        *,
        repeats: bool = False,
    ) -> PermitOrder:
        """Return an order with what is known of some starts of replicas.

        The lease of a cold replica's limit ends with the membership of this gateway.
        """
        now = self._timers.now()
        cold = self._limits.cold_messages(boots, now, repeats=repeats)
        lease_s = self._lease_s
        if cold:
            lease_s = min(lease_s, self._settled_left_s())
        return PermitOrder(
            self._own_address,
            len(self._state.members),
            lease_s,
            self._limits.messages(boots, now),
            lends,
            cold=cold,
            serial=self._serials.get(address, 0),
        )

    async def _send(self, address: str, order: PermitOrder) -> PermitReply | None:
        """Return the reply of a gateway and record the leases, None without a reply."""
        earlier_leases = dict(self._leases)
        # Without a reply, the order may still have arrived until its time-out.
        lease = self._record_leases(address, order, PERMIT_TIMEOUT_SECONDS)
        try:
            reply = await self._call(address, order)
        except PeerError as exc:
            if exc.not_accepted:
                self._undo_leases(order, lease, earlier_leases)
            self._record_failure(address, exc)
            return None
        self._failures.pop(address, None)
        self._next_probe_at.pop(address, None)
        self._record_leases(address, order, 0.0)
        now = self._timers.now()
        self._state.merge_rate_limits(reply.rate_limits, now, address)
        self._state.merge_cold(reply.cold, now, address)
        self._serials[address] = reply.serial
        if reply.version < COLD_SCHEMA_VERSION:
            self._outdated.add(address)
            # It has granted the request without a look at the cold replica.
            return None if order.cold else reply
        return reply

    async def _call(self, address: str, order: PermitOrder) -> PermitReply:
        """Return the reply of a gateway.

        Raises
        ------
        PeerError
            If there is no reply, or if it can't be decoded.
        """
        if address == self._own_address:
            return self._owner.answer(order)
        link = self._peers.link(address)
        data = await link.call("/permits", order, PERMIT_TIMEOUT_SECONDS)
        try:
            return msgspec.msgpack.decode(data, type=PermitReply)
        except msgspec.DecodeError as exc:
            raise PeerError(f"{address}: cannot decode the reply: {exc}") from exc

    def _record_leases(
        self, address: str, order: PermitOrder, delay_s: float
    ) -> _Lease:
        """Record the leases that an order renews, if it lends shares."""
        lease = _Lease(address, self._timers.now() + order.lease_s + delay_s)
        if order.lends:
            for message in (*order.rate_limits, *order.cold):
                self._leases[message.replica] = lease
        return lease

    def _undo_leases(
        self, order: PermitOrder, lease: _Lease, earlier: dict[str, _Lease]
    ) -> None:
        """Undo the leases of an order that was not accepted.

        Leases that another order has renewed meanwhile stay.
        """
        for message in (*order.rate_limits, *order.cold):
            replica = message.replica
            if self._leases.get(replica) is not lease:
                continue
            del self._leases[replica]
            if replica in earlier:
                self._leases[replica] = earlier[replica]

    def _record_failure(self, address: str, exc: PeerError) -> None:
        self._metrics.drops.labels("permit_call").inc()
        failures = self._failures[address] = self._failures.get(address, 0) + 1
        if not exc.not_accepted and failures < MAX_OWNER_FAILURES:
            return
        doublings = max(0, min(8, failures - MAX_OWNER_FAILURES))
        probe_s = min(MAX_PROBE_SECONDS, PROBE_SECONDS * 2**doublings)
        self._next_probe_at[address] = self._timers.now() + probe_s
        self._events.log_state_change(
            "permit_call_failed",
            gateway=address,
            failures=failures,
            probe_after_s=probe_s,
            error=str(exc),
        )

    def _on_limit_change(self, boot: Boot) -> None:
        self._changed.add(boot)
        self._wakeup.set()

    def _on_member_change(self) -> None:
        self._owner_orders.clear()
        self._outdated.clear()
        self._serials.clear()
        self._failures.clear()
        self._next_probe_at.clear()

    def _refusal(self, result: str, retry_after_s: float) -> PermitRefusedError:
        self._metrics.permits.labels(result).inc()
        return PermitRefusedError(
            f"no permit within {retry_after_s:.3f} s", retry_after_s=retry_after_s
        )
