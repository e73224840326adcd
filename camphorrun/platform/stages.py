"""Requests to the replicas that run stages, and their responses.

Misleading names on the wire: ``Items`` are pieces of a stage; ``Handle`` identifies a
result at the replica that made it; ``Key`` is the caller's key of the pieces;
``FreeMb`` is in whole megabytes, rounded down.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec

from .decoding import MAX_NUMBER, Integer, decode_json, is_plain_text
from .errors import DecodeError

_BYTES_PER_MEGABYTE = 1_000_000


class StageFault(Enum):
    """Why a piece has no result.

    - ``LATE``: the deadline had passed when the replica was ready to run the piece.
    - ``INPUT_GONE``: an input no longer exists.
    - ``NO_SPACE``: the replica has no space for the result.
    - ``FAILED``: any other reason.
    """

    LATE = "late"
    INPUT_GONE = "gone"
    NO_SPACE = "room"
    FAILED = "error"


@dataclass(frozen=True, slots=True)
class StageItem:
    """One piece that a replica has to make.

    Attributes
    ----------
    remaining_s : float
        Seconds left until the deadline of the request.
    key : str
        Caller's key of the pieces, sent only if the stage has no inputs.
    inputs : tuple of str or None
        Handles of the results that the piece needs, None for a stage without inputs.
    """

    request_id: str
    stage: int
    piece: int
    remaining_s: float
    key: str
    inputs: tuple[str, ...] | None


@dataclass(frozen=True, slots=True)
class StageItemResult:
    """Handle of the result of a piece, or the reason why there is none."""

    handle: str = ""
    fault: StageFault | None = None


class _WireResult(msgspec.Struct, rename="pascal"):
    """Result of a piece, or the reason why there is none; the other field is absent.

    Without both, the piece has failed for an unknown reason.
    """

    handle: str = ""
    reason: str = ""


class _FreeSpaceReport(msgspec.Struct, rename="pascal"):
    """Part of a report that a replica with results must have."""

    # Negative if more space is in use than the replica allows for results.
    free_mb: Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class _StartReport(msgspec.Struct):
    """Part of a report that may be absent: some replicas don't tell their start."""

    born: Integer | None = None


class _StageResponse(msgspec.Struct, rename="pascal"):
    """Answer to a stage call, which must have the results."""

    items: list[_WireResult]


def encode_stage_call(address: str, identifier: str, items: list[StageItem]) -> bytes:
    """Return the HTTP request that makes a replica run pieces."""
    body = msgspec.json.encode({"Items": [_encode_item(item) for item in items]})
    return _encode_post(address, "/stage-run", body, identifier)


def decode_stage_response(body: bytes, count: int) -> list[StageItemResult]:
    """Return the results in the order of the call.

    Raises
    ------
    DecodeError
        If the response does not hold exactly one result for each piece.
    """
    raw = decode_json(body, _StageResponse, "stage response")
    if len(raw.items) != count:
        raise DecodeError(
            f"stage response: expected {count} items, got {len(raw.items)}"
        )
    return [_decode_result(item) for item in raw.items]


def encode_release(address: str, handles: list[str]) -> bytes:
    """Return the HTTP request that frees results at the replica that made them."""
    body = msgspec.json.encode({"Handles": handles})
    return _encode_post(address, "/stage-free", body, "")


def decode_start_ms(body: bytes) -> int | None:
    """Return when the process that reports started, None if it does not tell.

    Raises
    ------
    DecodeError
        If the response is no report.
    """
    return decode_json(body, _StartReport, "report of a replica").born


def encode_report_request(address: str) -> bytes:
    """Return the HTTP request that asks a replica for its report.

    It tells the free space for results, and when the process started.
    """
    return f"GET /report HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()


def decode_free_space(body: bytes) -> tuple[int, int]:
    """Return the bounds of the free space for results, in bytes.

    The replica rounds down to whole megabytes, so almost one more may be free.

    Raises
    ------
    DecodeError
        If the response does not hold the free space.
    """
    raw = decode_json(body, _FreeSpaceReport, "free space of a stage replica")
    least_bytes = max(0, int(raw.free_mb)) * _BYTES_PER_MEGABYTE
    return least_bytes, least_bytes + _BYTES_PER_MEGABYTE - 1


def _encode_item(item: StageItem) -> dict[str, object]:
    raw: dict[str, object] = {
        "Id": item.request_id,
        "Stage": item.stage,
        "Piece": item.piece,
        "LeftMs": max(1, int(item.remaining_s * 1000)),
    }
    if item.inputs is None:
        raw["Key"] = item.key
    else:
        raw["Inputs"] = list(item.inputs)
    return raw


def _decode_result(raw: _WireResult) -> StageItemResult:
    if raw.handle:
        # Names of results are sent in a header field, separated by commas.
        if not is_plain_text(raw.handle) or "," in raw.handle:
            raise DecodeError("stage response: expected a printable name of a result")
        return StageItemResult(raw.handle)
    try:
        return StageItemResult(fault=StageFault(raw.reason))
    except ValueError:
        return StageItemResult(fault=StageFault.FAILED)


def _encode_post(address: str, path: str, body: bytes, identifier: str) -> bytes:
    expect_field = f"X-Expect-Replica: {identifier}\r\n" if identifier else ""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\n{expect_field}"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
