"""Tests of the time in which a new configuration is in force everywhere."""

import asyncio
import contextlib

from ...platform import CONFIGURATION_TOPIC
from ...standins.tcp_forwarder import TcpForwarder
from .cluster import LocalCluster, configuration, run_scenario

# Bound of the platform for a host from the end of a disruption on.
CONTACT_SECONDS = 3.0


@contextlib.asynccontextmanager
async def forwarded_store(cluster: LocalCluster):
    """Yield a forwarder to the store of the cluster."""
    forwarder = TcpForwarder(cluster.store.address)
    forwarder.address = await forwarder.start("127.0.0.1")
    try:
        yield forwarder
    finally:
        await forwarder.stop()


async def next_read(daemon, topic: str) -> None:
    """Wait until a gateway has sent its next read of a topic, and a little longer."""
    sent = asyncio.Event()
    read = daemon._store.read_records

    async def observe(read_topic, *args):
        if read_topic == topic:
            sent.set()
        return await read(read_topic, *args)

    daemon._store.read_records = observe
    await sent.wait()
    await asyncio.sleep(0.05)


def has_version(daemon, version: int) -> bool:
    return daemon.state.deployment.version == version


class TestEndOfDisruptions:
    """Reads of the store that are under way when a disruption ends."""

    def test_poll_sent_into_an_outage_of_the_store(self):
        """Guards against a poll that is waited for long after the store is back."""

        async def scenario(cluster):
            daemon = cluster.daemons[0]
            cluster.store.fault = "silent"
            await next_read(daemon, CONFIGURATION_TOPIC)
            cluster.store.fault = ""
            cluster.store.put("keyed.op", "config", configuration(2))
            await cluster.wait_until(lambda: has_version(daemon, 2), CONTACT_SECONDS)

        run_scenario(scenario)

    def test_poll_sent_into_a_cut(self):
        """Guards against a poll that is waited for long after a cut has healed."""

        async def scenario(cluster):
            async with forwarded_store(cluster) as forwarder:
                daemon = cluster.add_gateway("cut", store=forwarder.address)
                await cluster.wait_until(lambda: daemon.state.ready)
                forwarder.cut()
                await next_read(daemon, CONFIGURATION_TOPIC)
                forwarder.heal()
                cluster.store.put("keyed.op", "config", configuration(2))
                await cluster.wait_until(
                    lambda: has_version(daemon, 2), CONTACT_SECONDS
                )

        run_scenario(scenario, gateways=0)

    def test_connections_that_go_silent(self):
        """Guards against a poll on a silent connection while new ones work."""

        async def scenario(cluster):
            async with forwarded_store(cluster) as forwarder:
                daemon = cluster.add_gateway("silent", store=forwarder.address)
                await cluster.wait_until(lambda: daemon.state.ready)
                await next_read(daemon, CONFIGURATION_TOPIC)
                forwarder.silence()
                cluster.store.put("keyed.op", "config", configuration(2))
                await cluster.wait_until(
                    lambda: has_version(daemon, 2), CONTACT_SECONDS
                )

        run_scenario(scenario, gateways=0)
