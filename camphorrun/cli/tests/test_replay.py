"""Tests of the replay and standin subcommands, without sockets."""

import pytest

from ...replay import load_scenario
from ..arguments import build_parser
from ..exit_codes import EXIT_OK, EXIT_SETTINGS, EXIT_USAGE
from ..main import main


class TestReplayCommand:
    """Mistakes on the command line are told apart from failed runs."""

    def test_unknown_scenario_and_policy_are_usage_errors(self, capsys):
        """Guards against a traceback, or a failed run, for a wrong name."""
        assert main(["replay", "--scenario", "no-such"]) == EXIT_USAGE
        args = ["replay", "--scenario", "mixed", "--policy", "fastest"]
        assert main(args) == EXIT_USAGE
        assert "fastest" in capsys.readouterr().err

    def test_trace_is_written_beside_its_scenario(self, tmp_path):
        """Guards against a generated trace that cannot be replayed."""
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
    """Stand-ins check what they are given before they serve."""

    @pytest.mark.parametrize("kind", ["endpoint", "hosts", "log", "weights"])
    @pytest.mark.parametrize("profile", ["[]", '{"no_such": 1}', '{"base_s": "x"}'])
    def test_wrong_profile_is_refused(self, kind, profile):
        """Guards against a stand-in that ignores a misspelt field."""
        args = ["standin", kind, "--listen", "127.0.0.1:1", "--profile", profile]
        assert main(args) == EXIT_SETTINGS

    def test_name_as_address_is_refused(self):
        """Guards against traffic that leaves loopback through a name."""
        args = ["standin", "log", "--listen", "elsewhere:80"]
        assert build_parser().parse_args(args).kind == "log"
        assert main(args) == EXIT_SETTINGS
