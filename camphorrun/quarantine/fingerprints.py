"""Fingerprints, by which gateways recognise the content of a request.

They can be logged and sent to other gateways, because the content can't be derived from
them.
"""

import hashlib
from collections.abc import Collection

FINGERPRINT_BYTES = 8
_REQUEST_PREFIX = "request-"
_PART_PREFIX = "part-"


def part_fingerprint(identifier: str) -> str:
    """Return the fingerprint of one part of a prompt.

    Examples
    --------
    >>> part_fingerprint("5c1e07a2") == part_fingerprint("5C1E07A2")
    True
    """
    return _PART_PREFIX + _digest(identifier.lower().encode())


def request_fingerprint(
    method: str, host: str, target: bytes, account: str, body: bytes
) -> str:
    """Return the fingerprint of a request, the same whenever a caller repeats it.

    Examples
    --------
    >>> first = request_fingerprint("POST", "a", b"/x", "acc", b"1")
    >>> first == request_fingerprint("POST", "a", b"/x", "acc", b"1")
    True
    >>> first == request_fingerprint("POST", "a", b"/x", "other", b"1")
    False
    """
    names = (method.encode(), host.encode(), target, account.encode())
    return _REQUEST_PREFIX + _digest(*names, body)


def is_request_fingerprint(fingerprint: str) -> bool:
    """Return whether a fingerprint is that of a whole request.

    Examples
    --------
    >>> is_request_fingerprint(part_fingerprint("5c1e07a2"))
    False
    """
    return fingerprint.startswith(_REQUEST_PREFIX)


def cause_fingerprint(cause: Collection[str]) -> str:
    """Return the fingerprint of a set of fingerprints.

    Examples
    --------
    >>> cause_fingerprint(["a", "b"]) == cause_fingerprint(["b", "a"])
    True
    """
    return _digest(*(name.encode() for name in sorted(cause)))


def _digest(*fields: bytes) -> str:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()
