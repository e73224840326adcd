"""Timeline of one request, collected from the event logs of several processes."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

# Events on the state of the process as a whole; the latest one of each name applies.
_HOST_STATE_EVENTS = (
    "configuration",
    "members",
    "store_lost",
    "store_regained",
    "store_reader",
    "store_era",
    "evacuation",
    "paused",
    "drain",
)
# Fields that relate state changes of replicas to decisions on requests.
_REPLICA_FIELD = "replica"
_SERVICE_FIELD = "service"
# Related by service and not by replica: notices of its replicas can be the reason why a
# request was assigned to none.
_NOTICE_EVENT = "replica_notice"
_HIDDEN_FIELDS = ("at", "host", "event", "request", "requests", "dropped_lines")


@dataclass(slots=True)
class HostTimeline:
    """Log lines of one process on a request.

    Attributes
    ----------
    decisions : list of dict
        Lines on the request, ordered by the clock of the process.
    known_state : list of dict
        State changes that were in effect at the first decision, on the same clock.
    dropped_lines : int
        Number of lines that the process reported as dropped, for whatever request.
    """

    host: str
    decisions: list[dict] = field(default_factory=list)
    known_state: list[dict] = field(default_factory=list)
    dropped_lines: int = 0


def build_request_timelines(
    request_id: str, lines: Iterable[str]
) -> list[HostTimeline]:
    """Return the timeline of a request for each process that logged a decision on it.

    The process that accepted the request comes first. Text before the JSON object of a
    line is ignored, and so are lines without a valid event.

    Examples
    --------
    >>> line = '{"at": 1.5, "host": "a", "event": "end", "request": "r", "code": "ok"}'
    >>> [timeline.host for timeline in build_request_timelines("r", [line])]
    ['a']
    """
    by_host: dict[str, list[dict]] = {}
    for line in lines:
        event = _decode_event(line)
        if event is not None:
            by_host.setdefault(event["host"], []).append(event)
    timelines = [_host_timeline(request_id, host, e) for host, e in by_host.items()]
    timelines = [timeline for timeline in timelines if timeline.decisions]
    return sorted(timelines, key=lambda timeline: not _has_accepted(timeline))


def render_request_timeline(request_id: str, timelines: list[HostTimeline]) -> str:
    """Return the timelines as text.

    Times are in seconds since the first decision of the same process, because the
    clocks of hosts differ.
    """
    parts = [f"request {request_id}"]
    for timeline in timelines:
        start_at = timeline.decisions[0]["at"]
        parts.append(f"{timeline.host}, from {start_at:.4f} s on its clock")
        parts.extend(
            f"  known for {start_at - change['at']:.3f} s: {_format_event(change)}"
            for change in timeline.known_state
        )
        parts.extend(
            f"  +{event['at'] - start_at:.4f} s {_format_event(event)}"
            for event in timeline.decisions
        )
        if timeline.dropped_lines:
            parts.append(
                f"  {timeline.dropped_lines} lines were dropped by this process"
            )
    parts.append(_format_outcome(timelines))
    return "\n".join(parts)


def _decode_event(line: str) -> dict | None:
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
    timeline.decisions = [
        event for event in events if _mentions_request(event, request_id)
    ]
    timeline.dropped_lines = sum(event.get("dropped_lines", 0) for event in events)
    if timeline.decisions:
        timeline.known_state = _state_before_decisions(events, timeline.decisions)
    return timeline


def _mentions_request(event: dict, request_id: str) -> bool:
    return event.get("request") == request_id or request_id in event.get("requests", ())


def _state_before_decisions(events: list[dict], decisions: list[dict]) -> list[dict]:
    """Return the latest related state changes up to the first decision.

    They are the latest event of each name on the process, and the latest event of each
    name and replica on the replicas that the decisions concern.
    """
    replicas = {event[_REPLICA_FIELD] for event in decisions if _REPLICA_FIELD in event}
    services = {event[_SERVICE_FIELD] for event in decisions if _SERVICE_FIELD in event}
    latest: dict[tuple[str, str], dict] = {}
    for event in events:
        if event["at"] > decisions[0]["at"]:
            break
        replica = event.get(_REPLICA_FIELD, "")
        is_relevant = replica in replicas
        if event["event"] == _NOTICE_EVENT:
            is_relevant = event.get(_SERVICE_FIELD) in services
        is_replica_event = event["event"] in (
            "replica",
            "replica_health",
            _NOTICE_EVENT,
        )
        if event["event"] in _HOST_STATE_EVENTS or (is_replica_event and is_relevant):
            latest[event["event"], replica] = event
    return list(latest.values())


def _has_accepted(timeline: HostTimeline) -> bool:
    return any(event["event"] in ("accepted", "end") for event in timeline.decisions)


def _format_event(event: dict) -> str:
    shown = (f"{k}={v}" for k, v in event.items() if k not in _HIDDEN_FIELDS)
    return " ".join([event["event"], *shown])


def _format_outcome(timelines: list[HostTimeline]) -> str:
    ends = [e for s in timelines for e in s.decisions if e["event"] == "end"]
    if not ends:
        return "outcome: no process logged an end"
    end = ends[-1]
    return f"outcome: {end.get('code')} after {end.get('seconds')} s"
