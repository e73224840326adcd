"""Focused tests: key timestamps, records, ledger rules and appends."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...core import AppendFault
from ...messages import KeyRing, SharedKey
from .. import (
    ClaimError,
    ClaimKey,
    ClaimLedger,
    ClaimState,
    Finish,
    Position,
    Start,
    Void,
    Withdraw,
    claim_key,
    decode_batch,
    encode_batch,
    mint_prefix,
    parse_claim_key,
    parse_key,
)
from .world import BODY, LIFETIME_MS, OTHER_BODY, World

RING = KeyRing((SharedKey(1, b"one"), SharedKey(2, b"two")))
KEY = ClaimKey(b"k" * 16, 1000)


def start(token, body=BODY, key=KEY):
    return Start(key.digest, key.stamp_ms, body, "host", "inc", token)


def void(key=KEY):
    return Void(key.digest, key.stamp_ms, "entry")


def finish(offset, index=0):
    return Finish(KEY.digest, offset, index, True, "", b"done", b"d" * 16)


def ledger_of(*batches, time_ms=2000):
    ledger = ClaimLedger(LIFETIME_MS, margin_ms=5_000)
    for offset, batch in enumerate(batches, 1):
        ledger.apply(encode_batch(list(batch)), offset, time_ms)
    return ledger


class TestStamps:
    """Keys carry the log service's time and cannot be invented."""

    def test_rotated_key_still_verifies(self):
        """Guards against keys that become invalid while shared keys are rotated."""
        key = mint_prefix(KeyRing((SharedKey(2, b"two"),)), 77) + ".renewal"
        assert parse_key(RING, key).time_ms == 77

    @settings(derandomize=True, max_examples=60)
    @given(st.integers(0, 31), st.sampled_from("Aa0_-"))
    def test_changed_prefix_is_refused(self, place, character):
        """Guards against a caller that sets the timestamp."""
        prefix = mint_prefix(RING, 123456)
        changed = prefix[:place] + character + prefix[place + 1 :]
        if changed != prefix:
            with pytest.raises(ClaimError) as caught:
                parse_key(RING, changed + ".x")
            assert caught.value.code == "bad_key"

    @pytest.mark.parametrize("text", ["", ".", ".a b", "." + "x" * 96, ".é", ".x\n"])
    def test_unsafe_or_long_text_is_refused(self, text):
        """Guards against unbounded keys and characters unsafe in headers."""
        with pytest.raises(ClaimError):
            parse_key(RING, mint_prefix(RING, 1) + text)

    def test_key_expires(self):
        """Guards against work on a key that can no longer be decided."""
        stamp = parse_key(RING, mint_prefix(RING, 1000) + ".x")
        stamp.require_alive(2000, lifetime_ms=1000)
        with pytest.raises(ClaimError) as caught:
            stamp.require_alive(2001, lifetime_ms=1000)
        assert caught.value.code == "key_expired"

    def test_account_and_stage_are_part_of_the_claim(self):
        """Guards against one client account or stage deciding for another."""
        key = mint_prefix(RING, 9) + ".x"
        parts = [("a", "bc"), ("ab", "c"), ("a", "b")]
        keys = {claim_key(RING, account, key, stage) for account, stage in parts}
        assert len(keys) == 3
        assert {parse_claim_key(str(key)) for key in keys} == keys


class TestRecords:
    """Batches survive records that this version cannot read."""

    def test_unreadable_record_keeps_the_index_of_others(self):
        """Guards against positions that depend on the reader's version."""
        value = encode_batch([start("a"), (9, "later kind"), void()])
        batch = decode_batch(value)
        assert (batch.records, batch.unreadable) == (
            ((0, start("a")), (2, void())),
            1,
        )

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
        """Guards against a second owner, also within one batch."""
        decision = ledger_of([start("a"), start("b"), void()]).decision(KEY)
        assert (decision.state, decision.token) == (ClaimState.STARTED, "a")

    def test_void_first_excludes_start(self):
        """Guards against a call after "not run"."""
        assert ledger_of([void()], [start("a")]).decision(KEY).never_runs

    def test_only_the_owner_finishes_or_withdraws(self):
        """Guards against the outcome of a lost claim being taken for the call's."""
        lost = Withdraw(KEY.digest, 2, 0)
        ledger = ledger_of([start("a")], [start("b")], [finish(2), lost])
        assert ledger.decision(KEY).state is ClaimState.STARTED
        ledger.apply(encode_batch([finish(1), Withdraw(KEY.digest, 1, 0)]), 4, 2000)
        assert ledger.decision(KEY).result.data == b"done"

    def test_reused_key_is_reported_without_result(self):
        """Guards against an answer to another body under the same key."""
        ledger = ledger_of([start("a")], [finish(1)])
        decision = ledger.decision(KEY, OTHER_BODY)
        assert decision.key_reused and decision.result is None
        assert not ledger.decision(KEY, BODY).key_reused

    @pytest.mark.parametrize("record", [start("late"), void()])
    def test_late_record_is_invalid(self, record):
        """Guards against a claim that readers with a bounded index cannot judge."""
        ledger = ledger_of([record], time_ms=KEY.stamp_ms + LIFETIME_MS + 1)
        assert ledger.decision(KEY).state is ClaimState.EXPIRED
        assert len(ledger) == 0

    def test_keys_are_forgotten(self):
        """Guards against memory that grows with the age of the process."""
        ledger = ledger_of([start("a")], [finish(1)])
        ledger.apply(encode_batch([]), 3, KEY.stamp_ms + LIFETIME_MS + 130_000)
        assert len(ledger) == 0
        assert ledger.decision(KEY).state is ClaimState.EXPIRED

    def test_gap_makes_older_keys_undecidable(self):
        """Guards against a second call after the first claim left the log."""
        ledger = ledger_of()
        ledger.apply(encode_batch([start("b")]), 9, 4000)
        assert ledger.decision(KEY).state is ClaimState.EXPIRED
        assert not ledger.horizon_complete
        newer = ClaimKey(b"n" * 16, 10_000)
        assert ledger.decision(newer).state is ClaimState.UNCLAIMED

    def test_horizon_needs_the_end_of_the_log(self):
        """Guards against decisions while older records are still unread."""
        world = World()
        process = world.process("a")
        assert process.ledger.horizon_complete
        for _ in range(600):
            world.run(world.log.append("claims", [encode_batch([])]))
        page = world.run(world.log.read("claims", 1, limit=10))
        ledger = ClaimLedger(LIFETIME_MS)
        ledger.apply_page(page)
        assert not ledger.horizon_complete
        assert process.ledger.horizon_complete
        world.close()


class TestAppender:
    """Appends are batched, limited and bounded."""

    def test_one_append_in_flight(self):
        """Guards against one append per record."""
        world = World()
        process = world.process("a")
        world.log.delay_s = 0.05

        async def append_many():
            appends = [process.appender.append(start(str(n))) for n in range(50)]
            return await asyncio.gather(*appends)

        positions = world.run(append_many())
        assert positions == [Position(1, n) for n in range(50)]
        assert world.log.append_count == 1
        world.close()

    def test_rate_is_limited(self):
        """Guards against one daemon that uses up the appends of all."""
        world = World()
        process = world.process("a")
        for n in range(400):
            world.start(process.appender.append(start(str(n))))
            world.advance(0.005, steps=1)
        assert world.log.append_count <= 2 * 20 + 5
        world.close()

    def test_full_queue_refuses(self):
        """Guards against memory that grows while the log is slow."""
        world = World()
        process = world.process("a")
        process.appender._max_queued = 3
        world.log.delay_s = 1.0
        world.start(process.appender.append(start("sent")))
        tasks = [world.start(process.appender.append(start("x"))) for _ in range(4)]
        assert tasks[3].exception().code == "claims_overloaded"
        world.advance(4)
        assert all(task.result() for task in tasks[:3])
        world.close()

    @pytest.mark.parametrize(
        ("fault", "code"),
        [
            (AppendFault.REFUSED, "log_unavailable"),
            (AppendFault.REPLY_LOST, "append_uncertain"),
        ],
    )
    def test_failure_keeps_its_meaning(self, fault, code):
        """Guards against a lost reply being taken for a refusal."""
        world = World()
        process = world.process("a")
        world.log.append_faults.append(fault)
        task = world.start(process.appender.append(start("a")))
        assert task.exception().code == code
        world.close()
