"""Tests of the store client against the stand-in."""

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


def play(scenario: Scenario) -> object:
    async def run():
        timers = LoopTimerService()
        store = PlatformStore(timers)
        client = StoreClient(await store.start(), timers)
        try:
            return await asyncio.wait_for(scenario(store, client), 5)
        finally:
            store.close()

    return asyncio.run(run())


class TestRecords:
    """Reading topics."""

    def test_read_and_list_agree(self):
        """Guards against offsets that differ between the two calls."""

        async def scenario(store, client):
            store.put(REPLICA_TOPIC, "a", {"x": 1})
            store.put(REPLICA_TOPIC, "b", {"x": 2})
            store.put(REPLICA_TOPIC, "a", None)
            read = await client.read_records(REPLICA_TOPIC, 1, 0)
            listed = await client.list_records(REPLICA_TOPIC)
            return read, listed

        read, listed = play(scenario)
        found = [(r.key, r.offset) for r in read.records]
        assert found == [("a", 0), ("b", 1), ("a", 2)]
        assert read.records[2].value == b""
        assert [(r.key, r.offset) for r in listed.records] == [("b", 1)]
        assert (read.end, listed.end, listed.is_listing) == (3, 3, True)

    def test_long_read_returns_with_the_next_record(self):
        """Guards against a change that waits for the next poll."""

        async def scenario(store, client):
            task = asyncio.ensure_future(client.read_records("keyed.op", 1, 0, 3.0))
            await asyncio.sleep(0.05)
            store.put("keyed.op", "config", {"Version": 1})
            return await task

        assert len(play(scenario).records) == 1

    def test_deleted_history(self):
        """Guards against a reader that never gets past deleted records."""

        async def scenario(store, client):
            store.put("keyed.op", "config", {})
            store.drop_history("keyed.op")
            await client.read_records("keyed.op", 1, 0)

        with pytest.raises(StoreError) as caught:
            play(scenario)
        assert caught.value.code == "trimmed"


class TestGroup:
    """Members of a group."""

    def test_members(self):
        """Guards against a daemon that is not seen by the others."""

        async def scenario(store, client):
            first = await client.join("g", "t", "m1", 0, 1.0)
            second = await client.join("g", "t", "m2", 0, 1.0)
            again = await client.join("g", "t", "m2", second.generation, 1.0)
            both = await client.members("g")
            await client.leave("g", "m1")
            grown = first.generation < second.generation == again.generation
            return grown, both, await client.members("g")

        assert play(scenario) == (True, ("m1", "m2"), ("m2",))

    def test_member_without_a_partition_knows_it(self):
        """Guards against a daemon that works unseen in a group with few partitions."""

        async def scenario(store, client):
            store.partitions = 1
            first = await client.join("g", "t", "m1", 0, 1.0)
            second = await client.join("g", "t", "m2", 0, 1.0)
            other = await client.join("g", "t-2", "m2", 0, 1.0)
            return first.partitions, second.partitions, other.partitions

        assert play(scenario) == (1, 0, 1)


class TestFaults:
    """A store that does not answer as it should."""

    @pytest.mark.parametrize(
        ("fault", "code"),
        [("busy", "unavailable"), ("reset", "uncertain"), ("silent", "uncertain")],
    )
    def test_codes(self, fault, code, monkeypatch):
        """Guards against a lost answer that is taken for a refusal."""
        monkeypatch.setattr(store_module, "CALL_TIMEOUT_SECONDS", 0.2)

        async def scenario(store, client):
            store.fault = fault
            await client.read_records("keyed.op", 1, 0)

        with pytest.raises(StoreError) as caught:
            play(scenario)
        assert caught.value.code == code


class TestEra:
    """The era that answers bear."""

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
    def test_answer_that_is_dropped_changes_nothing(self, text, code):
        """Guards against a wrong era that makes all later answers look old."""
        era = StoreEra()
        era.observe(answer("7"))
        with pytest.raises(StoreError) as caught:
            era.observe(answer(text))
        assert caught.value.code == code
        assert era.observe(answer("8")) == 8

    def test_store_without_eras(self):
        """Guards against answers that are dropped because a store has no eras."""
        assert StoreEra().observe(answer("")) == 0


def answer(text: str) -> ResponseHead:
    fields = [(b"Store-Era", text.encode())] if text else []
    return ResponseHead(200, b"", Headers(fields))
