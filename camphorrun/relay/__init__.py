"""Relay between daemons for configuration that the log does not deliver."""

from .client import RelayClient, RelayPeers
from .messages import (
    Announce,
    Announced,
    FetchRecords,
    FetchSnapshot,
    Records,
    Refused,
    RelayError,
    SnapshotPage,
)
from .server import RelayServer

__all__ = [
    "Announce",
    "Announced",
    "FetchRecords",
    "FetchSnapshot",
    "Records",
    "Refused",
    "RelayClient",
    "RelayError",
    "RelayPeers",
    "RelayServer",
    "SnapshotPage",
]
