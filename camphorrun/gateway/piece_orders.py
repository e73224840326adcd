"""Conversion of the orders for pieces that gateways send to each other."""

from collections import deque

from ..pipeline import PieceGroup
from .messages import PieceOrder


def piece_group(order: PieceOrder, now: float) -> PieceGroup:
    """Return the pieces of an order that arrived at ``now``, for the owner's queue."""
    return PieceGroup(
        order.request_id,
        order.stage,
        order.key,
        None if order.inputs is None else tuple(order.inputs),
        order.result_bytes,
        order.priority,
        now + order.objective_left_s,
        now + order.deadline_left_s,
        order.downstream_s,
        now,
        order.transfers,
        deque(order.pieces),
        order.account,
        order.home_zones,
    )
