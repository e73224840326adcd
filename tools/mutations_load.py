"""Mutations of what carries reported loads, uneven hosts and weighted duties.

Run by ``python -m tools.mutations`` with those of the other mechanisms.
"""

from .mutations_fleet import Mutation

LOADS = "camphorrun/platform/tests/test_loads.py"
REPORTED = "camphorrun/routing/tests/test_reported_load.py"
REPORTS = "camphorrun/gateway/tests/test_reported_load.py"
UNEVEN = "camphorrun/gateway/tests/test_uneven_stages.py"
BATCHES = "camphorrun/pipeline/tests/test_batches.py"
ORDERS = "camphorrun/routing/tests/test_duties.py"
DUTIES = "camphorrun/gateway/tests/test_duties.py"
HOST_LIMITS = "camphorrun/settings/tests/test_host_limits.py"

LOAD_MUTATIONS = (
    Mutation(
        "load: an impossible speed is malformed",
        "camphorrun/platform/loads.py",
        "    if not 0 < percent <= MAX_SLOWDOWN_PERCENT:\n",
        "    if False:\n",
        LOADS,
    ),
    Mutation(
        "load: a malformed report is counted",
        "camphorrun/gateway/replicas.py",
        "        if notice.is_load_malformed:\n",
        "        if False:\n",
        REPORTS,
    ),
    Mutation(
        "load: a reported speed loses its weight with age",
        "camphorrun/routing/reported_load.py",
        "        return _halved(now - self._speed_at, SPEED_HALF_LIFE_SECONDS)\n",
        "        return 1.0\n",
        REPORTED,
    ),
    Mutation(
        "load: a single report is bounded",
        "camphorrun/routing/reported_load.py",
        "        slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, load.slowdown))\n",
        "        slowdown = load.slowdown\n",
        REPORTED,
    ),
    Mutation(
        "load: an old average of an idle replica loses its weight",
        "camphorrun/routing/reported_load.py",
        "        underlying = max(MIN_SLOWDOWN, observed) ** observed_weight\n",
        "        underlying = max(MIN_SLOWDOWN, observed)\n",
        REPORTED,
    ),
    Mutation(
        "load: a latency is multiplied by the speed relative to the mean",
        "camphorrun/routing/reported_load.py",
        "(self._speed / self._mean_slowdown) ** self",
        "self._speed ** self",
        REPORTED,
    ),
    Mutation(
        "load: requests of other gateways count at a plain replica",
        "camphorrun/routing/endpoints.py",
        "LoadReport(load.running, load.slots, load.waiting)",
        "LoadReport(0, load.slots, 0)",
        REPORTED,
    ),
    Mutation(
        "load: the load of a plain replica loses its weight with age",
        "camphorrun/routing/endpoints.py",
        "        if self.reported is None:\n            return REPORT",
        "        if True:\n            return REPORT",
        REPORTED,
    ),
    Mutation(
        "load: a plain replica that has become slow gets less",
        "camphorrun/routing/endpoints.py",
        "self.reported.relative_slowdown(now) if self.reported else 1.0",
        "1.0",
        REPORTED,
    ),
    Mutation(
        "load: the reported speed replaces the observed one",
        "camphorrun/gateway/stage_workers.py",
        "        return reported.slowdown(self.slowdown, self.idle_since, now)\n",
        "        return self.slowdown\n",
        UNEVEN,
    ),
    Mutation(
        "load: an optimistic report does not shorten a time-out",
        "camphorrun/gateway/stage_workers.py",
        "        return max(1.0, self.slowdown, self.current_slowdown(now))\n",
        "        return max(1.0, self.current_slowdown(now))\n",
        UNEVEN,
    ),
    Mutation(
        "load: a replica in use by another owner is free later",
        "camphorrun/gateway/stage_owner.py",
        "            worker.on_load_report(self._capacity, asked_at, now)\n",
        "",
        UNEVEN + "::TestOtherOwners",
    ),
    Mutation(
        "load: a replica in use by another owner waits for a backlog",
        "camphorrun/gateway/stage_workers.py",
        "    if not is_slow and not wait_s:\n",
        "    if not is_slow:\n",
        UNEVEN + "::TestOtherOwners",
    ),
    Mutation(
        "load: the answered call is the owner's own",
        "camphorrun/gateway/stage_workers.py",
        "        others = present - self.active_calls\n",
        "        others = present\n",
        UNEVEN,
    ),
    Mutation(
        "load: an urgent group is left to a faster replica",
        "camphorrun/pipeline/call_speed.py",
        "        if end_at <= due_at:\n",
        "        if True:\n",
        BATCHES,
    ),
    Mutation(
        "load: faster replicas are left one call each",
        "camphorrun/pipeline/call_speed.py",
        "        replica = pieces_before // batch\n",
        "        replica = 0\n",
        BATCHES,
    ),
    Mutation(
        "load: lateness follows the speed of the replicas",
        "camphorrun/pipeline/batches.py",
        "        return self.capacity.call_time_s(pieces) * self.slowdown\n",
        "        return self.capacity.call_time_s(pieces)\n",
        BATCHES,
    ),
    Mutation(
        "load: a slow replica is used behind a backlog",
        "camphorrun/gateway/stage_workers.py",
        "    return queue.backlog_s(backlog_speed(fast_workers, now)) > extra_s\n",
        "    return False\n",
        UNEVEN,
    ),
    Mutation(
        "load: the owner reports the extra time of a call",
        "camphorrun/gateway/stage_owner.py",
        "        return (self._queue.slowdown - 1.0) * call_s\n",
        "        return 0.0\n",
        REPORTS,
    ),
    Mutation(
        "duties: members have duties in proportion to their weights",
        "camphorrun/routing/duties.py",
        "    return -math.log1p(-fraction) / weight, hash_value\n",
        "    return -math.log1p(-fraction), hash_value\n",
        ORDERS,
    ),
    Mutation(
        "duties: a weight counts in a rank that keeps the ratio",
        "camphorrun/routing/duties.py",
        "    return -math.log1p(-fraction) / weight, hash_value\n",
        "    return fraction / weight, hash_value\n",
        ORDERS,
    ),
    Mutation(
        "duties: equal ranks are in the order of the hashes",
        "camphorrun/routing/duties.py",
        "    return -math.log1p(-fraction) / weight, hash_value\n",
        "    return -math.log1p(-fraction) / weight, 0\n",
        ORDERS,
    ),
    Mutation(
        "duties: the scarcest limit counts",
        "camphorrun/routing/duties.py",
        "min(multiples, default=MIN_WEIGHT)",
        "max(multiples, default=MIN_WEIGHT)",
        ORDERS,
    ),
    Mutation(
        "duties: further services follow the weights",
        "camphorrun/routing/ownership.py",
        "owned_services[m] / weights.get(m, 1)",
        "owned_services[m]",
        ORDERS,
    ),
    Mutation(
        "duties: an invalid weight counts as the least one",
        "camphorrun/gateway/peers.py",
        "    if text not in _WEIGHTS:\n",
        "    if not text.isdecimal():\n",
        DUTIES,
    ),
    Mutation(
        "duties: owners of stage services are weighted",
        "camphorrun/gateway/stage_shards.py",
        "services, sorted(candidates), weights",
        "services, sorted(candidates)",
        DUTIES,
    ),
    Mutation(
        "duties: readers of the store are weighted",
        "camphorrun/gateway/zone_readers.py",
        '{*addresses, self._own_address} - {""}, weights',
        '{*addresses, self._own_address} - {""}',
        DUTIES,
    ),
    Mutation(
        "duties: owners of permits are weighted",
        "camphorrun/gateway/permits.py",
        "rendezvous_order(replica, addresses, weights)",
        "rendezvous_order(replica, addresses)",
        DUTIES,
    ),
    Mutation(
        "duties: a limit that is not stated is not known",
        "camphorrun/settings/gateway.py",
        "    return number if 0 < number < math.inf else 0.0\n",
        "    return number\n",
        HOST_LIMITS,
    ),
)
