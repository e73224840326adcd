"""Ordered header fields with case-insensitive lookup."""

from collections.abc import Iterable, Iterator

# Hop-by-hop fields, which a proxy must not forward (RFC 9110, section 7.6.1).
CONNECTION_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class Headers:
    """Header fields in the order and the spelling in which they were received.

    Examples
    --------
    >>> fields = Headers([(b"X-Id", b"7"), (b"Accept", b"*/*")])
    >>> fields.get("x-id")
    '7'
    >>> fields.without_fields({b"x-id"}).fields
    [(b'Accept', b'*/*')]
    """

    __slots__ = ("fields",)

    def __init__(self, fields: Iterable[tuple[bytes, bytes]] = ()):
        self.fields = list(fields)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        return iter(self.fields)

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a field, decoded as Latin-1, else ``default``."""
        wanted = name.lower().encode()
        for key, value in self.fields:
            if key.lower() == wanted:
                return value.decode("latin-1").strip()
        return default

    def get_all(self, name: str) -> list[str]:
        """Return the values of all fields of this name, in order."""
        wanted = name.lower().encode()
        return [
            value.decode("latin-1").strip()
            for key, value in self.fields
            if key.lower() == wanted
        ]

    def __contains__(self, name: str) -> bool:
        wanted = name.lower().encode()
        return any(key.lower() == wanted for key, _ in self.fields)

    def without_fields(self, names: Iterable[bytes]) -> "Headers":
        """Return a copy without the fields in ``names``, which are in lower case."""
        dropped = set(names)
        return Headers((k, v) for k, v in self.fields if k.lower() not in dropped)

    def end_to_end_fields(self) -> "Headers":
        """Return a copy without the hop-by-hop fields.

        These include the fields that a ``Connection`` field names.
        """
        dropped = set(CONNECTION_FIELDS)
        for value in self.get_all("connection"):
            dropped.update(name.strip().lower().encode() for name in value.split(","))
        return self.without_fields(dropped)

    def encode(self) -> bytes:
        """Return the fields as lines that end with CRLF."""
        return b"".join(k + b": " + v + b"\r\n" for k, v in self.fields)
