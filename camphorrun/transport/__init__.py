"""Authenticated WebSocket links between entries and agents, with heartbeats."""

from .dialer import LINK_PATH, LinkDialer, LinkEvents
from .errors import LinkError
from .link import Link
from .listener import LinkListener

__all__ = [
    "LINK_PATH",
    "Link",
    "LinkDialer",
    "LinkError",
    "LinkEvents",
    "LinkListener",
]
