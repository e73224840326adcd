"""The next order that brings an endpoint closer to its placement."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

from ..configuration import Placement, model_name


@dataclass(frozen=True, slots=True)
class Order:
    """One order: ``model`` for ``load`` and ``unload``, ``role`` for ``role``."""

    action: Literal["load", "unload", "role"]
    model: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class EndpointContents:
    """What an endpoint serves.

    Attributes
    ----------
    models, loading : tuple of str
        Loaded models, and those being loaded.
    role : str
        Present role.
    max_models : int
        Models that fit into its memory, 0 if it does not report that.
    busy_role_change : bool
        Whether it changes its role while calls are in flight.
    in_flight : int
        Calls in flight, as the agent knows them.
    in_use : frozenset of str
        Models of calls that are queued or in flight, as the agent knows them.
    """

    models: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()
    role: str = ""
    max_models: int = 0
    busy_role_change: bool = False
    in_flight: int = 0
    in_use: frozenset[str] = frozenset()

    @property
    def has_room(self) -> bool:
        """Whether another model fits."""
        return not self.max_models or len(self.models) < self.max_models


def next_order(
    state: EndpointContents, placement: Placement, homes: Mapping[str, int]
) -> Order | None:
    """Return the next order, None if there is nothing to do or it must wait.

    Loads come before unloads while there is room, so a new version is loaded before
    the old one is unloaded. Without room, models that the placement does not need in
    any version are unloaded first.

    Parameters
    ----------
    state : EndpointContents
        Present state.
    placement : Placement
        Desired state.
    homes : mapping
        Number of other hosts whose placements hold a model name.

    Examples
    --------
    >>> state = EndpointContents(models=("a@1",))
    >>> next_order(state, Placement("host", ("a@2",)), {})
    Order(action='load', model='a@2', role='')
    """
    if state.loading:
        return None
    missing = [model for model in placement.models if model not in state.models]
    if missing and state.has_room:
        return Order("load", missing[0])
    unloads = _unloads(state, placement, homes)
    if unloads:
        return Order("unload", unloads[0])
    return _role_order(state, placement)


def kept_models(
    state: EndpointContents, placement: Placement, homes: Mapping[str, int]
) -> tuple[str, ...]:
    """Return models that stay although the placement lacks them: last homes.

    The result depends on the view and the endpoint only. When two changes remove a
    model from its two hosts, both win, and an agent that has read both finds no other
    home. One that has read only the first may unload it, but the agent of the second
    cannot have missed the first, which is earlier in the log, and keeps the model.
    """
    return tuple(
        model
        for model in _unplaced_models(state, placement)
        if _is_last_home(model, state, placement, homes)
    )


def _unplaced_models(state: EndpointContents, placement: Placement) -> list[str]:
    return [model for model in state.models if model not in placement.models]


def _is_last_home(
    model: str,
    state: EndpointContents,
    placement: Placement,
    homes: Mapping[str, int],
) -> bool:
    """Whether no other host and no loaded version here serves the model."""
    name = model_name(model)
    has_other_version = any(
        model_name(other) == name and other in state.models
        for other in placement.models
    )
    return not has_other_version and homes.get(name, 0) == 0


def _unloads(
    state: EndpointContents, placement: Placement, homes: Mapping[str, int]
) -> list[str]:
    """Return the models that may be unloaded now, the least needed one first."""
    placed_names = {model_name(model) for model in placement.models}
    unloadable = [
        model
        for model in _unplaced_models(state, placement)
        if not _is_in_use(model, state)
        and not _is_last_home(model, state, placement, homes)
    ]
    return sorted(unloadable, key=lambda model: model_name(model) in placed_names)


def _is_in_use(model: str, state: EndpointContents) -> bool:
    """Whether calls name this version, or name the model and only it is loaded."""
    name = model_name(model)
    if model in state.in_use:
        return True
    others = [
        loaded
        for loaded in state.models
        if loaded != model and model_name(loaded) == name
    ]
    return name in state.in_use and not others


def _role_order(state: EndpointContents, placement: Placement) -> Order | None:
    if not placement.role or placement.role == state.role:
        return None
    if state.in_flight and not state.busy_role_change:
        return None
    return Order("role", role=placement.role)
