"""Mutations of what keeps the memory of a gateway within its limit.

Run by ``python -m tools.mutations`` with those of the other mechanisms.
"""

from .mutations_fleet import Mutation

ACCOUNT = "camphorrun/limits/tests/test_memory.py"
GUARD = "camphorrun/gateway/tests/test_memory_guard.py"
STALLED = "camphorrun/gateway/tests/test_stalled_callers.py"

MEMORY_MUTATIONS = (
    Mutation(
        "memory: no new request is read while memory is short",
        "camphorrun/gateway/memory_guard.py",
        "        if self.account.level < PressureLevel.REFUSING:\n",
        "        if True:\n",
        GUARD,
    ),
    Mutation(
        "memory: a body that is read in part is refused",
        "camphorrun/http1/server_connection.py",
        "        if self._refusal is None and memory.stops_reading():\n",
        "        if False:\n",
        GUARD + " -k unread_body",
    ),
    Mutation(
        "memory: callers that read nothing are disconnected",
        "camphorrun/gateway/memory_guard.py",
        "                holder.key.abort()\n",
        "                pass\n",
        GUARD,
    ),
    Mutation(
        "memory: a running request that must not run again is kept",
        "camphorrun/limits/memory.py",
        "        if loss is Loss.ONCE and holder.is_running:\n",
        "        if False:\n",
        ACCOUNT,
    ),
    Mutation(
        "memory: callers that lose least are disconnected first",
        "camphorrun/limits/memory.py",
        "in sorted(candidates):",
        "in candidates:",
        ACCOUNT,
    ),
    Mutation(
        "memory: the end of a request gives its bytes back",
        "camphorrun/http1/server_connection.py",
        "            self._request_bytes -= req.held_bytes\n",
        "",
        GUARD + " -k small_load",
    ),
    Mutation(
        "memory: a request whose task never ran gives its bytes back",
        "camphorrun/http1/server_connection.py",
        "            self._task.add_done_callback(lambda _: self._input.release())\n",
        "            pass\n",
        GUARD + " -k never_ran",
    ),
    Mutation(
        "memory: a lease is given back once",
        "camphorrun/limits/memory.py",
        "        if size != self.size and not self._is_released:\n",
        "        if True:\n",
        ACCOUNT,
    ),
    Mutation(
        "memory: a caller that stalls its replica is disconnected",
        "camphorrun/gateway/response_relay.py",
        "            if self._memory is not None and ctx.route.repeatable:\n",
        "            if False:\n",
        STALLED,
    ),
    Mutation(
        "memory: a response that nothing gives again waits for its caller",
        "camphorrun/gateway/response_relay.py",
        "            if self._memory is not None and ctx.route.repeatable:\n",
        "            if self._memory is not None:\n",
        STALLED,
    ),
    Mutation(
        "memory: the limit follows the memory of the host",
        "camphorrun/limits/memory.py",
        "    return int(free_mb * HELD_SHARE * BYTES_PER_MB)\n",
        "    return 10**12\n",
        "tests/test_memory_process.py",
    ),
)
