"""Publication and inspection of configuration documents."""

import datetime
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ..configuration import (
    ACCOUNTS_STREAM,
    ApplyResult,
    ConfigurationChange,
    ConfigurationView,
    DocumentError,
    PublishResult,
    PublishStatus,
    RecordError,
    decode_document,
    decode_record,
    document_name,
    encode_document,
    publish,
    stream_of,
    used_models,
)
from ..core import LogError, LogRecord, new_identifier
from .console import CommandResult, CommandStatus, OperatorError, table
from .context import OperatorContext

PAGE_RECORDS = 500
# A stream is read from its oldest record; this bounds the read of a broken log.
MAX_PAGES = 10_000

_STATUS = {
    PublishStatus.ACCEPTED: CommandStatus.OK,
    PublishStatus.CONFLICT: CommandStatus.CONFLICT,
    PublishStatus.UNAVAILABLE: CommandStatus.UNAVAILABLE,
    PublishStatus.UNCERTAIN: CommandStatus.UNAVAILABLE,
}


@dataclass(frozen=True, slots=True)
class PublishFile:
    """Contents of the file given to ``ctl publish``."""

    kind: str
    document: msgspec.Raw


async def publish_file(
    ctx: OperatorContext, path: str, expected: int | None = None
) -> CommandResult:
    """Publish the document in a file.

    Parameters
    ----------
    ctx : OperatorContext
        Connections.
    path : str
        JSON file with ``kind`` and ``document``.
    expected : int, optional
        Version that the document replaces; by default the one now in the log.

    Raises
    ------
    OperatorError
        If the file, the document or the log cannot be used.
    """
    kind, name, body = _read_file(path)
    return await publish_body(ctx, kind, name, body, expected)


async def publish_body(
    ctx: OperatorContext, kind: str, name: str, body: bytes, expected: int | None
) -> CommandResult:
    """Publish an encoded document; an empty body deletes the key."""
    view = await read_view(ctx, stream_of(kind))
    used = frozenset()
    if kind == "placement":
        used = used_models(await read_view(ctx, ACCOUNTS_STREAM))
    replaced = view.version(kind, name) if expected is None else expected
    change = ConfigurationChange(
        change_id=new_identifier("chg"),
        kind=kind,
        name=name,
        expected=replaced,
        body=body,
        author=ctx.settings.operator,
        deleted=not body,
    )
    try:
        result = await publish(ctx.log, view, change, used)
    except DocumentError as exc:
        raise OperatorError(str(exc), code=exc.code, field=exc.field) from exc
    return _publish_result(view, change, result)


async def delete_document(
    ctx: OperatorContext, kind: str, name: str, expected: int | None = None
) -> CommandResult:
    """Publish the deletion of a document."""
    view = await read_view(ctx, _stream(kind))
    if view.get(kind, name) is None:
        raise OperatorError(f"no {kind} {name!r} is in effect", code="no_document")
    return await publish_body(ctx, kind, name, b"", expected)


async def get_document(ctx: OperatorContext, kind: str, name: str) -> CommandResult:
    """Return the document in effect at the end of the log."""
    view = await read_view(ctx, _stream(kind))
    document = view.get(kind, name)
    version = view.version(kind, name)
    if document is None:
        raise OperatorError(f"no {kind} {name!r} is in effect", code="no_document")
    body = encode_document(document)
    data = {
        "kind": kind,
        "name": name,
        "version": f"{view.stream}:{version}",
        "document": msgspec.Raw(body),
    }
    text = msgspec.json.format(body, indent=2).decode()
    return CommandResult(data, (f"version {view.stream}:{version}", text))


async def show_history(ctx: OperatorContext, kind: str, name: str) -> CommandResult:
    """Return all retained changes of a document with their results."""
    changes: list[dict[str, Any]] = []

    def note(record: LogRecord, result: ApplyResult) -> None:
        change = _change_of(record, kind, name)
        if change is not None:
            changes.append(_history_item(record, change, result))

    view = await read_view(ctx, _stream(kind), note)
    if not changes:
        raise OperatorError(f"no change of {kind} {name!r} is kept", code="no_document")
    columns = ("offset", "time", "change", "author", "expected", "action", "result")
    rows = [columns, *(tuple(str(item[c]) for c in columns) for item in changes)]
    data = {
        "kind": kind,
        "name": name,
        "stream": view.stream,
        "version": view.version(kind, name),
        "changes": changes,
    }
    return CommandResult(data, table(rows))


async def read_view(
    ctx: OperatorContext, stream: str, note=lambda _record, _result: None
) -> ConfigurationView:
    """Read a stream to its end and return its state.

    Parameters
    ----------
    ctx : OperatorContext
        Connections.
    stream : str
        Stream to read.
    note : callable
        Called with each record and the result of applying it.

    Raises
    ------
    OperatorError
        If the log cannot be read.
    """
    view = ConfigurationView(stream)
    for _ in range(MAX_PAGES):
        try:
            page = await ctx.log.read(stream, view.position + 1, PAGE_RECORDS)
        except LogError as exc:
            raise OperatorError(
                str(exc), code=exc.code, status=CommandStatus.UNAVAILABLE
            ) from exc
        results = view.apply_page(page)
        for record, result in zip(page.records, results, strict=True):
            note(record, result)
        if page.next_offset >= page.end_offset:
            return view
    raise OperatorError(f"stream {stream} has no end", code="log_unavailable")


def _stream(kind: str) -> str:
    try:
        return stream_of(kind)
    except DocumentError as exc:
        raise OperatorError(str(exc), code=exc.code, field=exc.field) from exc


def _read_file(path: str) -> tuple[str, str, bytes]:
    """Return kind, name and canonical body of the document in a file."""
    try:
        data = Path(path).read_bytes()
        content = msgspec.json.decode(data, type=PublishFile)
        document = decode_document(content.kind, bytes(content.document))
    except OSError as exc:
        raise OperatorError(f"{path}: {exc.strerror}", code="no_file") from exc
    except msgspec.DecodeError as exc:
        raise OperatorError(f"{path}: {exc}", code="bad_document") from exc
    except DocumentError as exc:
        message = f"{path}: {exc}"
        raise OperatorError(message, code=exc.code, field=exc.field) from exc
    return content.kind, document_name(document), encode_document(document)


def _publish_result(
    view: ConfigurationView, change: ConfigurationChange, result: PublishResult
) -> CommandResult:
    key = f"{change.kind} {change.name!r}"
    version = f"{view.stream}:{result.version}"
    lines = {
        PublishStatus.ACCEPTED: f"accepted: {key} is at version {version}",
        PublishStatus.CONFLICT: (
            f"conflict: {key}: expected version {change.expected}, "
            f"version {version} won"
        ),
        PublishStatus.UNAVAILABLE: (
            "not published: the log service is unavailable; nothing was appended"
        ),
        PublishStatus.UNCERTAIN: (
            "uncertain: the log service gave no usable answer; check with "
            f"ctl history {change.kind} {change.name} for change {change.change_id}"
        ),
    }
    data = {
        "status": result.status.value,
        "kind": change.kind,
        "name": change.name,
        "change_id": change.change_id,
        "expected": change.expected,
        "version": version if result.version else "",
    }
    return CommandResult(data, (lines[result.status],), _STATUS[result.status])


def _change_of(record: LogRecord, kind: str, name: str) -> ConfigurationChange | None:
    try:
        decoded = decode_record(record.value)
    except RecordError:
        return None
    if not isinstance(decoded, ConfigurationChange):
        return None
    return decoded if (decoded.kind, decoded.name) == (kind, name) else None


def _history_item(
    record: LogRecord, change: ConfigurationChange, result: ApplyResult
) -> dict[str, Any]:
    moment = datetime.datetime.fromtimestamp(record.time_ms / 1000, datetime.UTC)
    return {
        "offset": record.offset,
        "time": moment.isoformat(timespec="milliseconds"),
        "change": change.change_id,
        "author": change.author,
        "expected": change.expected,
        "action": "delete" if change.deleted else "set",
        "result": result.value,
    }
