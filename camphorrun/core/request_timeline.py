"""The decisions on one request, gathered from the event logs of several processes."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

# Beliefs without a subject of their own; the newest of each counts.
_GENERAL = (
    "configuration",
    "members",
    "store_lost",
    "store_regained",
    "store_reader",
    "store_era",
    "paused",
    "drain",
)
# Fields by which beliefs about replicas and requests are joined.
_REPLICA = "replica"
_SERVICE = "service"
# A notice of any replica of a service tells why a request found none.
_NOTICE = "replica_notice"
_OWN_FIELDS = ("at", "host", "event", "request", "requests", "dropped_lines")


@dataclass(slots=True)
class HostTimeline:
    """Lines of one process.

    Attributes
    ----------
    decisions : list of dict
        Lines on the request, in the order of the process's clock.
    known : list of dict
        Beliefs in force at the first of them, on the same clock.
    dropped : int
        Lines that the process dropped, as far as it said so.
    """

    host: str
    decisions: list[dict] = field(default_factory=list)
    known: list[dict] = field(default_factory=list)
    dropped: int = 0


def build_request_timelines(
    request_id: str, lines: Iterable[str]
) -> list[HostTimeline]:
    """Return what each process decided on a request.

    The process that accepted the request comes first. Text before the JSON object of a
    line is ignored, and so are lines without one.

    Examples
    --------
    >>> line = '{"at": 1.5, "host": "a", "event": "end", "request": "r", "code": "ok"}'
    >>> [timeline.host for timeline in build_request_timelines("r", [line])]
    ['a']
    """
    by_host: dict[str, list[dict]] = {}
    for line in lines:
        event = _decode(line)
        if event is not None:
            by_host.setdefault(event["host"], []).append(event)
    timelines = [_host_timeline(request_id, host, e) for host, e in by_host.items()]
    timelines = [timeline for timeline in timelines if timeline.decisions]
    return sorted(timelines, key=lambda timeline: not _has_accepted(timeline))


def render_request_timeline(request_id: str, timelines: list[HostTimeline]) -> str:
    """Return the timeline as text, in seconds since the first line of a process."""
    parts = [f"request {request_id}"]
    for timeline in timelines:
        start_at = timeline.decisions[0]["at"]
        parts.append(f"{timeline.host}, from {start_at:.4f} s on its clock")
        parts.extend(
            f"  known for {start_at - belief['at']:.3f} s: {_fields(belief)}"
            for belief in timeline.known
        )
        parts.extend(
            f"  +{event['at'] - start_at:.4f} s {_fields(event)}"
            for event in timeline.decisions
        )
        if timeline.dropped:
            parts.append(f"  {timeline.dropped} lines were dropped by this process")
    parts.append(_outcome(timelines))
    return "\n".join(parts)


def _decode(line: str) -> dict | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    needed = {"at": (int, float), "host": str, "event": str}
    if not isinstance(event, dict):
        return None
    if not all(isinstance(event.get(name), kind) for name, kind in needed.items()):
        return None
    return event


def _host_timeline(request_id: str, host: str, events: list[dict]) -> HostTimeline:
    events.sort(key=lambda event: event["at"])
    timeline = HostTimeline(host)
    timeline.decisions = [event for event in events if _concerns(event, request_id)]
    timeline.dropped = sum(event.get("dropped_lines", 0) for event in events)
    if timeline.decisions:
        timeline.known = _known(events, timeline.decisions)
    return timeline


def _concerns(event: dict, request_id: str) -> bool:
    return event.get("request") == request_id or request_id in event.get("requests", ())


def _known(events: list[dict], decisions: list[dict]) -> list[dict]:
    """Return the newest belief of each subject before the first decision."""
    replicas = {event[_REPLICA] for event in decisions if _REPLICA in event}
    services = {event[_SERVICE] for event in decisions if _SERVICE in event}
    newest: dict[tuple[str, str], dict] = {}
    for event in events:
        if event["at"] > decisions[0]["at"]:
            break
        replica = event.get(_REPLICA, "")
        concerns = replica in replicas
        if event["event"] == _NOTICE:
            concerns = event.get(_SERVICE) in services
        is_belief = event["event"] in ("replica", "replica_health", _NOTICE)
        if event["event"] in _GENERAL or (is_belief and concerns):
            newest[event["event"], replica] = event
    return list(newest.values())


def _has_accepted(timeline: HostTimeline) -> bool:
    return any(event["event"] in ("accepted", "end") for event in timeline.decisions)


def _fields(event: dict) -> str:
    shown = (f"{k}={v}" for k, v in event.items() if k not in _OWN_FIELDS)
    return " ".join([event["event"], *shown])


def _outcome(timelines: list[HostTimeline]) -> str:
    ends = [e for s in timelines for e in s.decisions if e["event"] == "end"]
    if not ends:
        return "outcome: no process logged an end"
    end = ends[-1]
    return f"outcome: {end.get('code')} after {end.get('seconds')} s"
