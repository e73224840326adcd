"""Decodes and encodes the HTTP messages of callers and replicas."""

from dataclasses import dataclass
from urllib.parse import quote

from ..http1 import Headers, ResponseHead, ServerRequest
from .errors import DecodeError

# Fields that only the system sets; values from callers are dropped.
_RESERVED_FIELDS = frozenset(
    {
        b"api-key",
        b"content-length",
        b"expect",
        b"kv-fetch",
        b"kv-from",
        b"last-event-id",
        b"x-deadline-ms",
        b"x-expect-replica",
        b"x-expect-version",
        b"x-hold",
        b"x-inputs",
        b"x-kv-backup",
        b"x-pin-ms",
        b"x-request-priority",
        b"x-tenant",
    }
)
MAX_DEADLINE_SECONDS = 600.0
MAX_COUNT_DIGITS = 12
LOWEST_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Prefix of a prompt that several requests may share, with its length in tokens."""

    identifier: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Decoded request of a caller.

    Attributes
    ----------
    attempt_id : str
        Identifier of this attempt of the caller; a retry has a new one.
    deadline_s : float
        Seconds that the caller waits, from when it sent the request; 0 if it gave no
        deadline.
    credential : str
        API key of a client account, empty if none.
    resume_after : str
        Identifier of the last event that the caller has received, empty if none.
    resumes : str
        Identifier of the attempt that brought the first event of the stream which is
        taken up, empty if none.
    prompt : tuple of PromptPart
        Parts of the prompt, for routing by cached prefix.
    pieces : tuple of int
        Number of pieces of each stage; 0 omits the stage.
    piece_key : str
        Key of the pieces of stages without inputs.
    """

    raw: ServerRequest
    host: str
    path: str
    attempt_id: str
    deadline_s: float
    credential: str
    resume_after: str
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    pieces: tuple[int, ...]
    piece_key: str
    resumes: str = ""


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """What the head of a replica's response says about the request.

    Attributes
    ----------
    not_run : bool
        True if the request was not run, because the replica states so or because it was
        misdirected.
    misdirected : bool
        True if another replica now has the address.
    inputs_gone : bool
        True if a stage result that the request needs no longer exists.
    id_matches : bool
        True if the response has the attempt identifier of the request.
    id_missing : bool
        True if the response has no attempt identifier.
    has_stamp : bool
        True if the response has the replica's stamp.
    """

    not_run: bool
    misdirected: bool
    inputs_gone: bool
    id_matches: bool
    id_missing: bool
    has_stamp: bool


def decode_caller_request(req: ServerRequest) -> CallerRequest:
    """Return the decoded form of a caller's request.

    Raises
    ------
    DecodeError
        With code ``bad_request`` if the target is not a path, or if a decoded field is
        malformed, given more than once with different values, or required and missing.
    """
    headers = req.headers
    path = req.target.decode("latin-1").partition("?")[0]
    if not path.startswith("/"):
        raise _bad_request("target", "expected a path")
    tokens = _decode_counts(_single_value(headers, "x-token-count"), "X-Token-Count")
    return CallerRequest(
        req,
        _single_value(headers, "host").partition(":")[0].lower(),
        path,
        _required_value(headers, "x-attempt-id"),
        _decode_deadline_s(_single_value(headers, "x-deadline-ms")),
        _single_value(headers, "api-key"),
        _single_value(headers, "last-event-id"),
        _decode_prompt(_single_value(headers, "x-prefix-hash")),
        tokens[0] if tokens else 0,
        tokens[1] if len(tokens) > 1 else 0,
        _decode_counts(_single_value(headers, "x-pieces"), "X-Pieces"),
        _single_value(headers, "x-piece-key"),
        _single_value(headers, "resumes"),
    )


def encode_request(
    caller: CallerRequest,
    *,
    replica: str,
    account: str,
    deadline_s: float,
    priority: int | None,
    inputs: tuple[str, ...] | None,
    resume_after: str,
) -> bytes:
    """Return the bytes of a caller's request as they are sent to a replica.

    The name of the client account is encoded in UTF-8 if Latin-1 can't express it.
    ``inputs`` are the handles of the stage results that the request needs, None if its
    route has no stages. ``deadline_s`` is the remaining time in seconds; at least 1 ms
    is sent. Method, target and body stay as the caller sent them, and so do all
    end-to-end fields that are not reserved for the system.
    """
    raw = caller.raw
    fields = list(raw.headers.end_to_end_fields().without_fields(_RESERVED_FIELDS))
    added_fields = [
        ("X-Expect-Replica", replica),
        ("X-Deadline-Ms", str(max(1, int(deadline_s * 1000)))),
    ]
    if account:
        added_fields.append(("X-Tenant", account))
    if priority is not None:
        added_fields.append(
            ("X-Request-Priority", str(min(LOWEST_PRIORITY, max(0, priority))))
        )
    if inputs is not None:
        added_fields.append(("X-Inputs", ",".join(inputs)))
    if resume_after:
        added_fields.append(("Last-Event-Id", resume_after))
    if raw.body or "content-length" in raw.headers:
        added_fields.append(("Content-Length", str(len(raw.body))))
    elif "transfer-encoding" in raw.headers:
        added_fields.append(("Content-Length", "0"))
    fields.extend((name.encode(), _encode_value(value)) for name, value in added_fields)
    line = raw.method.encode() + b" " + raw.target + b" HTTP/1.1\r\n"
    return line + Headers(fields).encode() + b"\r\n" + raw.body


def _encode_value(value: str) -> bytes:
    """Return the bytes of a field value; UTF-8 for what Latin-1 can't express."""
    try:
        return value.encode("latin-1")
    except UnicodeEncodeError:
        return value.encode()


def decode_response_info(head: ResponseHead, caller: CallerRequest) -> ResponseInfo:
    """Return what the head of a response says about the request that was sent."""
    headers = head.headers
    response_attempt_id = headers.get("x-attempt-id")
    not_run = "x-not-executed" in headers
    misdirected = head.status == 421
    return ResponseInfo(
        not_run or misdirected,
        misdirected,
        not_run and head.status == 409,
        response_attempt_id == caller.attempt_id,
        not response_attempt_id,
        "x-replica-stamp" in headers,
    )


def relay_headers(head: ResponseHead) -> Headers:
    """Return the fields of a replica's response that are relayed to the caller."""
    return head.headers.end_to_end_fields().without_fields(
        {b"content-length", b"x-replica-load"}
    )


def refusal_headers(
    attempt_id: str, retry_after_s: float, reason: str, detail: str = ""
) -> Headers:
    """Return the fields of a refusal, a response that no replica sent.

    ``detail`` tells callers what to correct, for instance which field is invalid.
    """
    fields = [(b"X-Reason", reason.encode())]
    if detail:
        fields.append((b"X-Reason-Detail", detail.encode()))
    if attempt_id:
        fields.append((b"X-Attempt-Id", attempt_id.encode("latin-1")))
    if retry_after_s > 0:
        fields.append((b"Retry-After", b"%.2f" % retry_after_s))
    return Headers(fields)


def readable_attempt_id(headers: Headers) -> str:
    """Return the attempt identifier of a request, empty if it has no valid one."""
    try:
        return _required_value(headers, "x-attempt-id")
    except DecodeError:
        return ""


def event_id(event: bytes) -> str:
    """Return the identifier of a server-sent event, empty if it has none."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""


def _bad_request(field: str, text: str) -> DecodeError:
    return DecodeError(f"{field}: {text}", code="bad_request", field=field)


def _single_value(headers: Headers, name: str) -> str:
    values = headers.get_all(name)
    if len(set(values)) > 1:
        raise _bad_request(name, "expected one value, got several different ones")
    return values[0] if values else ""


def _required_value(headers: Headers, name: str) -> str:
    value = _single_value(headers, name)
    if not value or quote(value, safe="") != value:
        raise _bad_request(name, "expected a non-empty value of unreserved characters")
    return value


def _decode_deadline_s(text: str) -> float:
    if not text:
        return 0.0
    try:
        milliseconds = float(text)
    except ValueError:
        raise _bad_request(
            "X-Deadline-Ms", "expected a number of milliseconds"
        ) from None
    if not 0 <= milliseconds <= MAX_DEADLINE_SECONDS * 1000:
        raise _bad_request(
            "X-Deadline-Ms", f"expected 0 to {MAX_DEADLINE_SECONDS * 1000:.0f} ms"
        )
    return milliseconds / 1000


def _decode_counts(text: str, field: str) -> tuple[int, ...]:
    parts = [part.strip() for part in text.split(",")] if text else []
    if not all(part.isascii() and part.isdigit() for part in parts):
        raise _bad_request(field, "expected comma-separated integers of 0 or more")
    if any(len(part) > MAX_COUNT_DIGITS for part in parts):
        raise _bad_request(
            field, f"expected integers of up to {MAX_COUNT_DIGITS} digits"
        )
    return tuple(map(int, parts))


def _decode_prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in filter(None, text.split(",")):
        identifier, _, tokens = entry.strip().partition(":")
        is_number = tokens.isascii() and tokens.isdigit()
        if not is_number or len(tokens) > MAX_COUNT_DIGITS:
            raise _bad_request(
                "X-Prefix-Hash", "expected comma-separated ID:TOKENS entries"
            )
        parts.append(PromptPart(identifier, int(tokens)))
    return tuple(parts)
