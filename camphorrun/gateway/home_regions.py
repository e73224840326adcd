"""Home regions of requests: which availability zones may have them and their stages.

The configuration names regions, the settings of the host the region of each zone. Both
are combined when a request is accepted; everything later works with zones only.
"""

from collections.abc import Mapping

from ..catalog import Account, Deployment, Route, home_regions, zones_of_regions
from .context import RequestContext

NO_HOME_REPLICA = "no_home_replica"
HOME_CHANGED = "home_changed"
# Retry-After without a replica in a home region. Such a region is out of use for
# seconds at least, and a caller that is refused again gains nothing.
HOME_RETRY_AFTER_SECONDS = 5.0
# Retry-After of a request that is refused because its home regions have just changed;
# a new one is served by the new configuration at once.
HOME_CHANGED_RETRY_AFTER_SECONDS = 0.3
# Bounds the length of a log line.
MAX_LOGGED_NAMES = 8


class HomeRegions:
    """Home zones of requests, by the configuration and the regions of the zones.

    Parameters
    ----------
    zone_regions : mapping of str to str
        Region of each availability zone, fixed for the lifetime of the process. Zones
        that it lacks belong to no region, so no request with home regions runs there.
    """

    __slots__ = ("_zone_regions",)

    def __init__(self, zone_regions: Mapping[str, str]):
        self._zone_regions = zone_regions

    def zones(self, route: Route, account: Account | None) -> frozenset[str] | None:
        """Return the zones in which a request may run, None for all."""
        return zones_of_regions(home_regions(route, account), self._zone_regions)

    def logged(self, route: Route, account: Account | None) -> dict[str, list[str]]:
        """Return the home regions and their zones as log fields, empty without any."""
        regions = home_regions(route, account)
        if regions is None:
            return {}
        zones = zones_of_regions(regions, self._zone_regions)
        return {
            "home_regions": sorted(regions)[:MAX_LOGGED_NAMES],
            "home_zones": sorted(zones)[:MAX_LOGGED_NAMES],
        }

    def narrow(self, ctx: RequestContext, deployment: Deployment) -> bool:
        """Apply a new configuration to a request; return whether it has fewer zones.

        The zones that the request had when it was accepted are never extended.
        """
        route = deployment.route(ctx.caller.host, ctx.caller.path)
        if route is None:
            return False
        zones = self.zones(route, deployment.account(ctx.caller.credential))
        if zones is None or (ctx.home_zones is not None and ctx.home_zones <= zones):
            return False
        ctx.home_zones = zones if ctx.home_zones is None else ctx.home_zones & zones
        return True
