"""Recorded traces: JSON lines with one request each."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ..core import CamphorrunError


class TraceError(CamphorrunError):
    """A trace or scenario that cannot be used; ``field`` is the place at fault."""

    default_code = "bad_trace"


@dataclass(frozen=True, slots=True)
class TraceRequest:
    """One recorded request.

    Parameters
    ----------
    at_s : float
        Time since the start of the trace.
    template, account : str
        What is called, by whom. The priority is that of the client account.
    deadline_ms : int, optional
        Deadline, if shorter than that of the client account.
    key : str
        Class of the idempotency key: ``none``, ``own`` for a key used once, or any
        other word for a key shared by all requests of the client account that name it.
    words : int
        Size of the input, which is generated from the seed, unless ``input`` is given.
    input : any, optional
        The input itself.
    max_output : int
        Tokens of streamed stages.
    stream : bool
        Whether the caller follows the stream.
    """

    at_s: float
    template: str
    account: str
    deadline_ms: int | None = None
    key: str = "own"
    words: int = 1
    input: Any = None
    max_output: int = 16
    stream: bool = False


_REQUEST = msgspec.json.Decoder(TraceRequest)


def decode_trace(data: bytes) -> list[TraceRequest]:
    """Return the requests of a trace in order of time.

    Raises
    ------
    TraceError
        Naming the line at fault.

    Examples
    --------
    >>> decode_trace(b'{"at_s": 1, "template": "t", "account": "a"}')[0].at_s
    1.0
    """
    requests = []
    for number, line in enumerate(data.splitlines(), start=1):
        if not line.strip():
            continue
        try:
            requests.append(_REQUEST.decode(line))
        except msgspec.DecodeError as exc:
            raise TraceError(f"line {number}: {exc}", field=str(number)) from exc
    return sorted(requests, key=lambda req: req.at_s)


def encode_trace(requests: Iterable[TraceRequest]) -> bytes:
    """Return the JSON lines of a trace, without fields that have their default."""
    lines = []
    for req in requests:
        raw = msgspec.to_builtins(req)
        kept = {name: raw[name] for name in raw if raw[name] != _DEFAULTS.get(name)}
        lines.append(msgspec.json.encode(kept))
    return b"\n".join(lines) + b"\n"


_DEFAULTS = {
    "deadline_ms": None,
    "key": "own",
    "words": 1,
    "input": None,
    "max_output": 16,
    "stream": False,
}


def load_trace(path: Path) -> list[TraceRequest]:
    """Read a trace from a file."""
    try:
        return decode_trace(path.read_bytes())
    except OSError as exc:
        raise TraceError(f"{path}: {exc.strerror}", field=str(path)) from exc


def request_input(req: TraceRequest, index: int) -> Any:
    """Return the input of a request; no two keys of a trace share one.

    Requests with a shared key get the same input, because a key must not be used with
    another body.
    """
    if req.input is not None:
        return req.input
    mark = f"request-{index}" if req.key in ("own", "none") else f"key-{req.key}"
    words = [f"w{(index * 7919 + n) % 9973}" for n in range(max(0, req.words - 1))]
    if mark.startswith("key-"):
        words = [f"w{n}" for n in range(max(0, req.words - 1))]
    return {"text": " ".join([mark, *words])}
