"""Bytes that cross zones, and how long pieces wait for a replica near their inputs.

Load pattern: every piece of a stage fetches all inputs of its request. A stage of ten
pieces whose predecessor made six results of 60 KB moves 3.6 MB if it runs outside the
availability zone of its inputs. The replicas in that zone are busy with other calls for
some tenths of a second; a request with time to spare waits for one of them, and a
request near its objective does not.
"""

from collections.abc import Container, Iterable, Mapping

# Wait that is accepted to avoid the transfer of one megabyte between zones.
SECONDS_PER_MEGABYTE = 0.08
# Longest wait that is accepted to avoid a transfer of any size.
MAX_TRANSFER_WAIT_SECONDS = 0.3
MEGABYTE = 1_000_000


def transfer_bytes(
    zones: Iterable[str],
    pieces: int,
    input_bytes: Mapping[str, int],
    *,
    result_bytes: int = 0,
    consumer_zone: str = "",
) -> dict[str, int]:
    """Return the bytes that cross zones, by the zone in which the stage runs.

    Parameters
    ----------
    zones : iterable of str
        Availability zones in which the stage can run.
    pieces : int
        Number of pieces of the stage.
    input_bytes : mapping of str to int
        Input bytes of one piece, by the zone that holds them.
    result_bytes : int
        Size of one result.
    consumer_zone : str
        Zone that uses the results next, or empty if it is not known.

    Examples
    --------
    >>> transfer_bytes(["a", "b"], 10, {"a": 6000, "b": 1000})
    {'a': 10000, 'b': 60000}
    >>> transfer_bytes(["a", "b"], 2, {}, result_bytes=500, consumer_zone="b")
    {'a': 1000, 'b': 0}
    """
    total = sum(input_bytes.values())

    def cross_zone_bytes(zone: str) -> int:
        moved = pieces * (total - input_bytes.get(zone, 0))
        return moved + (pieces * result_bytes if consumer_zone not in ("", zone) else 0)

    return {zone: cross_zone_bytes(zone) for zone in zones}


def least_transfer_zones(
    transfers: Mapping[str, int], candidates: Container[str]
) -> list[str]:
    """Return those of the candidate zones that need the least transfer.

    Examples
    --------
    >>> least_transfer_zones({"a": 0, "b": 0, "c": 9}, {"b", "c"})
    ['b']
    """
    candidate_bytes = {
        zone: size for zone, size in transfers.items() if zone in candidates
    }
    least = min(candidate_bytes.values(), default=0)
    return [zone for zone, size in candidate_bytes.items() if size == least]


def transfer_wait_s(transfers: Mapping[str, int], zone: str) -> float:
    """Return how long a stage waits for its best zone rather than run in ``zone``.

    The wait is proportional to the bytes that the best zone saves. It is 0 if
    ``transfers`` does not contain ``zone``.

    Examples
    --------
    >>> transfer_wait_s({"a": 0, "b": 2_000_000}, "b")
    0.16
    >>> transfer_wait_s({"a": 0, "b": 2_000_000}, "a"), transfer_wait_s({}, "b")
    (0.0, 0.0)
    """
    if zone not in transfers:
        return 0.0
    excess = transfers[zone] - min(transfers.values())
    return min(MAX_TRANSFER_WAIT_SECONDS, excess / MEGABYTE * SECONDS_PER_MEGABYTE)
