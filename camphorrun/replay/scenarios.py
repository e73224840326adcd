"""Scenarios: the system, the load, the faults and the outcomes stated beforehand."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Literal

import msgspec

from ..configuration import Account, Service, Template, TemplateParameters
from .requests import TraceError, TraceRequest, load_trace

TRACES = Path(__file__).parent / "traces"


@dataclass(frozen=True, slots=True)
class ScenarioService:
    """A service of the scenario; ``profile`` holds fields of the stand-in's profile."""

    name: str
    replicas: int
    kind: str = "plain"
    reports_load: bool = True
    initial_limit: int = 8
    profile: dict[str, Any] = field(default_factory=dict)

    def document(self) -> Service:
        """Return the document to publish."""
        return Service(self.name, self.kind, self.reports_load)


@dataclass(frozen=True, slots=True)
class ScenarioAccount:
    """A client account with its credential, which exists for the scenario only."""

    name: str
    secret: str
    weight: float = 1.0
    templates: dict[str, TemplateParameters] = field(default_factory=dict)

    def document(self, digest: str) -> Account:
        """Return the document to publish, with the digest of the credential."""
        return Account(self.name, (digest,), self.templates, self.weight)


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Requests of one kind that arrive at random at a mean rate.

    ``words`` and ``max_output`` are ranges. ``until_s`` is exclusive.
    """

    template: str
    account: str
    rate_per_s: float
    from_s: float = 0.0
    until_s: float = 30.0
    words: tuple[int, int] = (4, 16)
    max_output: tuple[int, int] = (16, 16)
    deadline_ms: int | None = None
    key: str = "own"
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault at a stated time.

    ``kind`` is ``profile`` (``fields`` replace those of the stand-ins), ``log``
    (``fields`` are faults of the log service), ``zone_lost`` or ``drain``. An empty
    ``service`` means all services, and empty ``replicas`` all of them. With
    ``replace``, a new host takes the place of a drained one.
    """

    at_s: float
    kind: Literal["profile", "log", "zone_lost", "drain"]
    service: str = ""
    replicas: tuple[int, ...] = ()
    zone: str = ""
    replace: bool = False
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Bound:
    """An outcome stated beforehand: a figure of the report that must hold.

    The scope restricts the requests by client account, other client accounts,
    priority, template and time of arrival.
    """

    figure: str
    at_least: float | None = None
    at_most: float | None = None
    account: str = ""
    except_account: str = ""
    template: str = ""
    priority: int | None = None
    from_s: float = 0.0
    until_s: float = float("inf")
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Scenario:
    """Everything that a replay needs besides the trace.

    ``one_way_ms`` states distances between availability zones for the reader; the
    loopback system does not emulate them.
    """

    name: str
    text: str = ""
    base: str = ""
    seed: int = 1
    duration_s: float = 30.0
    entries: int = 2
    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    one_way_ms: dict[str, float] = field(default_factory=dict)
    services: tuple[ScenarioService, ...] = ()
    templates: tuple[Template, ...] = ()
    accounts: tuple[ScenarioAccount, ...] = ()
    arrivals: tuple[Arrivals, ...] = ()
    faults: tuple[Fault, ...] = ()
    bounds: tuple[Bound, ...] = ()

    def template(self, name: str) -> Template:
        """Return a template by name."""
        return _named(self.templates, name, "template")

    def account(self, name: str) -> ScenarioAccount:
        """Return a client account by name."""
        return _named(self.accounts, name, "account")

    def parameters(self, req: TraceRequest) -> TemplateParameters:
        """Return the client account's parameters of the template of a request."""
        templates = self.account(req.account).templates
        if req.template not in templates:
            raise TraceError(
                f"{req.account} has no template {req.template}", field="template"
            )
        return templates[req.template]

    def deadline_s(self, req: TraceRequest) -> float:
        """Return the deadline of a request in seconds."""
        deadline_ms = self.parameters(req).deadline_ms
        if req.deadline_ms is not None:
            deadline_ms = min(deadline_ms, req.deadline_ms)
        return deadline_ms / 1000


def _named(items: tuple, name: str, kind: str) -> Any:
    for item in items:
        if item.name == name:
            return item
    raise TraceError(f"unknown {kind} {name!r}", field=kind)


def scenario_names() -> list[str]:
    """Return the names of the committed scenarios."""
    return sorted(path.stem for path in TRACES.glob("*.jsonl"))


def load_scenario(name_or_path: str) -> tuple[Scenario, list[TraceRequest]]:
    """Return a scenario and its trace, by name or by file.

    The trace lies beside the scenario file, with the suffix ``.jsonl``.

    Raises
    ------
    TraceError
        If a file is missing or malformed, or the trace does not fit the scenario.
    """
    path = Path(name_or_path)
    if path.suffix != ".json":
        path = TRACES / f"{name_or_path}.json"
    scenario = read_scenario(path)
    trace = load_trace(path.with_suffix(".jsonl"))
    for req in trace:
        scenario.template(req.template)
        scenario.parameters(req)
    return scenario, trace


def read_scenario(path: Path) -> Scenario:
    """Return a scenario merged with the base file that it names."""
    raw = _read_json(path)
    base = raw.get("base", "")
    if base:
        raw = {**_read_json(path.with_name(base)), **raw}
    raw.setdefault("name", path.stem)
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as exc:
        raise TraceError(f"{path}: {exc}", field=str(path)) from exc
    _reject_unknown_keys(raw, msgspec.to_builtins(scenario), "$")
    return scenario


def _reject_unknown_keys(raw: Any, known: Any, path: str) -> None:
    """Refuse keys that were ignored: a misspelt scope would widen a bound."""
    if isinstance(raw, list):
        for index, item in enumerate(raw):
            _reject_unknown_keys(item, known[index], f"{path}[{index}]")
    elif isinstance(raw, dict):
        for key, value in raw.items():
            if key not in known:
                raise TraceError(f"{path}.{key}: unknown key", field=f"{path}.{key}")
            _reject_unknown_keys(value, known[key], f"{path}.{key}")


def _read_json(path: Path) -> dict[str, Any]:
    try:
        raw = msgspec.json.decode(path.read_bytes())
    except OSError as exc:
        raise TraceError(f"{path}: {exc.strerror}", field=str(path)) from exc
    except msgspec.DecodeError as exc:
        raise TraceError(f"{path}: {exc}", field=str(path)) from exc
    if not isinstance(raw, dict):
        raise TraceError(f"{path}: expected an object", field=str(path))
    return raw
