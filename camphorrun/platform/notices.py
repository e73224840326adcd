"""Decodes response fields in which a replica limits or refuses further work.

``X-Cold-Ms`` tells how much longer a replica is cold.

Misleading names on the wire: ``Server-Leaving`` and ``Server-Limit`` are sent by
replicas; no other field of the platform calls a replica a server.
"""

import math
from dataclasses import dataclass

from ..catalog import ReplicaLoad
from ..http1 import ResponseHead
from .errors import DecodeError
from .loads import decode_replica_load

# A longer pause is treated as an error of the replica, because the incidents of a
# normal day end sooner.
MAX_PAUSE_SECONDS = 300.0


@dataclass(frozen=True, slots=True)
class ReplicaNotice:
    """Drain announcement, requested pause and rate limit of a replica.

    Attributes
    ----------
    leaving : bool
        True if the replica is shutting down and must get no further request.
    pause_s : float
        Seconds during which the replica must get no request; 0 if it asked for no
        pause.
    invalid_pause : str
        Text of the requested pause if it is malformed or out of range, else empty.
    rate_limit : float or None
        Requests per second that the replica accepts from all gateways together; None
        if it names no limit.
    is_rate_limit_malformed : bool
        True if the response has a rate limit that is no number of 0 or more.
    load : ReplicaLoad or None
        Load and speed of the replica, None if it reports none or a malformed one.
    is_load_malformed : bool
        True if the response has a load that can't be decoded.
    cold_s : float
        Seconds for which the replica is still cold; 0 if it says nothing of it.
    is_cold_malformed : bool
        True if the response has a cold time that is no number of 0 or more.
    """

    leaving: bool = False
    pause_s: float = 0.0
    invalid_pause: str = ""
    rate_limit: float | None = None
    is_rate_limit_malformed: bool = False
    load: ReplicaLoad | None = None
    is_load_malformed: bool = False
    cold_s: float = 0.0
    is_cold_malformed: bool = False


def decode_replica_notice(head: ResponseHead) -> ReplicaNotice | None:
    """Return the notice in a response, None if it says nothing about the replica.

    Status 421 means that another replica now has the address, so the response says
    nothing about the replica that the request was meant for. Any other response without
    a rate limit says that the replica needs none.

    Examples
    --------
    >>> from ..http1 import Headers
    >>> full = ResponseHead(503, b"", Headers([(b"Retry-After", b"0.5")]))
    >>> decode_replica_notice(full).pause_s
    0.5
    >>> limited = ResponseHead(200, b"", Headers([(b"Server-Limit", b"2.5")]))
    >>> decode_replica_notice(limited).rate_limit
    2.5
    """
    if head.status == 421:
        return None
    leaving = head.headers.get("server-leaving") not in ("", "0")
    text = head.headers.get("retry-after") if head.status == 503 else ""
    pause_s, invalid_pause = _decode_pause(text) if text else (0.0, "")
    rate_limit, is_malformed = _decode_rate_limit(head.headers.get_all("server-limit"))
    load, is_load_malformed = _decode_load(head)
    cold_s, is_cold_malformed = _decode_cold(head.headers.get_all("x-cold-ms"))
    return ReplicaNotice(
        leaving,
        pause_s,
        invalid_pause,
        rate_limit,
        is_malformed,
        load,
        is_load_malformed,
        cold_s,
        is_cold_malformed,
    )


def _decode_load(head: ResponseHead) -> tuple[ReplicaLoad | None, bool]:
    """Return the reported load, and whether it is malformed."""
    try:
        return decode_replica_load(head), False
    except DecodeError:
        return None, True


def _decode_pause(text: str) -> tuple[float, str]:
    """Return the pause in seconds, and the text if it is malformed or out of range."""
    try:
        seconds = float(text)
    except ValueError:
        return 0.0, text
    if math.isnan(seconds) or seconds < 0:
        return 0.0, text
    if seconds > MAX_PAUSE_SECONDS:
        return MAX_PAUSE_SECONDS, text
    return seconds, ""


def _decode_rate_limit(values: list[str]) -> tuple[float | None, bool]:
    """Return the lowest of the limits, and whether one of them is malformed."""
    try:
        limits = [float(text) for text in values]
    except ValueError:
        return None, True
    if not all(math.isfinite(limit) and limit >= 0 for limit in limits):
        return None, True
    return min(limits, default=None), False


def _decode_cold(values: list[str]) -> tuple[float, bool]:
    """Return the longest cold time in seconds, and whether one is malformed."""
    if not values:
        return 0.0, False
    try:
        times_ms = [float(text) for text in values]
    except ValueError:
        return 0.0, True
    if not all(math.isfinite(time_ms) and time_ms >= 0 for time_ms in times_ms):
        return 0.0, True
    return max(times_ms) / 1000, False
