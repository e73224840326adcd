"""Text of a route preview for people."""

from collections.abc import Iterator

from ..gateway.preview_messages import (
    CandidateMessage,
    ForecastMessage,
    RoutePreview,
    StageMessage,
)


def render_preview(preview: RoutePreview) -> str:
    """Return the lines that describe a preview."""
    return "\n".join(_lines(preview))


def _lines(preview: RoutePreview) -> Iterator[str]:
    ages = ", ".join(f"{name} {s:.1f} s ago" for name, s in preview.ages_s.items())
    known = f"configuration {preview.configuration}"
    yield f"gateway {preview.gateway}, {known}, confirmed: {ages or 'nothing'}"
    route = preview.route
    if route is not None:
        objective = f"objective {route.objective_s:g} s, time-out {route.timeout_s:g} s"
        yield f"route {route.name} ({route.kind}), {objective}"
        if route.service:
            repeat = "a retry" if route.is_retry else "a first attempt"
            account = route.account or "none"
            rank = f"rank {route.rank}"
            yield f"service {route.service}, account {account}, {rank}, {repeat}"
    yield _admission_line(preview)
    if preview.forecast is not None:
        yield _forecast_line(preview.forecast)
    if preview.stages:
        yield "stages, as known here:"
    for stage in preview.stages:
        yield _stage_line(stage)
    if preview.candidates:
        yield "replicas:"
    chosen = preview.choice.replica if preview.choice is not None else ""
    for candidate in preview.candidates:
        yield from _candidate_lines(candidate, candidate.replica == chosen)
    yield _choice_line(preview)


def _admission_line(preview: RoutePreview) -> str:
    admission = preview.admission
    if not admission.admitted:
        retry = (
            f", retry after {admission.retry_after_s:.2f} s"
            if admission.retry_after_s
            else ""
        )
        return (
            f"refused: {admission.code}, status {admission.status}{retry}: "
            f"{admission.reason}"
        )
    if admission.waits_for:
        wait = f"{admission.wait_s:.3f} s for a permit of {admission.waits_for}"
        return f"admitted, would wait {wait}"
    return "admitted"


def _forecast_line(forecast: ForecastMessage) -> str:
    return (
        f"forecast: stages {forecast.stages_s:.3f} s, {forecast.stage_wait_s:.3f} s of "
        f"it waiting, permit {forecast.permit_wait_s:.3f} s, first event "
        f"{forecast.first_event_s:.3f} s"
    )


def _stage_line(stage: StageMessage) -> str:
    shard = f"shard {stage.shard}, " if stage.shard else ""
    report = (
        "no wait reported yet"
        if stage.report_age_s is None
        else f"reported {stage.report_age_s:.1f} s ago"
    )
    return (
        f"  {stage.index}: service {stage.service}, pieces {stage.pieces}, {shard}"
        f"owner {stage.owner}, wait {stage.wait_s:.3f} s ({report}), "
        f"total {stage.need_s:.3f} s"
    )


def _candidate_lines(candidate: CandidateMessage, is_chosen: bool) -> Iterator[str]:
    result = candidate.excluded or ("chosen" if is_chosen else "candidate")
    cost = (
        f", cost {candidate.cost:.4g} {candidate.cost_unit}"
        if candidate.cost is not None
        else ""
    )
    zone = candidate.availability_zone
    yield f"  {candidate.replica} in {zone}: {result}{cost}"
    fields = {
        "in_flight": candidate.in_flight,
        "load": candidate.load,
        "slowdown": candidate.slowdown,
        "failure_rate": candidate.failure_rate,
        **candidate.terms,
    }
    yield "    " + " ".join(f"{name}={value:.4g}" for name, value in fields.items())
    ages = {
        "load report": candidate.load_age_s,
        "last result": candidate.result_age_s,
        "others' tokens": candidate.other_tokens_age_s,
        "rate limit": candidate.rate_limit_age_s,
    }
    texts = [f"{name} {s:.1f} s" for name, s in ages.items() if s is not None]
    if candidate.cold_left_s is not None:
        texts.append(f"cold for another {candidate.cold_left_s:.1f} s")
    if candidate.available_in_s is not None:
        texts.append(f"available in {candidate.available_in_s:.3f} s")
    yield "    ages: " + (", ".join(texts) or "nothing observed yet")


def _choice_line(preview: RoutePreview) -> str:
    choice = preview.choice
    if choice is None:
        return "choice: none"
    notes = [f"predicted wait {choice.predicted_wait_s:.3f} s"]
    if choice.is_probe:
        notes.append("as the probe of an ejected replica")
    if choice.needs_permit:
        notes.append("if its permit is granted")
    if choice.cold_replica:
        notes.append(f"a permit for {choice.cold_replica} would be requested")
    return f"choice: {choice.replica}, " + ", ".join(notes)
