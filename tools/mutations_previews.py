"""Mutations of route previews, for ``tools.mutations``."""

from .mutations_fleet import Mutation

PREVIEW = "camphorrun/gateway/route_preview.py"
TESTS = "camphorrun/gateway/tests/test_route_preview.py"

PREVIEW_MUTATIONS = (
    Mutation(
        "previews: choices are made on copies",
        PREVIEW,
        "        selector = self._selector.copy(ctx)\n",
        "        selector = self._selector\n",
        f"{TESTS} -k thousand",
    ),
    Mutation(
        "previews: loads of engines are copied",
        "camphorrun/routing/explanations.py",
        "policy.engine_loads.copy(request.service, hosts)",
        "policy.engine_loads",
        f"{TESTS} -k thousand",
    ),
    Mutation(
        "previews: a copy draws the next random choices",
        "camphorrun/routing/router.py",
        "        copied._rng.setstate(self._rng.getstate())\n",
        "        pass\n",
        f"{TESTS} -k next_choice",
    ),
    Mutation(
        "previews: no expected retry is used up",
        "camphorrun/gateway/request_handler.py",
        "self._match(caller, self._retry_detector.expects)",
        "self._match(caller, self._retry_detector.is_retry)",
        f"{TESTS} -k thousand",
    ),
    Mutation(
        "previews: costs are those before the choice",
        PREVIEW,
        "costs = unchanged.costs(ctx, decision)",
        "costs = selector.costs(ctx, decision)",
        f"{TESTS} -k costs_are",
    ),
    Mutation(
        "previews: a gateway that is not ready gives none",
        PREVIEW,
        "        if deployment is None or not self._state.ready:\n",
        "        if deployment is None:\n",
        f"{TESTS} -k not_ready",
    ),
)
