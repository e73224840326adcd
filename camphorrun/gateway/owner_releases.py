"""Sends releases of stage results to the gateways that own the stage services.

Load pattern: hosts of the system are stopped in turn while stage services have a
backlog. The owner of a service changes, and only the current one can use the space that
a release frees: it keeps an account of the space of each replica. A release that passes
it by leaves that space unused until the lifetime of the results has passed.
"""

import asyncio
from collections.abc import Callable

from .errors import PeerError
from .messages import ReleaseOrder
from .owner_calls import OwnerCalls
from .peers import Peers
from .stage_shards import StageShards

RELEASE_TIMEOUT_SECONDS = 1.0
# Owners that are tried before this gateway frees the results at the replicas itself.
MAX_RELEASE_OWNERS = 2


class OwnerReleases:
    """Routes releases by service and shard.

    Parameters
    ----------
    calls : OwnerCalls
        Tells which owner a gateway asks first.
    successor_of : callable
        Returns the address of the gateway that owns a service's shard in place of this
        one, empty if this gateway owns it.
    release_here : callable
        Frees results of a service's shard as the owner at this gateway.
    """

    def __init__(
        self,
        peers: Peers,
        shards: StageShards,
        calls: OwnerCalls,
        successor_of: Callable[[str, str], str],
        release_here: Callable[[str, str, list[str]], None],
    ):
        self._peers = peers
        self._shards = shards
        self._calls = calls
        self._successor_of = successor_of
        self._release_here = release_here
        self._tasks: set[asyncio.Task] = set()

    def release(self, service: str, handles: list[str]) -> None:
        """Release results that a request of this gateway does not need any more."""
        for shard, results in self._by_shard(service, handles).items():
            owner = self._calls.next_owner(service, shard, frozenset())
            if owner:
                self._start(owner, shard, ReleaseOrder(service, results))
            else:
                self._receive(shard, ReleaseOrder(service, results))

    def receive(self, order: ReleaseOrder) -> None:
        """Carry out the order of another gateway, or forward it to the owner.

        The sender may not know yet that the owner has changed. An order is forwarded
        once, because two gateways may each take the other for the owner.
        """
        for shard, results in self._by_shard(order.service, order.handles).items():
            part = ReleaseOrder(order.service, results, forwarded=order.forwarded)
            self._receive(shard, part)

    def close(self) -> None:
        """Cancel all calls in progress."""
        for task in self._tasks:
            task.cancel()

    def _by_shard(self, service: str, handles: list[str]) -> dict[str, list[str]]:
        by_shard: dict[str, list[str]] = {}
        for result in handles:
            shard = self._shards.shard_of_result(service, result)
            by_shard.setdefault(shard, []).append(result)
        return by_shard

    def _receive(self, shard: str, order: ReleaseOrder) -> None:
        successor = "" if order.forwarded else self._successor_of(order.service, shard)
        if successor:
            forwarded = ReleaseOrder(order.service, order.handles, forwarded=True)
            self._start(successor, shard, forwarded)
        else:
            self._release_here(order.service, shard, order.handles)

    def _start(self, owner: str, shard: str, order: ReleaseOrder) -> None:
        task = asyncio.ensure_future(self._send(owner, shard, order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, owner: str, shard: str, order: ReleaseOrder) -> None:
        unreachable: set[str] = set()
        while owner and len(unreachable) < MAX_RELEASE_OWNERS:
            try:
                await self._peers.link(owner).call(
                    "/release", order, RELEASE_TIMEOUT_SECONDS
                )
                return
            except PeerError:
                unreachable.add(owner)
                owner = self._calls.next_owner(order.service, shard, unreachable)
        self._release_here(order.service, shard, order.handles)
