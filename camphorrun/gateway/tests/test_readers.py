"""Tests of who reads the store, and of what is known after a pause."""

import asyncio

import pytest

from ...platform import StoreError
from .cluster import configuration, run_scenario


def reads(cluster) -> int:
    return cluster.store.calls.get("/log-read", 0)


def readers(cluster) -> list:
    return [d for d in cluster.daemons if not d._store_sync._readers.follows_reader]


async def until_one_reads(cluster) -> None:
    await cluster.wait_until(lambda: len(readers(cluster)) == 1)


class TestZoneReaders:
    """One gateway of a zone reads the store for the others."""

    def test_calls_do_not_grow_with_the_gateways(self):
        """Guards against a price of the store that grows with the fleet."""

        async def scenario(cluster):
            await until_one_reads(cluster)
            # Reads that were waiting when the others began to follow end by then.
            await asyncio.sleep(3.2)
            before = reads(cluster)
            await asyncio.sleep(2.0)
            # Four polls of the registrations and one read of the configuration; 30 or
            # more if each gateway reads for itself.
            assert reads(cluster) - before <= 8

        run_scenario(scenario, gateways=6)

    def test_changes_reach_all_gateways(self):
        """Guards against gateways that stay with an old configuration."""

        async def scenario(cluster):
            await until_one_reads(cluster)
            cluster.store.put("keyed.op", "config", configuration(7))
            late = await cluster.add_replica("plain")
            cluster.replicas.append(late)
            for daemon in cluster.daemons:
                state = daemon.state
                await cluster.wait_until(lambda s=state: s.deployment.version == 7, 1.5)
                await cluster.wait_until(
                    lambda s=state: late.identifier in s.replicas, 1.5
                )

        run_scenario(scenario, gateways=3)

    def test_reader_that_dies_is_replaced(self):
        """Guards against a zone that learns nothing after the loss of one gateway."""

        async def scenario(cluster):
            await until_one_reads(cluster)
            number = cluster.daemons.index(readers(cluster)[0])
            cluster.tasks[number].cancel()
            await asyncio.sleep(0.05)
            cluster.store.put("keyed.op", "config", configuration(7))
            others = [d for i, d in enumerate(cluster.daemons) if i != number]
            for daemon in others:
                await cluster.wait_until(
                    lambda d=daemon: d.state.deployment.version == 7, 2.0
                )

        run_scenario(scenario, gateways=3)

    def test_reader_that_is_cut_off_from_the_store_is_replaced(self):
        """Guards against a zone that believes a gateway which learns nothing itself."""

        async def scenario(cluster):
            await until_one_reads(cluster)
            reader = readers(cluster)[0]

            async def fail(*_args):
                await asyncio.sleep(0.05)
                raise StoreError("cut off")

            reader._store.read_records = reader._store.list_records = fail
            others = [d for d in cluster.daemons if d is not reader]
            # Ends the read that waits at the store; the next one fails.
            cluster.store.put("keyed.op", "config", configuration(2))
            await cluster.wait_until(lambda: reader.state.deployment.version == 2)
            cluster.store.put("keyed.op", "config", configuration(7))
            for daemon in [*others, reader]:
                await cluster.wait_until(
                    lambda d=daemon: d.state.deployment.version == 7, 8.0
                )

        run_scenario(scenario, gateways=3)


class TestMembers:
    """Members of a group with fewer partitions than gateways."""

    def test_all_are_seen(self):
        """Guards against gateways that are unknown to the others and work alone."""

        async def scenario(cluster):
            for daemon in cluster.daemons:
                assert len(daemon.state.members) == 4

        run_scenario(scenario, gateways=4, partitions=2)


class TestPauses:
    """A process that was stopped for some seconds."""

    def test_key_that_was_withdrawn_meanwhile_opens_nothing(self):
        """Guards against a permission that is used after it has run out."""

        async def scenario(cluster):
            daemon = cluster.daemons[0]
            cluster.store.fault = "busy"
            # Ends the read that waits at the store; the next one fails.
            cluster.store.put("keyed.op", "config", configuration(2))
            await cluster.wait_until(lambda: daemon.state.deployment.version == 2)
            tenants = [{"Name": "acc", "ApiKeys": ["other"], "Priority": 1}]
            cluster.store.put("keyed.op", "config", configuration(3, Tenants=tenants))
            assert (await cluster.send_request("/safe/x")).status == 200
            daemon._on_pause(5.0)
            assert (await cluster.send_request("/safe/x")).status == 503
            cluster.store.fault = ""
            await cluster.wait_until(lambda: daemon.state.ready)
            assert (await cluster.send_request("/safe/x")).status == 401

        run_scenario(scenario)

    @pytest.mark.parametrize("fault", ["busy", "silent"])
    def test_gateway_serves_on_while_the_store_is_away(self, fault):
        """Guards against a pause of one process that ends its service for long."""

        async def scenario(cluster):
            daemon = cluster.daemons[0]
            cluster.store.fault = fault
            daemon._on_pause(5.0)
            await cluster.wait_until(lambda: not daemon.state.ready)
            await cluster.wait_until(lambda: daemon.state.ready, 1.5)
            assert (await cluster.send_request("/safe/x")).status == 200

        run_scenario(scenario)

    def test_expired_request_is_not_sent(self):
        """Guards against a request that a replica gets after its deadline."""

        async def scenario(cluster):
            replica = cluster.replicas[0]
            handle = cluster.daemons[0]._replica_pool.get(replica.identifier)
            acquire = handle.pool.acquire
            now = cluster.timers.now
            skipped = 0.0

            async def paused_acquire(*args):
                nonlocal skipped
                conn = await acquire(*args)
                skipped = 60.0
                return conn

            cluster.timers.now = lambda: now() + skipped
            handle.pool.acquire = paused_acquire
            asyncio.ensure_future(cluster.send_request("/unsafe/x"))
            await cluster.wait_until(lambda: skipped)
            await asyncio.sleep(0.2)
            assert replica.asked == 0

        run_scenario(scenario)
