"""Tests of call pacing, by a replay of the load pattern that it was designed for."""

from random import Random

from ...catalog import StageCapacity
from .. import CallPacer

CAPACITY = StageCapacity(1, 2, 30, 0.2, 0.005, 10**9, 4.0)
PIECES = 6
REPLICAS = 3
SECONDS = 120.0


def replay(rate: float, paces: bool) -> list[float]:
    """Return the sorted response times of all requests.

    Requests of six pieces arrive at random (Poisson, ``rate`` per second) at a service
    with three replicas.
    """
    rng = Random(1)
    pacer = CallPacer()
    free_at = [0.0] * REPLICAS
    waiting: list[float] = []
    times: list[float] = []
    next_at = 0.0
    now = 0.0
    while now < SECONDS:
        while next_at <= now:
            pacer.on_arrival(next_at)
            waiting.append(next_at)
            next_at += rng.expovariate(rate)
        for replica in range(REPLICAS):
            pieces = min(len(waiting) * PIECES, CAPACITY.batch)
            if free_at[replica] > now or not pieces:
                continue
            if (
                paces
                and pacer.call_delay_s(CAPACITY, REPLICAS, pieces=pieces, now=now) > 0
            ):
                break
            count = pieces // PIECES
            end = free_at[replica] = now + CAPACITY.call_time_s(pieces)
            times.extend(end - at for at in waiting[:count])
            del waiting[:count]
            pacer.on_call(now)
        now += 0.001
    return sorted(times)


class TestPacing:
    """Requests that arrive one by one at a service with a high fixed cost of a call."""

    def test_pacing_lowers_the_90th_percentile(self):
        """Guards against all replicas being busy with one request each.

        The 90th percentile must fall by 3% and the mean may not rise by more than 1%.
        """
        for rate in (15.0, 20.0, 25.0):
            paced, greedy = replay(rate, paces=True), replay(rate, paces=False)
            tenth = int(len(paced) * 0.9)
            assert paced[tenth] < greedy[tenth] * 0.97
            assert sum(paced) / len(paced) < sum(greedy) / len(greedy) * 1.01

    def test_quiet_service_is_not_held_back(self):
        """Guards against delaying requests at low load, where replicas are idle."""
        paced, greedy = replay(2.0, paces=True), replay(2.0, paces=False)
        assert sum(paced) / len(paced) < sum(greedy) / len(greedy) * 1.02

    def test_full_call_is_not_held_back(self):
        """Guards against delaying a call that has a full batch, or has no replica."""
        pacer = CallPacer()
        for number in range(50):
            pacer.on_arrival(number * 0.01)
        pacer.on_call(0.5)
        assert pacer.call_delay_s(CAPACITY, 3, pieces=CAPACITY.batch, now=0.5) == 0.0
        assert pacer.call_delay_s(CAPACITY, 3, pieces=6, now=0.5) > 0.0
        assert pacer.call_delay_s(CAPACITY, 0, pieces=6, now=0.5) == 0.0
