"""Runs a scenario against a local or a running system."""

import asyncio
import contextlib

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from ..clients import create_session
from ..core import LoopTimerService
from ..replay import (
    EndpointWork,
    LoopLag,
    ReplayResult,
    Scenario,
    TraceDriver,
    TraceRequest,
)
from ..settings import PolicySettings
from ..standins import EndpointProfile
from .local_system import LocalSystem, ServiceSpec
from .publication import publish_scenario
from .scenario_faults import FaultSchedule

RETRIES_METRIC = "camphorrun_retries"
READY_TIMEOUT_SECONDS = 30.0


async def run_local(
    scenario: Scenario,
    trace: list[TraceRequest],
    policy: PolicySettings,
    name: str,
    speed: float = 1.0,
) -> ReplayResult:
    """Replay a trace against a system that is started in this process.

    Parameters
    ----------
    scenario, trace
        What to run.
    policy : PolicySettings
        Policies of entries and agents.
    name : str
        Name of the policy in reports.
    speed : float
        Factor by which arrivals and faults are faster than recorded.
    """
    system = LocalSystem(
        _specs(scenario), zones=scenario.zones, entries=scenario.entries, policy=policy
    )
    try:
        await system.start()
        async with _session() as session:
            await publish_scenario(system.log_client(session), scenario)
            await system.wait_ready(READY_TIMEOUT_SECONDS)
            await system.wait_published(scenario, READY_TIMEOUT_SECONDS)
            driver = TraceDriver(
                session, system.entry_urls, scenario, system.timers, speed
            )
            await driver.prepare(trace)
            faults = FaultSchedule(system, scenario, system.timers, speed)
            faults.start()
            result = await _measure(driver, scenario, trace, name)
            faults.stop()
            result.retries = await _retries(session, system.entry_urls)
            result.work = _endpoint_work(system)
            return result
    finally:
        await system.stop()


async def run_remote(
    scenario: Scenario, trace: list[TraceRequest], urls: list[str], speed: float = 1.0
) -> ReplayResult:
    """Replay a trace against running entries; faults are left to their operator."""
    async with _session() as session:
        driver = TraceDriver(session, urls, scenario, LoopTimerService(), speed)
        await driver.prepare(trace)
        before = await _retries(session, urls)
        result = await _measure(driver, scenario, trace, "remote")
        after = await _retries(session, urls)
        result.retries = {
            reason: count - before.get(reason, 0) for reason, count in after.items()
        }
        return result


async def _measure(
    driver: TraceDriver, scenario: Scenario, trace: list[TraceRequest], name: str
) -> ReplayResult:
    lag = LoopLag(driver.timers)
    started_at = driver.timers.now()
    lag.start()
    try:
        records = await driver.run(trace)
    finally:
        lag.stop()
    duration_s = driver.timers.now() - started_at
    return ReplayResult(name, scenario, records, duration_s, lag.samples_s)


def _session() -> aiohttp.ClientSession:
    return create_session(connector=aiohttp.TCPConnector(limit=0))


def _specs(scenario: Scenario) -> tuple[ServiceSpec, ...]:
    return tuple(
        ServiceSpec(
            service.name,
            service.replicas,
            EndpointProfile(**service.profile),
            service.kind,
            service.initial_limit,
        )
        for service in scenario.services
    )


async def _retries(session: aiohttp.ClientSession, urls: list[str]) -> dict[str, int]:
    """Return the retries that the entries counted, by reason."""
    totals: dict[str, int] = {}
    for url in urls:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                asyncio.timeout(5.0),
                session.get(f"{url}/metrics") as resp,
            ):
                _add_retries(totals, await resp.text())
    return totals


def _add_retries(totals: dict[str, int], text: str) -> None:
    for family in text_string_to_metric_families(text):
        if family.name != RETRIES_METRIC:
            continue
        for sample in family.samples:
            if sample.name.endswith("_total"):
                reason = sample.labels["reason"]
                totals[reason] = totals.get(reason, 0) + int(sample.value)


def _endpoint_work(system: LocalSystem) -> EndpointWork:
    work = EndpointWork()
    for service, group in system.endpoints.items():
        for endpoint in group:
            usage = endpoint.server.usage
            _add(work.calls, {service: usage.calls + usage.failed})
            _add(work.executions, usage.executions)
            _add(work.effects, usage.effects)
            _add(work.busy_s, usage.busy_s)
            work.cancelled += usage.cancelled
    return work


def _add(totals: dict[str, float], counts: dict[str, float]) -> None:
    for name, count in counts.items():
        totals[name] = totals.get(name, 0) + count
