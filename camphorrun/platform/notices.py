"""Decodes response fields in which a replica announces a drain or asks for a pause.

Misleading name on the wire: ``Server-Leaving`` is sent by replicas; no other field of
the platform calls a replica a server.
"""

import math
from dataclasses import dataclass

from ..http1 import ResponseHead

# A longer pause is treated as an error of the replica, because the incidents of a
# day end sooner.
MAX_PAUSE_SECONDS = 300.0


@dataclass(frozen=True, slots=True)
class ReplicaNotice:
    """Drain announcement and requested pause of a replica.

    Attributes
    ----------
    leaving : bool
        True if the replica is shutting down and must get no further request.
    pause_s : float
        Seconds during which the replica must get no request; 0 if it asked for no
        pause.
    invalid_pause : str
        Text of the requested pause if it is malformed or out of range, else empty.
    """

    leaving: bool = False
    pause_s: float = 0.0
    invalid_pause: str = ""


def decode_replica_notice(head: ResponseHead) -> ReplicaNotice | None:
    """Return the notice in a response, None if there is none.

    Status 421 means that another replica now has the address, so the response says
    nothing about the replica that the request was meant for.

    Examples
    --------
    >>> from ..http1 import Headers
    >>> full = ResponseHead(503, b"", Headers([(b"Retry-After", b"0.5")]))
    >>> decode_replica_notice(full).pause_s
    0.5
    """
    if head.status == 421:
        return None
    leaving = head.headers.get("server-leaving") not in ("", "0")
    text = head.headers.get("retry-after") if head.status == 503 else ""
    pause_s, invalid_pause = _decode_pause(text) if text else (0.0, "")
    if not leaving and not pause_s and not invalid_pause:
        return None
    return ReplicaNotice(leaving, pause_s, invalid_pause)


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
