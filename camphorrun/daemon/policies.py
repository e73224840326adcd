"""Check of the policy names in the settings."""

from ..admission import admission_policy_by_name
from ..limits import queue_policy_by_name
from ..retries import hedging_policy_by_name, retry_budget_by_name
from ..routing import routing_policy_by_name
from ..settings import PolicySettings, SettingsError

_LOOKUPS = {
    "routing": routing_policy_by_name,
    "queue": queue_policy_by_name,
    "admission": admission_policy_by_name,
    "retries": retry_budget_by_name,
    "hedges": hedging_policy_by_name,
}


def check_policies(policy: PolicySettings) -> None:
    """Refuse unknown policy names.

    The names live beside the policies, which settings cannot import.

    Raises
    ------
    SettingsError
        Naming the field and the known names.
    """
    for name, lookup in _LOOKUPS.items():
        try:
            lookup(getattr(policy, name))
        except ValueError as exc:
            field = f"policy.{name}"
            raise SettingsError(f"policy.{exc}", field=field) from exc
