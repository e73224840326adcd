"""Publication of a change, with resolution of lost append acknowledgements."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from ..core import LogError, LogStore
from .documents import (
    DocumentError,
    Placement,
    check_services,
    decode_document,
    document_name,
    stream_of,
)
from .follower import StreamFollower
from .placement_index import check_last_host
from .records import MAX_BODY_BYTES, ConfigurationChange, encode_record
from .view import ApplyResult, ConfigurationView, Decision

# An append whose effect is unknown is repeated at most this often in total.
MAX_APPENDS = 3
MAX_READ_FAILURES = 3
MAX_READ_PAGES = 1000
PAGE_RECORDS = 500


class PublishStatus(Enum):
    """Result of a publication.

    ``UNAVAILABLE`` means that the change was not appended and never will be;
    ``UNCERTAIN`` that it may win, now or later.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True, slots=True)
class PublishResult:
    """Status and version: the accepted one, or the one that won a conflict."""

    status: PublishStatus
    change_id: str
    version: int = 0


async def publish(
    log: LogStore,
    target: ConfigurationView | StreamFollower,
    change: ConfigurationChange,
    used_models: Collection[str] = (),
) -> PublishResult:
    """Append a change and read on until its result is known.

    Parameters
    ----------
    log : LogStore
        The log service.
    target : ConfigurationView or StreamFollower
        Holder of the stream of the change; it is read forward.
    change : ConfigurationChange
        The change; its change id must be new.
    used_models : collection of str
        Models that client accounts use; a placement must not remove their last home.

    Returns
    -------
    PublishResult
        What is known about the change.

    Raises
    ------
    DocumentError
        If the document is invalid; nothing is appended.
    """
    view = target.view if isinstance(target, StreamFollower) else target
    _check_change(view, change, used_models)
    value = encode_record(change)
    may_be_appended = False
    for _ in range(MAX_APPENDS):
        offset = None
        try:
            offset = await log.append(view.stream, [value])
            may_be_appended = True
        except LogError as exc:
            if exc.code == "append_uncertain":
                may_be_appended = True
            elif not may_be_appended:
                return PublishResult(PublishStatus.UNAVAILABLE, change.change_id)
        if not await _read_until_decided(log, target, view, change.change_id, offset):
            break
        decision = view.decision(change.change_id)
        if decision is not None:
            return _publish_result(change, decision)
        # Not in the stream yet. Repeating the append is safe: a first copy that
        # arrives late finds its expected version replaced, and so does a second.
    return PublishResult(PublishStatus.UNCERTAIN, change.change_id)


def _check_change(
    view: ConfigurationView, change: ConfigurationChange, used: Collection[str]
) -> None:
    if stream_of(change.kind) != view.stream:
        raise DocumentError(f"kind: not in stream {view.stream}", field="kind")
    if change.deleted:
        return
    if len(change.body) > MAX_BODY_BYTES:
        raise DocumentError(f"$: more than {MAX_BODY_BYTES} bytes", field="$")
    document = decode_document(change.kind, change.body)
    if document_name(document) != change.name:
        raise DocumentError(f"name: expected {change.name!r}", field="name")
    check_services(document, lambda name: view.get("service", name) is not None)
    if isinstance(document, Placement):
        check_last_host(view, document, used)


async def _read_until_decided(
    log: LogStore,
    target: ConfigurationView | StreamFollower,
    view: ConfigurationView,
    change_id: str,
    offset: int | None,
) -> bool:
    """Read until the change is decided or the end is reached; False on failure."""
    failures = 0
    for _ in range(MAX_READ_PAGES):
        if view.decision(change_id) is not None:
            return True
        try:
            page = await log.read(view.stream, view.position + 1, PAGE_RECORDS)
        except LogError:
            failures += 1
            if failures >= MAX_READ_FAILURES:
                return False
            continue
        target.apply_page(page)
        at_end = page.next_offset >= page.end_offset
        if at_end and (offset is None or view.position >= offset):
            return True
    return False


def _publish_result(change: ConfigurationChange, decision: Decision) -> PublishResult:
    status = {
        ApplyResult.WON: PublishStatus.ACCEPTED,
        ApplyResult.NEWER_SCHEMA: PublishStatus.ACCEPTED,
        ApplyResult.DUPLICATE: PublishStatus.ACCEPTED,
        ApplyResult.LOST: PublishStatus.CONFLICT,
    }.get(decision.result, PublishStatus.UNCERTAIN)
    return PublishResult(status, change.change_id, decision.version)
