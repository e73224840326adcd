"""Predicts the queueing delay of stages and chooses the shard with the least cost."""

import asyncio
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from ..catalog import Route, StageCapacity
from ..core import TimerService
from ..pipeline import (
    WaitForecasts,
    downstream_s,
    least_transfer_zones,
    transfer_wait_s,
)
from .context import RequestContext
from .messages import PieceOrder, PieceReply
from .owner_calls import OwnerCalls
from .stage_shards import StageShards
from .state import GatewayState

# Minimum wait that is added to each shard but the nearest one, so that small
# differences do not send all gateways to the same shard.
MIN_REMOTE_PENALTY_SECONDS = 0.05
# A shard owner is probed if its last reported wait is older than this.
MAX_WAIT_AGE_SECONDS = 0.05
# Time-out of a probe; most owners are in the same zone.
PROBE_TIMEOUT_SECONDS = 0.1
# Bounds the sets of home zones whose waits are kept. A configuration has few, but may
# change often.
MAX_HOME_SETS = 64
# Of home zones for which no wait was reported yet; nothing is recorded in it.
_NO_FORECASTS = WaitForecasts()


@dataclass(frozen=True, slots=True)
class StageForecast:
    """Predicted time of all stages, and the queueing delay in it, in seconds.

    ``over_share`` tells whether the client account has more than its share queued for
    one of the stages.
    """

    total_s: float
    wait_s: float
    over_share: bool = False


@dataclass(frozen=True, slots=True)
class KnownStage:
    """What a gateway knows of one stage without asking the owner of its shard.

    Attributes
    ----------
    shard : str
        Shard that a request without slack chooses; empty for an undivided service.
    owner : str
        Peer address of the shard's owner that would be asked first.
    wait_s : float
        Predicted queueing delay in seconds.
    need_s : float
        Predicted time of the stage in seconds, including the delay.
    age_s : float
        Age of the report from which the delay follows; infinite without one.
    """

    shard: str
    owner: str
    wait_s: float
    need_s: float
    age_s: float


class StageWaits:
    """Waits that shard owners reported, and the predictions that follow from them.

    Parameters
    ----------
    calls : OwnerCalls
        Client that probes the owners of shards for their waits.
    zone : str
        Availability zone of this gateway.
    """

    def __init__(
        self,
        state: GatewayState,
        shards: StageShards,
        calls: OwnerCalls,
        zone: str,
        timers: TimerService,
    ):
        self._state = state
        self._shards = shards
        self._calls = calls
        self._zone = zone
        self._timers = timers
        # By home zones, as the waits of requests with and without differ.
        self._forecasts_by_home: OrderedDict[frozenset[str] | None, WaitForecasts] = (
            OrderedDict()
        )

    def _forecasts(self, home_zones: frozenset[str] | None) -> WaitForecasts:
        return self._forecasts_by_home.get(home_zones, _NO_FORECASTS)

    def _recorded_forecasts(self, home_zones: frozenset[str] | None) -> WaitForecasts:
        forecasts = self._forecasts_by_home.setdefault(home_zones, WaitForecasts())
        self._forecasts_by_home.move_to_end(home_zones)
        if len(self._forecasts_by_home) > MAX_HOME_SETS:
            self._forecasts_by_home.popitem(last=False)
        return forecasts

    def record_wait(self, order: PieceOrder, shard: str, reply: PieceReply) -> None:
        """Record the wait that the owner of a shard reported."""
        self._recorded_forecasts(order.home_zones).record(
            order.service,
            shard,
            order.result_bytes,
            order.priority,
            reply.wait_s,
            account=order.account,
            by_account=reply.by_account,
            over_share=reply.over_share,
            now=self._timers.now(),
        )

    async def probe(
        self,
        route: Route,
        counts: tuple[int, ...],
        priority: int,
        zone: str,
        home_zones: frozenset[str] | None = None,
        account: str = "",
    ) -> None:
        """Probe the owners of stages with dependencies for their current waits.

        First stages are not probed, because their owners reject late pieces before
        anything is made. A later stage must be checked before the request starts:
        if it has no time, the results of the first stages are wasted.
        """
        probed_stages = {
            (stage.service, stage.result_bytes)
            for index, stage in enumerate(route.stages)
            if stage.after and counts[index : index + 1] != (0,)
        }
        await asyncio.gather(
            *(
                self._probe_service(service, size, priority, zone, home_zones, account)
                for service, size in probed_stages
            )
        )

    async def _probe_service(
        self,
        service: str,
        result_bytes: int,
        priority: int,
        zone: str,
        home_zones: frozenset[str] | None,
        account: str,
    ) -> None:
        shard = self._expected_shard(
            service, result_bytes, priority, zone, home_zones, account
        )
        age_s = self._forecasts(home_zones).age_s(
            service,
            shard,
            result_bytes,
            priority,
            account=account,
            now=self._timers.now(),
        )
        if age_s < MAX_WAIT_AGE_SECONDS:
            return
        probe_order = PieceOrder(
            service,
            "",
            0,
            [],
            "",
            None,
            result_bytes,
            priority,
            PROBE_TIMEOUT_SECONDS,
            PROBE_TIMEOUT_SECONDS,
            0.0,
            shard=shard,
            home_zones=home_zones,
            account=account,
        )
        reply = await self._calls.probe(probe_order)
        if reply is not None:
            self.record_wait(probe_order, shard, reply)

    def forecast(
        self,
        route: Route,
        counts: tuple[int, ...],
        priority: int,
        zone: str,
        home_zones: frozenset[str] | None = None,
        account: str = "",
    ) -> StageForecast:
        """Return the predicted time of all stages of a request.

        The waits are those of the shards that a request without slack chooses.
        """
        dependencies = [stage.after for stage in route.stages]
        waits_s = [
            self._wait_s(route, i, priority, zone, home_zones, account)
            for i in range(len(dependencies))
        ]
        needs_s = [
            0.0
            if counts[index : index + 1] == (0,)
            else self.need_s(route, index, priority, zone, home_zones, account)
            for index in range(len(dependencies))
        ]
        return StageForecast(
            _longest_chain_s(dependencies, needs_s),
            _longest_chain_s(dependencies, waits_s),
            any(
                self._forecasts(home_zones).is_over_share(
                    stage.service,
                    stage.result_bytes,
                    priority,
                    account,
                    now=self._timers.now(),
                )
                for stage in route.stages
            ),
        )

    def need_s(
        self,
        route: Route,
        index: int,
        priority: int,
        zone: str,
        home_zones: frozenset[str] | None = None,
        account: str = "",
    ) -> float:
        """Return the predicted time of one stage: queueing delay plus call time."""
        capacity = self._capacity(route.stages[index].service)
        if capacity is None:
            return 0.0
        wait_s = self._wait_s(route, index, priority, zone, home_zones, account)
        # While pieces queue, calls are full; otherwise half of a batch is assumed.
        pieces = capacity.batch if wait_s > capacity.call_s else capacity.batch // 2
        return wait_s + capacity.call_time_s(max(1, pieces))

    def known_stage(self, ctx: RequestContext, index: int) -> KnownStage:
        """Return what is known of one stage of a request; no owner is asked."""
        route, stage = ctx.route, ctx.route.stages[index]
        terms = ctx.rank, ctx.zone, ctx.home_zones, ctx.account
        shard = self._expected_shard(stage.service, stage.result_bytes, *terms)
        wait_s, age_s = self._forecasts(ctx.home_zones).wait_and_age_s(
            stage.service,
            shard,
            stage.result_bytes,
            ctx.rank,
            account=ctx.account,
            now=self._timers.now(),
        )
        owner = self._calls.expected_owner(stage.service, shard)
        return KnownStage(
            shard, owner, wait_s, self.need_s(route, index, *terms), age_s
        )

    def best_shard(self, order: PieceOrder, shards: list[str], zone: str) -> str:
        """Return the shard to which an order is sent first.

        Each shard other than the nearest one is charged the wait that its transfers
        justify, but no more than the slack of the request.
        """
        nearest_shard = self._nearest_shard(order, zone)
        extra_s = {
            shard: 0.0
            if shard == nearest_shard
            else max(MIN_REMOTE_PENALTY_SECONDS, self._transfer_wait_s(order, shard))
            for shard in shards
        }
        least_s = min(self._reported_wait_s(order, shard) for shard in shards)
        slack_s = max(0.0, self._slack_s(order) - least_s)
        return self._cheapest_shard(
            order, {shard: min(s, slack_s) for shard, s in extra_s.items()}
        )

    def _nearest_shard(self, order: PieceOrder, zone: str) -> str:
        """Return the shard that needs the fewest bytes from other zones.

        Ties go to ``zone``, in which the request is expected to run, and otherwise to
        the first zone by name.
        """
        nearest_zones = least_transfer_zones(order.transfers, order.transfers)
        nearest_zone = (
            zone if zone in nearest_zones or not nearest_zones else min(nearest_zones)
        )
        return self._shards.shard_of_zone(order.service, nearest_zone)

    def _cheapest_shard(self, order: PieceOrder, extra_s: Mapping[str, float]) -> str:
        return self._forecasts(order.home_zones).best_shard(
            order.service,
            extra_s,
            order.result_bytes,
            order.priority,
            account=order.account,
            now=self._timers.now(),
        )

    def _transfer_wait_s(self, order: PieceOrder, shard: str) -> float:
        zones = (
            self._shards.zones_of_shard(order.service, shard) & order.transfers.keys()
        )
        waits_s = (transfer_wait_s(order.transfers, zone) for zone in zones)
        return min(waits_s, default=0.0)

    def _slack_s(self, order: PieceOrder) -> float:
        """Return the slack to the objective if the pieces start without a wait."""
        capacity = self._capacity(order.service)
        call_s = capacity.call_time_s(capacity.batch) if capacity else 0.0
        return order.objective_left_s - order.downstream_s - call_s

    def _reported_wait_s(self, order: PieceOrder, shard: str) -> float:
        return self._forecasts(order.home_zones).wait_s(
            order.service,
            shard,
            order.result_bytes,
            order.priority,
            account=order.account,
            now=self._timers.now(),
        )

    def _wait_s(
        self,
        route: Route,
        index: int,
        priority: int,
        zone: str,
        home_zones: frozenset[str] | None,
        account: str,
    ) -> float:
        """Return the predicted queueing delay of one stage."""
        stage = route.stages[index]
        shard = self._expected_shard(
            stage.service, stage.result_bytes, priority, zone, home_zones, account
        )
        return self._forecasts(home_zones).wait_s(
            stage.service,
            shard,
            stage.result_bytes,
            priority,
            account=account,
            now=self._timers.now(),
        )

    def _expected_shard(
        self,
        service: str,
        result_bytes: int,
        priority: int,
        zone: str,
        home_zones: frozenset[str] | None,
        account: str,
    ) -> str:
        """Return the shard with the least wait; the one of ``zone`` is preferred."""
        nearest_shard = self._shards.shard_of_zone(service, zone or self._zone)
        # Without a shard at home the request is refused later.
        shards = self._shards.home_shards(service, home_zones) or [nearest_shard]
        return self._forecasts(home_zones).best_shard(
            service,
            {
                shard: 0.0 if shard == nearest_shard else MIN_REMOTE_PENALTY_SECONDS
                for shard in shards
            },
            result_bytes,
            priority,
            account=account,
            now=self._timers.now(),
        )

    def _capacity(self, service: str) -> StageCapacity | None:
        deployment = self._state.deployment
        service_config = deployment.services.get(service) if deployment else None
        return service_config.stage if service_config is not None else None


def _longest_chain_s(
    dependencies: list[tuple[int, ...]], needs_s: list[float]
) -> float:
    """Return the time of the longest chain of dependent stages."""
    return max(
        (
            needs_s[i] + downstream_s(dependencies, needs_s, i)
            for i in range(len(dependencies))
        ),
        default=0.0,
    )
