"""Orders that change the models and the role of an endpoint to its placement."""

from .orders import EndpointContents, Order, kept_models, next_order

__all__ = ["EndpointContents", "Order", "kept_models", "next_order"]
