"""Tests of the place of pieces, replaying the loads that it answers."""

from collections import deque

import pytest

from ...catalog import StageCapacity
from .. import BatchQueue, PieceGroup, WaitForecasts, transfer_bytes, transfer_wait_s

CAPACITY = StageCapacity(1, 2, 30, 0.2, 0.005, 10**9, 4.0)
ZONES = ("a", "b", "c")
# Bytes of the inputs of one piece: six results of 60 KB.
INPUT_BYTES = 360_000


def group(name: str, home: str, now: float = 0.0, **fields) -> PieceGroup:
    defaults = {
        "objective_at": now + 1.2,
        "deadline_at": now + 8.0,
        "downstream_s": 0.1,
        "arrived_at": now,
        "transfers": transfer_bytes(ZONES, 10, {home: INPUT_BYTES}),
    }
    values = {**defaults, **fields}
    return PieceGroup(
        name, 2, "k", (), 6000, 1, **values, waiting_pieces=deque(range(10))
    )


def request_ids(batch) -> set[str]:
    return {piece_group.request_id for piece_group, _ in batch}


class TestPlace:
    """Which replica takes a group."""

    def test_group_waits_for_the_replica_at_its_inputs(self):
        """Guards against megabytes that are moved to save a tenth of a second."""
        queue = BatchQueue(CAPACITY)
        queue.add(group("r", "a"))
        free_at = {"a": 0.1, "b": 0.0, "c": 0.0}
        assert queue.next_batch(10**9, 3, 0.0, zone="b", free_at=free_at) == []
        assert queue.next_batch(10**9, 3, 0.1, zone="a", free_at=free_at)

    def test_pressed_group_takes_the_next_replica(self):
        """Guards against requests that end late to save a transfer."""
        queue = BatchQueue(CAPACITY)
        queue.add(group("r", "a", objective_at=0.6))
        free_at = {"a": 0.2, "b": 0.0}
        assert queue.next_batch(10**9, 3, 0.0, zone="b", free_at=free_at)

    def test_no_longer_than_the_transfer_is_worth(self):
        """Guards against a group that waits for a replica that stays busy."""
        queue = BatchQueue(CAPACITY)
        queue.add(group("r", "a", objective_at=9.0))
        free_at = {"a": 0.5, "b": 0.0}
        assert queue.next_batch(10**9, 3, 0.4, zone="b", free_at=free_at)

    def test_zone_without_a_working_replica_is_not_waited_for(self):
        """Guards against groups that wait for a zone that is gone."""
        queue = BatchQueue(CAPACITY)
        queue.add(group("r", "a"))
        assert queue.next_batch(10**9, 3, 0.0, zone="b", free_at={"b": 0.0})

    def test_request_stays_in_one_call(self):
        """Guards against results in two places and an end with the later call."""
        queue = BatchQueue(CAPACITY)
        for name in ("r1", "r2", "r3"):
            queue.add(group(name, "a"))
        first = queue.groups[0]
        first.waiting_pieces.popleft()
        queue.add(group("r4", "a"))
        batch = queue.next_batch(10**9, 3, 0.0, zone="a", free_at={"a": 0.0})
        assert len(batch) == 29
        assert request_ids(batch) == {"r1", "r2", "r3"}


class TestLoad:
    """Requests at three replicas in three zones, one every 50 ms, for 20 s."""

    @staticmethod
    def replay(places: bool) -> tuple[int, float]:
        """Return the bytes moved, and the share that is made in time."""
        queue = BatchQueue(CAPACITY)
        free_at = dict.fromkeys(ZONES, 0.0)
        moved, in_time, count = 0, 0, 400
        arrivals = [(0.05 * i, ZONES[i * 7 % 3]) for i in range(count)]
        for step in range(22_000):
            now = step * 0.001
            while arrivals and arrivals[0][0] <= now:
                _, home = arrivals.pop(0)
                queue.add(group(f"r{len(arrivals)}", home, now))
            for zone in ZONES:
                if free_at[zone] > now:
                    continue
                known = {"zone": zone, "free_at": free_at} if places else {}
                batch = queue.next_batch(10**9, 3, now, **known)
                if not batch:
                    continue
                end = free_at[zone] = now + CAPACITY.call_time_s(len(batch))
                groups = {piece_group for piece_group, _ in batch}
                moved += sum(g.transfers[zone] for g in groups)
                in_time += sum(end <= g.objective_at - g.downstream_s for g in groups)
        return moved, in_time / count

    def test_fewer_bytes_and_as_many_in_time(self):
        """Guards against places that forget the inputs, or the time."""
        moved, in_time = self.replay(places=True)
        moved_before, in_time_before = self.replay(places=False)
        assert moved < moved_before / 2
        assert in_time >= in_time_before - 0.01


class TestShards:
    """Which owner is asked."""

    @pytest.mark.parametrize(("slack_s", "shard"), [(0.3, "home"), (0.05, "far")])
    def test_home_is_kept_only_with_time_to_spare(self, slack_s, shard):
        """Guards against a refusal by the home zone while another one is idle.

        40 requests of a burst were refused while three replicas elsewhere had nothing
        to do, because the wait at home was 0.29 s and that of a move taken as 0.3 s.
        """
        waits = WaitForecasts()
        waits.record("s", "home", 10, 1, 0.29, now=0.0)
        extra_s = {"home": 0.0, "far": min(0.3, slack_s)}
        assert waits.best_shard("s", extra_s, 10, 1, now=0.0) == shard

    def test_small_inputs_are_worth_no_wait(self):
        """Guards against groups that wait for a few kilobytes."""
        transfers = transfer_bytes(ZONES, 6, {"a": 8000})
        assert transfer_wait_s(transfers, "b") < 0.01
