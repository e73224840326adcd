"""Tests of the choice of the next order."""

import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import Placement, model_name
from .. import EndpointContents, Order, kept_models, next_order

_MODELS = st.lists(st.sampled_from(("a@1", "a@2", "b", "c")), unique=True).map(tuple)


def apply_order(state: EndpointContents, order: Order) -> EndpointContents:
    models = [model for model in state.models if model != order.model]
    if order.action == "load":
        models.append(order.model)
    role = order.role or state.role
    return dataclasses.replace(state, models=tuple(models), role=role)


class TestNextOrder:
    """Sequence of orders from a present state to a placement."""

    def test_new_version_is_loaded_before_the_old_one_is_unloaded(self):
        """Guards against a model that no version serves while its version changes."""
        state = EndpointContents(("a@1",))
        placement = Placement("h", ("a@2",))
        busy = EndpointContents(("a@1",), ("a@2",))
        assert next_order(busy, placement, {}) is None
        load = next_order(state, placement, {})
        assert load == Order("load", "a@2")
        unload = next_order(apply_order(state, load), placement, {})
        assert unload == Order("unload", "a@1")

    def test_role_waits_for_calls_unless_the_endpoint_allows_it(self):
        """Guards against a role change that interrupts calls in flight."""
        placement = Placement("h", (), "decode")
        busy = EndpointContents(in_flight=1)
        assert next_order(busy, placement, {}) is None
        allowed = dataclasses.replace(busy, busy_role_change=True)
        assert next_order(allowed, placement, {}) == Order("role", role="decode")

    def test_model_in_use_is_not_unloaded(self):
        """Guards against unloading a model that calls use."""
        state = EndpointContents(("a@1",), in_use=frozenset({"a"}))
        assert next_order(state, Placement("h", ()), {"a": 1}) is None

    @settings(derandomize=True, max_examples=300)
    @given(_MODELS, _MODELS, st.integers(2, 4), st.sets(st.sampled_from("abc")))
    def test_orders_end_and_keep_models_without_other_home(
        self, present, wanted, room, elsewhere
    ):
        """Guards against endless orders, too many models, and unloading a last copy."""
        placement = Placement("h", wanted[:room], "r")
        other_hosts_by_model = dict.fromkeys(elsewhere, 1)
        state = EndpointContents(present[:room], max_models=room)
        served = {model_name(model) for model in state.models} - elsewhere
        for _ in range(12):
            order = next_order(state, placement, other_hosts_by_model)
            if order is None:
                break
            state = apply_order(state, order)
            assert len(state.models) <= room
            assert served <= {model_name(model) for model in state.models}
        assert order is None and state.role == "r"
        kept = kept_models(state, placement, other_hosts_by_model)
        missing = set(placement.models) - set(state.models)
        assert not missing or len(state.models) == room
        assert set(state.models) - set(placement.models) == set(kept)
