"""Mutations of what limits the requests to cold replicas.

Run by ``python -m tools.mutations`` with those of the other mechanisms.
"""

from .mutations_fleet import Mutation

COLD = "camphorrun/gateway/tests/test_cold_replicas.py"
COLD_PERMITS = "camphorrun/gateway/tests/test_cold_permits.py"
COLD_LIMITS = "camphorrun/limits/tests/test_cold.py"
TEMPLATE = "camphorrun/settings/tests/test_template.py"

COLD_MUTATIONS = (
    Mutation(
        "cold: a pool needs a majority of the members",
        "camphorrun/limits/permits.py",
        "            return float(2 * len(self._leases) > self._group_size)\n",
        "            return 1.0\n",
        COLD_PERMITS,
    ),
    Mutation(
        "cold: the whole rate is granted with a majority",
        "camphorrun/limits/permits.py",
        "            return float(2 * len(self._leases) > self._group_size)\n",
        "            return float(2 * len(self._leases) > self._group_size) / 2\n",
        COLD_PERMITS,
    ),
    Mutation(
        "cold: a gateway that is no member any more lends nothing",
        "camphorrun/gateway/membership.py",
        "else max(0.0, self._until - now)",
        "else 9.0",
        COLD_PERMITS,
    ),
    Mutation(
        "cold: a gateway that others may not know yet lends nothing",
        "camphorrun/gateway/membership.py",
        "SETTLING_LEASES = 2.0",
        "SETTLING_LEASES = 0.0",
        COLD_PERMITS,
    ),
    Mutation(
        "cold: an order that was delivered late revives no lease",
        "camphorrun/gateway/permit_owner.py",
        "order.lease_s - (now - issued_at)",
        "order.lease_s",
        COLD_PERMITS,
    ),
    Mutation(
        "cold: the life of a permit counts from before its request",
        "camphorrun/gateway/permits.py",
        "        valid_until = asked_at + reply.wait_s",
        "        valid_until = self._timers.now() + reply.wait_s",
        COLD_PERMITS,
    ),
    Mutation(
        "cold: a new gateway may ask for permits",
        "camphorrun/limits/permits.py",
        "            return ends[majority] - now if majority < len(ends) else 0.0\n",
        "            return ends[majority] - now if lender in self._leases else 0.0\n",
        COLD_PERMITS,
    ),
    Mutation(
        "cold: the burst is bounded",
        "camphorrun/limits/cold.py",
        "    burst = max(0.0, min(allowed - rate * span_s, wanted_burst))\n",
        "    burst = wanted_burst\n",
        COLD_LIMITS,
    ),
    Mutation(
        "cold: the rate leaves room for the lifetime of permits",
        "camphorrun/limits/cold.py",
        "    rate = max(0.0, min(requests_per_s, (allowed - 1.0) / span_s))\n",
        "    rate = requests_per_s\n",
        COLD_LIMITS,
    ),
    Mutation(
        "cold: a belief ends by time only",
        "camphorrun/limits/cold.py",
        "            if until <= known.until or (is_told and not is_longer):\n",
        "            if is_told and not is_longer:\n",
        COLD_LIMITS,
    ),
    Mutation(
        "cold: what others tell does not become longer by being repeated",
        "camphorrun/limits/cold.py",
        "            if until <= known.until or (is_told and not is_longer):\n",
        "            if until <= known.until:\n",
        COLD_LIMITS,
    ),
    Mutation(
        "cold: a replica that starts is cold",
        "camphorrun/gateway/cold_replicas.py",
        "            if replica.cold_remaining_s or not is_settling:\n",
        "            if False:\n",
        f"{COLD} -k started_replica",
    ),
    Mutation(
        "cold: a replica that answers after a loss of contact is cold",
        "camphorrun/gateway/replica_handle.py",
        "            self._cold_replicas.on_reconnection(self.replica)\n",
        "            pass\n",
        f"{COLD} -k restarts_at",
    ),
    Mutation(
        "cold: an open connection proves the process",
        "camphorrun/gateway/replica_handle.py",
        "        if is_same_process:\n",
        "        if False:\n",
        f"{COLD} -k single_connection",
    ),
    Mutation(
        "cold: nothing is sent to a cold replica without a permit",
        "camphorrun/gateway/permits.py",
        "return self._limits.limit_in_force(boot, self._timers.now()) is not None",
        "return False",
        "tests/test_cold_processes.py",
    ),
    Mutation(
        "cold: a gateway of the previous release grants no permits",
        "camphorrun/gateway/permits.py",
        "        if reply.version < COLD_SCHEMA_VERSION:\n",
        "        if False:\n",
        f"{COLD_PERMITS} -k previous_release",
    ),
    Mutation(
        "cold: an answer tells it",
        "camphorrun/gateway/cold_replicas.py",
        '        return self._mark(replica, cold_s, "answer")\n',
        "        return False\n",
        f"{COLD} -k answer_tells",
    ),
    Mutation(
        "cold: gateways tell each other",
        "camphorrun/gateway/state.py",
        "        for boot in self.rate_limits.merge_cold(known, now):\n",
        "        for boot in ():\n",
        f"{COLD} -k answer_tells",
    ),
    Mutation(
        "cold: a zone that returns is cold",
        "camphorrun/gateway/cold_replicas.py",
        '                self._mark_start(replica, "zone_returned")\n',
        "                pass\n",
        f"{COLD} -k zone_that_returns",
    ),
    Mutation(
        "cold: an old registration is not told to others",
        "camphorrun/gateway/cold_replicas.py",
        '"registered", is_certain=False',
        '"registered", is_certain=True',
        f"{COLD} -k old_registrations",
    ),
    Mutation(
        "cold: permits are requested in advance",
        "camphorrun/gateway/replica_choice.py",
        "            return replace(decision, cold_handle=self._rng.choice(cold))\n",
        "            pass\n",
        f"{COLD} -k started_replica",
    ),
    Mutation(
        "cold: a warm replica takes the request meanwhile",
        "camphorrun/gateway/replica_choice.py",
        "        warm = [h for h in handles if not h.is_cold]\n        decision =",
        "        warm = []\n        decision =",
        f"{COLD} -k slow_owner",
    ),
    Mutation(
        "cold: times are not compared with those of warm replicas",
        "camphorrun/gateway/attempts.py",
        "latency_s = None if is_cold else elapsed_s",
        "latency_s = elapsed_s",
        f"{COLD} -k not_compared",
    ),
    Mutation(
        "cold: times do not enter the forecast of first events",
        "camphorrun/gateway/attempts.py",
        "ctx.route.uses_engine and not is_cold:",
        "ctx.route.uses_engine:",
        f"{COLD} -k not_compared",
    ),
    Mutation(
        "cold: call times of a stage replica do not count",
        "camphorrun/gateway/stage_owner.py",
        "        if not was_cold:\n            worker",
        "        if True:\n            worker",
        f"{COLD} -k stage_replica",
    ),
    Mutation(
        "cold: a value that is absent is left out of the settings",
        "deploy/gateway.json.template",
        "{{#Bounds.ColdTolerance}}",
        "",
        TEMPLATE,
    ),
)
