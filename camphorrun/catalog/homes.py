"""Home regions: the regions in which the requests of a route or an account may run.

Home zones are the availability zones of the home regions. None stands for no
restriction; an empty set allows no zone at all.
"""

from collections.abc import Mapping

from .deployment import Account, Route


def home_regions(route: Route, account: Account | None) -> frozenset[str] | None:
    """Return the regions in which a request may run, None if it may run anywhere.

    If both the route and the client account have home regions, both apply.

    Examples
    --------
    >>> route = Route("r", "h", "/", None, 1.0, 0.2, 1, (), regions=frozenset("ab"))
    >>> home_regions(route, None) == {"a", "b"}
    True
    >>> home_regions(route, Account("acc", regions=frozenset("bc")))
    frozenset({'b'})
    """
    parts = [route.regions, account.regions if account is not None else frozenset()]
    restricting = [regions for regions in parts if regions]
    return frozenset.intersection(*restricting) if restricting else None


def zones_of_regions(
    regions: frozenset[str] | None, zone_regions: Mapping[str, str]
) -> frozenset[str] | None:
    """Return the availability zones of some regions, None if there is no restriction.

    ``zone_regions`` has the region of each zone. A zone that it lacks belongs to none.

    Examples
    --------
    >>> zones_of_regions(frozenset({"eu"}), {"z1": "eu", "z2": "us"})
    frozenset({'z1'})
    """
    if regions is None:
        return None
    return frozenset(z for z, region in zone_regions.items() if region in regions)


def is_home(zone: str, home_zones: frozenset[str] | None) -> bool:
    """Return whether an availability zone is allowed.

    Examples
    --------
    >>> is_home("z1", None), is_home("z1", frozenset({"z2"}))
    (True, False)
    """
    return home_zones is None or zone in home_zones
