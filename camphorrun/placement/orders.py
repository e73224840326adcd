"""Next order that brings the models and the role of an endpoint to its placement."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

from ..configuration import Placement, model_name


@dataclass(frozen=True, slots=True)
class Order:
    """Order to an endpoint; ``load`` and ``unload`` name a model, ``role`` a role."""

    action: Literal["load", "unload", "role"]
    model: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class EndpointContents:
    """Models and role of an endpoint, and its calls.

    Attributes
    ----------
    models, loading : tuple of str
        Loaded models, and models that are being loaded.
    role : str
        Present role.
    max_models : int
        Number of models that fit into memory, 0 if the endpoint does not report it.
    busy_role_change : bool
        Whether the endpoint can change its role while calls are in flight.
    in_flight : int
        Number of calls in flight that the agent knows of.
    in_use : frozenset of str
        Models of the queued calls and calls in flight that the agent knows of.
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
        """Whether another model fits into memory."""
        return not self.max_models or len(self.models) < self.max_models


def next_order(
    state: EndpointContents,
    placement: Placement,
    other_hosts_by_model: Mapping[str, int],
) -> Order | None:
    """Return the next order, or None if none is needed or possible now.

    While there is room, loads come before unloads, so that a new version is loaded
    before the old one is unloaded. Without room, models of which the placement contains
    no version are unloaded first. None is returned while a model is being loaded.

    Parameters
    ----------
    state : EndpointContents
        Present models and role.
    placement : Placement
        Desired models and role.
    other_hosts_by_model : mapping
        Number of other hosts whose placement contains a model, by model name.

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
    unloads = _unloads(state, placement, other_hosts_by_model)
    if unloads:
        return Order("unload", unloads[0])
    return _role_order(state, placement)


def kept_models(
    state: EndpointContents,
    placement: Placement,
    other_hosts_by_model: Mapping[str, int],
) -> tuple[str, ...]:
    """Return the models that stay loaded because no other host serves them.

    A home of a model is a host whose placement contains it. The models returned are
    loaded here, are no longer in the placement, and have no other home. The result
    depends only on the configuration view and the endpoint.

    Two concurrent changes may remove a model from its only two hosts, and both are
    applied. An agent that has read both changes finds no other home and keeps the
    model. An agent that has read only the first change may unload it. The agent of the
    host in the second change has always read the first one, which is earlier in the
    log, so it keeps the model.
    """
    return tuple(
        model
        for model in _unplaced_models(state, placement)
        if _is_last_home(model, state, placement, other_hosts_by_model)
    )


def _unplaced_models(state: EndpointContents, placement: Placement) -> list[str]:
    return [model for model in state.models if model not in placement.models]


def _is_last_home(
    model: str,
    state: EndpointContents,
    placement: Placement,
    other_hosts_by_model: Mapping[str, int],
) -> bool:
    """Whether no other host serves the model, and no placed version is loaded here."""
    name = model_name(model)
    has_other_version = any(
        model_name(other) == name and other in state.models
        for other in placement.models
    )
    return not has_other_version and other_hosts_by_model.get(name, 0) == 0


def _unloads(
    state: EndpointContents,
    placement: Placement,
    other_hosts_by_model: Mapping[str, int],
) -> list[str]:
    """Return the models that may be unloaded now.

    Models of which the placement contains no version come first.
    """
    placed_names = {model_name(model) for model in placement.models}
    unloadable = [
        model
        for model in _unplaced_models(state, placement)
        if not _is_in_use(model, state)
        and not _is_last_home(model, state, placement, other_hosts_by_model)
    ]
    return sorted(unloadable, key=lambda model: model_name(model) in placed_names)


def _is_in_use(model: str, state: EndpointContents) -> bool:
    """Whether calls use this version of a model.

    Calls use it if they name it, or if they name the model without a version and no
    other version of the model is loaded.
    """
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
