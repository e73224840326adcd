"""Fingerprints, by which gateways recognise the content of a request.

They can be logged and sent to other gateways, because the content can't be derived from
them.
"""

import hashlib
from collections.abc import Collection

FINGERPRINT_BYTES = 8


def part_fingerprint(identifier: str) -> str:
    """Return the fingerprint of one part of a prompt.

    Examples
    --------
    >>> part_fingerprint("5c1e07a2") == part_fingerprint("5C1E07A2")
    True
    """
    return _digest(b"part", identifier.lower().encode())


def cause_fingerprint(cause: Collection[str]) -> str:
    """Return the fingerprint of a set of fingerprints.

    Examples
    --------
    >>> cause_fingerprint(["a", "b"]) == cause_fingerprint(["b", "a"])
    True
    """
    return _digest(b"cause", *(name.encode() for name in sorted(cause)))


def _digest(kind: bytes, *fields: bytes) -> str:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, person=kind)
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()
