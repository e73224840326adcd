"""Tests of the parts of stand-ins, without sockets."""

import asyncio

import pytest

from ...core import ManualTimerService
from .. import Order, OrderBook, OrderError, PrefixCache, WeightServer


class TestPrefixCache:
    """Limited memory, and events that come late and with gaps."""

    def test_least_recently_used_prefix_is_evicted(self):
        """Guards against a cache that never forgets or forgets the wrong one."""
        cache = PrefixCache(ManualTimerService(), 2)
        hits = [cache.use(name) for name in ("a", "b", "a", "c", "a", "b")]
        assert hits == [False, False, True, False, True, False]

    def test_events_come_late_and_with_gaps(self):
        """Guards against events that tell the present state at once."""
        timers = ManualTimerService()
        cache = PrefixCache(timers, 8, event_lag_s=1.0, lose_every=2)
        for name in ("a", "b", "c"):
            cache.use(name)
        assert cache.events(1).events == ()
        timers.advance(1.0)
        assert [event.offset for event in cache.events(1).events] == [1, 3]
        assert cache.events(1).next_offset == 4


class TestOrders:
    """Orders take effect once and fail without a trace."""

    def test_failed_load_leaves_nothing(self):
        """Guards against a model that is served without its weights."""

        async def fetch(model):
            raise OrderError("limited", code="weights_limited")

        book = OrderBook(fetch)
        with pytest.raises(OrderError):
            asyncio.run(book.execute(Order("load", model="m")))
        assert book.state().models == () and book.state().loading == ()

    def test_weight_store_limits_the_rate(self):
        """Guards against a store that grants everything."""
        timers = ManualTimerService()
        store = WeightServer(timers, rate_per_s=1.0, burst=2.0)
        assert [store.try_grant() > 0 for _ in range(3)] == [False, False, True]
        timers.advance(1.0)
        assert store.try_grant() == 0.0
