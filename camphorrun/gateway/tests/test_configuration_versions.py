"""Tests of configurations that are older than the one in force, or invalid."""

import msgspec
import pytest

from ...catalog import Record, RecordPage
from ...core import EventLog, ManualTimerService
from ...metrics import Metrics
from ...platform import CONFIGURATION_TOPIC
from ..state import GatewayState
from .cluster import configuration, route, run_scenario

UNREADABLE = b"{broken"
LOOP = [{"Service": "stage", "After": [0], "PayloadBytes": 1}]
INVALID_ROUTES = {
    "stage-needs-itself": route("r", "/x/", "streaming", "plain", Stages=LOOP),
    "no-service": route("r", "/x/", "safe", ""),
    "no-weight": route(
        "r", "/x/", "safe", "", Split=[{"Service": "plain", "Weight": 0}]
    ),
    "no-time": route("r", "/x/", "safe", "plain", TimeoutMs=0),
}
UNREADABLE_VERSIONS = [
    UNREADABLE,
    b'{"Version": 2, "Routes": [{"Name": 7}]}',
    configuration(2, Routes=[route("r", "/x/", "other", "plain")]),
    configuration(2, Routes=[route("r", "/x/", "safe", "plain", TimeoutMs=1e300)]),
]


def make_state() -> GatewayState:
    events = EventLog("g", ManualTimerService(), None)
    return GatewayState("g|10.0.0.1:1|x|z", Metrics(), events)


def apply_value(
    state: GatewayState, value: bytes, offset: int, *, era: int = 1, rank=()
) -> None:
    record = Record("config", offset, value, era, rank)
    page = RecordPage((record,), offset + 1, is_listing=True, era=era)
    state.apply(CONFIGURATION_TOPIC, page, "test")


def encode(version: int, **changes) -> bytes:
    return msgspec.json.encode(configuration(version, **changes))


class TestOlderVersions:
    """Versions that are lower than the one in force."""

    def test_copy_of_the_store_after_an_unreadable_record(self):
        """Guards against a version that comes back older.

        The unreadable record has no rank, so any record of a later era replaces it.
        """
        state = make_state()
        apply_value(state, encode(7), 3, rank=(7,))
        apply_value(state, UNREADABLE, 4)
        apply_value(state, encode(5), 2, era=2, rank=(5,))
        assert state.deployment.version == 7

    def test_higher_version_after_an_older_one(self):
        """Guards against a gateway that ignores the versions after an older one."""
        state = make_state()
        apply_value(state, encode(7), 3, rank=(7,))
        apply_value(state, encode(5), 4, rank=(5,))
        apply_value(state, encode(8), 5, rank=(8,))
        assert state.deployment.version == 8


class TestInvalidVersions:
    """Versions that can't be followed, as a whole or in one route."""

    @pytest.mark.parametrize("name", INVALID_ROUTES)
    def test_invalid_route_costs_itself_alone(self, name):
        """Guards against a version that is ignored because of one of its routes."""

        async def scenario(cluster):
            routes = [route("new", "/new/", "safe", "plain"), INVALID_ROUTES[name]]
            cluster.store.put("keyed.op", "config", configuration(2, Routes=routes))
            daemon = cluster.daemons[0]
            await cluster.wait_until(lambda: daemon.state.deployment.version == 2, 1.5)
            assert (await cluster.send_request("/new/x")).status == 200
            assert (await cluster.send_request("/safe/x")).status == 404
            refusal = await cluster.send_request("/x/y")
            assert (refusal.status, refusal.headers["x-reason"]) == (
                503,
                "invalid_route",
            )
            valid = configuration(3, Routes=[route("x", "/x/", "safe", "plain")])
            cluster.store.put("keyed.op", "config", valid)
            await cluster.wait_until(lambda: daemon.state.deployment.version == 3, 1.5)
            assert (await cluster.send_request("/x/y")).status == 200

        run_scenario(scenario)

    @pytest.mark.parametrize("value", UNREADABLE_VERSIONS)
    def test_unreadable_version(self, value):
        """Guards against a version that is in force in a part, or stops later ones."""

        async def scenario(cluster):
            cluster.store.put("keyed.op", "config", value)
            daemon = cluster.daemons[0]
            await cluster.wait_until(
                lambda: daemon.state.views[CONFIGURATION_TOPIC].end == 2
            )
            assert daemon.state.deployment.version == 1
            assert (await cluster.send_request("/safe/x")).status == 200
            cluster.store.put("keyed.op", "config", configuration(3))
            await cluster.wait_until(lambda: daemon.state.deployment.version == 3, 1.5)

        run_scenario(scenario)

    def test_start_with_an_unreadable_version(self):
        """Guards against a gateway that ends or never serves after such a start."""

        async def scenario(cluster):
            cluster.store.put("keyed.op", "config", UNREADABLE)
            late = cluster.add_gateway("late")
            await cluster.wait_until(lambda: late.state.peers_queried)
            assert late.state.deployment is None
            assert (await cluster.send_request("/safe/x", gateway=0)).status == 503
            cluster.store.put("keyed.op", "config", configuration(3))
            await cluster.wait_until(lambda: late.state.ready)
            assert (await cluster.send_request("/safe/x", gateway=0)).status == 200

        run_scenario(scenario, gateways=0)


class TestAddedRoutes:
    """Routes of a new version."""

    def test_weights_below_one(self):
        """Guards against a split whose fractions are cut to nothing."""
        state = make_state()
        split = [
            {"Service": "plain", "Weight": 0.75},
            {"Service": "stage", "Weight": 0.25},
        ]
        routes = [route("r", "/r/", "safe", "", Split=split)]
        apply_value(state, encode(2, Routes=routes), 1, rank=(2,))
        (added,) = state.deployment.routes
        chosen = [added.service_for((n + 0.5) / 100) for n in range(100)]
        assert chosen.count("plain") == 75

    def test_added_route_is_served_beside_a_removed_one(self):
        """Guards against an added route that is served later than the others."""

        async def scenario(cluster):
            added = route("added", "/safe/deep/", "unsafe", "plain")
            kept = configuration()["Routes"][1:]
            cluster.store.put(
                "keyed.op", "config", configuration(2, Routes=[*kept, added])
            )
            for gateway, daemon in enumerate(cluster.daemons):
                await cluster.wait_until(
                    lambda d=daemon: d.state.deployment.version == 2, 1.5
                )
                answer = await cluster.send_request("/safe/deep/x", gateway=gateway)
                assert answer.status == 200
                assert (
                    await cluster.send_request("/safe/x", gateway=gateway)
                ).status == 404

        run_scenario(scenario, gateways=3)
