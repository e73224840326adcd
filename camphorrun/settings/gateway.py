"""Settings of a gateway."""

from dataclasses import dataclass, field

from .decoding import check_address


@dataclass(frozen=True, slots=True)
class GatewayHostSettings:
    """Identity of the host and the addresses that it serves (``ip:port``).

    ``control`` is empty if other daemons reach the host by its peer address only.
    """

    name: str
    address: str
    availability_zone: str
    callers: str
    readiness: str
    peers: str
    control: str = ""
    metrics: str = ""

    def __post_init__(self):
        if not self.name or not self.availability_zone:
            raise ValueError("host: name and availability_zone must be set")
        for name in ("callers", "readiness", "peers"):
            check_address(getattr(self, name), f"host.{name}")


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The platform's store; ``member_ttl_s`` is the lease of a group member."""

    address: str
    member_ttl_s: float = 3.0

    def __post_init__(self):
        check_address(self.address, "store.address")


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """Bounds that the operator sets.

    Attributes
    ----------
    stop_s : float
        Time from SIGTERM until the process is killed.
    retry_ratio, retry_extra, retry_window_s
        Repeats that all daemons together may send to a service in a window: the ratio
        of its requests, and this number besides.
    """

    stop_s: float = 8.0
    retry_ratio: float = 0.2
    retry_extra: float = 56.0
    retry_window_s: float = 10.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Everything that a gateway reads at its start."""

    host: GatewayHostSettings
    store: StoreSettings
    seeds: tuple[str, ...] = ()
    bounds: BoundSettings = field(default_factory=BoundSettings)
