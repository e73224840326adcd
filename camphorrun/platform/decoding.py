"""Decoding of JSON documents that other programs write.

Whatever the bytes are, a decoder ends with its one error: for nesting that is too deep,
numbers with too many digits or out of range, other types, and broken encodings.
"""

from typing import Annotated, TypeVar

import msgspec

from .errors import DecodeError

T = TypeVar("T")

MAX_TEXT_LENGTH = 200
# Numbers of this size still fit the messages between gateways.
MAX_INTEGER = 2**63 - 1
MAX_NUMBER = 1e12

Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Number = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]

MAX_MESSAGE_LENGTH = 200


def decode_json(data: bytes, kind: type[T], subject: str) -> T:
    """Return the decoded document; ``subject`` names it in the error.

    Raises
    ------
    DecodeError
        If the bytes are not JSON of this type.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError, ValueError) as exc:
        # A ValueError is raised for text that is no UTF-8, and for too many digits.
        text = str(exc)[:MAX_MESSAGE_LENGTH]
        raise DecodeError(f"{subject}: {text}", field="$") from exc


def is_plain_text(text: str) -> bool:
    """Return whether a text is short and fits a header field."""
    return (
        0 < len(text) <= MAX_TEXT_LENGTH
        and text.isascii()
        and text.isprintable()
        and " " not in text
    )
