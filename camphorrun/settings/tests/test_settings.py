"""Tests of the validation of settings."""

import msgspec
import pytest

from .. import AgentSettings, SettingsError, check_settings, decode_settings

_GOOD = {
    "host": {
        "name": "agent-1",
        "availability_zone": "a",
        "region": "r",
        "listen": "127.0.0.1:9000",
    },
    "platform": {"log_url": "http://127.0.0.1:9100"},
    "endpoint": {"url": "http://127.0.0.1:9200", "service": "generate"},
    "keys": [{"key_id": 1, "secret": "00" * 16}],
    "operator_credential": "secret",
}


def _decode(**changes) -> object:
    settings = decode_settings(msgspec.json.encode({**_GOOD, **changes}), AgentSettings)
    check_settings(settings)
    return settings


class TestDecodeSettings:
    """Invalid settings are refused with the path of the field."""

    def test_valid_settings_are_accepted(self):
        """Guards against checks that refuse valid settings."""
        assert _decode().endpoint.service == "generate"

    @pytest.mark.parametrize(
        ("changes", "field"),
        [
            ({"surprise": 1}, "$.surprise"),
            ({"initial_limit": "many"}, "$.initial_limit"),
            ({"host": {**_GOOD["host"], "listen": "nowhere"}}, "listen"),
            ({"host": {**_GOOD["host"], "availability_zone": ""}}, "host"),
            ({"host": {"name": "x"}}, "$.host"),
            ({"keys": []}, "keys"),
            ({"keys": [{"key_id": 1, "secret": "zz"}]}, "keys"),
            ({"endpoint": {**_GOOD["endpoint"], "kind": "x"}}, "$.endpoint.kind"),
            ({"endpoint": {**_GOOD["endpoint"], "extra": 1}}, "$.endpoint.extra"),
            ({"endpoint": {**_GOOD["endpoint"], "url": "x"}}, "endpoint.url"),
            ({"endpoint": {**_GOOD["endpoint"], "service": ""}}, "endpoint.service"),
            ({"platform": {"log_url": "127.0.0.1:1"}}, "platform.log_url"),
            ({"keys": _GOOD["keys"] * 2}, "keys"),
            ({"operator_credential": ""}, "operator_credential"),
            ({"initial_limit": 0}, "initial_limit"),
            ({"max_queue": 0}, "max_queue"),
            ({"result_keep_s": -1.0}, "result_keep_s"),
            ({"result_keep_bytes": 0}, "result_keep_bytes"),
            ({"claims": {"appends_per_s": 0}}, "claims"),
            ({"claims": {"key_lifetime_s": -1.0}}, "claims"),
        ],
    )
    def test_invalid_field_is_refused_with_its_path(self, changes, field):
        """Guards against a daemon that starts with invalid or ignored settings."""
        with pytest.raises(SettingsError) as caught:
            _decode(**changes)
        assert field in caught.value.field
        assert field.removeprefix("$.") in str(caught.value)

    def test_secrets_are_not_shown(self):
        """Guards against secrets in logs that contain settings."""
        settings = _decode()
        assert _GOOD["keys"][0]["secret"] not in repr(settings)
        assert repr(_GOOD["operator_credential"]) not in repr(settings)
