"""Settings of a gateway."""

import math
from dataclasses import dataclass, field

from .decoding import check_address


@dataclass(frozen=True, slots=True)
class GatewayHostSettings:
    """Identity of the host, and the addresses on which it listens (``ip:port``).

    ``control`` is empty if other daemons reach the host only by its ``peers`` address,
    ``region`` if the region of the host is not known.
    """

    name: str
    address: str
    availability_zone: str
    callers: str
    readiness: str
    peers: str
    control: str = ""
    metrics: str = ""
    region: str = ""

    def __post_init__(self):
        if not self.name or not self.availability_zone:
            raise ValueError("host: name and availability_zone must not be empty")
        for name in ("callers", "readiness", "peers"):
            check_address(getattr(self, name), f"host.{name}")


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Address of the platform's store.

    ``member_ttl_s`` is the duration of a group member's lease in seconds.
    """

    address: str
    member_ttl_s: float = 3.0

    def __post_init__(self):
        check_address(self.address, "store.address")


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """Limits that the operator sets.

    Attributes
    ----------
    stop_s : float
        Time in seconds from SIGTERM until the process is killed.
    retry_ratio, retry_extra, retry_window_s
        Retry budget that all daemons share for a service. In a window of
        ``retry_window_s`` seconds they may send ``retry_ratio`` times the number of its
        requests, plus ``retry_extra``, as retries.
    cold_overrun, cold_tolerance
        In one second a cold replica may get ``cold_overrun`` times the requests per
        second that it tolerates, plus ``cold_tolerance`` requests.
    """

    stop_s: float = 8.0
    retry_ratio: float = 0.2
    retry_extra: float = 56.0
    retry_window_s: float = 10.0
    cold_overrun: float = 1.5
    cold_tolerance: float = 5.0


@dataclass(frozen=True, slots=True)
class HostLimitSettings:
    """Limits of the host, by which it gets duties for the other gateways.

    Each is a number, or its text as a template fills it in. It is not known if it is 0
    or if the text is no positive number, for instance empty.

    Attributes
    ----------
    cpu_share
        Share of the cores that the process may use, up to 1.
    cores
        Cores of the host.
    memory_mb
        Memory of the host in megabytes.
    link_mbps
        Rate of its link in megabits a second.
    """

    cpu_share: float | str = 0.0
    cores: float | str = 0.0
    memory_mb: float | str = 0.0
    link_mbps: float | str = 0.0

    def __post_init__(self):
        for name in ("cpu_share", "cores", "memory_mb", "link_mbps"):
            value = getattr(self, name)
            if not isinstance(value, str) and not 0 <= value < math.inf:
                raise ValueError(f"limits.{name}: expected 0 or more, got {value}")

    @property
    def known_cores(self) -> float:
        """Cores that the process may use; 0 if the limit is not known."""
        cores, share = _known_limit(self.cores), _known_limit(self.cpu_share)
        return cores * min(1.0, share) if cores and share else cores

    @property
    def known_memory_mb(self) -> float:
        """Memory in megabytes; 0 if the limit is not known."""
        return _known_limit(self.memory_mb)

    @property
    def known_link_mbps(self) -> float:
        """Rate of the link in megabits a second; 0 if the limit is not known."""
        return _known_limit(self.link_mbps)


def _known_limit(value: float | str) -> float:
    try:
        number = float(value)
    except ValueError:
        return 0.0
    return number if 0 < number < math.inf else 0.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of the ``gateway`` role, read at its start.

    ``zones`` has the region of each availability zone; a zone that it lacks, or whose
    region is empty, belongs to no region.
    """

    host: GatewayHostSettings
    store: StoreSettings
    seeds: tuple[str, ...] = ()
    bounds: BoundSettings = field(default_factory=BoundSettings)
    limits: HostLimitSettings = field(default_factory=HostLimitSettings)
    zones: dict[str, str] | None = None

    @property
    def zone_regions(self) -> dict[str, str]:
        """Known region of each zone; that of the host counts for a zone not listed."""
        known = {self.host.availability_zone: self.host.region} | (self.zones or {})
        return {zone: region for zone, region in known.items() if region}
