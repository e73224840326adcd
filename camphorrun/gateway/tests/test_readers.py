"""Tests of who reads the store, and of what is known after a pause."""

import asyncio

import pytest

from ...platform import StoreError
from .world import configuration, play


def reads(world) -> int:
    return world.store.calls.get("/log-read", 0)


def readers(world) -> list:
    return [d for d in world.daemons if not d._sync._readers.following]


async def until_one_reads(world) -> None:
    await world.until(lambda: len(readers(world)) == 1)


class TestZoneReaders:
    """One gateway of a zone reads the store for the others."""

    def test_calls_do_not_grow_with_the_gateways(self):
        """Guards against a price of the store that grows with the fleet."""

        async def scenario(world):
            await until_one_reads(world)
            # Reads that were waiting when the others began to follow end by then.
            await asyncio.sleep(3.2)
            before = reads(world)
            await asyncio.sleep(2.0)
            # Four polls of the registrations and one read of the configuration; 30 or
            # more if each gateway reads for itself.
            assert reads(world) - before <= 8

        play(scenario, gateways=6)

    def test_changes_reach_all_gateways(self):
        """Guards against gateways that stay with an old configuration."""

        async def scenario(world):
            await until_one_reads(world)
            world.store.put("keyed.op", "config", configuration(7))
            late = await world.add_replica("plain")
            world.replicas.append(late)
            for daemon in world.daemons:
                state = daemon.state
                await world.until(lambda s=state: s.deployment.version == 7, 1.5)
                await world.until(lambda s=state: late.identifier in s.replicas, 1.5)

        play(scenario, gateways=3)

    def test_reader_that_dies_is_replaced(self):
        """Guards against a zone that learns nothing after the loss of one gateway."""

        async def scenario(world):
            await until_one_reads(world)
            number = world.daemons.index(readers(world)[0])
            world.tasks[number].cancel()
            await asyncio.sleep(0.05)
            world.store.put("keyed.op", "config", configuration(7))
            others = [d for i, d in enumerate(world.daemons) if i != number]
            for daemon in others:
                await world.until(lambda d=daemon: d.state.deployment.version == 7, 2.0)

        play(scenario, gateways=3)

    def test_reader_that_is_cut_off_from_the_store_is_replaced(self):
        """Guards against a zone that believes a gateway which learns nothing itself."""

        async def scenario(world):
            await until_one_reads(world)
            reader = readers(world)[0]

            async def fail(*_args):
                await asyncio.sleep(0.05)
                raise StoreError("cut off")

            reader._store.read_records = reader._store.list_records = fail
            others = [d for d in world.daemons if d is not reader]
            # Ends the read that waits at the store; the next one fails.
            world.store.put("keyed.op", "config", configuration(2))
            await world.until(lambda: reader.state.deployment.version == 2)
            world.store.put("keyed.op", "config", configuration(7))
            for daemon in [*others, reader]:
                await world.until(lambda d=daemon: d.state.deployment.version == 7, 8.0)

        play(scenario, gateways=3)


class TestMembers:
    """Members of a group with fewer partitions than gateways."""

    def test_all_are_seen(self):
        """Guards against gateways that are unknown to the others and work alone."""

        async def scenario(world):
            for daemon in world.daemons:
                assert len(daemon.state.members) == 4

        play(scenario, gateways=4, partitions=2)


class TestPauses:
    """A process that was stopped for some seconds."""

    def test_key_that_was_withdrawn_meanwhile_opens_nothing(self):
        """Guards against a permission that is used after it has run out."""

        async def scenario(world):
            daemon = world.daemons[0]
            world.store.fault = "busy"
            # Ends the read that waits at the store; the next one fails.
            world.store.put("keyed.op", "config", configuration(2))
            await world.until(lambda: daemon.state.deployment.version == 2)
            tenants = [{"Name": "acc", "ApiKeys": ["other"], "Priority": 1}]
            world.store.put("keyed.op", "config", configuration(3, Tenants=tenants))
            assert (await world.ask("/safe/x")).status == 200
            daemon._on_pause(5.0)
            assert (await world.ask("/safe/x")).status == 503
            world.store.fault = ""
            await world.until(lambda: daemon.state.ready)
            assert (await world.ask("/safe/x")).status == 401

        play(scenario)

    @pytest.mark.parametrize("fault", ["busy", "silent"])
    def test_gateway_serves_on_while_the_store_is_away(self, fault):
        """Guards against a pause of one process that ends its service for long."""

        async def scenario(world):
            daemon = world.daemons[0]
            world.store.fault = fault
            daemon._on_pause(5.0)
            await world.until(lambda: not daemon.state.ready)
            await world.until(lambda: daemon.state.ready, 1.5)
            assert (await world.ask("/safe/x")).status == 200

        play(scenario)

    def test_expired_request_is_not_sent(self):
        """Guards against a request that a replica gets after its deadline."""

        async def scenario(world):
            replica = world.replicas[0]
            handle = world.daemons[0]._replicas.get(replica.identifier)
            acquire = handle.pool.acquire
            now = world.timers.now
            skipped = 0.0

            async def paused_acquire(*args):
                nonlocal skipped
                conn = await acquire(*args)
                skipped = 60.0
                return conn

            world.timers.now = lambda: now() + skipped
            handle.pool.acquire = paused_acquire
            asyncio.ensure_future(world.ask("/unsafe/x"))
            await world.until(lambda: skipped)
            await asyncio.sleep(0.2)
            assert replica.asked == 0

        play(scenario)
