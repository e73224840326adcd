"""Orders to a stand-in endpoint: load and unload models, change the role."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Literal

from ..core import CamphorrunError


class OrderError(CamphorrunError):
    """An order that the endpoint refuses."""

    default_code = "bad_order"


@dataclass(frozen=True, slots=True)
class Order:
    """One order: ``model`` for ``load`` and ``unload``, ``role`` for ``role``."""

    action: Literal["load", "unload", "role"]
    model: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class OrderState:
    """What an endpoint serves, and what it is loading."""

    models: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()
    role: str = ""
    max_models: int = 0
    busy_role_change: bool = False


class OrderBook:
    """Carries out orders and knows what the endpoint serves.

    Parameters
    ----------
    fetch : callable
        Fetches the weights of a model; raises ``OrderError`` if it cannot.
    max_models : int
        Models that fit into memory, 0 for any number.
    busy_role_change : bool
        Whether the role may change while calls are in flight.
    """

    def __init__(
        self,
        fetch: Callable[[str], Awaitable[None]],
        max_models: int = 0,
        busy_role_change: bool = False,
    ):
        self._fetch = fetch
        self._max_models = max_models
        self._busy_role_change = busy_role_change
        self._models: list[str] = []
        self._loading: list[str] = []
        self._role = ""
        self.executed_orders = 0

    def state(self) -> OrderState:
        """Return the present state."""
        return OrderState(
            tuple(self._models),
            tuple(self._loading),
            self._role,
            self._max_models,
            self._busy_role_change,
        )

    async def execute(self, order: Order) -> OrderState:
        """Carry out an order and return the new state; repeating it has no effect.

        Raises
        ------
        OrderError
            If the weights cannot be fetched now.
        """
        if order.action == "load":
            await self._load(order.model)
        elif order.action == "unload":
            self._models = [name for name in self._models if name != order.model]
        else:
            self._role = order.role
        self.executed_orders += 1
        return self.state()

    async def _load(self, model: str) -> None:
        if model in self._models:
            return
        if model in self._loading:
            raise OrderError(f"{model} is being loaded", code="in_progress")
        taken = len(self._models) + len(self._loading)
        if self._max_models and taken >= self._max_models:
            raise OrderError(f"no memory for {model}", code="no_memory")
        self._loading.append(model)
        try:
            await self._fetch(model)
        finally:
            self._loading.remove(model)
        self._models.append(model)
