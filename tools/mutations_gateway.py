"""Mutations of what keeps gateways right about lost messages and lost replicas.

Run by ``python -m tools.mutations`` with those of the other mechanisms.
"""

from .mutations_fleet import NOTICES, Mutation

STARTS = "camphorrun/gateway/replica_starts.py"
REMOTE_ORDERS = "camphorrun/gateway/remote_orders.py"
CANCELLED = "camphorrun/gateway/tests/test_cancelled_orders.py"
REGISTRATIONS = "camphorrun/gateway/tests/test_registrations.py"
ORDERS = "camphorrun/gateway/tests/test_evacuation_orders.py"
LOST_ZONES = "camphorrun/gateway/tests/test_cold_replicas.py -k TestLostZones"

GATEWAY_MUTATIONS = (
    Mutation(
        "gateway: an order whose reply is not read is cancelled",
        "camphorrun/gateway/owner_calls.py",
        "if order.order_id and was_accepted:",
        "if False:",
        CANCELLED,
    ),
    Mutation(
        "gateway: a cancellation that is lost is sent again",
        "camphorrun/gateway/piece_cancels.py",
        "                    continue\n",
        "                    return\n",
        CANCELLED,
    ),
    Mutation(
        "gateway: the results of a cancelled order are released",
        REMOTE_ORDERS,
        "            self._releases.release(answered.service, answered.handles)\n",
        "",
        CANCELLED,
    ),
    Mutation(
        "gateway: an order that arrives after its cancellation is not carried out",
        REMOTE_ORDERS,
        "if self._overtaken.pop(order.order_id, None) is not None:",
        "if False:",
        CANCELLED,
    ),
    Mutation(
        "gateway: an owner keeps a bounded number of results",
        REMOTE_ORDERS,
        "while self._result_count > MAX_RESULTS:",
        "while False:",
        CANCELLED,
    ),
    Mutation(
        "evacuation: a listed order without a readable offset is newer than a removal",
        "camphorrun/platform/store.py",
        "        offset = end - 1\n",
        "        offset = -1\n",
        f"{ORDERS} -k offset_is_unreadable",
    ),
    Mutation(
        "evacuation: an order ends with a listing that lacks it",
        "camphorrun/catalog/records.py",
        "return bool(current.value) and not self.value",
        "return False",
        f"{ORDERS} -k offset_is_unreadable",
    ),
    Mutation(
        "zones: time-outs before a zone is known to be lost count",
        "camphorrun/gateway/zone_losses.py",
        "            for name in silent:\n",
        "            for name in silent[-1:]:\n",
        LOST_ZONES,
    ),
    Mutation(
        "zones: replicas whose registrations expired together return cold",
        "camphorrun/gateway/cold_replicas.py",
        "            if self._losses.take(replica):\n                # ",
        "            if False:\n                # ",
        LOST_ZONES,
    ),
    Mutation(
        "zones: an expiry is noticed that is read with the return",
        "camphorrun/gateway/state.py",
        "            self._remove_returned(page, changed, source)\n",
        "            pass\n",
        LOST_ZONES,
    ),
    Mutation(
        "registrations: a peer tells one that a foreign entry hides",
        "camphorrun/catalog/records.py",
        "page.end >= self._hidden.get(record.key, math.inf)",
        "False",
        REGISTRATIONS,
    ),
    Mutation(
        "registrations: a peer that has read less tells no hidden one",
        "camphorrun/catalog/records.py",
        "page.end >= self._hidden.get(record.key, math.inf)",
        "record.key in self._hidden",
        REGISTRATIONS,
    ),
    Mutation(
        "notices: the shutdown of a replica without a start time ends",
        STARTS,
        "            start.restarts += 1\n",
        "            pass\n",
        f"{NOTICES} -k without_a_start",
    ),
    Mutation(
        "notices: a restart that is not ready ends no shutdown",
        STARTS,
        "        elif replica.state is ReplicaState.READY:\n",
        "        else:\n",
        f"{NOTICES} -k without_a_start",
    ),
    Mutation(
        "notices: a registration of a restored store is no restart",
        STARTS,
        "        if era != start.era:\n",
        "        if not start.era:\n",
        REGISTRATIONS,
    ),
)
