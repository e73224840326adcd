"""Validation of the policy names in the settings."""

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
    """Check that each policy name in the settings is registered.

    The packages of the policies define the names, and ``settings`` must not import
    these packages; therefore the check is not in ``settings``.

    Raises
    ------
    SettingsError
        If a name is unknown; the error contains its field and the known names.
    """
    for name, lookup in _LOOKUPS.items():
        try:
            lookup(getattr(policy, name))
        except ValueError as exc:
            field = f"policy.{name}"
            raise SettingsError(f"policy.{exc}", field=field) from exc
