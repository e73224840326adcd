"""Drives the endpoint to its placement, one order at a time."""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from absl import logging

from ..clients import EndpointError, PlatformError, WeightsRefusedError
from ..configuration import Placement, PlacementIndex, StreamFollower
from ..core import TimerService
from ..metrics import Metrics
from ..placement import EndpointContents, Order, kept_models, next_order
from ..retries import Backoff

COMPARE_SECONDS = 1.0
# Time between two orders, so that an endpoint that acknowledges an order without
# carrying it out is not flooded.
STEP_SECONDS = 0.1
# Entries read a change within 3 s and dispatch by the old placement until then.
UNLOAD_DELAY_SECONDS = 5.0
# A confirmed read is up to two long polls of 5 s old just before the next one ends.
MAX_READ_AGE_SECONDS = 12.0
FIRST_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 30.0
_REFUSALS = {
    "stale_fencing_token": "stale_token",
    "no_memory": "no_memory",
    "in_progress": "in_progress",
    "weights_limited": "weights_refused",
    "weights_unavailable": "weights_unavailable",
}


class OrderedEndpoint(Protocol):
    """The endpoint, as far as orders are concerned."""

    async def contents(self) -> EndpointContents:
        """Return what the endpoint serves or raise ``EndpointError``."""
        ...

    async def give_order(self, order: Order, fencing_token: int) -> EndpointContents:
        """Carry out an order and return the new state or raise ``EndpointError``."""
        ...


class WeightStore(Protocol):
    """Grants fetches of weights."""

    async def take_grant(self, model: str) -> None:
        """Take a grant or raise ``PlatformError``."""
        ...


@dataclass(frozen=True, slots=True)
class EndpointUse:
    """Calls in flight, and the models of calls that are queued or in flight."""

    in_flight: int = 0
    models: frozenset[str] = frozenset()


class OrderDriver:
    """Compares the endpoint with its placement and gives the next order.

    Orders are given only while the view is fresh. This is checked again directly
    before an order is sent. If the process is stopped between that check and the
    sending, one order of an outdated view can still reach the endpoint: a load, an
    unload or a role change. An endpoint that checks the fencing token refuses it once
    it has had an order for a newer version of the placement. At an endpoint that
    ignores the token it takes effect, and the next comparison of the agent that
    replaced this one undoes it. The paused process itself gives no second order,
    because its view is too old until it has read the log again.

    Two cases are not undone. The token is the version of this host's placement, so it
    does not show that the placement of another host has changed; and a model that was
    unloaded by such an order is not loaded again if the placement no longer has it,
    even if this host has become its last home.

    Parameters
    ----------
    host : str
        Name of this host.
    endpoint : OrderedEndpoint
        The endpoint.
    weights : WeightStore or None
        The weight store; None if loads need no grant.
    follower : StreamFollower
        Follower of the stream of placements.
    use : callable
        Returns the ``EndpointUse`` of this moment.
    timers, metrics
        Clock and counters.
    rng : random.Random, optional
        Jitter of the backoff.
    """

    def __init__(
        self,
        host: str,
        endpoint: OrderedEndpoint,
        weights: WeightStore | None,
        follower: StreamFollower,
        use: Callable[[], EndpointUse],
        *,
        timers: TimerService,
        metrics: Metrics,
        rng: random.Random | None = None,
    ):
        self._host = host
        self._endpoint = endpoint
        self._weights = weights
        self._follower = follower
        self._index = PlacementIndex(follower.view)
        self._use = use
        self._timers = timers
        self._metrics = metrics
        self._backoff = Backoff(
            FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, rng or random.Random()
        )
        self._woken = asyncio.Event()
        self._stopped = False
        self._seen_version = -1
        self._seen_at = 0.0
        self._failures = 0
        self._not_before = 0.0
        # Position of the view whose token was refused; 0 if none was.
        self._refused_position = 0
        # Number of models that fit, learnt from a refusal; 0 if none was refused.
        self._learnt_room = 0
        self._granted = ""
        self._contents: EndpointContents | None = None
        self._kept: tuple[str, ...] = ()
        self._last_result = ""

    async def run(self) -> None:
        """Compare periodically, and after changes, until cancelled."""
        subscription = self._timers.subscribe(COMPARE_SECONDS, self.wake)
        try:
            while not self._stopped:
                await self._woken.wait()
                self._woken.clear()
                if self._timers.now() >= self._not_before:
                    await self.step()
        finally:
            subscription.cancel()

    def wake(self) -> None:
        """Compare now, unless a delay is running."""
        self._woken.set()

    def stop(self) -> None:
        """Give no more orders, because the host is about to leave."""
        self._stopped = True
        self.wake()

    def status(self) -> dict[str, object]:
        """Return desired and present state for operators."""
        placement = self._placement()
        present = self._contents
        return {
            "placement_version": self._version(),
            "desired": None if placement is None else dataclasses.asdict(placement),
            "present": None
            if present is None
            else {
                "models": present.models,
                "loading": present.loading,
                "role": present.role,
            },
            "kept_last_home": self._kept,
            "view_is_fresh": self._is_fresh(),
            "stale_token_refused": self._is_refused(),
            "last_result": self._last_result,
        }

    async def step(self) -> None:
        """Read the endpoint's state and give at most one order."""
        if self._placement() is None:
            self._note_kept(())
            return
        if not self._may_order():
            return
        try:
            self._contents = await self._endpoint.contents()
        except EndpointError:
            self._fail("endpoint_unavailable")
            return
        order = self._next_order()
        if order is None:
            self._failures = 0
        elif await self._has_grant(order):
            await self._send(order)

    # Decision.

    def _placement(self) -> Placement | None:
        return self._follower.view.get("placement", self._host)

    def _version(self) -> int:
        return self._follower.view.version("placement", self._host)

    def _is_fresh(self) -> bool:
        return (
            self._follower.synchronised
            and self._follower.read_age_s() < MAX_READ_AGE_SECONDS
        )

    def _is_refused(self) -> bool:
        return 0 < self._refused_position >= self._follower.position

    def _may_order(self) -> bool:
        if not self._is_fresh():
            self._count("view_not_fresh")
            return False
        return not self._stopped and not self._is_refused()

    def _next_order(self) -> Order | None:
        placement = self._placement()
        if placement is None:
            return None
        state = self._with_use(self._contents)
        homes = self._index.other_hosts_by_model(self._host)
        self._note_kept(kept_models(state, placement, homes))
        order = next_order(state, placement, homes)
        now = self._timers.now()
        if self._version() != self._seen_version:
            self._seen_version, self._seen_at = self._version(), now
        is_early = now - self._seen_at < UNLOAD_DELAY_SECONDS
        if order is not None and order.action == "unload" and is_early:
            return None
        return order

    def _with_use(self, contents: EndpointContents) -> EndpointContents:
        use = self._use()
        return dataclasses.replace(
            contents,
            in_flight=use.in_flight,
            in_use=use.models,
            max_models=contents.max_models or self._learnt_room,
        )

    def _note_kept(self, kept: tuple[str, ...]) -> None:
        if kept != self._kept:
            if kept:
                self._count("last_home_kept")
            logging.info("models kept as their last home: %s", list(kept))
        self._kept = kept

    # Effects.

    async def _has_grant(self, order: Order) -> bool:
        """Take the grant that a load needs, once for each model."""
        if self._weights is None or order.action != "load":
            return True
        if self._granted == order.model:
            return True
        try:
            await self._weights.take_grant(order.model)
        except WeightsRefusedError as exc:
            self._fail("weights_refused", exc.retry_after_s)
            return False
        except PlatformError:
            self._fail("weights_unavailable")
            return False
        self._granted = order.model
        return True

    async def _send(self, order: Order) -> None:
        """Send an order if it is still the next one in a view that is fresh."""
        if not self._may_order() or self._next_order() != order:
            return
        try:
            self._contents = await self._endpoint.give_order(order, self._version())
        except EndpointError as exc:
            self._on_refusal(order, exc)
            return
        if order.action == "load":
            self._granted = ""
        if order.action == "unload":
            self._learnt_room = 0
        self._failures = 0
        self._count("done")
        logging.info("order carried out: %s %s%s", *dataclasses.astuple(order))
        self._timers.call_after(STEP_SECONDS, self.wake)

    def _on_refusal(self, order: Order, exc: EndpointError) -> None:
        result = _REFUSALS.get(exc.code, "endpoint_failed")
        if result == "stale_token":
            self._refused_position = self._follower.position
            logging.warning("order refused: a newer placement was ordered already")
            self._count(result)
            return
        if result == "no_memory":
            self._learnt_room = len(self._contents.models)
        elif order.action == "load":
            # The fetch may have used the grant up.
            self._granted = ""
        self._fail(result)

    def _fail(self, result: str, retry_after_s: float = 0.0) -> None:
        """Count a failure and wait, with jitter on top of the time given."""
        self._count(result)
        delay_s = retry_after_s + self._backoff.delay_s(self._failures)
        self._failures += 1
        self._not_before = self._timers.now() + delay_s
        self._timers.call_after(delay_s, self.wake)

    def _count(self, result: str) -> None:
        self._last_result = result
        self._metrics.orders.labels(result).inc()
