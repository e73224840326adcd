"""What a valid response may contain, by RFC 9110 and RFC 9112.

The parsers accept more than that. All readers of responses decide by these functions.
"""

import re

MIN_STATUS = 100
MAX_STATUS = 599
HTTP_VERSIONS = frozenset({"1.0", "1.1"})
_CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def is_valid_status(status: int) -> bool:
    """Return whether a status code is valid (RFC 9110, section 15).

    Codes that are not registered are valid too.

    Examples
    --------
    >>> [is_valid_status(code) for code in (0, 99, 100, 299, 599, 600)]
    [False, False, True, True, True, False]
    """
    return MIN_STATUS <= status <= MAX_STATUS


def is_valid_text(text: bytes) -> bool:
    r"""Return whether a reason phrase or field value is valid.

    It has no control bytes but tabs; bytes above 127 are valid (RFC 9112, section 4;
    RFC 9110, section 5.5).

    Examples
    --------
    >>> [is_valid_text(text) for text in (b"", b"Not Found", b"a\tb", b"a\x01b")]
    [True, True, True, False]
    """
    return _CONTROL_BYTE.search(text) is None
