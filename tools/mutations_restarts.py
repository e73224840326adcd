"""Mutations of what serves callers while gateways start again or replace each other.

Run by ``python -m tools.mutations`` with those of the other mechanisms.
"""

from .mutations_fleet import Mutation

RESTARTS = "camphorrun/gateway/tests/test_restarts.py"
OWNER_RELEASES = "camphorrun/gateway/tests/test_owner_releases.py"

RESTART_MUTATIONS = (
    Mutation(
        "restarts: requests wait for a gateway that starts",
        "camphorrun/gateway/request_handler.py",
        "            await self._readiness.wait("
        "caller.deadline_s or DEFAULT_DEADLINE_SECONDS)\n",
        "",
        RESTARTS,
    ),
    Mutation(
        "restarts: the wait is bounded",
        "camphorrun/gateway/readiness.py",
        "MAX_WAIT_SECONDS = 2.0",
        "MAX_WAIT_SECONDS = 60.0",
        RESTARTS,
    ),
    Mutation(
        "restarts: the number of waiting requests is bounded",
        "camphorrun/gateway/readiness.py",
        "self.waiting >= MAX_WAITING_REQUESTS",
        "False",
        RESTARTS,
    ),
    Mutation(
        "restarts: an owner without configuration is replaced",
        "camphorrun/gateway/stage_runner.py",
        "PieceReply({}, UNCONFIGURED)",
        'PieceReply({}, "failed")',
        RESTARTS,
    ),
    Mutation(
        "restarts: large answers are compressed",
        "camphorrun/gateway/sync_encoding.py",
        "MIN_COMPRESSED_BYTES = 4096",
        "MIN_COMPRESSED_BYTES = 1 << 30",
        RESTARTS,
    ),
    Mutation(
        "restarts: a peer that refused a connection is asked again soon",
        "camphorrun/gateway/peers.py",
        "REFUSED_SUSPECT_SECONDS = 0.3",
        "REFUSED_SUSPECT_SECONDS = 1.5",
        RESTARTS,
    ),
    Mutation(
        "restarts: a replaced owner forwards releases",
        "camphorrun/gateway/owner_releases.py",
        '"" if order.forwarded else self._successor_of(order.service, shard)',
        '""',
        OWNER_RELEASES,
    ),
    Mutation(
        "restarts: releases go to the next owner that can be reached",
        "camphorrun/gateway/owner_releases.py",
        "                owner = self._calls.next_owner("
        "order.service, shard, unreachable)\n",
        '                owner = ""\n',
        OWNER_RELEASES,
    ),
)
