"""Mutations of what keeps requests that crash replicas away from them.

Run by ``python -m tools.mutations`` with those of the other mechanisms.
"""

from .mutations_fleet import Mutation

CAUSES = "camphorrun/quarantine/tests/test_quarantine.py"
DEADLY = "camphorrun/gateway/tests/test_deadly_requests.py"
REPORTS = "camphorrun/gateway/tests/test_crash_reports.py"
EVIDENCE = "camphorrun/quarantine/evidence.py"
QUARANTINE = "camphorrun/quarantine/quarantine.py"
GUARD = "camphorrun/gateway/quarantine_guard.py"
DETECTOR = "camphorrun/gateway/crash_detector.py"
HANDLER = "camphorrun/gateway/request_handler.py"

CRASH_MUTATIONS = (
    Mutation(
        "crashes: an answer clears the parts of its request",
        EVIDENCE,
        '        return self._cleared_at.get(suspect, float("-inf"))',
        '        return float("-inf")',
        CAUSES,
    ),
    Mutation(
        "crashes: several at once count as one",
        EVIDENCE,
        "        if not separate or at - separate[-1] >= MIN_CRASH_INTERVAL_SECONDS:",
        "        if True:",
        CAUSES,
    ),
    Mutation(
        "crashes: reports of one crash are merged",
        EVIDENCE,
        "            if crash.replica == replica and earliest <= crash.at <= latest:",
        "            if False:",
        CAUSES,
    ),
    Mutation(
        "crashes: a later start crashes anew",
        EVIDENCE,
        "            if crash.replica == replica and earliest <= crash.at <= latest:",
        "            if crash.replica == replica:",
        CAUSES,
    ),
    Mutation(
        "crashes: a known cause explains them",
        QUARANTINE,
        "(suspect, is_explained if causes else None)",
        "(suspect)",
        CAUSES,
    ),
    Mutation(
        "crashes: a cause waits for answers",
        QUARANTINE,
        "            and now >= times[_min_crashes(cause) - 1] + CONFIRMATION_SECONDS",
        "            and True",
        CAUSES,
    ),
    Mutation(
        "crashes: parts that came together are one cause",
        QUARANTINE,
        "            groups.setdefault(occurrences, set()).add(suspect)",
        "            groups[occurrences | {(0, (suspect,))}] = {suspect}",
        CAUSES,
    ),
    Mutation(
        "crashes: an answered part leaves its cause",
        QUARANTINE,
        "                if len(cause) > 1:",
        "                if False:",
        CAUSES,
    ),
    Mutation(
        "crashes: trials come less and less often",
        QUARANTINE,
        "FIRST_TRIAL_SECONDS * 2.0**self.trials",
        "FIRST_TRIAL_SECONDS",
        CAUSES,
    ),
    Mutation(
        "crashes: a request that comes again is recognised",
        "camphorrun/quarantine/fingerprints.py",
        "    return _REQUEST_PREFIX + _digest(*names, body)",
        "    return _REQUEST_PREFIX + _digest(*names, body, str(id(body)).encode())",
        DEADLY,
    ),
    Mutation(
        "crashes: causes are loaded from the store",
        "camphorrun/gateway/quarantine_store.py",
        "            if record.value:",
        "            if False:",
        REPORTS,
    ),
    Mutation(
        "crashes: one gateway decides on trials",
        GUARD,
        "        if owner == self._own_address:",
        "        if True:",
        DEADLY,
    ),
    Mutation(
        "crashes: a trial ends with its time",
        GUARD,
        "trial is not None and self._timers.now() <= trial.valid_until",
        "trial is not None",
        DEADLY,
    ),
    Mutation(
        "crashes: requests are looked at before their stages",
        HANDLER,
        "            await self._guard.admit(ctx)\n",
        "",
        DEADLY,
    ),
    Mutation(
        "crashes: waiting requests end when their cause is blocked",
        HANDLER,
        "            ctx.blocked_by = cause\n            task.cancel()\n",
        "            ctx.blocked_by = cause\n",
        DEADLY,
    ),
    Mutation(
        "crashes: looked at again before the send",
        "camphorrun/gateway/attempts.py",
        "        self._guard.check(ctx)\n        if ctx.end_at",
        "        if ctx.end_at",
        DEADLY,
    ),
    Mutation(
        "crashes: a replica that lives on has not crashed",
        DETECTOR,
        "        else:\n            conn.abort()\n",
        '        else:\n            self._confirm(replica.boot, crash, "refused")\n',
        REPORTS,
    ),
    Mutation(
        "crashes: a planned end is none",
        DETECTOR,
        'frozenset({"draining", "leaving", EVACUATED})',
        "frozenset()",
        REPORTS,
    ),
    Mutation(
        "crashes: a new start shows one",
        DETECTOR,
        '                self._confirm(boot, crash, "restarted")',
        "                pass",
        REPORTS,
    ),
    Mutation(
        "crashes: a new gateway learns the causes",
        "camphorrun/gateway/peers.py",
        "        if answer.quarantine is not None:",
        "        if False:",
        REPORTS,
    ),
)
