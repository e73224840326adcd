"""What a replica's answer says about the replica itself.

Names on the wire that mislead: ``Server-Leaving`` is said by replicas, which the
platform's other fields never call servers.
"""

import math
from dataclasses import dataclass

from ..http1 import ResponseHead

# A longer pause is taken for a mistake of the replica; a day's incidents end sooner.
MAX_PAUSE_SECONDS = 300.0


@dataclass(frozen=True, slots=True)
class ReplicaNotice:
    """What a replica asks of this host.

    Attributes
    ----------
    leaving : bool
        It leaves and wants no further request.
    pause_s : float
        Seconds for which it wants nothing; 0 if it did not ask for a pause.
    invalid_pause : str
        The text of a pause that is malformed or out of range, else empty.
    """

    leaving: bool = False
    pause_s: float = 0.0
    invalid_pause: str = ""


def decode_replica_notice(head: ResponseHead) -> ReplicaNotice | None:
    """Return the notice in an answer, None if there is none.

    An answer of another replica at the same address (421) says nothing about the one
    that was meant.

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
    """Return the seconds of a pause, and the text itself if it was not usable as is."""
    try:
        seconds = float(text)
    except ValueError:
        return 0.0, text
    if math.isnan(seconds) or seconds < 0:
        return 0.0, text
    if seconds > MAX_PAUSE_SECONDS:
        return MAX_PAUSE_SECONDS, text
    return seconds, ""
