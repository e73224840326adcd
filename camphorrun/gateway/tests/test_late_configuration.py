"""Tests of the time in which a new configuration is in force everywhere."""

import asyncio
import contextlib

import pytest

from ...platform import CONFIGURATION_TOPIC
from ...standins.tcp_forwarder import TcpForwarder
from .cluster import LocalCluster, configuration, run_scenario

# Bounds of the platform for a host that nothing has disturbed, and for one that a
# disruption has left.
APPLY_SECONDS = 2.0
CONTACT_SECONDS = 3.0
# Time that a loaded machine may take for what needs none here.
SLACK_SECONDS = 0.3


@contextlib.asynccontextmanager
async def forwarded_store(cluster: LocalCluster):
    """Yield a forwarder to the store of the cluster."""
    forwarder = TcpForwarder(cluster.store.address)
    forwarder.address = await forwarder.start("127.0.0.1")
    try:
        yield forwarder
    finally:
        await forwarder.stop()


async def next_configuration_poll(daemon) -> None:
    """Wait until a gateway has sent its next read of the configuration."""
    sent = asyncio.Event()
    read = daemon._store.read_records

    async def observe(topic, *args):
        if topic == CONFIGURATION_TOPIC:
            sent.set()
        return await read(topic, *args)

    daemon._store.read_records = observe
    await sent.wait()
    await asyncio.sleep(0.05)


def has_version(daemon, version: int) -> bool:
    return daemon.state.deployment.version == version


# See KNOWN-RED.txt.
late_read = pytest.mark.xfail(
    reason="issue 34: reads of the store end late", strict=True
)


class TestEndOfDisruptions:
    """Reads of the store that are under way when a disruption ends."""

    @late_read
    def test_poll_sent_into_an_outage_of_the_store(self):
        """Guards against a poll that is waited for long after the store is back."""

        async def scenario(cluster):
            daemon = cluster.daemons[0]
            cluster.store.fault = "silent"
            await next_configuration_poll(daemon)
            cluster.store.fault = ""
            cluster.store.put("keyed.op", "config", configuration(2))
            await cluster.wait_until(
                lambda: has_version(daemon, 2), CONTACT_SECONDS - SLACK_SECONDS
            )

        run_scenario(scenario)

    @late_read
    def test_poll_sent_into_a_cut(self):
        """Guards against a poll that is waited for long after a cut has healed."""

        async def scenario(cluster):
            async with forwarded_store(cluster) as forwarder:
                daemon = cluster.add_gateway("cut", store=forwarder.address)
                await cluster.wait_until(lambda: daemon.state.ready)
                forwarder.cut()
                await next_configuration_poll(daemon)
                forwarder.heal()
                cluster.store.put("keyed.op", "config", configuration(2))
                await cluster.wait_until(
                    lambda: has_version(daemon, 2), CONTACT_SECONDS - SLACK_SECONDS
                )

        run_scenario(scenario, gateways=0)

    @late_read
    def test_connections_that_go_silent(self):
        """Guards against a poll on a silent connection while new ones work."""

        async def scenario(cluster):
            async with forwarded_store(cluster) as forwarder:
                daemon = cluster.add_gateway("silent", store=forwarder.address)
                await cluster.wait_until(lambda: daemon.state.ready)
                await next_configuration_poll(daemon)
                forwarder.silence()
                cluster.store.put("keyed.op", "config", configuration(2))
                await cluster.wait_until(
                    lambda: has_version(daemon, 2), CONTACT_SECONDS - SLACK_SECONDS
                )

        run_scenario(scenario, gateways=0)


class TestReaderInTrouble:
    """A calm gateway whose reader of the store is disturbed."""

    @pytest.mark.parametrize(
        "trouble",
        [
            pytest.param(
                "cut off from the store",
                marks=pytest.mark.xfail(
                    reason="issue 34: a follower trusts its reader too long",
                    strict=True,
                ),
            ),
            "paused",
        ],
    )
    def test_follower_is_in_time(self, trouble):
        """Guards against a follower that keeps a reader without fresh records."""

        async def scenario(cluster):
            await cluster.wait_until(lambda: len(find_followers(cluster)) == 1)
            (follower,) = find_followers(cluster)
            reader = next(d for d in cluster.daemons if d is not follower)
            await next_configuration_poll(reader)
            # Only the exchange with a random peer could hide the late reader.
            follower._peers._rng.choice = lambda addresses: "127.0.0.1:1"
            hold_store_calls(reader)
            if trouble == "paused":
                hold_peer_calls(reader)
            cluster.store.put("keyed.op", "config", configuration(2))
            await cluster.wait_until(
                lambda: has_version(follower, 2), APPLY_SECONDS - SLACK_SECONDS
            )

        run_scenario(scenario, gateways=2)


def find_followers(cluster: LocalCluster) -> list:
    return [d for d in cluster.daemons if d._store_sync._readers.follows_reader]


def hold_store_calls(daemon) -> None:
    """Let no call of a gateway to the store end any more, pending ones included."""

    async def hold(*_args):
        await asyncio.Event().wait()

    daemon._store._exchange = hold
    for conn in daemon._store._busy_connections:
        conn.data_received = lambda _data: None


def hold_peer_calls(daemon) -> None:
    """Let a gateway answer no call of others any more."""

    async def hold(*_args):
        await asyncio.Event().wait()

    for server in daemon._internal_servers:
        server.handler = hold
