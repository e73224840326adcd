"""How long pieces may wait for a replica in the zone that holds their inputs.

Load pattern: every piece of a stage fetches all inputs of its request, so a stage of
ten pieces behind one of six results of 60 KB moves 3.6 MB if it is made in another
availability zone than its inputs. The replica there is busy with other calls for some
tenths of a second; a request with time to spare waits for it, a pressed one does not.
"""

from collections.abc import Container, Iterable, Mapping

# Wait that saves the transfer of a megabyte between zones.
SECONDS_PER_MEGABYTE = 0.08
# Longest wait for a transfer, however large it is.
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
    """Return the bytes that cross zones if a stage is made in each of some zones.

    Parameters
    ----------
    zones : iterable of str
        Availability zones in which the stage can be made.
    pieces : int
        Pieces of the stage.
    input_bytes : mapping of str to int
        Bytes of the inputs of one piece by the zone that holds them.
    result_bytes : int
        Bytes of one result.
    consumer_zone : str
        Zone that needs the results next, empty if that is open.

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
    """Return the zones with the least transfer among some.

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
    """Return how long a stage waits for its best zone rather than be made in a zone.

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
