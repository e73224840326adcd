"""Tests of the validation of policy names."""

import pytest

from ...settings import PolicySettings, SettingsError
from .. import check_policies


class TestPolicies:
    """Unknown policy names are refused before a daemon starts."""

    def test_defaults_are_known(self):
        """Guards against default settings that name an unregistered policy."""
        check_policies(PolicySettings())

    @pytest.mark.parametrize(
        "name", ["routing", "queue", "admission", "retries", "hedges"]
    )
    def test_unknown_name_is_refused_with_its_field(self, name):
        """Guards against a wrong policy name that is found only after the start."""
        with pytest.raises(SettingsError) as caught:
            check_policies(PolicySettings(**{name: "surprise"}))
        assert caught.value.field == f"policy.{name}"
        assert f"policy.{name}: expected" in str(caught.value)
