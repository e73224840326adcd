"""Decodes the operator's configuration.

Misleading names on the wire: ``TargetLatencyMs`` of a stream is the time to its first
event; ``Public`` means that no API key is needed; ``Sticky`` marks routes to a language
model; ``HeadroomMb`` is the whole space for results, whether free or in use.
"""

import re

import msgspec

from ..catalog import (
    Account,
    CallerLimits,
    ColdLimits,
    Deployment,
    EngineCapacity,
    Route,
    RouteKind,
    Service,
    StageCapacity,
    StageTemplate,
)
from ..pipeline import PipelineError, check_dependencies
from .decoding import Count, Integer, Number, decode_json
from .errors import DecodeError

_ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
_BYTES_PER_MEGABYTE = 1_000_000
_DEFAULT_TIMEOUT_MS = 30_000
_CONTROL_CHARACTER = re.compile("[\x00-\x08\x0a-\x1f\x7f]")


class _WireObject(msgspec.Struct, rename="pascal"):
    """Base of the JSON objects of the configuration; unknown fields are ignored.

    Fields with a default may be absent: deployments leave out what they don't use.
    Without any other field the whole configuration is invalid.
    """


class _Stage(_WireObject):
    service: str
    after: list[Count] = []
    payload_bytes: Number = 0


class _Split(_WireObject):
    service: str
    weight: Number = 1


class _Route(_WireObject):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: Number = _DEFAULT_TIMEOUT_MS
    target_latency_ms: Number = 0
    priority: Count = 5
    service: str = ""
    split: list[_Split] = []
    max_attempts: Count = 1
    stages: list[_Stage] = []
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: Number = 0
    # Checked in the code: a malformed value must not invalidate the configuration.
    allowed_regions: object = None


class _Pieces(_WireObject):
    slots: Count = 1
    queue: Count = 0
    batch: Count = 1
    call_ms: Number = 0
    item_ms: Number = 0
    headroom_mb: Number = 0
    handle_s: Number = 0


class _Engine(_WireObject):
    slots: Count = 1
    kv_capacity: Integer = 0


class _Service(_WireObject):
    name: str
    health_path: str = ""
    max_conns: Count = 64
    pieces: _Pieces | None = None
    engine: _Engine | None = None
    cold_start_s: Number = msgspec.field(name="ColdStartS", default=0)
    cold_per_s: Number = msgspec.field(name="ColdPerS", default=0)


class _Tenant(_WireObject):
    name: str
    api_keys: list[str] = []
    priority: Count | None = None
    allowed_regions: object = None


class _Limits(_WireObject):
    max_header_bytes: Count = 16384
    max_body_bytes: Count = 4194304
    header_timeout_ms: Number = 3000
    idle_timeout_ms: Number = 15000


class _Configuration(_WireObject):
    version: Integer
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits | None = None
    # API keys are needed if the field is there, also if nothing is in it.
    tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET


def decode_deployment(data: bytes) -> Deployment:
    """Return the deployment that the JSON form of a configuration describes.

    Raises
    ------
    DecodeError
        If the configuration can't be decoded. The caller then keeps the newest valid
        configuration in effect.
    """
    raw = decode_json(data, _Configuration, "configuration")
    return Deployment(
        raw.version,
        tuple(_convert_route(item) for item in raw.routes),
        {item.name: _convert_service(item) for item in raw.services},
        _convert_accounts(raw.tenants),
        _convert_limits(raw.limits),
    )


def _convert_accounts(
    tenants: list[_Tenant] | msgspec.UnsetType,
) -> dict[str, Account] | None:
    if tenants is msgspec.UNSET:
        return None
    for index, tenant in enumerate(tenants):
        if _CONTROL_CHARACTER.search(tenant.name):
            # The name is sent to replicas in a header field, which a line end closes.
            raise DecodeError(
                f"Tenants[{index}].Name: expected no control characters, "
                f"got {tenant.name[:40]!r}",
                field=f"Tenants[{index}].Name",
            )
    return {key: _convert_account(t) for t in tenants for key in t.api_keys}


def _convert_account(raw: _Tenant) -> Account:
    regions, fault = _convert_regions(raw.allowed_regions)
    return Account(raw.name, raw.priority, regions, fault)


def _convert_regions(raw: object) -> tuple[frozenset[str], str]:
    """Return the home regions, empty for all, and what is wrong with the field."""
    if raw is None:
        return frozenset(), ""
    if isinstance(raw, list) and all(isinstance(name, str) and name for name in raw):
        return frozenset(raw), ""
    return frozenset(), f"expected a list of home regions, got {str(raw)[:40]!r}"


def _convert_route(raw: _Route) -> Route:
    services = tuple((s.service, s.weight) for s in raw.split if s.weight > 0)
    if not raw.split:
        services = ((raw.service, 1),)
    if raw.route_type not in _ROUTE_KINDS:
        raise DecodeError(
            f"expected safe, unsafe or streaming, got {raw.route_type!r}",
            field=f"routes.{raw.name}.kind",
        )
    regions, region_fault = _convert_regions(raw.allowed_regions)
    return Route(
        raw.name,
        raw.host.lower(),
        raw.path_prefix,
        _ROUTE_KINDS[raw.route_type],
        raw.timeout_ms / 1000,
        raw.target_latency_ms / 1000,
        raw.priority,
        services,
        max(1, raw.max_attempts),
        tuple(
            StageTemplate(s.service, tuple(s.after), int(s.payload_bytes))
            for s in raw.stages
        ),
        raw.public,
        raw.resumable,
        raw.sticky,
        raw.gap_target_ms / 1000,
        _route_fault(raw, services) or region_fault,
        regions,
    )


def _route_fault(raw: _Route, services: tuple[tuple[str, float], ...]) -> str:
    """Return why the requests of a route can't be served, empty if they can."""
    if not services or not all(name for name, _ in services):
        return "expected a service, or a split with a positive weight"
    if raw.timeout_ms <= 0:
        return f"expected a positive time-out, got {raw.timeout_ms} ms"
    try:
        check_dependencies([stage.after for stage in raw.stages])
    except PipelineError as exc:
        return str(exc)
    return ""


def _convert_service(raw: _Service) -> Service:
    return Service(
        raw.name,
        raw.health_path,
        raw.max_conns,
        None if raw.pieces is None else _convert_stage_capacity(raw.pieces),
        None
        if raw.engine is None
        else EngineCapacity(raw.engine.slots, raw.engine.kv_capacity),
        ColdLimits(raw.cold_start_s, raw.cold_per_s)
        if raw.cold_start_s > 0 and raw.cold_per_s > 0
        else None,
    )


def _convert_stage_capacity(raw: _Pieces) -> StageCapacity:
    return StageCapacity(
        raw.slots,
        raw.queue,
        max(1, raw.batch),
        raw.call_ms / 1000,
        raw.item_ms / 1000,
        int(raw.headroom_mb * _BYTES_PER_MEGABYTE),
        raw.handle_s,
    )


def _convert_limits(raw: _Limits | None) -> CallerLimits | None:
    if raw is None:
        return None
    return CallerLimits(
        raw.max_header_bytes,
        raw.max_body_bytes,
        raw.header_timeout_ms / 1000,
        raw.idle_timeout_ms / 1000,
    )
