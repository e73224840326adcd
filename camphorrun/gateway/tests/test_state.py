"""Tests of what gateways know, while the store works and while it does not."""

import asyncio

import msgspec

from ...catalog import Record, RecordPage
from ..errors import PeerError
from .world import configuration, play, route


def version(world, gateway: int = 0) -> int:
    return world.daemons[gateway].state.deployment.version


class TestConfiguration:
    """Versions of the configuration."""

    def test_new_route_and_removed_key(self):
        """Guards against a version that is not in force after its bound."""

        async def scenario(world):
            routes = [route("new", "/new/", "safe", "plain")]
            tenants = [{"Name": "acc", "ApiKeys": ["key-2"]}]
            world.store.put(
                "keyed.op", "config", configuration(2, Routes=routes, Tenants=tenants)
            )
            await world.until(lambda: version(world) == 2, 1.5)
            assert (await world.ask("/new/x")).status == 401
            assert (await world.ask("/new/x", "Api-Key: key-2")).status == 200
            assert (await world.ask("/safe/x")).status == 404

        play(scenario)

    def test_unreadable_configuration_changes_nothing(self):
        """Guards against a configuration that takes the gateway down."""

        async def scenario(world):
            world.store.put("keyed.op", "config", b"{broken")
            world.store.put("keyed.op", "other", {"x": 1})
            await asyncio.sleep(0.3)
            assert version(world) == 1
            assert (await world.ask("/safe/x")).status == 200

        play(scenario)

    def test_dropped_history(self):
        """Guards against a gateway that waits for records that were deleted."""

        async def scenario(world):
            world.store.put("keyed.op", "config", configuration(2))
            world.store.drop_history("keyed.op")
            await world.until(lambda: version(world) == 2)

        play(scenario)

    def test_store_outage(self):
        """Guards against requests that need the store."""

        async def scenario(world):
            world.store.fault = "reset"
            await asyncio.sleep(0.5)
            assert (await world.ask("/safe/x")).status == 200
            world.store.put("keyed.op", "config", configuration(2))
            world.store.fault = ""
            await world.until(lambda: version(world) == 2, 3)

        play(scenario)


class TestPeers:
    """Gateways that the store turns away learn from others."""

    def test_new_version_comes_from_a_peer(self):
        """Guards against a key that stays valid where the store does not answer."""

        async def scenario(world):
            cut_off = world.daemons[0]
            reachable = cut_off._store._pool
            cut_off._store._pool = type(reachable)("127.0.0.1", 1, world.timers)
            await world.until(lambda: cut_off._sync.failing_since)
            world.store.put("keyed.op", "config", configuration(2))
            await world.until(lambda: version(world, 1) == 2)
            await world.until(lambda: version(world, 0) == 2, 1.5)

        play(scenario, gateways=2)

    def test_gateway_starts_without_the_store(self):
        """Guards against a gateway that serves nothing until the store is back."""

        async def scenario(world):
            world.store.fault = "busy"
            seed = world.daemons[0].settings.host.peers
            late = world.add_gateway("late", (seed,))
            await world.until(lambda: late.state.ready)
            assert (await world.ask("/safe/x", gateway=1)).status == 200

        play(scenario)

    def test_new_process_asks_several_peers(self):
        """Guards against a withdrawn key in use again after a restart.

        One of the peers knows less than the process did before.
        """

        async def scenario(world):
            old, new = world.daemons
            world.store.fault = "busy"
            tenants = [{"Name": "acc", "ApiKeys": ["other"], "Priority": 1}]
            changed = configuration(2, Tenants=tenants)
            record = Record("config", 1, msgspec.json.encode(changed), era=1)
            page = RecordPage((record,), 2, era=1)
            new.state.apply("keyed.op", page, "test")
            old._peers._fetch = _fail
            assert old.state.deployment.version == 1
            seeds = tuple(d.settings.host.peers for d in (old, new))
            started = [world.add_gateway(f"late{i}", seeds) for i in range(8)]
            for late in started:
                await world.until(lambda d=late: d.state.ready)
            assert {late.state.deployment.version for late in started} == {2}

        play(scenario, gateways=2)


async def _fail(_address: str, _timeout_s: float) -> None:
    raise PeerError("cut off")


class TestBudget:
    """The share of the common retry budget."""

    def test_share_follows_the_members(self):
        """Guards against gateways that keep the share of a smaller group."""

        async def scenario(world):
            daemon = world.daemons[0]
            alone = daemon._budget_of("plain")
            world.add_gateway("second")
            await world.until(lambda: len(daemon.state.members) == 2)
            shared = daemon._budget_of("plain")
            assert shared._minimum_per_s == alone._minimum_per_s / 2

        play(scenario)


class TestReplicas:
    """Registrations of replicas."""

    def test_draining_replica_gets_no_new_work(self):
        """Guards against work for a replica that is leaving."""

        async def scenario(world):
            leaving = world.replicas[0]
            entry = leaving.registration("plain", State="draining")
            world.store.put("keyed.servers", leaving.identifier, entry)
            await asyncio.sleep(0.8)
            assert (await world.ask("/safe/x")).status == 503
            assert leaving.runs == []

        play(scenario)

    def test_removed_replica_gets_no_new_work(self):
        """Guards against work for a replica whose entry is gone."""

        async def scenario(world):
            world.store.put("keyed.servers", world.replicas[0].identifier, None)
            await asyncio.sleep(0.8)
            for _ in range(5):
                await world.ask("/safe/x")
            assert world.replicas[0].runs == []

        play(scenario, plain=2)

    def test_foreign_entries_are_ignored(self):
        """Guards against entries of other writers that break the list."""

        async def scenario(world):
            world.store.put("keyed.servers", "x", b"\xff\x00")
            world.store.put("keyed.servers", "y", {"Service": "plain", "Slots": "?"})
            added = await world.add_replica("plain")
            world.replicas.append(added)
            pool = world.daemons[0]._replicas
            await world.until(lambda: pool.get(added.identifier))
            assert (await world.ask("/safe/x")).status == 200

        play(scenario)

    def test_replica_that_starts_again_under_its_name(self):
        """Guards against connections and statistics of an earlier start."""

        async def scenario(world):
            replica = world.replicas[0]
            pool = world.daemons[0]._replicas
            old = pool.get(replica.identifier)
            entry = replica.registration("plain", born=5)
            world.store.put("keyed.servers", replica.identifier, entry)
            await world.until(lambda: pool.get(replica.identifier) is not old)
            assert (await world.ask("/safe/x")).status == 200

        play(scenario)


class TestDrain:
    """The end of a gateway."""

    def test_requests_in_flight_end_whole(self):
        """Guards against a planned stop that cuts a request."""

        async def scenario(world):
            world.replicas[0].script.work_s = 0.6
            conn = await world.connect()
            idle = await world.connect()
            request = asyncio.ensure_future(world.ask("/unsafe/x", conn=conn))
            await world.until(lambda: world.replicas[0].runs)
            world.daemons[0].drain("test")
            assert await world.ready() == 503
            answer = await request
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            await world.until(lambda: idle._error is not None)

        play(scenario)

    def test_request_late_in_the_drain_is_refused(self):
        """Guards against a request that is taken and then cut by the end."""

        async def scenario(world):
            world.daemons[0].drain("test")
            await asyncio.sleep(2.7)
            answer = await world.ask("/safe/x")
            assert (answer.status, answer.headers["x-reason"]) == (503, "draining")
            assert float(answer.headers["retry-after"]) > 0

        play(scenario)

    def test_request_in_its_stages_gets_an_answer_at_the_end(self):
        """Guards against a connection that closes without any answer."""

        async def scenario(world):
            world.stage_replicas[0].script.work_s = 10.0
            staged = ("X-Model: m", "X-Pieces: 1,1", "X-Piece-Key: k")
            request = asyncio.ensure_future(world.ask("/staged/x", *staged))
            await world.until(lambda: world.stage_replicas[0].stage_calls)
            world.daemons[0].drain("test")
            answer = await request
            assert (answer.status, answer.headers["x-reason"]) == (503, "draining")

        play(scenario, stage=1, stop_s=2.0)

    def test_sent_request_gets_no_promise_at_the_end(self):
        """Guards against a refusal of a request that may have run."""

        async def scenario(world):
            world.replicas[0].script.answer = "mute"
            request = asyncio.ensure_future(world.ask("/unsafe/x"))
            await world.until(lambda: world.replicas[0].runs)
            world.daemons[0].drain("test")
            assert (await request).status == 502

        play(scenario, stop_s=2.0)

    def test_new_connections_are_served_during_the_drain(self):
        """Guards against refusals while the balancer still sends connections."""

        async def scenario(world):
            world.daemons[0].drain("test")
            await asyncio.sleep(0.5)
            assert (await world.ask("/safe/x")).status == 200
            await asyncio.wait_for(world.tasks[0], 6)

        play(scenario)
