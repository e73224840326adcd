"""Tests of the causes that the quarantine derives from crashes and answers."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from .. import Block, Quarantine, request_fingerprint
from ..evidence import EVIDENCE_SECONDS, MAX_CLEARANCES, MAX_CRASHES
from ..quarantine import (
    BLOCK_SECONDS,
    CONFIRMATION_SECONDS,
    FIRST_TRIAL_SECONDS,
    MAX_BLOCKS,
    MIN_PART_CRASHES,
    MIN_REQUEST_CRASHES,
)

SYSTEM = "system"
DEADLY = "deadly"
# The fifth crash is the one from which on the platform's rule holds.
PART_CRASHES = 5


def crash(quarantine: Quarantine, at: float, *requests: tuple[str, ...]) -> None:
    """Record the crash of a replica that crashes at no other time."""
    quarantine.add_crash(f"i-{at}", at - 0.01, at, requests)


def crash_often(quarantine: Quarantine, *requests: tuple[str, ...]) -> float:
    """Record the crashes that a cause needs; return the time at which it is blocked."""
    for second in range(1, MIN_PART_CRASHES + 1):
        crash(quarantine, float(second), *requests)
    confirmed_at = MIN_PART_CRASHES + CONFIRMATION_SECONDS
    quarantine.evaluate(confirmed_at)
    return confirmed_at


class TestCauses:
    """Fingerprints that several crashes have in common."""

    def test_common_part_is_blocked_by_the_fifth_crash(self):
        """Guards against a cause that is found later than the platform's rule asks."""
        assert MIN_PART_CRASHES <= PART_CRASHES
        quarantine = Quarantine()
        for second in range(1, PART_CRASHES + 1):
            crash(quarantine, float(second), (DEADLY, f"other-{second}"))
        quarantine.evaluate(PART_CRASHES + CONFIRMATION_SECONDS)
        assert quarantine.find_blocked(["x", DEADLY]) == {DEADLY}

    def test_answered_part_is_not_blocked(self):
        """Guards against refusing sound requests that shared replicas with others."""
        quarantine = Quarantine()
        for second in range(1, 21):
            crash(quarantine, float(second), (SYSTEM, DEADLY, f"d{second}"))
            quarantine.clear(SYSTEM, second + 0.1)
            quarantine.evaluate(second + 0.9)
        assert quarantine.find_blocked([SYSTEM, "another"]) is None
        assert quarantine.find_blocked([SYSTEM, DEADLY]) == {DEADLY}

    def test_answer_begun_before_the_crashes_clears_nothing(self):
        """Guards against long streams that clear a part which has become deadly."""
        quarantine = Quarantine()
        for second in range(1, MIN_PART_CRASHES + 1):
            crash(quarantine, float(second), (DEADLY,))
            quarantine.clear(DEADLY, 0.5)
        quarantine.evaluate(MIN_PART_CRASHES + CONFIRMATION_SECONDS)
        assert quarantine.find_blocked([DEADLY])

    def test_answer_that_clears_nothing_is_no_news(self):
        """Guards against a message to all gateways for each answer after a crash."""
        quarantine = Quarantine()
        crash(quarantine, 1.0, (SYSTEM,))
        assert not quarantine.clear(SYSTEM, 0.5)
        assert quarantine.clear(SYSTEM, 1.5)
        assert not quarantine.clear(SYSTEM, 1.6)

    def test_answer_in_the_confirmation_time_prevents_a_block(self):
        """Guards against blocking what was only at the replicas that crashed."""
        quarantine = Quarantine()
        for second in range(1, MIN_PART_CRASHES + 1):
            crash(quarantine, float(second), (SYSTEM,))
        assert not quarantine.evaluate(MIN_PART_CRASHES + CONFIRMATION_SECONDS / 2)
        quarantine.clear(SYSTEM, MIN_PART_CRASHES + 0.1)
        assert not quarantine.evaluate(MIN_PART_CRASHES + CONFIRMATION_SECONDS)

    def test_parts_that_came_together_are_blocked_together_only(self):
        """Guards against refusing a sound part that came with the deadly one so far."""
        quarantine = Quarantine()
        crash_often(quarantine, ("document", DEADLY))
        assert quarantine.find_blocked(["document", DEADLY])
        assert quarantine.find_blocked(["document"]) is None
        quarantine.clear("document", MIN_PART_CRASHES + 1.0)
        assert quarantine.find_blocked([DEADLY]) == {DEADLY}

    def test_deadly_part_with_another_companion_is_found(self):
        """Guards against a deadly part that is known with its first companion only.

        The crash with the other companion tells which of the parts it is.
        """
        quarantine = Quarantine()
        now = crash_often(quarantine, ("document", DEADLY))
        crash(quarantine, now + 1.0, ("letter", DEADLY))
        quarantine.evaluate(now + 1.0 + CONFIRMATION_SECONDS)
        assert quarantine.find_blocked(["novel", DEADLY]) == {DEADLY}

    def test_explained_crash_does_not_count_against_others(self):
        """Guards against blocking what is often at a replica beside a known cause."""
        quarantine = Quarantine()
        now = crash_often(quarantine, (DEADLY,))
        for number in range(1, 11):
            crash(quarantine, now + number, (DEADLY,), ("rare",))
            quarantine.evaluate(now + number + CONFIRMATION_SECONDS)
        assert quarantine.find_blocked(["rare"]) is None

    def test_two_deadly_parts_are_both_found(self):
        """Guards against a cause that hides another one."""
        quarantine = Quarantine()
        for number in range(1, 2 * MIN_PART_CRASHES + 1):
            part = "first" if number % 2 else "second"
            crash(quarantine, float(number), (SYSTEM, part))
            quarantine.clear(SYSTEM, number + 0.1)
            quarantine.evaluate(number + 0.9)
        assert quarantine.find_blocked(["first"])
        assert quarantine.find_blocked(["second"])

    def test_failure_of_many_replicas_at_once_blocks_nothing(self):
        """Guards against blaming the requests for the failure of a rack."""
        quarantine = Quarantine()
        for number in range(10):
            at = 1.0 + number / 1000
            quarantine.add_crash(f"i-{number}", 0.9, at, [(SYSTEM, f"s{number}")])
        quarantine.evaluate(1.0 + 2 * CONFIRMATION_SECONDS)
        assert quarantine.find_blocked([SYSTEM, "s1"]) is None


class TestRequests:
    """Requests that come again, recognised as a whole."""

    DEADLY_REQUEST = request_fingerprint("POST", "a", b"/x", "acc", b"deadly")

    def test_request_is_blocked_by_the_third_crash(self):
        """Guards against a request that is recognised later than the rule asks."""
        quarantine = Quarantine()
        for second in (1.0, 2.0, 3.0):
            crash(quarantine, second, (self.DEADLY_REQUEST, "document"))
        quarantine.evaluate(3.0 + CONFIRMATION_SECONDS)
        assert quarantine.find_blocked([self.DEADLY_REQUEST, "document"])
        assert quarantine.find_blocked(["another", "document"]) is None

    def test_part_of_several_deadly_requests_is_the_cause(self):
        """Guards against finding each request with a deadly part by itself."""
        quarantine = Quarantine()
        for second in range(1, MIN_REQUEST_CRASHES + 1):
            crash(quarantine, float(second), (self.DEADLY_REQUEST, DEADLY))
        crash(quarantine, 5.0, ("another request", DEADLY))
        quarantine.evaluate(5.0 + CONFIRMATION_SECONDS)
        assert quarantine.find_blocked(["a third", DEADLY]) == {DEADLY}

    def test_answered_request_is_not_blocked(self):
        """Guards against refusing a request that met several crashes by chance."""
        quarantine = Quarantine()
        for second in range(1, 10):
            crash(quarantine, float(second), (self.DEADLY_REQUEST,))
            quarantine.clear(self.DEADLY_REQUEST, second + 0.1)
            assert not quarantine.evaluate(second + 0.9)


class TestMergedReports:
    """Crashes that several gateways report."""

    def test_crash_seen_by_several_gateways_counts_once(self):
        """Guards against a cause that is found by counting one crash repeatedly."""
        quarantine = Quarantine()
        for gateway in range(10):
            at = 1.0 + gateway / 50
            quarantine.add_crash("i-1", 0.5, at, [(SYSTEM, f"r{gateway}")])
        quarantine.evaluate(5.0)
        assert quarantine.find_blocked([SYSTEM]) is None

    def test_crash_noticed_late_counts_once(self):
        """Guards against counting a crash again that a paused gateway reports late."""
        quarantine = Quarantine()
        quarantine.add_crash("i-1", 0.9, 1.0, [(SYSTEM,)])
        for at in (4.0, 5.0, 6.0):
            quarantine.add_crash("i-1", 0.8, at, [(SYSTEM, "x")])
        quarantine.evaluate(9.0)
        assert quarantine.find_blocked([SYSTEM, "x"]) is None

    def test_crashes_of_two_starts_count_twice(self):
        """Guards against merging crashes of a replica that is back after the first."""
        quarantine = Quarantine()
        for number in range(MIN_PART_CRASHES):
            quarantine.add_crash("i-1", number + 0.9, number + 1.0, [(DEADLY,)])
        quarantine.evaluate(MIN_PART_CRASHES + CONFIRMATION_SECONDS)
        assert quarantine.find_blocked([DEADLY])

    def test_old_block_of_another_gateway_is_ignored_after_an_answer(self):
        """Guards against a block that returns after its cause was mended."""
        quarantine = Quarantine()
        quarantine.clear(DEADLY, 10.0)
        assert not quarantine.block(frozenset({DEADLY}), Block(6.0, 5.0))
        assert quarantine.block(frozenset({DEADLY}), Block(12.0, 11.0))

    @given(st.permutations(range(8)))
    def test_order_of_reports_does_not_matter(self, order):
        """Guards against gateways that decide differently on the same evidence."""
        reports = [(f"i-{n}", n + 1.0, (SYSTEM, DEADLY, f"r{n}")) for n in range(8)]
        quarantine = Quarantine()
        for number in order:
            replica, at, request = reports[number]
            quarantine.add_crash(replica, at - 0.1, at, [request])
            quarantine.clear(SYSTEM, at + 0.2)
        quarantine.evaluate(20.0)
        assert [cause for cause, _ in quarantine.blocks()] == [{DEADLY}]


class TestTrials:
    """Requests that show whether a cause was mended."""

    def test_trials_come_one_at_a_time_and_less_and_less_often(self):
        """Guards against trials that crash more replicas than the rule allows."""
        quarantine = Quarantine()
        now = crash_often(quarantine, (DEADLY,))
        cause = frozenset({DEADLY})
        granted = []
        for step in range(900):
            at = now + step * 0.1
            if quarantine.start_trial(cause, at):
                granted.append(at - now)
                crash(quarantine, at + 0.05, (DEADLY,))
        assert [round(at) for at in granted] == [
            FIRST_TRIAL_SECONDS,
            3 * FIRST_TRIAL_SECONDS,
            7 * FIRST_TRIAL_SECONDS,
        ]

    def test_answered_trial_ends_the_block(self):
        """Guards against a part that stays refused after the fault was mended."""
        quarantine = Quarantine()
        now = crash_often(quarantine, ("document", DEADLY))
        cause = quarantine.find_blocked(["document", DEADLY])
        assert quarantine.start_trial(cause, now + FIRST_TRIAL_SECONDS)
        for part in ("document", DEADLY):
            assert quarantine.clear(part, now + FIRST_TRIAL_SECONDS + 1.0)
        assert quarantine.find_blocked(["document", DEADLY]) is None
        assert not quarantine.evaluate(now + FIRST_TRIAL_SECONDS + 2.0)

    def test_unused_block_ends(self):
        """Guards against blocks that are kept for ever."""
        quarantine = Quarantine()
        now = crash_often(quarantine, (DEADLY,))
        quarantine.evaluate(now + BLOCK_SECONDS + 1.0)
        assert not quarantine.blocks()


class TestBounds:
    """Memory with any number of different requests."""

    def test_memory_is_bounded(self):
        """Guards against evidence that grows with the requests of hostile callers."""
        quarantine = Quarantine()
        for number in range(3 * MAX_CRASHES):
            requests = [(f"p{number}-{n}", f"q{number}-{n}") for n in range(300)]
            quarantine.add_crash(f"i-{number}", number, number, requests)
        for number in range(2 * MAX_CLEARANCES):
            quarantine.clear(f"c{number}", float(number))
        for number in range(2 * MAX_BLOCKS):
            quarantine.block(frozenset({f"b{number}"}), Block(1e6, 1e6))
        evidence = quarantine.evidence
        assert len(evidence.crashes_since(-1.0)) == MAX_CRASHES
        assert max(len(c.requests) for c in evidence.crashes_since(-1.0)) <= 128
        assert len(evidence.clearances_since(-1.0)) == MAX_CLEARANCES
        assert len(quarantine.blocks()) == MAX_BLOCKS

    def test_old_evidence_is_forgotten(self):
        """Guards against causes that are derived from crashes of another day."""
        quarantine = Quarantine()
        for number in range(2 * MIN_PART_CRASHES):
            at = number * EVIDENCE_SECONDS / (MIN_PART_CRASHES - 1)
            crash(quarantine, at, (DEADLY,))
            quarantine.evaluate(at + CONFIRMATION_SECONDS)
        assert quarantine.find_blocked([DEADLY]) is None

    def test_innocent_parts_survive_many_crashes(self):
        """Guards against blocks of parts that few requests have.

        Each rare part is at a replica in one of three crashes, and answered in between
        as often.
        """
        quarantine = Quarantine()
        rare = [f"rare-{n}" for n in range(30)]
        for second, start in zip(
            range(1, 61), itertools.cycle((0, 10, 20)), strict=False
        ):
            parts = rare[start : start + 10]
            crash(quarantine, float(second), *((p, f"{p}-{second}") for p in parts))
            for part in parts:
                quarantine.clear(part, second + 0.5)
            quarantine.evaluate(second + 0.9)
        assert not quarantine.blocks()
