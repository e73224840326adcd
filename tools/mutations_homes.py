"""Mutations of what keeps requests within their home regions.

Run by ``python -m tools.mutations`` with those of the other mechanisms.
"""

from .mutations_fleet import Mutation

HOMES = "camphorrun/gateway/tests/test_home_regions.py"
FIELDS = "camphorrun/platform/tests/test_home_regions.py"
QUEUE = "camphorrun/pipeline/tests/test_home_zones.py"

HOME_MUTATIONS = (
    Mutation(
        "homes: a malformed field is no missing one",
        "camphorrun/platform/configuration.py",
        '    return frozenset(), f"expected a list of home regions',
        '    return frozenset(), f"" and f"',
        FIELDS,
    ),
    Mutation(
        "homes: the regions of route and account both apply",
        "camphorrun/catalog/homes.py",
        "frozenset.intersection(*restricting)",
        "frozenset.union(*restricting)",
        FIELDS,
    ),
    Mutation(
        "homes: only replicas in home zones are candidates",
        "camphorrun/gateway/replicas.py",
        "            and is_home(handle.replica.availability_zone, home_zones)\n",
        "",
        HOMES,
    ),
    Mutation(
        "homes: the replica is checked immediately before a send",
        "camphorrun/gateway/replica_handle.py",
        "        if not is_home(self.replica.availability_zone, home_zones):\n",
        "        if False:\n",
        HOMES,
    ),
    Mutation(
        "homes: requests without a replica at home are refused at once",
        "camphorrun/gateway/replica_selection.py",
        "        if any(self._replicas.lacks_home(name, ctx.home_zones) for name in "
        "services):\n",
        "        if False:\n",
        HOMES,
    ),
    Mutation(
        "homes: requests that wait follow a changed configuration",
        "camphorrun/gateway/request_handler.py",
        "                ctx.is_home_changed = True\n                task.cancel()\n",
        "                pass\n",
        HOMES,
    ),
    Mutation(
        "homes: pieces carry the home zones of their request",
        "camphorrun/gateway/stage_runner.py",
        "            home_zones=terms.home_zones,\n        )\n        reply =",
        "        )\n        reply =",
        HOMES,
    ),
    Mutation(
        "homes: gateways that would ignore home zones get no order with them",
        "camphorrun/gateway/owner_calls.py",
        "path = PIECES_PATH if order.home_zones is None else HOME_PIECES_PATH",
        "path = PIECES_PATH",
        HOMES,
    ),
    Mutation(
        "homes: a replica outside takes no group from the queue",
        "camphorrun/pipeline/batches.py",
        "            if not is_home(zone, group.home_zones):\n"
        "                continue\n",
        "",
        QUEUE,
    ),
    Mutation(
        "homes: a slow replica is compared with those at home only",
        "camphorrun/gateway/stage_owner.py",
        "            others = home_workers(usable, home_zones)\n",
        "            others = usable\n",
        HOMES,
    ),
    Mutation(
        "homes: a wait counts what shares the replicas",
        "camphorrun/pipeline/batches.py",
        "    return shared_speed / own_speed if own_speed else 0.0",
        "    return 1.0",
        QUEUE,
    ),
)
