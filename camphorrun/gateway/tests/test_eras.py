"""Tests of a store that is restored from an older copy, which starts a new era."""

import asyncio

import msgspec
import pytest

from ...platform import CONFIGURATION_TOPIC, REPLICA_TOPIC
from ..messages import SyncMessage
from ..peers import Peers
from ..store_sync import CONFIGURATION_WAIT_SECONDS
from .cluster import configuration, run_scenario

OLD_KEY = "Api-Key: key-1"
NEW_KEY = "Api-Key: key-2"
# Longer than the polling interval of registrations plus the sync interval of peers.
SETTLE_SECONDS = 1.3
PEER_DELAY_SECONDS = 0.3


def configuration_with_key(version: int, key: str) -> dict:
    return configuration(
        version, Tenants=[{"Name": "acc", "ApiKeys": [key], "Priority": 1}]
    )


async def rewrite_entries(cluster, lost_entries) -> None:
    for topic, key, value in lost_entries:
        cluster.store.put(topic, key, value or None)


async def wait_for_era(cluster, era: int) -> None:
    for daemon in cluster.daemons:
        views = daemon.state.views.values()
        await cluster.wait_until(lambda v=views: all(view.era == era for view in v))


class TestConfiguration:
    """Configurations that are missing from the copy of the store."""

    def test_withdrawn_key_stays_withdrawn(self):
        """Guards against a withdrawn key that is valid again after a restore.

        The copy has the old configuration. The offset of the lost one is assigned again
        to an unrelated entry.
        """

        async def scenario(cluster):
            copied_at = cluster.timers.now()
            cluster.store.put(
                CONFIGURATION_TOPIC, "config", configuration_with_key(2, "key-2")
            )
            for daemon in cluster.daemons:
                await cluster.wait_until(
                    lambda d=daemon: d.state.deployment.version == 2
                )
            lost_entries = cluster.store.restore(copied_at)
            cluster.store.put(CONFIGURATION_TOPIC, "other", b"{}")
            await wait_for_era(cluster, 2)
            for gateway in range(2):
                asked = [
                    cluster.send_request("/safe/x", key, gateway=gateway)
                    for key in (OLD_KEY, NEW_KEY)
                ]
                answers = await asyncio.gather(*asked)
                assert [a.status for a in answers] == [401, 200]
            await rewrite_entries(cluster, lost_entries)
            cluster.store.put(
                CONFIGURATION_TOPIC, "config", configuration_with_key(3, "key-1")
            )
            for daemon in cluster.daemons:
                await cluster.wait_until(
                    lambda d=daemon: d.state.deployment.version == 3
                )
            assert (await cluster.send_request("/safe/x", OLD_KEY)).status == 200

        run_scenario(scenario, gateways=2)

    def test_rewritten_configuration_takes_effect(self):
        """Guards against a newer version that is ignored for its lower offset."""

        async def scenario(cluster):
            for version in range(2, 12):
                cluster.store.put(CONFIGURATION_TOPIC, "config", configuration(version))
            state = cluster.daemons[0].state
            await cluster.wait_until(lambda: state.deployment.version == 11)
            cluster.store.restore(0.0)
            cluster.store.put(CONFIGURATION_TOPIC, "config", configuration(12))
            await cluster.wait_until(lambda: state.deployment.version == 12, 2.0)

        run_scenario(scenario)

    def test_new_process_applies_the_records_of_its_peers(self, monkeypatch):
        """Guards against a withdrawn key that is valid at a newly started gateway.

        It starts before the lost configuration is written again, and its peers, which
        know that configuration, answer later than the store.
        """
        fetch = Peers._fetch_records

        async def fetch_later(*args, **kwargs):
            await asyncio.sleep(PEER_DELAY_SECONDS)
            return await fetch(*args, **kwargs)

        async def scenario(cluster):
            copied_at = cluster.timers.now()
            cluster.store.put(
                CONFIGURATION_TOPIC, "config", configuration_with_key(2, "key-2")
            )
            await cluster.wait_until(
                lambda: cluster.daemons[0].state.deployment.version == 2
            )
            cluster.store.restore(copied_at)
            await wait_for_era(cluster, 2)
            seed = cluster.daemons[0].settings.host.peers
            monkeypatch.setattr(Peers, "_fetch_records", fetch_later)
            late = cluster.add_gateway("late", (seed,))
            await cluster.wait_until(lambda: late.state.ready)
            answer = await cluster.send_request("/safe/x", OLD_KEY, gateway=1)
            assert answer.status == 401

        run_scenario(scenario)


class TestReplicas:
    """Registrations that the copy of the store lacks, or still has."""

    def test_lost_registration_stays_in_use_until_it_is_written_again(self):
        """Guards against requests refused because the copy lacks a live replica."""

        async def scenario(cluster):
            copied_at = cluster.timers.now()
            second = await cluster.add_replica("plain")
            state = cluster.daemons[0].state
            await cluster.wait_until(lambda: second.identifier in state.replicas)
            lost_entries = cluster.store.restore(copied_at)
            await wait_for_era(cluster, 2)
            assert second.identifier in state.replicas
            await rewrite_entries(cluster, lost_entries)
            await asyncio.sleep(SETTLE_SECONDS)
            assert state.views[REPLICA_TOPIC].missing_from_store == set()
            assert second.identifier in state.replicas

        run_scenario(scenario)

    def test_registration_not_written_again_expires(self):
        """Guards against a dead replica in use for ever, though the store lacks it."""

        async def scenario(cluster):
            copied_at = cluster.timers.now()
            second = await cluster.add_replica("plain")
            state = cluster.daemons[0].state
            await cluster.wait_until(lambda: second.identifier in state.replicas)
            cluster.store.restore(copied_at)
            await wait_for_era(cluster, 2)
            await cluster.wait_until(lambda: second.identifier not in state.replicas)
            assert (await cluster.send_request("/safe/x")).status == 200

        run_scenario(scenario)

    def test_replica_that_left_is_not_used_again(self):
        """Guards against a removed replica in use because the copy still lists it."""

        async def scenario(cluster):
            removed = cluster.replicas[0]
            copied_at = cluster.timers.now()
            cluster.store.put(REPLICA_TOPIC, removed.identifier, None)
            state = cluster.daemons[0].state
            await cluster.wait_until(lambda: removed.identifier not in state.replicas)
            cluster.store.restore(copied_at)
            await wait_for_era(cluster, 2)
            assert removed.identifier not in state.replicas
            for _ in range(4):
                assert (await cluster.send_request("/safe/x")).status == 200
            assert not removed.asked
            # The replica is alive after all and writes an entry that the copy can't
            # have.
            entry = removed.registration("plain", Sequence=9)
            cluster.store.put(REPLICA_TOPIC, removed.identifier, entry)
            await cluster.wait_until(lambda: removed.identifier in state.replicas)

        run_scenario(scenario, plain=2)

    def test_draining_replica_gets_nothing(self):
        """Guards against work for a replica that was draining before the restore."""

        async def scenario(cluster):
            leaving = cluster.replicas[0]
            copied_at = cluster.timers.now()
            entry = leaving.registration("plain", State="draining", Sequence=5)
            cluster.store.put(REPLICA_TOPIC, leaving.identifier, entry)
            state = cluster.daemons[0].state
            await cluster.wait_until(
                lambda: state.replicas[leaving.identifier].state.value == "draining"
            )
            cluster.store.restore(copied_at)
            await wait_for_era(cluster, 2)
            for _ in range(4):
                assert (await cluster.send_request("/safe/x")).status == 200
            assert not leaving.asked

        run_scenario(scenario, plain=2)


class TestAnswers:
    """Answers of the store with an invalid era."""

    @pytest.mark.parametrize("text", ["", "two", "-1", "1", "99999", "9" * 30])
    def test_answer_with_a_wrong_era_is_dropped(self, text):
        """Guards against records taken from an answer with an invalid era."""

        async def scenario(cluster):
            cluster.store.restore(cluster.timers.now())
            await wait_for_era(cluster, 2)
            daemon = cluster.daemons[0]
            cluster.store.era_field = text
            cluster.store.put(CONFIGURATION_TOPIC, "config", configuration(9))
            await cluster.wait_until(lambda: daemon._store_sync.failing_since)
            # The restore itself may have failed a call; this waits for the answer.
            await cluster.wait_until(lambda: drops(daemon) & {"old_era", "bad_era"})
            assert daemon.state.deployment.version == 1
            assert (await cluster.send_request("/safe/x")).status == 200
            cluster.store.era_field = None
            await cluster.wait_until(lambda: daemon.state.deployment.version == 9)

        run_scenario(scenario)


def drops(daemon) -> set[str]:
    """Return the reasons for which a gateway has dropped something."""
    return {
        sample.labels["reason"]
        for metric in daemon.metrics.registry.collect()
        for sample in metric.samples
        if sample.value and sample.name.endswith("drops_total")
    }


class TestGroup:
    """Members that are missing from the copy of the store."""

    def test_members_are_kept_and_join_again(self):
        """Guards against a changing member list, and so owners, during the rejoin."""

        async def scenario(cluster):
            before = [daemon.state.members for daemon in cluster.daemons]
            seen = set()
            for daemon in cluster.daemons:
                daemon.state.subscribe(members=lambda d=daemon: seen.add(d))
            cluster.store.restore(0.0)
            cluster.store.put(CONFIGURATION_TOPIC, "config", configuration())
            await wait_for_era(cluster, 2)
            await cluster.wait_until(lambda: len(cluster.store._members) == 3, 2.0)
            await asyncio.sleep(SETTLE_SECONDS)
            assert [daemon.state.members for daemon in cluster.daemons] == before
            assert not seen

        run_scenario(scenario, gateways=3)

    def test_only_the_zone_reader_lists_the_store(self):
        """Guards against all gateways listing the store at once after a restore."""

        async def scenario(cluster):
            # Long polls that each gateway began before it knew the others must end.
            await asyncio.sleep(CONFIGURATION_WAIT_SECONDS + 0.2)
            cluster.store.calls.clear()
            cluster.store.restore(cluster.timers.now())
            await wait_for_era(cluster, 2)
            await asyncio.sleep(SETTLE_SECONDS)
            # Six gateways would list two topics each.
            assert cluster.store.calls["/log-newest"] <= 4

        run_scenario(scenario, gateways=6)

    def test_consecutive_restores_keep_the_newest_configuration(self):
        """Guards against a withdrawn key that is valid after several restores."""

        async def scenario(cluster):
            copied_at = cluster.timers.now()
            cluster.store.put(
                CONFIGURATION_TOPIC, "config", configuration_with_key(2, "key-2")
            )
            for daemon in cluster.daemons:
                await cluster.wait_until(
                    lambda d=daemon: d.state.deployment.version == 2
                )
            for era in (2, 3, 4):
                cluster.store.restore(copied_at)
                await wait_for_era(cluster, era)
            for gateway in range(2):
                answer = await cluster.send_request("/safe/x", OLD_KEY, gateway=gateway)
                assert answer.status == 401

        run_scenario(scenario, gateways=2)


class TestOlderPeers:
    """Peers of schema 2, whose messages have no era."""

    def test_records_without_an_era_do_not_replace_newer_ones(self):
        """Guards against old records of such a peer that replace newer ones."""

        async def scenario(cluster):
            cluster.store.put(CONFIGURATION_TOPIC, "config", configuration(2))
            daemon = cluster.daemons[0]
            await cluster.wait_until(lambda: daemon.state.deployment.version == 2)
            record = [
                "config",
                49,
                msgspec.json.encode(configuration_with_key(1, "key-2")),
            ]
            entry = [
                "i-old",
                48,
                msgspec.json.encode(cluster.replicas[0].registration("x")),
            ]
            old = {
                "topics": {
                    CONFIGURATION_TOPIC: {"end": 50, "records": [record]},
                    REPLICA_TOPIC: {
                        "end": 50,
                        "records": [entry],
                        "is_listing": True,
                    },
                },
                "version": 2,
            }
            data = msgspec.msgpack.encode(old)
            answer = msgspec.msgpack.decode(data, type=SyncMessage)
            daemon._peers._apply_records(answer, "old peer")
            assert daemon.state.deployment.version == 2
            assert list(daemon.state.replicas) == [cluster.replicas[0].identifier]
            assert daemon.state.era == 1

        run_scenario(scenario)
