"""Settings of the entry and agent daemons and of the operator commands."""

from dataclasses import dataclass, field
from functools import singledispatch
from typing import Literal
from urllib.parse import urlsplit

from ..messages import KeyRing, SharedKey
from .decoding import SettingsError, check_address

MIN_SECRET_BYTES = 16
# An empty or very short credential would let anyone drain the host.
MIN_CREDENTIAL_CHARACTERS = 6


@dataclass(frozen=True, slots=True)
class KeySettings:
    """One shared key; ``secret`` is hexadecimal and has at least 16 bytes."""

    key_id: int
    secret: str = field(repr=False)

    def __post_init__(self):
        if not 0 <= self.key_id <= 255:
            raise ValueError(f"key_id: expected 0 to 255, got {self.key_id}")
        try:
            secret = bytes.fromhex(self.secret)
        except ValueError:
            raise ValueError("secret: expected hexadecimal digits") from None
        if len(secret) < MIN_SECRET_BYTES:
            raise ValueError(
                f"secret: expected {MIN_SECRET_BYTES} bytes or more, got {len(secret)}"
            )


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Base URLs of the platform's services; empty for a service not used by a role."""

    log_url: str
    host_list_url: str = ""
    weight_store_url: str = ""


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Identity of a daemon and the address on which it listens (``ip:port``)."""

    name: str
    availability_zone: str
    region: str
    listen: str

    def __post_init__(self):
        if not self.name or not self.availability_zone or not self.region:
            raise ValueError(
                "host: name, availability_zone and region must not be empty"
            )
        check_address(self.listen, "host.listen")


@dataclass(frozen=True, slots=True)
class EndpointSettings:
    """Endpoint that an agent serves on the same host.

    ``checks_fencing`` tells whether the endpoint rejects stale fencing tokens.
    """

    url: str
    service: str
    kind: Literal["engine", "pool", "plain"] = "plain"
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """Names of the selected decision policies; the defaults are recommended."""

    routing: str = "balanced"
    queue: str = "least_laxity"
    admission: str = "predictive"
    retries: str = "budgeted"
    hedges: str = "unhedged"
    seed: int = 0


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Settings of the claims on non-idempotent calls.

    ``appends_per_s`` is this daemon's share of the several hundred appends a second
    that the log service accepts from all daemons together. ``key_lifetime_s`` must be
    the same in all daemons, because each reader of the log decides by it which keys
    have expired.
    """

    appends_per_s: float = 20.0
    key_lifetime_s: float = 86400.0

    def __post_init__(self):
        for name in ("appends_per_s", "key_lifetime_s"):
            value = getattr(self, name)
            if not 0 < value < float("inf"):
                raise ValueError(f"claims.{name}: expected more than 0, got {value}")


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of the ``entry`` role.

    ``max_body_bytes`` limits the body of one request, and ``max_requests`` the number
    of requests in flight. ``operator_credential`` authorises the drain call.
    """

    host: HostSettings
    platform: PlatformSettings
    keys: tuple[KeySettings, ...]
    operator_credential: str = field(repr=False)
    policy: PolicySettings = field(default_factory=PolicySettings)
    max_body_bytes: int = 4 * 1024 * 1024
    max_requests: int = 2000
    drain_grace_s: float = 1.0
    claims: ClaimSettings = field(default_factory=ClaimSettings)


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of the ``agent`` role."""

    host: HostSettings
    platform: PlatformSettings
    endpoint: EndpointSettings
    keys: tuple[KeySettings, ...]
    operator_credential: str = field(repr=False)
    policy: PolicySettings = field(default_factory=PolicySettings)
    initial_limit: int = 8
    max_queue: int = 256
    result_keep_s: float = 30.0
    result_keep_bytes: int = 16 * 1024 * 1024
    claims: ClaimSettings = field(default_factory=ClaimSettings)


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Settings of the ``ctl`` command."""

    platform: PlatformSettings
    operator: str
    operator_credential: str = field(repr=False)


def key_ring(keys: tuple[KeySettings, ...]) -> KeyRing:
    """Return the key ring of the configured keys; the first key is the active one."""
    return KeyRing(
        tuple(SharedKey(key.key_id, bytes.fromhex(key.secret)) for key in keys)
    )


@singledispatch
def check_settings(settings: object) -> None:
    """Check the conditions that the types of the fields don't express.

    Raises
    ------
    SettingsError
        If a value is invalid; the error contains the path of its field.
    """


@check_settings.register
def _check_entry(settings: EntrySettings) -> None:
    _check_keys(settings.keys)
    _check_credential(settings.operator_credential)
    _check_url(settings.platform.log_url, "platform.log_url")
    _check_url(settings.platform.host_list_url, "platform.host_list_url")
    _check_positive(settings, "max_body_bytes", "max_requests")
    _check_not_negative(settings, "drain_grace_s")


@check_settings.register
def _check_agent(settings: AgentSettings) -> None:
    _check_keys(settings.keys)
    _check_credential(settings.operator_credential)
    _check_url(settings.platform.log_url, "platform.log_url")
    if settings.platform.host_list_url:
        _check_url(settings.platform.host_list_url, "platform.host_list_url")
    if settings.platform.weight_store_url:
        _check_url(settings.platform.weight_store_url, "platform.weight_store_url")
    _check_url(settings.endpoint.url, "endpoint.url")
    if not settings.endpoint.service:
        raise SettingsError(
            "endpoint.service: must not be empty", field="endpoint.service"
        )
    _check_positive(settings, "initial_limit", "max_queue", "result_keep_bytes")
    _check_not_negative(settings, "result_keep_s")


@check_settings.register
def _check_operator(settings: OperatorSettings) -> None:
    _check_credential(settings.operator_credential)
    _check_url(settings.platform.log_url, "platform.log_url")
    _check_url(settings.platform.host_list_url, "platform.host_list_url")
    if not settings.operator:
        raise SettingsError("operator: must not be empty", field="operator")


def _check_keys(keys: tuple[KeySettings, ...]) -> None:
    if not keys:
        raise SettingsError("keys: expected at least one key", field="keys")
    if len({key.key_id for key in keys}) < len(keys):
        raise SettingsError("keys: expected distinct values of key_id", field="keys")


def _check_credential(value: str) -> None:
    name = "operator_credential"
    if len(value) < MIN_CREDENTIAL_CHARACTERS:
        expected = f"expected {MIN_CREDENTIAL_CHARACTERS} characters or more"
        raise SettingsError(f"{name}: {expected}", field=name)


def _check_url(value: str, name: str) -> None:
    parts = urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.netloc:
        raise SettingsError(
            f"{name}: expected an http(s) URL, got {value!r}", field=name
        )


def _check_positive(settings: object, *names: str) -> None:
    for name in names:
        value = getattr(settings, name)
        if value < 1:
            raise SettingsError(f"{name}: expected 1 or more, got {value}", field=name)


def _check_not_negative(settings: object, name: str) -> None:
    value = getattr(settings, name)
    if not 0 <= value < float("inf"):
        raise SettingsError(f"{name}: expected 0 or more, got {value}", field=name)
