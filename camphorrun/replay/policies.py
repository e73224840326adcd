"""Names of policies on the command line."""

import dataclasses

from ..settings import PolicySettings
from .requests import TraceError

VALUES = {
    "routing": ("balanced", "random", "round_robin", "least_reported_load"),
    "queue": ("least_laxity", "earliest_deadline", "first_come"),
    "admission": ("predictive", "admit_all"),
    "retries": ("budgeted", "unbounded"),
    "hedges": ("hedged", "unhedged"),
}
RECOMMENDED = "recommended"
# The combination of all baselines that a system without policies would use.
PLAIN = "plain"
_PLAIN = "random,first_come,admit_all,unbounded,unhedged"


def policy_from_text(text: str, seed: int = 0) -> PolicySettings:
    """Return policy settings for ``field=value`` pairs or values alone.

    Raises
    ------
    TraceError
        For an unknown field or value.

    Examples
    --------
    >>> policy_from_text("round_robin,queue=first_come").routing
    'round_robin'
    """
    if text == PLAIN:
        text = _PLAIN
    fields: dict[str, str] = {}
    for item in text.split(","):
        if item == RECOMMENDED:
            continue
        name, _, value = item.rpartition("=")
        name = name or _field_of(value)
        if value not in VALUES.get(name, ()):
            raise TraceError(f"policy: unknown value {item!r}", field="policy")
        fields[name] = value
    return dataclasses.replace(PolicySettings(seed=seed), **fields)


def _field_of(value: str) -> str:
    """Return the field that a value belongs to, empty if there is none."""
    return next((name for name, values in VALUES.items() if value in values), "")
