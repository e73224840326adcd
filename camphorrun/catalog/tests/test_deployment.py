"""Tests of routes and their services."""

from .. import Deployment, Route, RouteKind


def route(name: str, prefix: str, kind=RouteKind.SAFE, **fields) -> Route:
    return Route(name, "a.test", prefix, kind, 1.0, 0.2, 1, (("s", 1),), **fields)


class TestRoutes:
    """The longest prefix decides."""

    def test_longest_prefix(self):
        """Guards against a request that goes to the service of a shorter prefix."""
        routes = (route("short", "/a/"), route("long", "/a/b/"))
        deployment = Deployment(1, routes, {})
        assert deployment.route("a.test", "/a/b/c").name == "long"
        assert deployment.route("a.test", "/a/c").name == "short"

    def test_unknown_host(self):
        """Guards against routes of another host."""
        assert Deployment(1, (route("r", "/a/"),), {}).route("b.test", "/a/x") is None


class TestRepeatable:
    """What may be sent again after an unknown outcome."""

    def test_only_safe_routes_and_resumable_streams(self):
        """Guards against a second charge."""
        assert route("r", "/").repeatable
        assert not route("r", "/", RouteKind.UNSAFE).repeatable
        assert not route("r", "/", RouteKind.STREAM).repeatable
        assert route("r", "/", RouteKind.STREAM, resumable=True).repeatable


class TestSplit:
    """Weighted services of a route."""

    def test_weights(self):
        """Guards against a service that gets more than its weight."""
        split = Route(
            "r", "h", "/", RouteKind.SAFE, 1, 1, 1, (("a", 90), ("b", 10), ("c", 0))
        )
        chosen = [split.service_for(i / 1000) for i in range(1000)]
        assert chosen.count("a") == 900
        assert chosen.count("c") == 0
