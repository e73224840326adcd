"""Drain of one host, through the log and by a direct call at the same time."""

import asyncio
from typing import Any

from ..clients import HostEntry
from ..configuration import Drain, encode_document
from .changes import publish_body
from .console import CommandResult, CommandStatus, OperatorError
from .context import HostReply, OperatorContext
from .fleet import POLL_SECONDS, STATUS_PATH, held_text, what_holds

DRAIN_PATH = "/v1/drain"
DRAIN_KIND = "drain"


async def drain_host(
    ctx: OperatorContext, host: str, reason: str, wait_s: float = 0.0
) -> CommandResult:
    """Drain a host and optionally wait until its process has ended.

    The drain document keeps the host drained after a restart; the direct call works
    while the log is unavailable. The command succeeds if either did.

    Parameters
    ----------
    ctx : OperatorContext
        Connections.
    host : str
        Name of the host in the host list.
    reason : str
        Shown by ``ctl status`` and in the logs.
    wait_s : float
        How long to wait for the end of the process, 0 for not at all.
    """
    listed, list_error = await _find(ctx, host)
    before = await _status_before(ctx, listed)
    published, direct = await asyncio.gather(
        _publish(ctx, host, reason), _ask(ctx, listed, list_error)
    )
    data: dict[str, Any] = {"host": host, "published": published, "direct": direct}
    lines = [f"drain document: {published['detail']}", f"direct: {direct['detail']}"]
    if not published["ok"] and not direct["ok"]:
        return CommandResult(data, tuple(lines), CommandStatus.UNAVAILABLE)
    if wait_s <= 0:
        return CommandResult(data, tuple(lines))
    if listed is None:
        lines.append("cannot wait: the address of the host is not known")
        return CommandResult(data, tuple(lines), CommandStatus.FAILED)
    stopped, state = await _wait_stopped(ctx, listed, before, wait_s)
    data["stopped"] = stopped
    lines.append(f"{host}: {state}")
    status = CommandStatus.OK if stopped else CommandStatus.FAILED
    return CommandResult(data, tuple(lines), status)


async def _find(ctx: OperatorContext, host: str) -> tuple[HostEntry | None, str]:
    try:
        hosts = await ctx.hosts()
    except OperatorError as exc:
        return None, str(exc)
    found = next((each for each in hosts if each.host == host), None)
    return found, "" if found else "the host is not in the host list"


async def _status_before(ctx: OperatorContext, listed: HostEntry | None) -> HostReply:
    """Return the status before the drain, to recognise a replaced process later."""
    if listed is None:
        return HostReply(HostEntry("", "", "", ""), error="not listed")
    return await ctx.ask(listed, STATUS_PATH)


async def _publish(ctx: OperatorContext, host: str, reason: str) -> dict[str, Any]:
    body = encode_document(Drain(host, reason))
    try:
        result = await publish_body(ctx, DRAIN_KIND, host, body, None)
    except OperatorError as exc:
        return {"ok": False, "detail": f"failed: {exc}"}
    return {"ok": result.status is CommandStatus.OK, "detail": result.lines[0]}


async def _ask(
    ctx: OperatorContext, listed: HostEntry | None, list_error: str
) -> dict[str, Any]:
    if listed is None:
        return {"ok": False, "detail": f"failed: {list_error}"}
    reply = await ctx.ask(listed, DRAIN_PATH, "POST")
    detail = "the host is draining" if reply.answered else f"failed: {reply.failure}"
    return {"ok": reply.answered, "detail": detail}


async def _wait_stopped(
    ctx: OperatorContext, listed: HostEntry, before: HostReply, wait_s: float
) -> tuple[bool, str]:
    """Return whether the process has ended, and its last state in words."""
    started_at = ctx.timers.now()
    while True:
        reply = await ctx.ask(listed, STATUS_PATH)
        stopped, state = progress_of(reply, before)
        ctx.console.progress(f"{listed.host}: {state}")
        waited_s = ctx.timers.now() - started_at
        if stopped:
            return True, state
        if waited_s >= wait_s:
            return False, f"{state} after {wait_s:g} s"
        await ctx.timers.sleep(min(POLL_SECONDS, wait_s - waited_s))


def progress_of(reply: HostReply, before: HostReply) -> tuple[bool, str]:
    """Return whether the process has ended, and its state in words."""
    if reply.error == "refused" and before.answered:
        return True, "stopped"
    if not reply.answered:
        # A host that does not answer may still be running.
        return False, reply.failure
    body = reply.body
    if before.answered and body.get("incarnation") != before.body.get("incarnation"):
        return True, "stopped and replaced by a new process"
    state = str(body.get("state", "unknown"))
    if state == "stopped":
        return True, state
    held = held_text(what_holds(body))
    return False, f"{state}, held by {held}" if held else state
