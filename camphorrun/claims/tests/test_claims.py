"""Focused tests: key timestamps, records, ledger rules and appends."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ... import claims
from ...core import AppendFault
from ...messages import KeyRing, SharedKey
from .world import BODY, LIFETIME_MS, OTHER_BODY

RING = KeyRing((SharedKey(1, b"one"), SharedKey(2, b"two")))
KEY = claims.ClaimKey(b"k" * 16, 1000)
VOID = claims.Void(KEY.digest, KEY.stamp_ms, "entry")


def start(token):
    return claims.Start(KEY.digest, KEY.stamp_ms, BODY, "host", "inc", token)


def finish(offset):
    return claims.Finish(KEY.digest, offset, 0, True, "", b"done", b"d" * 16)


def ledger_of(*batches, time_ms=2000):
    ledger = claims.ClaimLedger(LIFETIME_MS, margin_ms=5_000)
    for offset, batch in enumerate(batches, 1):
        ledger.apply(claims.encode_batch(list(batch)), offset, time_ms)
    return ledger


class TestStamps:
    """Keys carry the log service's time and cannot be invented."""

    def test_rotated_key_still_verifies(self):
        """Guards against keys that become invalid while shared keys are rotated."""
        key = claims.new_key_prefix(KeyRing((SharedKey(2, b"two"),)), 77) + ".renewal"
        assert claims.parse_key(RING, key).time_ms == 77

    @settings(derandomize=True, max_examples=60)
    @given(st.integers(0, 31), st.sampled_from("Aa0_-"))
    def test_changed_prefix_is_refused(self, place, character):
        """Guards against a caller that sets the timestamp."""
        prefix = claims.new_key_prefix(RING, 123456)
        changed = prefix[:place] + character + prefix[place + 1 :]
        if changed != prefix:
            with pytest.raises(claims.ClaimError) as caught:
                claims.parse_key(RING, changed + ".x")
            assert caught.value.code == "bad_key"

    @pytest.mark.parametrize("text", ["", ".", ".a b", "." + "x" * 96, ".é", ".x\n"])
    def test_unsafe_or_long_text_is_refused(self, text):
        """Guards against unbounded keys and characters unsafe in headers."""
        with pytest.raises(claims.ClaimError):
            claims.parse_key(RING, claims.new_key_prefix(RING, 1) + text)

    def test_key_expires(self):
        """Guards against work on a key that can no longer be decided."""
        stamp = claims.parse_key(RING, claims.new_key_prefix(RING, 1000) + ".x")
        stamp.require_alive(2000, lifetime_ms=1000)
        with pytest.raises(claims.ClaimError, match="valid for 1000 ms"):
            stamp.require_alive(2001, lifetime_ms=1000)

    def test_account_and_stage_are_part_of_the_claim(self):
        """Guards against one client account or stage deciding for another."""
        key = claims.new_key_prefix(RING, 9) + ".x"
        parts = [("a", "bc"), ("ab", "c"), ("a", "b")]
        keys = {claims.claim_key(RING, account, key, stage) for account, stage in parts}
        assert len(keys) == 3
        assert {claims.parse_claim_key(str(key)) for key in keys} == keys


class TestRecords:
    """Batches survive records that this version cannot read."""

    def test_unreadable_record_keeps_the_index_of_others(self):
        """Guards against positions that depend on the reader's version."""
        value = claims.encode_batch([start("a"), (9, "later kind"), VOID])
        records = ((0, start("a")), (2, VOID))
        assert claims.decode_batch(value) == claims.DecodedBatch(records, 1)

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=60))
    def test_any_value_is_survived(self, value):
        """Guards against a malformed value that stops a reader."""
        ledger = ledger_of()
        ledger.apply(value, 1, 5)
        assert ledger.position == 1


class TestLedger:
    """The first valid record of a key decides it."""

    def test_first_record_wins(self):
        """Guards against a second owner and against a call after "not run"."""
        decision = ledger_of([start("a"), start("b"), VOID]).decision(KEY)
        assert (decision.state, decision.token) == (claims.ClaimState.STARTED, "a")
        assert ledger_of([VOID], [start("a")]).decision(KEY).never_runs

    def test_only_the_owner_finishes_or_withdraws(self):
        """Guards against the outcome of a lost claim being taken for the call's."""
        lost = claims.Withdraw(KEY.digest, 2, 0)
        ledger = ledger_of([start("a")], [start("b")], [finish(2), lost])
        assert ledger.decision(KEY).state is claims.ClaimState.STARTED
        late = claims.Withdraw(KEY.digest, 1, 0)
        ledger.apply(claims.encode_batch([finish(1), late]), 4, 2000)
        assert ledger.decision(KEY).result.data == b"done"

    def test_reused_key_is_reported_without_result(self):
        """Guards against an answer to another body under the same key."""
        ledger = ledger_of([start("a")], [finish(1)])
        decision = ledger.decision(KEY, OTHER_BODY)
        assert decision.key_reused and decision.result is None
        assert not ledger.decision(KEY, BODY).key_reused

    @pytest.mark.parametrize("record", [start("late"), VOID])
    def test_late_record_is_invalid(self, record):
        """Guards against a claim that readers with a bounded index cannot judge."""
        ledger = ledger_of([record], time_ms=KEY.stamp_ms + LIFETIME_MS + 1)
        assert ledger.decision(KEY).state is claims.ClaimState.EXPIRED
        assert len(ledger) == 0

    def test_keys_are_forgotten(self):
        """Guards against memory that grows with the age of the process."""
        ledger = ledger_of([start("a")], [finish(1)])
        ledger.apply(claims.encode_batch([]), 3, KEY.stamp_ms + LIFETIME_MS + 130_000)
        assert len(ledger) == 0
        assert ledger.decision(KEY).state is claims.ClaimState.EXPIRED

    def test_gap_makes_older_keys_undecidable(self):
        """Guards against a second call after the first claim left the log."""
        ledger = ledger_of()
        ledger.apply(claims.encode_batch([start("b")]), 9, 4000)
        assert ledger.decision(KEY).state is claims.ClaimState.EXPIRED
        assert not ledger.horizon_complete
        newer = claims.ClaimKey(b"n" * 16, 10_000)
        assert ledger.decision(newer).state is claims.ClaimState.UNCLAIMED

    def test_horizon_needs_the_end_of_the_log(self, world):
        """Guards against decisions while older records are still unread."""
        assert world.agent.ledger.horizon_complete
        for _ in range(600):
            world.run(world.log.append("claims", [claims.encode_batch([])]))
        ledger = ledger_of()
        ledger.apply_page(world.run(world.log.read("claims", 1, limit=10)))
        assert not ledger.horizon_complete
        assert world.agent.ledger.horizon_complete


class TestAppender:
    """Appends are batched, limited and bounded."""

    def test_one_append_in_flight(self, world):
        """Guards against one append per record."""
        world.log.delay_s = 0.05

        async def append_many():
            appends = [world.agent.appender.append(start(str(n))) for n in range(50)]
            return await asyncio.gather(*appends)

        positions = world.run(append_many())
        assert positions == [claims.Position(1, n) for n in range(50)]
        assert world.log.append_count == 1

    def test_rate_is_limited(self, world):
        """Guards against one daemon that uses up the appends of all."""
        for n in range(400):
            world.start(world.agent.appender.append(start(str(n))))
            world.advance(0.005, steps=1)
        assert world.log.append_count <= 2 * 20 + 5

    def test_full_queue_refuses(self, world):
        """Guards against memory that grows while the log is slow."""
        world.agent.appender._max_queued = 3
        world.log.delay_s = 1.0
        world.start(world.agent.appender.append(start("sent")))
        tasks = [world.start(world.agent.appender.append(start("x"))) for _ in range(4)]
        assert tasks[3].exception().code == "claims_overloaded"
        world.advance(4)
        assert all(task.result() for task in tasks[:3])

    @pytest.mark.parametrize("fault", list(AppendFault))
    def test_failure_keeps_its_meaning(self, world, fault):
        """Guards against a lost reply being taken for a refusal."""
        world.log.append_faults.append(fault)
        task = world.start(world.agent.appender.append(start("a")))
        is_uncertain = task.exception().code == "append_uncertain"
        assert is_uncertain is (fault is not AppendFault.REFUSED)
