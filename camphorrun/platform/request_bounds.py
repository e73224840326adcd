"""Bounds of the counts in a caller's request, from the configuration.

A count determines how much a gateway allocates for a request. Without a bound, one
request with a huge count ends the process.
"""

from ..catalog import Deployment, Route
from .errors import DecodeError
from .exchange import CallerRequest

# The names of stage results are sent to a replica in one header field. The shortest one
# is ``1.2.3.4:5/6``, followed by a comma.
MIN_RESULT_NAME_BYTES = 12
# Limit of a head in a configuration without limits.
DEFAULT_HEADER_BYTES = 16384


def check_counts(caller: CallerRequest, route: Route, deployment: Deployment) -> None:
    """Check that no count exceeds what the configuration allows.

    A stage has at most as many pieces as results can be named in the largest head
    (``MaxHeaderBytes``). A prompt, each of its parts and an answer have at most as many
    tokens as the engine of the service holds (``KvCapacity``).

    Raises
    ------
    DecodeError
        With code ``bad_request``; it names the header field.
    """
    limits = deployment.limits
    head_bytes = DEFAULT_HEADER_BYTES if limits is None else limits.header_bytes
    max_pieces = max(1, head_bytes // MIN_RESULT_NAME_BYTES)
    _check("X-Pieces", caller.pieces, max_pieces)
    max_tokens = _max_tokens(route, deployment)
    if max_tokens:
        tokens = (caller.prompt_tokens, caller.output_tokens)
        _check("X-Token-Count", tokens, max_tokens)
        parts = tuple(part.tokens for part in caller.prompt)
        _check("X-Prefix-Hash", parts, max_tokens)


def _check(field: str, values: tuple[int, ...], maximum: int) -> None:
    largest = max(values, default=0)
    if largest > maximum:
        raise DecodeError(
            f"{field}: expected at most {maximum}, got {largest}",
            code="bad_request",
            field=field,
        )


def _max_tokens(route: Route, deployment: Deployment) -> int:
    """Return the tokens that the largest engine of a route holds, 0 if not known."""
    services = [deployment.services.get(name) for name, _ in route.services]
    if any(service is None or service.engine is None for service in services):
        return 0
    tokens = [service.engine.kv_tokens for service in services]
    return max(tokens, default=0) if all(tokens) else 0
