"""Settings of each role, decoded from JSON into validated dataclasses."""

from .decoding import SettingsError, check_address, decode_settings, load_settings
from .gateway import (
    BoundSettings,
    GatewayHostSettings,
    GatewaySettings,
    HostLimitSettings,
    StoreSettings,
)
from .roles import (
    AgentSettings,
    ClaimSettings,
    EndpointSettings,
    EntrySettings,
    HostSettings,
    KeySettings,
    OperatorSettings,
    PlatformSettings,
    PolicySettings,
    check_settings,
    key_ring,
)

__all__ = [
    "AgentSettings",
    "BoundSettings",
    "ClaimSettings",
    "EndpointSettings",
    "EntrySettings",
    "GatewayHostSettings",
    "GatewaySettings",
    "HostLimitSettings",
    "HostSettings",
    "KeySettings",
    "OperatorSettings",
    "PlatformSettings",
    "PolicySettings",
    "SettingsError",
    "StoreSettings",
    "check_address",
    "check_settings",
    "decode_settings",
    "key_ring",
    "load_settings",
]
