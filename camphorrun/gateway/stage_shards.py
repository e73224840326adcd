"""Which gateway owns which replicas of the stage services."""

from collections import Counter

from ..routing import UNSHARDED, owner_preferences, stage_shards
from .peers import member_address, member_zone
from .replicas import ReplicaPool
from .state import GatewayState


class StageShards:
    """Shards of the stage services, each with the gateways that may own it.

    Parameters
    ----------
    state : GatewayState
        Configuration and members.
    replicas : ReplicaPool
        Replicas of all services.
    """

    def __init__(self, state: GatewayState, replicas: ReplicaPool):
        self._state = state
        self._replicas = replicas
        # Shard of each zone by service.
        self._zone_shards: dict[str, dict[str, str]] = {}
        # Addresses in the order in which they are asked, by service and shard.
        self._owner_orders: dict[tuple[str, str], list[str]] = {}

    def update(self) -> bool:
        """Derive shards and owners anew; return whether anything changed."""
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
        """Return the shards of a service."""
        return sorted(set(self._zone_shards.get(service, {}).values())) or [UNSHARDED]

    def shard_of_zone(self, service: str, zone: str) -> str:
        """Return the shard of a zone, or any if the zone has no replica.

        The name of a shard is that of a zone, so this is also the shard that takes the
        place of one that is gone.
        """
        names = self.shard_names(service)
        shard = self._zone_shards.get(service, {}).get(zone, zone)
        return shard if shard in names else names[0]

    def zones_of_shard(self, service: str, shard: str) -> frozenset[str]:
        """Return the zones whose replicas belong to a shard."""
        zone_shards = self._zone_shards.get(service, {})
        return frozenset(zone for zone, name in zone_shards.items() if name == shard)

    def all_zones(self, service: str) -> list[str]:
        """Return the zones in which a service has replicas."""
        return list(self._zone_shards.get(service, {}))

    def owner_addresses(self, service: str, shard: str) -> list[str]:
        """Return peer addresses in the order in which they are asked for pieces."""
        return self._owner_orders.get((service, shard), [])

    def shard_of_result(self, service: str, result: str) -> str:
        """Return the shard whose replica made a result."""
        producer = self._replicas.at_address(result.partition("/")[0])
        zone = producer.replica.availability_zone if producer is not None else ""
        return self.shard_of_zone(service, zone)

    def _derive_shards(self, service: str) -> dict[str, str]:
        handles = self._replicas.of_service(service)
        return stage_shards(Counter(h.replica.availability_zone for h in handles))

    def _derive_owner_orders(
        self, shards: dict[str, dict[str, str]]
    ) -> dict[tuple[str, str], list[str]]:
        """Return the order of owners of each shard; owners are in its zone if possible.

        A process that takes the place of another one has its address.
        """
        members = self._state.members
        by_zone: dict[str, set[str]] = {UNSHARDED: set()}
        for member in members:
            address = member_address(member)
            if address:
                by_zone[UNSHARDED].add(address)
                by_zone.setdefault(member_zone(member), set()).add(address)
        services_of: dict[str, list[str]] = {}
        for service, zones in shards.items():
            for shard in set(zones.values()) or {UNSHARDED}:
                services_of.setdefault(shard, []).append(service)
        orders = {}
        for shard, services in services_of.items():
            candidates = by_zone.get(shard) or by_zone[UNSHARDED]
            for service, order in owner_preferences(
                services, sorted(candidates)
            ).items():
                orders[service, shard] = order
        return orders
