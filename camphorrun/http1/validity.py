"""What a valid response may contain, by RFC 9110 and RFC 9112.

The parsers accept more than that. All readers of responses decide by these functions.
"""

MIN_STATUS = 100
MAX_STATUS = 599


def is_valid_status(status: int) -> bool:
    """Return whether a status code is valid (RFC 9110, section 15).

    Codes that are not registered are valid too.

    Examples
    --------
    >>> [is_valid_status(code) for code in (0, 99, 100, 299, 599, 600)]
    [False, False, True, True, True, False]
    """
    return MIN_STATUS <= status <= MAX_STATUS
