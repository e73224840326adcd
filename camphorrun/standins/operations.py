"""Deterministic operations of stand-in endpoints.

The output of each operation identifies its input, so that a caller can prove that an
answer is whole and belongs to its request.
"""

from functools import singledispatch
from typing import Any

import msgspec
import xxhash

_CANONICAL = msgspec.json.Encoder(order="deterministic")


def fingerprint(operation: str, model: str, value: Any) -> str:
    """Return 16 hexadecimal digits that identify an operation and its input.

    Examples
    --------
    >>> fingerprint("encode", "m", {"a": 1}) == fingerprint("encode", "m", {"a": 1})
    True
    """
    text = _CANONICAL.encode([operation, model, value])
    return xxhash.xxh3_64_hexdigest(text)


def run_operation(operation: str, model: str, value: Any) -> dict[str, Any]:
    """Return the output of an operation on a JSON value."""
    mark = fingerprint(operation, model, value)
    return {"operation": operation, "fingerprint": mark, "size": input_units(value)}


def streamed_text(operation: str, model: str, value: Any, units: int) -> list[str]:
    """Return the pieces of a streamed output of ``units`` tokens."""
    mark = fingerprint(operation, model, value)
    return [f"{mark}:{index} " for index in range(units)]


@singledispatch
def input_units(value: object) -> int:
    """Return the units of work in a JSON value: strings count their words.

    Examples
    --------
    >>> input_units({"text": "three short words"})
    3
    """
    return 1


@input_units.register
def _(value: str) -> int:
    return max(1, value.count(" ") + 1)


@input_units.register
def _(value: list) -> int:
    return sum(input_units(item) for item in value) or 1


@input_units.register
def _(value: dict) -> int:
    size = value.get("size")
    if isinstance(size, int):
        return max(1, size)
    return sum(input_units(item) for item in value.values()) or 1
