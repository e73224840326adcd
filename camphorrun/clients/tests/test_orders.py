"""Tests of orders and grants against the stand-ins, over sockets."""

import asyncio

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from ...core import LoopTimerService
from ...placement import Order
from ...standins import EndpointProfile, EndpointServer, WeightServer
from .. import EndpointClient, EndpointError, WeightsRefusedError, WeightStoreClient


class TestOrdersOverHttp:
    """Load and unload orders with fencing tokens, and grants."""

    def test_granted_load_and_stale_token(self):
        """Guards against clients that don't follow the protocol of the platform.

        A granted load succeeds, an order with a stale token fails, and a second grant
        and a second load exceed the rate limit.
        """

        async def scenario():
            timers = LoopTimerService()
            # The rate limit permits one fetch; the load uses the grant taken before it.
            store = WeightServer(timers, rate_per_s=0.01, burst=1.0, transfer_s=0.0)
            async with (
                TestServer(store.application()) as weights,
                aiohttp.ClientSession() as session,
            ):
                url = str(weights.make_url("/")).rstrip("/")
                profile = EndpointProfile(checks_fencing=True, weight_store_url=url)
                server = EndpointServer(timers, profile)
                async with TestServer(server.application()) as endpoint:
                    client = EndpointClient(session, str(endpoint.make_url("/")))
                    grants = WeightStoreClient(session, url)
                    await grants.take_grant("a@1")
                    state = await client.give_order(Order("load", "a@1"), 5)
                    assert state == await client.contents()
                    assert state.models == ("a@1",)
                    with pytest.raises(EndpointError) as stale:
                        await client.give_order(Order("unload", "a@1"), 4)
                    assert stale.value.code == "stale_fencing_token"
                    with pytest.raises(WeightsRefusedError) as refused:
                        await grants.take_grant("b")
                    assert refused.value.retry_after_s >= 90
                    with pytest.raises(EndpointError) as limited:
                        await client.give_order(Order("load", "b"), 5)
                    assert limited.value.code == "weights_limited"

        asyncio.run(asyncio.wait_for(scenario(), 20))
