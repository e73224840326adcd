"""Records with which an operator evacuates availability zones."""

# The rest of the key is the name of the zone.
EVACUATION_KEY_PREFIX = "evacuate/"


def evacuated_zone(key: str) -> str | None:
    """Return the availability zone that a record of this key evacuates, if any.

    The key alone decides: the zone is evacuated while the record exists, whatever its
    value is, and also if its value can't be decoded.

    Examples
    --------
    >>> evacuated_zone("evacuate/z1"), evacuated_zone("config")
    ('z1', None)
    >>> evacuated_zone("evacuate/") is None
    True
    """
    zone = key.removeprefix(EVACUATION_KEY_PREFIX)
    return zone if zone and zone != key else None
