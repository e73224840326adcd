"""Tests of what counts as a crash, and of what gateways tell each other of it."""

import asyncio
from types import SimpleNamespace

import msgspec

from ...quarantine import Block, Quarantine, part_fingerprint
from ..messages import QuarantineMessage
from ..quarantine_messages import encode_quarantine, merge_quarantine
from .cluster import run_scenario
from .deadly_traffic import (
    CAUSE,
    DEADLY_LINES,
    DEADLY_PART,
    MODEL,
    block,
    crashes_known_to,
    prompt,
)


class TestCrashDetection:
    """What counts as the crash of a replica."""

    def test_reset_connections_are_no_crash(self):
        """Guards against blaming requests for resets by a replica that lives on."""

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.answer = "reset"
            for _ in range(12):
                await cluster.send_request("/stream/x", *DEADLY_LINES)
            await asyncio.sleep(0.3)
            assert crashes_known_to(cluster, 0) == 0
            assert cluster.daemons[0].metrics.replica_crashes._metrics == {}

        run_scenario(scenario, plain=2)

    def test_refused_connection_shows_a_crash(self):
        """Guards against crashes that no gateway notices."""

        async def scenario(cluster):
            cluster.replicas[0].script.deadly_part = DEADLY_PART
            cluster.replicas[0].script.down_s = 5.0
            await cluster.send_request("/stream/x", *DEADLY_LINES)
            await cluster.wait_until(lambda: crashes_known_to(cluster, 1) == 1)
            assert crashes_known_to(cluster, 0) == 1

        run_scenario(scenario, gateways=2)

    def test_new_start_shows_a_crash(self):
        """Guards against missing the crash of a replica that is back at once."""

        async def scenario(cluster):
            replica = cluster.replicas[0]
            replica.script.work_s = 0.3
            asked = asyncio.ensure_future(
                cluster.send_request("/stream/x", *DEADLY_LINES)
            )
            await cluster.wait_until(lambda: replica.runs)
            replica.script.down_s = 0.0
            replica.crash()
            await asked
            await cluster.wait_until(lambda: crashes_known_to(cluster, 0) == 1)

        run_scenario(scenario)

    def test_end_of_a_leaving_replica_is_no_crash(self):
        """Guards against blaming requests for a planned end of their replica."""

        async def scenario(cluster):
            replica = cluster.replicas[0]
            replica.script.work_s = 1.0
            replica.script.down_s = 5.0
            slow = asyncio.ensure_future(
                cluster.send_request("/stream/x", *DEADLY_LINES)
            )
            await cluster.wait_until(lambda: replica.runs)
            replica.script.work_s = 0.0
            replica.script.leaving = True
            await cluster.send_request("/stream/x", *DEADLY_LINES)
            replica.crash()
            assert (await slow).status == 502
            await asyncio.sleep(0.2)
            assert crashes_known_to(cluster, 0) == 0

        run_scenario(scenario)

    def test_last_part_of_a_prompt_is_no_suspect(self):
        """Guards against blaming the part that only the request itself has."""

        async def scenario(cluster):
            cluster.replicas[0].script.deadly_part = "own"
            await cluster.send_request("/stream/x", MODEL, prompt("system", "own"))
            await cluster.wait_until(lambda: crashes_known_to(cluster, 0) == 1)
            evidence = cluster.daemons[0].state.quarantine.evidence
            (crash,) = evidence.crashes_since(float("-inf"))
            assert not any(part_fingerprint("own") in r for r in crash.requests)

        run_scenario(scenario)


class TestKnowledgeOfOtherGateways:
    """How gateways learn what others have observed."""

    def test_new_gateway_knows_the_cause_before_it_is_ready(self):
        """Guards against a restart after which the cause must be found again."""

        async def scenario(cluster):
            block(cluster, 0, 1)
            daemon = cluster.add_gateway(
                "new", seeds=(cluster.daemons[0].settings.host.control,)
            )
            await cluster.wait_until(lambda: daemon.state.ready)
            assert daemon.state.quarantine.find_blocked(CAUSE) == CAUSE

        run_scenario(scenario, gateways=2)

    def test_cause_outlives_all_gateways(self):
        """Guards against a power failure after which the cause must be found again."""

        async def scenario(cluster):
            block(cluster, 0, 1)
            # Listing the topic has the block as soon as one of the gateways stored it.
            await cluster.wait_until(lambda: cluster.store.appended("keyed.quarantine"))
            for task in cluster.tasks:
                task.cancel()
            await asyncio.gather(*cluster.tasks, return_exceptions=True)
            cluster.tasks.clear()
            daemon = cluster.add_gateway("new")
            await cluster.wait_until(lambda: daemon.state.ready)
            assert daemon.state.quarantine.find_blocked(CAUSE) == CAUSE

        run_scenario(scenario, gateways=2)

    def test_cleared_cause_leaves_the_store(self):
        """Guards against a block that returns with the next restart."""

        async def scenario(cluster):
            block(cluster, 0)
            appended = cluster.store.appended
            await cluster.wait_until(lambda: appended("keyed.quarantine") == 1)
            (suspect,) = CAUSE
            at = cluster.timers.now()
            cluster.daemons[0].state.quarantine.clear(suspect, at)
            await cluster.wait_until(lambda: appended("keyed.quarantine") == 2)
            assert b'"Items":[]' in cluster.store._newest("keyed.quarantine")

        run_scenario(scenario)

    def test_store_that_fails_does_not_delay_the_start(self):
        """Guards against a gateway that waits for the stored causes for ever."""

        async def scenario(cluster):
            answer = cluster.store._answer

            async def fail_quarantine(path, args, body):
                if args.get("Topic") == "keyed.quarantine":
                    return 503, b""
                return await answer(path, args, body)

            cluster.store._answer = fail_quarantine
            daemon = cluster.add_gateway("new")
            await cluster.wait_until(lambda: daemon.state.ready, 2.0)

        run_scenario(scenario)

    def test_lost_message_is_made_up_by_the_exchange(self, monkeypatch):
        """Guards against a gateway that stays without what it was told in vain."""

        async def scenario(cluster):
            guard = cluster.daemons[0]._quarantine_guard
            monkeypatch.setattr(guard, "_send_to_all", lambda message: None)
            guard._report_crash("i-1", 0.0, cluster.timers.now(), [("a",)])
            block(cluster, 0)
            await cluster.wait_until(lambda: crashes_known_to(cluster, 1) == 1)
            assert cluster.daemons[1].state.quarantine.find_blocked(CAUSE)

        run_scenario(scenario, gateways=2)

    def test_answer_at_one_gateway_clears_at_all(self):
        """Guards against refusals by gateways that did not see the answer."""

        async def scenario(cluster):
            block(cluster, 1)
            await cluster.send_request("/stream/x", *DEADLY_LINES, gateway=0)
            # Gateway 0 knows of no crash, so the answer is no news to it.
            assert cluster.daemons[1].state.quarantine.find_blocked(CAUSE)
            block(cluster, 0)
            guard = cluster.daemons[0]._quarantine_guard
            ctx = SimpleNamespace(
                shared_parts=tuple(CAUSE),
                fingerprint="a",
                has_cleared=False,
                request_id="a",
            )
            guard._clear(ctx, cluster.timers.now() + 0.1)
            quarantine = cluster.daemons[1].state.quarantine
            await cluster.wait_until(lambda: not quarantine.find_blocked(CAUSE))

        run_scenario(scenario, gateways=2)


class TestMessages:
    """What gateways send each other in the exchange of records."""

    def test_answers_without_a_crash_are_not_sent(self):
        """Guards against messages that grow with the requests on every day."""
        quarantine = Quarantine()
        for number in range(100):
            quarantine.clear(f"p{number}", 5.0)
        assert not encode_quarantine(quarantine, 6.0, 10.0).clearances
        quarantine.add_crash("i-1", 4.0, 4.5, [("p1",)])
        message = encode_quarantine(quarantine, 6.0, 10.0)
        assert [c.suspect for c in message.clearances] == ["p1"]

    def test_exchange_carries_everything(self):
        """Guards against knowledge that is lost in the encoding."""
        known, learned = Quarantine(), Quarantine()
        known.add_crash("i-1", 4.0, 4.5, [("p1", "p2")])
        known.clear("p2", 5.0)
        known.block(frozenset({"p1"}), Block(4.6, 4.5, 1, 5.5))
        message = encode_quarantine(known, 6.0, 10.0)
        data = msgspec.msgpack.encode(message)
        decoded = msgspec.msgpack.decode(data, type=QuarantineMessage)
        assert merge_quarantine(learned, decoded, 106.0) == [{"p1"}]
        ((_, block),) = learned.blocks()
        assert block == Block(104.6, 104.5, 1, 105.5)
        assert learned.evidence.cleared_at("p2") == 105.0
        (crash,) = learned.evidence.crashes_since(0.0)
        assert (crash.at, crash.requests) == (104.5, {("p1", "p2")})
