"""Tests of placing stages near their inputs, with a replay of a load on three zones."""

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


class TestZonePreference:
    """Whether a group waits for a replica in the zone of its inputs."""

    def test_group_waits_for_a_replica_near_its_inputs(self):
        """Guards against moving megabytes between zones to save a tenth of a second."""
        queue = BatchQueue(CAPACITY)
        queue.add(group("r", "a"))
        free_at = {"a": 0.1, "b": 0.0, "c": 0.0}
        assert queue.next_batch(10**9, 3, 0.0, zone="b", free_at=free_at) == []
        assert queue.next_batch(10**9, 3, 0.1, zone="a", free_at=free_at)

    def test_group_near_its_objective_takes_the_next_replica(self):
        """Guards against requests that end late because they avoided a transfer."""
        queue = BatchQueue(CAPACITY)
        queue.add(group("r", "a", objective_at=0.6))
        free_at = {"a": 0.2, "b": 0.0}
        assert queue.next_batch(10**9, 3, 0.0, zone="b", free_at=free_at)

    def test_wait_is_bounded_by_the_value_of_the_transfer(self):
        """Guards against waiting too long for a replica that stays busy."""
        queue = BatchQueue(CAPACITY)
        queue.add(group("r", "a", objective_at=9.0))
        free_at = {"a": 0.5, "b": 0.0}
        assert queue.next_batch(10**9, 3, 0.4, zone="b", free_at=free_at)

    def test_zone_without_a_working_replica_is_not_waited_for(self):
        """Guards against waiting for a zone that was lost."""
        queue = BatchQueue(CAPACITY)
        queue.add(group("r", "a"))
        assert queue.next_batch(10**9, 3, 0.0, zone="b", free_at={"b": 0.0})

    def test_pieces_of_a_request_stay_in_one_call(self):
        """Guards against splitting a request that fits into one call.

        Its results would be spread over two replicas, and it would end with the later
        of two calls.
        """
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
    """One request every 50 ms for 20 s at three replicas in three zones."""

    @staticmethod
    def replay(by_zone: bool) -> tuple[int, float]:
        """Return the bytes moved between zones, and the share of requests in time."""
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
                zone_fields = {"zone": zone, "free_at": free_at} if by_zone else {}
                batch = queue.next_batch(10**9, 3, now, **zone_fields)
                if not batch:
                    continue
                end = free_at[zone] = now + CAPACITY.call_time_s(len(batch))
                groups = {piece_group for piece_group, _ in batch}
                moved += sum(g.transfers[zone] for g in groups)
                in_time += sum(end <= g.objective_at - g.downstream_s for g in groups)
        return moved, in_time / count

    def test_half_the_bytes_with_as_many_requests_in_time(self):
        """Guards against placement that ignores the inputs or makes requests late."""
        moved, in_time = self.replay(by_zone=True)
        moved_before, in_time_before = self.replay(by_zone=False)
        assert moved < moved_before / 2
        assert in_time >= in_time_before - 0.01


class TestShards:
    """Choice of the shard that is asked to run a stage."""

    @pytest.mark.parametrize(("slack_s", "shard"), [(0.3, "home"), (0.05, "far")])
    def test_home_shard_is_kept_only_with_time_to_spare(self, slack_s, shard):
        """Guards against refusals by the nearest shard while another one is idle.

        In a burst, 40 requests were refused while three remote replicas were idle: the
        wait at the nearest shard was 0.29 s, and the transfer was valued at 0.3 s.
        """
        waits = WaitForecasts()
        waits.record("s", "home", 10, 1, 0.29, now=0.0)
        extra_s = {"home": 0.0, "far": min(0.3, slack_s)}
        assert waits.best_shard("s", extra_s, 10, 1, now=0.0) == shard

    def test_small_inputs_justify_no_wait(self):
        """Guards against waiting to avoid a transfer of a few kilobytes."""
        transfers = transfer_bytes(ZONES, 6, {"a": 8000})
        assert transfer_wait_s(transfers, "b") < 0.01
