"""Tests of the metadata store client against the stand-in of the store."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from ...core import LoopTimerService
from ...http1 import Headers, ResponseHead
from ...standins.platform_store import PlatformStore
from .. import REPLICA_TOPIC, StoreClient, StoreError
from .. import store as store_module
from ..eras import StoreEra

Scenario = Callable[[PlatformStore, StoreClient], Awaitable[object]]


def run_scenario(scenario: Scenario) -> object:
    async def run():
        timers = LoopTimerService()
        store = PlatformStore(timers)
        client = StoreClient(await store.start(), timers)
        try:
            return await asyncio.wait_for(scenario(store, client), 5)
        finally:
            store.close()

    return asyncio.run(run())


class TestReadAndList:
    """Reads and listings of topics."""

    def test_read_and_listing_give_the_same_offsets(self):
        """Guards against offsets that differ between a read and a listing."""

        async def scenario(store, client):
            store.put(REPLICA_TOPIC, "a", {"x": 1})
            store.put(REPLICA_TOPIC, "b", {"x": 2})
            store.put(REPLICA_TOPIC, "a", None)
            read = await client.read_records(REPLICA_TOPIC, 1, 0)
            listed = await client.list_records(REPLICA_TOPIC)
            return read, listed

        read, listed = run_scenario(scenario)
        found = [(r.key, r.offset) for r in read.records]
        assert found == [("a", 0), ("b", 1), ("a", 2)]
        assert read.records[2].value == b""
        assert [(r.key, r.offset) for r in listed.records] == [("b", 1)]
        assert (read.end, listed.end, listed.is_listing) == (3, 3, True)

    def test_long_poll_returns_when_a_record_is_appended(self):
        """Guards against a new record that takes effect only at the next poll."""

        async def scenario(store, client):
            task = asyncio.ensure_future(client.read_records("keyed.op", 1, 0, 3.0))
            await asyncio.sleep(0.05)
            store.put("keyed.op", "config", {"Version": 1})
            return await task

        assert len(run_scenario(scenario).records) == 1

    def test_read_of_deleted_records_raises_trimmed(self):
        """Guards against a reader that retries a read of deleted records for ever."""

        async def scenario(store, client):
            store.put("keyed.op", "config", {})
            store.drop_history("keyed.op")
            await client.read_records("keyed.op", 1, 0)

        with pytest.raises(StoreError) as caught:
            run_scenario(scenario)
        assert caught.value.code == "trimmed"


class TestGroupMembership:
    """Joining and leaving a group."""

    def test_members_follow_join_and_leave(self):
        """Guards against a joined daemon that the other members do not see."""

        async def scenario(store, client):
            first = await client.join("g", "t", "m1", 0, 1.0)
            second = await client.join("g", "t", "m2", 0, 1.0)
            again = await client.join("g", "t", "m2", second.generation, 1.0)
            both = await client.members("g")
            await client.leave("g", "m1")
            grown = first.generation < second.generation == again.generation
            return grown, both, await client.members("g")

        assert run_scenario(scenario) == (True, ("m1", "m2"), ("m2",))

    def test_join_reports_the_partition_count(self):
        """Guards against a daemon that works although the group does not list it.

        A group lists only members with a partition, and there may be fewer partitions
        than members.
        """

        async def scenario(store, client):
            store.partitions = 1
            first = await client.join("g", "t", "m1", 0, 1.0)
            second = await client.join("g", "t", "m2", 0, 1.0)
            other = await client.join("g", "t-2", "m2", 0, 1.0)
            return first.partitions, second.partitions, other.partitions

        assert run_scenario(scenario) == (1, 0, 1)


class TestStoreFaults:
    """A store that refuses, resets or never answers a call."""

    @pytest.mark.parametrize(
        ("fault", "code"),
        [("busy", "unavailable"), ("reset", "uncertain"), ("silent", "uncertain")],
    )
    def test_store_fault_gives_the_error_code(self, fault, code, monkeypatch):
        """Guards against a lost response that is reported as a refused call."""
        monkeypatch.setattr(store_module, "CALL_TIMEOUT_SECONDS", 0.2)

        async def scenario(store, client):
            store.fault = fault
            await client.read_records("keyed.op", 1, 0)

        with pytest.raises(StoreError) as caught:
            run_scenario(scenario)
        assert caught.value.code == code


class TestStoreEra:
    """Checks of the era in responses."""

    @pytest.mark.parametrize(
        ("text", "code"),
        [
            ("6", "old_era"),
            ("", "bad_era"),
            ("seven", "bad_era"),
            ("-7", "bad_era"),
            ("5000", "bad_era"),
            ("9" * 40, "bad_era"),
        ],
    )
    def test_rejected_era_does_not_change_the_current_era(self, text, code):
        """Guards against a wrong era that makes all later responses look outdated."""
        era = StoreEra()
        era.observe(response_with_era("7"))
        with pytest.raises(StoreError) as caught:
            era.observe(response_with_era(text))
        assert caught.value.code == code
        assert era.observe(response_with_era("8")) == 8

    def test_response_without_era_is_accepted(self):
        """Guards against rejected responses of a store that sends no eras."""
        assert StoreEra().observe(response_with_era("")) == 0


def response_with_era(text: str) -> ResponseHead:
    fields = [(b"Store-Era", text.encode())] if text else []
    return ResponseHead(200, b"", Headers(fields))
