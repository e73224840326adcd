"""Tests of the orders of an agent, under the manual timer."""

import asyncio
import contextlib

import pytest

from ...clients import EndpointError, WeightsRefusedError
from ...configuration import (
    ConfigurationChange,
    ConfigurationView,
    Placement,
    StreamFollower,
    encode_document,
    publish,
)
from ...core import LogError, ManualTimerService, MemoryLog, new_identifier
from ...metrics import Metrics
from ...placement import EndpointContents, Order
from ...standins import OrderBook, OrderError
from ..orders import EndpointUse, OrderDriver

HOUR = 3600.0


class _Endpoint(OrderBook):
    """An endpoint that may check tokens; ``gate`` holds an order on its way."""

    def __init__(self, checks_fencing: bool = True, max_models: int = 0):
        super().__init__(lambda _model: asyncio.sleep(0), max_models)
        self.checks_fencing = checks_fencing
        self.token = 0
        self.gate: asyncio.Event | None = None

    async def contents(self) -> EndpointContents:
        return EndpointContents(self.state().models)

    async def give_order(self, order: Order, token: int) -> EndpointContents:
        if self.gate is not None:
            await self.gate.wait()
        if self.checks_fencing and token < self.token:
            raise EndpointError("stale", code="stale_fencing_token")
        self.token = token
        try:
            await self.execute(order)
        except OrderError as exc:
            raise EndpointError(str(exc), code=exc.code) from exc
        return await self.contents()


class _World:
    """Time, a log, and a weight store that refuses until ``open_at``."""

    def __init__(self):
        self.timers = ManualTimerService(100.0)
        self.log = MemoryLog(self.timers)
        self.view = ConfigurationView("fleet")
        self.open_at = 0.0
        self.pause_s = 0.0
        self.asked_at: list[float] = []

    async def take_grant(self, _model: str) -> None:
        self.timers.advance(self.pause_s)
        self.asked_at.append(self.timers.now())
        if self.timers.now() < self.open_at:
            raise WeightsRefusedError("limited", self.open_at - self.timers.now())

    async def place(self, host: str, *models: str) -> None:
        version = self.view.version("placement", host)
        body = encode_document(Placement(host, models))
        change_id = new_identifier("chg")
        change = ConfigurationChange(change_id, "placement", host, version, body)
        await publish(self.log, self.view, change)


class _Agent(OrderDriver):
    """A driver with a view of its own, read only when the test says so."""

    def __init__(self, world: _World, host: str, endpoint: _Endpoint):
        self.timers, self.metrics = world.timers, Metrics()
        self.follower = StreamFollower(
            world.log, ConfigurationView("fleet"), world.timers, poll_s=0.0
        )
        parts = {"timers": self.timers, "metrics": self.metrics}
        super().__init__(host, endpoint, world, self.follower, EndpointUse, **parts)

    async def work(self, seconds: int) -> None:
        """Run the driver with a view that is read once a second."""
        task = asyncio.ensure_future(self.run())
        for _ in range(seconds):
            with contextlib.suppress(LogError):
                await self.follower.read_once()
            self.timers.advance(1.0)
            for _ in range(20):
                await asyncio.sleep(0)
        task.cancel()

    def count(self, result: str) -> float:
        labels = {"result": result}
        return self.metrics.registry.get_sample_value("camphorrun_orders_total", labels)


def manual(case):
    """Return a test that runs a case in a new world."""

    def plain(self):
        asyncio.run(asyncio.wait_for(case(self, _World()), 30))

    def paused(self, pause_s):
        asyncio.run(asyncio.wait_for(case(self, _World(), pause_s), 30))

    test = paused if "pause_s" in case.__code__.co_varnames else plain
    test.__doc__ = case.__doc__
    return test


class TestPausedAgent:
    """An agent that was stopped for an hour."""

    async def _order_slips_through(
        self, world: _World, endpoint: _Endpoint, pause_s: float = HOUR
    ) -> tuple[_Agent, _Agent]:
        """Stop an agent between check and sending; return it and its replacement."""
        await world.place("other", "old", "new")
        await world.place("h", "old")
        agent = _Agent(world, "h", endpoint)
        await agent.follower.read_once()
        gate = endpoint.gate = asyncio.Event()
        sending = asyncio.ensure_future(agent.step())
        await asyncio.sleep(0)
        endpoint.gate = None
        await world.place("h", "new")
        world.timers.advance(pause_s)
        replacement = _Agent(world, "h", endpoint)
        await replacement.work(10)
        gate.set()
        await sending
        return agent, replacement

    @pytest.mark.parametrize("pause_s", [1.0, HOUR])
    @manual
    async def test_endpoint_that_checks_tokens_refuses(self, world, pause_s):
        """Guards against an older view at work, and against repeated stale orders.

        After the short pause the view is fresh by its age.
        """
        endpoint = _Endpoint()
        agent, _ = await self._order_slips_through(world, endpoint, pause_s)
        await agent.step()
        assert endpoint.state().models == ("new",)
        assert agent.count("stale_token") == 1
        assert agent.status()["stale_token_refused"]
        await agent.follower.read_once()
        assert not agent.status()["stale_token_refused"]

    @manual
    async def test_slipped_order_is_undone(self, world):
        """Guards against a lasting effect at an endpoint that ignores tokens."""
        endpoint = _Endpoint(checks_fencing=False)
        agent, replacement = await self._order_slips_through(world, endpoint)
        assert endpoint.state().models == ("new", "old")
        await agent.step()
        assert agent.count("view_not_fresh") == 1
        await replacement.work(10)
        assert endpoint.state().models == ("new",)

    @pytest.mark.parametrize("pause_s", [0.0, HOUR])
    @manual
    async def test_view_is_checked_directly_before_the_order(self, world, pause_s):
        """Guards against an order after a pause while the grant was taken."""
        endpoint = _Endpoint()
        await world.place("h", "a")
        agent = _Agent(world, "h", endpoint)
        await agent.follower.read_once()
        agent.follower.mark_paused()
        await agent.step()
        assert world.asked_at == []
        await agent.follower.read_once()
        world.pause_s = pause_s
        await agent.step()
        assert endpoint.executed_orders == (0 if pause_s else 1)


class TestOutsideSystems:
    """Refusals and outages of the endpoint, the weight store and the log."""

    @manual
    async def test_time_to_come_back_is_honoured(self, world):
        """Guards against a weight store that is asked before its time."""
        endpoint = _Endpoint()
        await world.place("h", "a")
        world.open_at = world.timers.now() + 20.0
        await _Agent(world, "h", endpoint).work(30)
        assert len(world.asked_at) == 2 and world.asked_at[1] >= world.open_at
        assert endpoint.state().models == ("a",)

    @manual
    async def test_no_orders_without_log_or_after_stop(self, world):
        """Guards against orders of an outdated view, or of a host that leaves."""
        endpoint = _Endpoint()
        await world.place("h", "a")
        agent = _Agent(world, "h", endpoint)
        await agent.work(2)
        world.log.available = False
        await agent.work(20)
        await endpoint.execute(Order("unload", "a"))
        await agent.work(20)
        assert endpoint.state().models == ()
        world.log.available = True
        await agent.work(3)
        assert endpoint.state().models == ("a",)
        agent.stop()
        await endpoint.execute(Order("unload", "a"))
        await agent.follower.read_once()
        await agent.step()
        assert endpoint.state().models == ()

    @manual
    async def test_unload_for_room_waits_for_entries(self, world):
        """Guards against repeated loads without room, and against early unloads."""
        endpoint = _Endpoint(max_models=1)
        await world.place("other", "a")
        await world.place("h", "a")
        agent = _Agent(world, "h", endpoint)
        await agent.work(2)
        await world.place("h", "b")
        await agent.work(4)
        assert endpoint.state().models == ("a",)
        await agent.work(10)
        assert endpoint.state().models == ("b",)
        assert agent.count("no_memory") == 1

    @manual
    async def test_concurrent_removals_keep_both_last_homes(self, world):
        """Guards against two valid changes that together remove a model."""
        agents = [_Agent(world, host, _Endpoint()) for host in ("h1", "h2")]
        for models in (("a", "b"), ("b",)):
            await world.place("h1", *models)
            await world.place("h2", *models)
            for agent in agents:
                await agent.work(10)
        for agent in agents:
            assert agent.status()["present"]["models"] == ("a", "b")
            assert agent.status()["kept_last_home"] == ("a",)
            assert agent.count("last_home_kept") == 1
