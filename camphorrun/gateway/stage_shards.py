"""Divides the replicas of stage services into shards and assigns owners to them."""

from collections import Counter

from ..catalog import is_home
from ..routing import (
    UNSHARDED,
    owner_preferences,
    rendezvous_order,
    stage_shards,
)
from .messages import PieceOrder
from .peers import address_weights, member_address, member_zone
from .replicas import ReplicaPool
from .state import GatewayState


class StageShards:
    """Shards of the stage services and the preference order of their owners.

    A shard consists of the replicas in one or several availability zones and has the
    name of one of them; the only shard of a service that is not divided has an empty
    name. One gateway, its owner, batches all calls to the replicas of a shard.
    Evacuated zones belong to no shard.

    Parameters
    ----------
    state : GatewayState
        Source of the configuration and the gateway members.
    replicas : ReplicaPool
        Replicas of all services.
    """

    def __init__(self, state: GatewayState, replicas: ReplicaPool):
        self._state = state
        self._replicas = replicas
        self._own_zone = member_zone(state.member)
        self._own_address = member_address(state.member)
        # By service, the shard of each zone.
        self._zone_shards: dict[str, dict[str, str]] = {}
        # By service and shard, peer addresses of owners in order of preference.
        self._owner_orders: dict[tuple[str, str], list[str]] = {}

    def update(self) -> bool:
        """Recompute shards and owners; return whether anything changed."""
        deployment = self._state.deployment
        if deployment is None:
            return False
        services = deployment.stage_services()
        shards = {name: self._derive_shards(name) for name in services}
        orders = self._derive_owner_orders(shards)
        changed = (shards, orders) != (self._zone_shards, self._owner_orders)
        self._zone_shards, self._owner_orders = shards, orders
        return changed

    def shard_names(self, service: str) -> list[str]:
        """Return the shards of a service, at least one."""
        return sorted(set(self._zone_shards.get(service, {}).values())) or [UNSHARDED]

    def home_shards(self, service: str, home_zones: frozenset[str] | None) -> list[str]:
        """Return the shards with replicas in home zones, all of them for None."""
        if home_zones is None:
            return self.shard_names(service)
        zone_shards = self._zone_shards.get(service, {})
        return sorted({zone_shards[z] for z in zone_shards.keys() & home_zones})

    def shard_of_order(self, order: PieceOrder) -> str:
        """Return the shard that carries out an order, one with home zones if any has.

        The shard that the order names may have been divided or merged meanwhile.
        """
        shard = self.shard_of_zone(order.service, order.shard, order.zone)
        names = self.home_shards(order.service, order.home_zones) or [shard]
        return shard if shard in names else names[0]

    def shard_of_zone(self, service: str, zone: str, requester_zone: str = "") -> str:
        """Return the shard of a zone; the nearest one if the zone has no replica.

        The nearest shard is that of ``requester_zone`` or of this gateway's zone. If
        these have none either, gateways choose different ones, so that the work of a
        lost or evacuated zone is spread.

        ``zone`` may also be the name of a shard that no longer exists: shards have the
        names of zones, so the result is the shard that took over its replicas.
        """
        names = self.shard_names(service)
        zone_shards = self._zone_shards.get(service, {})
        for name in (zone, requester_zone, self._own_zone):
            shard = zone_shards.get(name, name)
            if shard in names:
                return shard
        return rendezvous_order(f"{service}|{self._own_address}", names)[0]

    def zones_of_shard(self, service: str, shard: str) -> frozenset[str]:
        """Return the zones whose replicas belong to a shard."""
        zone_shards = self._zone_shards.get(service, {})
        return frozenset(zone for zone, name in zone_shards.items() if name == shard)

    def all_zones(
        self, service: str, home_zones: frozenset[str] | None = None
    ) -> list[str]:
        """Return the zones in which a service has replicas, only home zones if any."""
        zones = self._zone_shards.get(service, {})
        return [zone for zone in zones if is_home(zone, home_zones)]

    def owner_addresses(self, service: str, shard: str) -> list[str]:
        """Return the peer addresses of possible owners, in order of preference."""
        return self._owner_orders.get((service, shard), [])

    def shard_of_result(self, service: str, result: str) -> str:
        """Return the shard of the replica that made a result."""
        producer = self._replicas.at_address(result.partition("/")[0])
        zone = producer.replica.availability_zone if producer is not None else ""
        return self.shard_of_zone(service, zone)

    def _derive_shards(self, service: str) -> dict[str, str]:
        handles = self._replicas.of_service(service)
        zones = (h.replica.availability_zone for h in handles if not h.is_evacuated)
        return stage_shards(Counter(zones))

    def _derive_owner_orders(
        self, shards: dict[str, dict[str, str]]
    ) -> dict[tuple[str, str], list[str]]:
        """Return the owners of each shard of each service, in order of preference.

        Owners are in the zone of the shard if it has a gateway. The order depends on
        addresses and weights only, so a restarted gateway with the same address owns
        the same shards.
        """
        members = self._state.members
        by_zone: dict[str, set[str]] = {UNSHARDED: set()}
        for member in members:
            address = member_address(member)
            if address:
                by_zone[UNSHARDED].add(address)
                by_zone.setdefault(member_zone(member), set()).add(address)
        weights = address_weights(members)
        services_of: dict[str, list[str]] = {}
        for service, zones in shards.items():
            for shard in set(zones.values()) or {UNSHARDED}:
                services_of.setdefault(shard, []).append(service)
        orders = {}
        for shard, services in services_of.items():
            candidates = by_zone.get(shard) or by_zone[UNSHARDED]
            for service, order in owner_preferences(
                services, sorted(candidates), weights
            ).items():
                orders[service, shard] = order
        return orders
