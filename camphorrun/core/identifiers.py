"""Random identifiers for requests, changes and process incarnations."""

import secrets

_IDENTIFIER_BYTES = 9


def new_identifier(prefix: str) -> str:
    """Return a random identifier that starts with a readable prefix.

    Parameters
    ----------
    prefix : str
        Kind of the identified thing, for instance ``"req"``.

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
