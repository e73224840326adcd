"""Decodes the response field in which a replica reports its load and speed."""

import re

from ..catalog import ReplicaLoad
from ..http1 import ResponseHead
from .errors import DecodeError

_FIELD = "x-replica-load"
_COUNT_FIELDS = 3
# More digits than any count or speed of a replica has. Larger figures are impossible.
_COUNT = re.compile(r"[0-9]{1,6}", re.ASCII)
_PERCENTAGE = re.compile(r"[0-9]{1,5}(\.[0-9]{1,6})?", re.ASCII)
# A replica whose work takes longer than 100 times as usual is of no use, so a higher
# figure is an error of the replica.
MAX_SLOWDOWN_PERCENT = 10_000.0


def decode_replica_load(head: ResponseHead) -> ReplicaLoad | None:
    """Return the load that a response reports, None if it reports none.

    The field has the requests running, the requests waiting and the slots, separated by
    commas, and optionally how long work takes at the moment, where 100 means as usual.
    A response of status 421 reports the load of another replica.

    Raises
    ------
    DecodeError
        If the field has different values, or a figure is missing, malformed or out of
        range.

    Examples
    --------
    >>> from ..http1 import Headers
    >>> head = ResponseHead(200, b"", Headers([(b"X-Replica-Load", b"1,2,4,250")]))
    >>> load = decode_replica_load(head)
    >>> load.running, load.waiting, load.slots, load.slowdown
    (1, 2, 4, 2.5)
    """
    values = set(head.headers.get_all(_FIELD))
    if not values or head.status == 421:
        return None
    if len(values) > 1:
        raise _malformed("expected one value, got several different ones")
    figures = [text.strip(" \t") for text in values.pop().split(",")]
    if not _COUNT_FIELDS <= len(figures) <= _COUNT_FIELDS + 1:
        raise _malformed(f"expected 3 or 4 figures, got {len(figures)}")
    if not all(_COUNT.fullmatch(text) for text in figures[:_COUNT_FIELDS]):
        raise _malformed("expected numbers of requests and slots")
    running, waiting, slots = map(int, figures[:_COUNT_FIELDS])
    if not slots:
        raise _malformed("expected 1 slot or more")
    if len(figures) == _COUNT_FIELDS:
        return ReplicaLoad(running, waiting, slots)
    slowdown = _decode_slowdown(figures[_COUNT_FIELDS])
    return ReplicaLoad(running, waiting, slots, slowdown, reports_speed=True)


def _decode_slowdown(text: str) -> float:
    if not _PERCENTAGE.fullmatch(text):
        raise _malformed("expected a speed in digits")
    percent = float(text)
    if not 0 < percent <= MAX_SLOWDOWN_PERCENT:
        raise _malformed(f"expected a speed up to {MAX_SLOWDOWN_PERCENT:.0f}")
    return percent / 100


def _malformed(text: str) -> DecodeError:
    return DecodeError(f"replica load: {text}", field="load")
