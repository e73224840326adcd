"""Explanation of one recent request."""

from typing import Any
from urllib.parse import quote

from .console import CommandResult, CommandStatus, OperatorError
from .context import OperatorContext

EXPLAIN_PATH = "/v1/explain/"


async def explain_request(ctx: OperatorContext, request_id: str) -> CommandResult:
    """Ask all entries for a request and describe what became of it.

    Raises
    ------
    OperatorError
        If no entry knows the request; the message names entries that did not answer.
    """
    hosts = await ctx.hosts()
    entries = tuple(host for host in hosts if host.role == "entry")
    path = EXPLAIN_PATH + quote(request_id, safe="")
    replies = await ctx.ask_all(entries, path)
    for reply in replies:
        if reply.answered:
            data = {"entry": reply.listed.host, **reply.body}
            return CommandResult(data, _describe(data))
    silent = [f"{r.listed.host} ({r.failure})" for r in replies if r.http_status != 404]
    if silent:
        raise OperatorError(
            f"request {request_id!r} not found; not asked: {', '.join(silent)}",
            code="no_request",
            status=CommandStatus.UNAVAILABLE,
        )
    raise OperatorError(
        f"request {request_id!r} is not among the recent requests of "
        f"{len(entries)} entries",
        code="no_request",
    )


def _describe(data: dict[str, Any]) -> tuple[str, ...]:
    lines = [
        f"request {data['request_id']} of client account {data.get('account', '?')}, "
        f"entry {data['entry']}",
        f"status {data['status']}, code {data['code']}",
    ]
    if data["status"] == "running":
        lines.append(
            f"template {data['template']}, running for {data['running_s']} s, "
            f"{data['remaining_s']} s until its deadline"
        )
        return tuple(lines)
    if data.get("detail"):
        lines.append(f"reason: {data['detail']}")
    if data.get("retry_after_s"):
        lines.append(f"retry after {data['retry_after_s']} s")
    if data["status"] != "answered":
        safe = "yes" if data.get("safe_to_repeat") else "no"
        lines.append(f"safe to repeat: {safe}")
    if not data.get("stages"):
        lines.append("no stage was dispatched")
    for stage in data.get("stages", []):
        lines.extend(_describe_stage(stage, data.get("cost", {})))
    return tuple(lines)


def _describe_stage(stage: dict[str, Any], costs: dict[str, Any]) -> list[str]:
    cost = costs.get(stage["name"], {})
    lines = [
        f"stage {stage['name']} on service {stage['service']}: "
        f"{len(stage['attempts'])} attempts, busy {cost.get('busy_s', 0):.3f} s, "
        f"queued {cost.get('queue_s', 0):.3f} s"
    ]
    for number, attempt in enumerate(stage["attempts"], start=1):
        reason = "" if attempt["result"] == "ok" else " (why the next one was made)"
        last = number == len(stage["attempts"])
        lines.append(
            f"  attempt {number} at endpoint of {attempt['host']}: "
            f"{attempt['result']} after {attempt['seconds']:.3f} s"
            f"{'' if last else reason}"
        )
    return lines
