"""Tests of the ``replay`` and ``standin`` commands, without sockets."""

import pytest

from ...replay import load_scenario
from ..arguments import build_parser
from ..exit_codes import EXIT_OK, EXIT_SETTINGS, EXIT_USAGE
from ..main import main


class TestReplayCommand:
    """Invalid arguments and the generation of traces."""

    def test_unknown_scenario_and_policy_are_usage_errors(self, capsys):
        """Guards against a traceback or the exit code of a failed run."""
        assert main(["replay", "--scenario", "no-such"]) == EXIT_USAGE
        args = ["replay", "--scenario", "mixed", "--policy", "fastest"]
        assert main(args) == EXIT_USAGE
        assert "fastest" in capsys.readouterr().err

    def test_generated_trace_is_written_beside_its_scenario(self, tmp_path):
        """Guards against a generated trace that can't be loaded for a replay."""
        path = tmp_path / "own.json"
        path.write_text(
            '{"templates": [{"name": "t", "stages": [{"name": "s", "service": "v",'
            ' "operation": "o"}]}], "accounts": [{"name": "a", "secret": "x",'
            ' "templates": {"t": {}}}], "arrivals": [{"template": "t",'
            ' "account": "a", "rate_per_s": 5, "until_s": 4}]}'
        )
        args = ["replay", "--scenario", str(path), "--generate"]
        assert main(args) == EXIT_OK
        own, trace = load_scenario(str(path))
        assert own.name == "own" and trace


class TestStandinCommand:
    """Stand-ins validate their arguments before they start."""

    @pytest.mark.parametrize("kind", ["endpoint", "hosts", "log", "weights"])
    @pytest.mark.parametrize("profile", ["[]", '{"no_such": 1}', '{"base_s": "x"}'])
    def test_invalid_profile_is_refused(self, kind, profile):
        """Guards against a stand-in that ignores a misspelt or invalid field."""
        args = ["standin", kind, "--listen", "127.0.0.1:1", "--profile", profile]
        assert main(args) == EXIT_SETTINGS

    def test_host_name_as_address_is_refused(self):
        """Guards against a host name that resolves to an address outside loopback."""
        args = ["standin", "log", "--listen", "elsewhere:80"]
        assert build_parser().parse_args(args).kind == "log"
        assert main(args) == EXIT_SETTINGS
