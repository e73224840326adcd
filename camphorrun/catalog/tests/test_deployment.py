"""Tests of routes and their services."""

from .. import Deployment, Route, RouteKind


def route(name: str, prefix: str, kind=RouteKind.SAFE, **fields) -> Route:
    return Route(name, "a.test", prefix, kind, 1.0, 0.2, 1, (("s", 1),), **fields)


class TestRoutes:
    """A request belongs to the route with the longest matching path prefix."""

    def test_longest_prefix_matches(self):
        """Guards against a request that goes to the route of a shorter prefix."""
        routes = (route("short", "/a/"), route("long", "/a/b/"))
        deployment = Deployment(1, routes, {})
        assert deployment.route("a.test", "/a/b/c").name == "long"
        assert deployment.route("a.test", "/a/c").name == "short"

    def test_route_of_another_host_does_not_match(self):
        """Guards against a request that goes to a route of another host name."""
        assert Deployment(1, (route("r", "/a/"),), {}).route("b.test", "/a/x") is None


class TestRepeatable:
    """Requests that may be retried after an attempt with unknown outcome."""

    def test_only_safe_routes_and_resumable_streams(self):
        """Guards against a second execution of an unsafe request, such as a charge."""
        assert route("r", "/").repeatable
        assert not route("r", "/", RouteKind.UNSAFE).repeatable
        assert not route("r", "/", RouteKind.STREAM).repeatable
        assert route("r", "/", RouteKind.STREAM, resumable=True).repeatable


class TestSplit:
    """Weighted services of a route."""

    def test_requests_are_split_by_weight(self):
        """Guards against a service that gets more requests than its weight allows."""
        split = Route(
            "r", "h", "/", RouteKind.SAFE, 1, 1, 1, (("a", 90), ("b", 10), ("c", 0))
        )
        chosen = [split.service_for(i / 1000) for i in range(1000)]
        assert chosen.count("a") == 900
        assert chosen.count("c") == 0
