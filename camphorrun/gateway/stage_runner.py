"""Runs the stages of requests by way of the owners of the stage services."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..catalog import Route, StageCapacity
from ..core import EventLog, TimerService
from ..metrics import Metrics
from ..pipeline import downstream_s, run_stages, transfer_bytes
from ..platform import CallerRequest
from ..retries import RetryBudget
from ..routing import UNSHARDED
from .errors import StageError
from .messages import PieceOrder, PieceReply
from .owner_calls import BUSY, MOVED, UNCONFIGURED, OwnerCalls
from .owner_releases import OwnerReleases
from .peers import Peers, member_address
from .piece_cancels import PieceCancels
from .piece_orders import piece_group
from .remote_orders import RemoteOrders
from .replicas import ReplicaPool
from .stage_owner import StageOwner
from .stage_results import StageResults
from .stage_shards import StageShards
from .stage_waits import StageForecast, StageWaits
from .state import GatewayState

# Maximum number of times that the stages of a request run again because a replica no
# longer has an input.
MAX_REMAKES = 2
# Overloaded shards that are tried before a stage fails, or waits at one of them.
MAX_SHARDS = 3


@dataclass(frozen=True, slots=True)
class _OrderTerms:
    """What all orders for pieces of one request have in common."""

    priority: int
    zone: str
    home_zones: frozenset[str] | None
    account: str


class StageRunner:
    """Runs the stages of this gateway's requests, and owns shards for all gateways.

    Parameters
    ----------
    state : GatewayState
        Source of the configuration and the gateway members.
    replicas : ReplicaPool
        Replicas of all services.
    peers : Peers
        Connections to the other gateways.
    new_budget : callable
        Creates the retry budget of an owner.
    zone : str
        Availability zone of this gateway.

    Attributes
    ----------
    remote_orders : RemoteOrders
        Orders of other gateways for pieces.
    """

    def __init__(
        self,
        state: GatewayState,
        replicas: ReplicaPool,
        peers: Peers,
        new_budget: Callable[[], RetryBudget],
        zone: str,
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._state = state
        self._replicas = replicas
        self._peers = peers
        self._new_budget = new_budget
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._zone = zone
        self._own_address = member_address(state.member)
        self._shards = StageShards(state, replicas)
        # By service and shard. Owners of removed shards stay to finish their calls.
        self._owners: dict[tuple[str, str], StageOwner] = {}
        self._retired = False
        self._cancels = PieceCancels(
            peers, self._result_life_s, timers=timers, metrics=metrics
        )
        self._calls = OwnerCalls(
            peers,
            self.owners_of,
            self._own_address,
            self.make_pieces,
            self._release_results,
            self._cancels,
            timers=timers,
            metrics=metrics,
            events=events,
        )
        self._releases = OwnerReleases(
            peers, self._shards, self._calls, self._successor, self._release_here
        )
        self.remote_orders = RemoteOrders(
            self.make_pieces,
            self._releases,
            self._result_life_s,
            timers=timers,
            metrics=metrics,
        )
        self._waits = StageWaits(state, self._shards, self._calls, zone, timers)
        state.subscribe(
            deployment=self._on_state_change,
            members=self._on_member_change,
            replicas=self._on_state_change,
            evacuations=self._on_evacuation,
        )

    @property
    def waits(self) -> StageWaits:
        """Waits of the stages as this gateway knows them."""
        return self._waits

    # Requests of this gateway

    async def run(
        self,
        caller: CallerRequest,
        route: Route,
        *,
        priority: int,
        objective_at: float,
        deadline_at: float,
        final_s: float,
        zone: str = "",
        home_zones: frozenset[str] | None = None,
        account: str = "",
    ) -> StageResults:
        """Run the stages of a request and return their results.

        Parameters
        ----------
        caller : CallerRequest
            Request with its numbers of pieces and their key.
        route : Route
            Route with the stages.
        priority : int
            Rank of the request, 0 for the most urgent.
        objective_at, deadline_at : float
            When the request should be and must be answered, on the timer service.
        final_s : float
            Predicted time of the request itself after its stages.
        zone : str
            Zone in which the request is expected to run, empty if unknown.
        home_zones : frozenset of str or None
            Zones in which the stages may run, None for all.
        account : str
            Client account of the request, empty if it has none.

        Raises
        ------
        StageError
            If a stage fails; the request itself has not run.
        """
        terms = _OrderTerms(priority, zone, home_zones, account)
        results = StageResults(route, caller.pieces)
        stages = range(len(route.stages))
        need_s = [
            self._waits.need_s(route, i, priority, zone, home_zones, account)
            for i in stages
        ]

        async def run_one(index: int, _: list) -> list[str]:
            if index in results.by_stage:
                return results.by_stage[index]
            after_s = downstream_s(results.dependencies, need_s, index) + final_s
            handles = await self._make_stage(
                caller,
                route,
                index,
                results,
                terms,
                objective_at=objective_at,
                deadline_at=deadline_at,
                downstream=after_s,
            )
            results.by_stage[index] = handles
            results.held[index] = handles
            self._release_unneeded(route, results, index)
            return handles

        for remake in range(MAX_REMAKES + 1):
            try:
                await run_stages(results.dependencies, run_one)
                return results
            except StageError as exc:
                if exc.code != "input_gone" or remake == MAX_REMAKES:
                    self.release_all(route, results)
                    raise
                self._metrics.retries.labels("stage_input_gone").inc()
                self.release_all(route, results)
                results = StageResults(route, caller.pieces)
            except BaseException:
                self.release_all(route, results)
                raise
        raise StageError(
            f"stage inputs were lost in {MAX_REMAKES + 1} runs of the stages",
            code="input_gone",
        )

    def release_all(self, route: Route, results: StageResults) -> None:
        """Release all results that are not released yet."""
        for index, handles in results.held.items():
            self._releases.release(route.stages[index].service, handles)
        results.held = {}

    async def forecast(
        self,
        route: Route,
        counts: tuple[int, ...],
        priority: int,
        zone: str = "",
        home_zones: frozenset[str] | None = None,
        account: str = "",
    ) -> StageForecast:
        """Return the predicted time of all stages, after probing their owners.

        ``counts`` has the pieces by stage; a stage without pieces takes no time.
        """
        await self._waits.probe(route, counts, priority, zone, home_zones, account)
        return self._waits.forecast(route, counts, priority, zone, home_zones, account)

    async def _make_stage(
        self,
        caller: CallerRequest,
        route: Route,
        index: int,
        results: StageResults,
        terms: _OrderTerms,
        *,
        objective_at: float,
        deadline_at: float,
        downstream: float,
    ) -> list[str]:
        count = caller.pieces[index] if index < len(caller.pieces) else 1
        if not count:
            return []
        stage = route.stages[index]
        now = self._timers.now()
        is_final = not results.pending_consumers[index]
        order = PieceOrder(
            stage.service,
            caller.attempt_id,
            index,
            list(range(count)),
            caller.piece_key,
            results.inputs(index) if stage.after else None,
            stage.result_bytes,
            terms.priority,
            objective_at - now,
            deadline_at - now,
            downstream,
            zone=terms.zone or self._zone,
            account=terms.account,
            transfers=transfer_bytes(
                self._shards.all_zones(stage.service, terms.home_zones),
                count,
                self._input_bytes(route, results, index),
                result_bytes=stage.result_bytes if is_final else 0,
                consumer_zone=terms.zone,
            ),
            home_zones=terms.home_zones,
        )
        reply = await self._ask_shards(order, terms.zone or self._zone)
        self._events.log_decision(
            "stage",
            caller.attempt_id,
            stage=index,
            service=stage.service,
            pieces=count,
            fault=reply.fault,
            seconds=round(self._timers.now() - now, 4),
            wait_s=round(reply.wait_s, 3),
        )
        if reply.fault:
            raise StageError(
                f"stage {index} of service {stage.service} failed: {reply.fault}",
                code=reply.fault,
                retry_after_s=reply.retry_after_s or reply.wait_s,
            )
        return [reply.handles[piece] for piece in range(count)]

    def _input_bytes(
        self, route: Route, results: StageResults, index: int
    ) -> dict[str, int]:
        """Return the bytes of the inputs of one piece, by the zone of their replica."""
        sizes: dict[str, int] = {}
        for result, size in results.input_sizes(route, index):
            producer = self._replicas.at_address(result.partition("/")[0])
            if producer is not None:
                zone = producer.replica.availability_zone
                sizes[zone] = sizes.get(zone, 0) + size
        return sizes

    async def _ask_shards(self, order: PieceOrder, zone: str) -> PieceReply:
        """Send an order to the cheapest shard, then to others if it is overloaded.

        If all tried shards are overloaded, a stage without inputs fails, and with it
        the request. A stage with inputs is queued late at the shard with the least
        wait, because earlier stages have used calls for it already.
        """
        started_at = self._timers.now()
        untried = self._shards.home_shards(order.service, order.home_zones)
        # Without a shard at home, the owner of any tells why.
        untried = untried or self._shards.shard_names(order.service)
        busy_replies: dict[str, PieceReply] = {}
        while untried and len(busy_replies) < MAX_SHARDS:
            shard = self._waits.best_shard(order, untried, zone)
            untried.remove(shard)
            reply = await self._ask_shard(order, shard, started_at, accept_late=False)
            if reply.fault != BUSY:
                return reply
            busy_replies[shard] = reply
        best = min(busy_replies, key=lambda shard: busy_replies[shard].wait_s)
        if order.inputs is None:
            return busy_replies[best]
        return await self._ask_shard(order, best, started_at, accept_late=True)

    async def _ask_shard(
        self, order: PieceOrder, shard: str, started_at: float, *, accept_late: bool
    ) -> PieceReply:
        elapsed_s = self._timers.now() - started_at
        shard_order = msgspec.structs.replace(
            order,
            shard=shard,
            patient=accept_late,
            objective_left_s=order.objective_left_s - elapsed_s,
            deadline_left_s=order.deadline_left_s - elapsed_s,
        )
        reply = await self._calls.request_pieces(shard_order)
        self._waits.record_wait(order, shard, reply)
        return reply

    # Pieces for all gateways, as owner

    async def make_pieces(self, order: PieceOrder) -> PieceReply:
        """Make pieces at this gateway, or return the address of their owner."""
        shard = self._shards.shard_of_order(order)
        successor = self._successor(order.service, shard)
        if successor and not order.forced:
            return PieceReply({}, MOVED, successor=successor)
        owner = self._get_owner(order.service, shard)
        if owner is None:
            return PieceReply({}, UNCONFIGURED)
        reply = await self._make_own_pieces(owner, order)
        reply.by_account = owner.has_long_backlog
        reply.over_share = owner.is_over_share(order.priority, order.account)
        return reply

    async def _make_own_pieces(
        self, owner: StageOwner, order: PieceOrder
    ) -> PieceReply:
        group = piece_group(order, self._timers.now())
        if not order.pieces:
            wait_s = owner.predicted_wait_s(group)
            return PieceReply({}, "", max(0.0, wait_s + owner.extra_call_s))
        fault = ""
        handles: dict[int, str] = {}
        retry_after_s = 0.0
        try:
            handles = await owner.make_pieces(
                group, order.forced, accept_late=order.patient
            )
        except StageError as exc:
            fault = exc.code
            retry_after_s = exc.retry_after_s
        wait_s = owner.expected_wait_s(
            order.result_bytes, order.priority, order.home_zones, order.account
        )
        wait_s = max(0.0, wait_s + owner.extra_call_s)
        if fault == BUSY:
            return PieceReply({}, fault, retry_after_s)
        if fault:
            return PieceReply({}, fault, wait_s, retry_after_s=retry_after_s)
        if len(handles) < len(order.pieces):
            # The shard may have been split or merged during the calls.
            shard = self._shards.shard_of_order(order)
            successor = self._successor(order.service, shard) or self._own_address
            return PieceReply(handles, MOVED, wait_s, successor)
        return PieceReply(handles, "", wait_s)

    def retire(self) -> None:
        """Hand over all stage services to other gateways, before this one stops."""
        self._retired = True
        self._hand_over_moved_shards()

    def _successor(self, service: str, shard: str) -> str:
        """Return the owner's address if it is another, reachable daemon, else empty."""
        for address in self.owners_of(service, shard):
            if address == self._own_address:
                if self._retired:
                    continue
                return ""
            return "" if self._peers.link(address).is_suspect else address
        return ""

    def _hand_over_moved_shards(self) -> None:
        for (service, shard), owner in self._owners.items():
            is_removed = shard not in self._shards.shard_names(service)
            if is_removed or self._successor(service, shard):
                owner.hand_over()

    def _release_results(self, service: str, handles: list[str]) -> None:
        self._releases.release(service, handles)

    def _release_here(self, service: str, shard: str, handles: list[str]) -> None:
        owner = self._get_owner(service, shard)
        if owner is not None:
            owner.release(handles)

    def owners_of(self, service: str, shard: str = UNSHARDED) -> list[str]:
        """Return the peer addresses of possible owners, in order of preference."""
        return self._shards.owner_addresses(
            service, self._shards.shard_of_zone(service, shard)
        )

    def close(self) -> None:
        """Cancel all calls in progress."""
        self._cancels.close()
        for owner in self._owners.values():
            owner.close()
        self._releases.close()

    @property
    def held_groups(self) -> int:
        """Number of groups of pieces whose request waits for an owner here."""
        return sum(owner.held_groups for owner in self._owners.values())

    @property
    def held_pieces(self) -> int:
        """Number of pieces in the queues of the owners here."""
        return sum(owner.held_pieces for owner in self._owners.values())

    @property
    def pieces_over_share(self) -> int:
        """Number of those pieces whose client account is over its share."""
        return sum(owner.pieces_over_share for owner in self._owners.values())

    def _capacity(self, service: str) -> StageCapacity | None:
        deployment = self._state.deployment
        service_config = deployment.services.get(service) if deployment else None
        return service_config.stage if service_config is not None else None

    def _result_life_s(self, service: str) -> float:
        """Return the seconds after which unused results expire, 0 if unknown."""
        capacity = self._capacity(service)
        return capacity.result_life_s if capacity is not None else 0.0

    def _get_owner(self, service: str, shard: str) -> StageOwner | None:
        owner = self._owners.get((service, shard))
        if owner is not None:
            return owner
        capacity = self._capacity(service)
        if capacity is None:
            return None
        owner = self._owners[service, shard] = StageOwner(
            service,
            capacity,
            self._replicas,
            self._new_budget(),
            timers=self._timers,
            metrics=self._metrics,
            events=self._events,
        )
        owner.zones = self._shards.zones_of_shard(service, shard)
        return owner

    def _on_member_change(self) -> None:
        # The share of the common retry budget depends on the number of members.
        for owner in self._owners.values():
            owner.set_budget(self._new_budget())
        self._on_state_change()

    def _on_evacuation(self) -> None:
        """Hand over the queues of removed shards, and move what is queued here."""
        self._on_state_change()
        for owner in self._owners.values():
            owner.on_evacuation()

    def _on_state_change(self) -> None:
        if self._state.deployment is None:
            return
        if self._shards.update():
            for (service, shard), owner in self._owners.items():
                # A group that can't be handed over goes on at the replicas of the shard
                # that took over those of a removed one.
                current = self._shards.shard_of_zone(service, shard)
                owner.zones = self._shards.zones_of_shard(service, current)
            self._hand_over_moved_shards()
        for (service, _), owner in self._owners.items():
            if (capacity := self._capacity(service)) is not None:
                owner.reconfigure(capacity)

    def _release_unneeded(
        self, route: Route, results: StageResults, index: int
    ) -> None:
        """Release the inputs of an ended stage that no other stage needs."""
        for needed in results.dependencies[index]:
            results.pending_consumers[needed].discard(index)
            if not results.pending_consumers[needed] and needed in results.held:
                handles = results.held.pop(needed)
                self._releases.release(route.stages[needed].service, handles)
