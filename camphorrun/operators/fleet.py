"""State of all listed hosts, and waiting for a configuration version."""

from typing import Any

from ..clients import HostEntry
from ..configuration import ACCOUNTS_STREAM, FLEET_STREAM
from .console import CommandResult, CommandStatus, OperatorError, table
from .context import HostReply, OperatorContext

POLL_SECONDS = 0.25
STATUS_PATH = "/v1/status"
_STREAMS = (FLEET_STREAM, ACCOUNTS_STREAM)
# Hosts named in one progress line; a longer list hides the counts before it.
MAX_NAMED_HOSTS = 5


async def show_status(ctx: OperatorContext) -> CommandResult:
    """Return the state of every listed host."""
    replies = await ctx.ask_all(await ctx.hosts(), STATUS_PATH)
    hosts = [host_summary(reply) for reply in replies]
    columns = ("host", "role", "list", "state", "synchronised", "positions", "notes")
    rows = [columns, *(_status_row(host) for host in hosts)]
    complete = all(reply.answered for reply in replies)
    status = CommandStatus.OK if complete else CommandStatus.FAILED
    return CommandResult({"hosts": hosts}, table(rows), status)


def host_summary(reply: HostReply) -> dict[str, Any]:
    """Return the fields of a host that operators look at."""
    listed, body = reply.listed, reply.body
    summary: dict[str, Any] = {
        "host": listed.host,
        "role": listed.role,
        "service": listed.service,
        "availability_zone": listed.availability_zone,
        "listed_as": listed.state,
    }
    if not reply.answered:
        return {**summary, "state": "unreachable", "error": reply.failure}
    return {
        **summary,
        "state": body.get("state", "unknown"),
        "synchronised": bool(body.get("synchronised")),
        "positions": body.get("positions", {}),
        "not_current": body.get("not_current", []),
        "drain_reason": body.get("drain_reason", ""),
        "held_by": what_holds(body),
        "oldest_request": body.get("oldest_request"),
    }


def what_holds(body: dict[str, Any]) -> dict[str, int]:
    """Return the work that a drain waits for, by kind, zero counts left out."""
    if body.get("role") == "entry":
        counts = {"requests": body.get("in_flight", 0)}
    else:
        counts = {
            "unfinished_attempts": body.get("unfinished", 0),
            "pending_claims": body.get("pending_claims", 0),
        }
    return {name: int(count) for name, count in counts.items() if count}


def held_text(held_by: dict[str, int]) -> str:
    """Return the work that holds a drain in words.

    Examples
    --------
    >>> held_text({"unfinished_attempts": 2, "pending_claims": 1})
    '2 unfinished attempts, 1 pending claims'
    """
    return ", ".join(f"{n} {name.replace('_', ' ')}" for name, n in held_by.items())


def _status_row(host: dict[str, Any]) -> tuple[str, ...]:
    if host["state"] == "unreachable":
        cells = ("-", "-", host["error"])
        return (host["host"], host["role"], host["listed_as"], host["state"], *cells)
    positions = " ".join(f"{name}:{n}" for name, n in host["positions"].items())
    notes = []
    if host["drain_reason"]:
        notes.append(f"drain: {host['drain_reason']}")
    if host["state"] == "draining" and host["held_by"]:
        notes.append(f"held by {held_text(host['held_by'])}")
    if host["not_current"]:
        keys = (" ".join(key) for key in host["not_current"])
        notes.append(f"not current: {', '.join(keys)}")
    oldest = host["oldest_request"]
    if oldest:
        notes.append(f"oldest request {oldest['request_id']}: {oldest['running_s']} s")
    return (
        host["host"],
        host["role"],
        host["listed_as"],
        host["state"],
        "yes" if host["synchronised"] else "no",
        positions,
        "; ".join(notes),
    )


def parse_version(text: str) -> tuple[str, int]:
    """Return stream and offset of ``STREAM:OFFSET``.

    Raises
    ------
    OperatorError
        If the text has another form or names another stream.

    Examples
    --------
    >>> parse_version("fleet:12")
    ('fleet', 12)
    """
    stream, _, offset = text.partition(":")
    if stream not in _STREAMS or not offset.isdecimal() or int(offset) < 1:
        names = " or ".join(_STREAMS)
        raise OperatorError(
            f"--version: expected STREAM:OFFSET with stream {names}, got {text!r}",
            code="bad_version",
            field="--version",
        )
    return stream, int(offset)


async def wait_for_version(
    ctx: OperatorContext, version: str, timeout_s: float
) -> CommandResult:
    """Wait until every listed host that reads a stream has reached an offset.

    A host that does not answer counts as not there yet, unless the list marks it as
    leaving. The host list is read again in each round; the last one stays in use
    while the platform does not answer.
    """
    stream, offset = parse_version(version)
    started_at = ctx.timers.now()
    hosts = await ctx.hosts()
    while True:
        replies = await ctx.ask_all(hosts, STATUS_PATH)
        states = {
            reply.listed.host: _reached(reply, stream, offset)
            for reply in replies
            if _counts(reply, stream)
        }
        missing = sorted(host for host, reached in states.items() if not reached)
        waited_s = ctx.timers.now() - started_at
        ctx.console.progress(_progress(version, len(states), missing))
        if states and not missing:
            return _wait_result(version, len(states), missing, replies, waited_s)
        if waited_s >= timeout_s:
            return _wait_result(version, len(states), missing, replies, waited_s)
        await ctx.timers.sleep(min(POLL_SECONDS, timeout_s - waited_s))
        hosts = await _refreshed(ctx, hosts)


async def _refreshed(
    ctx: OperatorContext, hosts: tuple[HostEntry, ...]
) -> tuple[HostEntry, ...]:
    try:
        return await ctx.hosts()
    except OperatorError as exc:
        ctx.console.progress(f"host list not read, the last one is used: {exc.code}")
        return hosts


def _counts(reply: HostReply, stream: str) -> bool:
    if reply.listed.role != "entry" and stream == ACCOUNTS_STREAM:
        return False
    return reply.answered or reply.listed.state != "leaving"


def _reached(reply: HostReply, stream: str, offset: int) -> bool:
    positions = reply.body.get("positions", {})
    return reply.answered and positions.get(stream, 0) >= offset


def _progress(version: str, hosts: int, missing: list[str]) -> str:
    line = f"{version}: {hosts - len(missing)} of {hosts} hosts"
    if not missing:
        return line
    named = ", ".join(missing[:MAX_NAMED_HOSTS])
    more = ", ..." if len(missing) > MAX_NAMED_HOSTS else ""
    return f"{line}; waiting for {named}{more}"


def _wait_result(
    version: str,
    hosts: int,
    missing: list[str],
    replies: list[HostReply],
    waited_s: float,
) -> CommandResult:
    not_current = sorted(
        reply.listed.host for reply in replies if reply.body.get("not_current")
    )
    data = {
        "version": version,
        "hosts": hosts,
        "missing": missing,
        "hosts_with_keys_not_current": not_current,
        "waited_s": round(waited_s, 3),
    }
    lines = [f"{version} reached by {hosts - len(missing)} of {hosts} hosts"]
    if missing:
        lines.append(f"not reached by {', '.join(missing)}")
    if not hosts:
        lines.append("the host list names no host that reads this stream")
    if not_current:
        names = ", ".join(not_current)
        lines.append(f"warning: keys that are not current on {names}; see ctl status")
    done = bool(hosts) and not missing
    status = CommandStatus.OK if done else CommandStatus.FAILED
    return CommandResult(data, tuple(lines), status)
