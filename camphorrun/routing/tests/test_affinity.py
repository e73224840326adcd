"""Tests of placement by prefix, inputs and load, and of stage owners."""

from collections import Counter
from random import Random

from .. import AffinityPolicy, EndpointState, Router, StageRequest, owner_preferences


def endpoints(count: int = 6) -> list[EndpointState]:
    return [EndpointState(f"h{i}", f"z{i % 3}", "s") for i in range(count)]


def choose(router: Router, states, **fields) -> str:
    return router.choose(states, StageRequest("s", **fields), 0.0).endpoint.host


class TestAffinity:
    """Where prompts go."""

    def test_all_entries_choose_the_same_endpoint_for_a_prefix(self):
        """Guards against a shared part that every endpoint reads again."""
        prefixes = [f"p{i}" for i in range(50)]
        first = Router(AffinityPolicy(), "z0", 1)
        second = Router(AffinityPolicy(), "z2", 2)
        for prefix in prefixes:
            chosen = choose(first, endpoints(), prefix=prefix, prefix_tokens=5000)
            assert chosen == choose(
                second, endpoints(), prefix=prefix, prefix_tokens=5000
            )

    def test_prefixes_are_spread(self):
        """Guards against one endpoint that gets all prompts."""
        router = Router(AffinityPolicy(), "z0", 1)
        counts = Counter(
            choose(router, endpoints(), prefix=f"p{i}", prefix_tokens=5000)
            for i in range(600)
        )
        assert max(counts.values()) < 150

    def test_large_inputs_decide_for_short_prefixes(self):
        """Guards against megabytes that cross zones to save a few tokens."""
        router = Router(AffinityPolicy(), "z0", 1)
        for i in range(30):
            host = choose(
                router,
                endpoints(),
                prefix=f"p{i}",
                prefix_tokens=100,
                input_bytes=(("z1", 3_000_000),),
            )
            assert host in ("h1", "h4")

    def test_hot_prefix_moves_on(self):
        """Guards against a hot key that fills one endpoint while others are idle."""
        states = endpoints()
        router = Router(AffinityPolicy(), "z0", 1)
        home = choose(router, states, prefix="hot", prefix_tokens=1000)
        next(s for s in states if s.host == home).in_flight = 40
        assert choose(router, states, prefix="hot", prefix_tokens=1000) != home

    def test_endpoint_that_got_the_prefix_is_preferred(self):
        """Guards against a prefix read at a third endpoint after it moved once."""
        states = endpoints()
        router = Router(AffinityPolicy(), "z0", 1)
        home = choose(router, states, prefix="p", prefix_tokens=2000)
        moved = next(s for s in states if s.host != home)
        policy = AffinityPolicy()
        policy.record("p", moved.host)
        others = [s for s in states if s.host != home]
        router = Router(policy, "z0", 1)
        assert choose(router, others, prefix="p", prefix_tokens=2000) == moved.host


class TestOwners:
    """Which member gathers the pieces of a service."""

    def test_members_agree_whatever_their_order(self):
        """Guards against two owners that compete for a replica."""
        members = [f"m{i}" for i in range(9)]
        expected = owner_preferences(["a", "b", "c"], members)
        Random(1).shuffle(members)
        assert owner_preferences(["c", "a", "b"], members) == expected

    def test_owners_are_spread(self):
        """Guards against one member that owns all services."""
        orders = owner_preferences(
            [f"s{i}" for i in range(5)], [f"m{i}" for i in range(5)]
        )
        assert len({order[0] for order in orders.values()}) == 5

    def test_every_member_can_take_over(self):
        """Guards against a service without owner after members are lost."""
        orders = owner_preferences(["a"], ["m1", "m2", "m3"])
        assert sorted(orders["a"]) == ["m1", "m2", "m3"]
