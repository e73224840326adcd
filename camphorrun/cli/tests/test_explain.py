"""Tests of the ``explain`` command."""

import io

from ..exit_codes import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from ..main import main

LINE = '{"at": 1.0, "host": "a", "event": "end", "request": "r", "code": "ok"}\n'


class TestExplain:
    """Input from files and from standard input, and exit codes."""

    def test_files(self, tmp_path, capsys):
        """Guards against reading only the first of several files."""
        (tmp_path / "a.log").write_text(LINE)
        (tmp_path / "b.log").write_text(LINE.replace('"a"', '"b"'))
        paths = [str(tmp_path / "a.log"), str(tmp_path / "b.log")]
        assert main(["explain", "r", *paths]) == EXIT_OK
        printed = capsys.readouterr().out
        assert "a, from" in printed and "b, from" in printed

    def test_standard_input(self, monkeypatch, capsys):
        """Guards against a command that can't read logs from a pipe."""
        monkeypatch.setattr("sys.stdin", io.StringIO(LINE))
        assert main(["explain", "r"]) == EXIT_OK
        assert "outcome: ok" in capsys.readouterr().out

    def test_exit_codes(self, tmp_path):
        """Guards against exit code 0 for an unknown request or a missing file."""
        (tmp_path / "a.log").write_text(LINE)
        assert main(["explain", "x", str(tmp_path / "a.log")]) == EXIT_FAILED
        assert main(["explain", "r", str(tmp_path / "none.log")]) == EXIT_USAGE
