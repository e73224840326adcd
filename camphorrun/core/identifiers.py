"""Random identifiers of requests, changes and process incarnations."""

import secrets

_IDENTIFIER_BYTES = 9


def new_identifier(prefix: str) -> str:
    """Return a random identifier with a prefix that tells its kind.

    Parameters
    ----------
    prefix : str
        Kind of the identified object, for instance ``"req"`` for a request.

    Returns
    -------
    str
        ``prefix`` followed by a dash and 12 URL-safe characters.

    Examples
    --------
    >>> new_identifier("req").startswith("req-")
    True
    """
    return f"{prefix}-{secrets.token_urlsafe(_IDENTIFIER_BYTES)}"
