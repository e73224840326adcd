"""Tests of the example files."""

import json

import pytest

from camphorrun.cli import main
from camphorrun.configuration import decode_document

ROLES = ("entry", "agent", "ctl", "gateway")
DOCUMENTS = ("template", "account", "service", "drain")


class TestExamples:
    """Each example can be used as it is."""

    @pytest.mark.parametrize("role", ROLES)
    def test_settings_are_valid(self, role, capsys):
        """Guards against examples that the program refuses."""
        assert main([role, "--settings", f"examples/{role}.json", "--check"]) == 0
        assert "valid" in capsys.readouterr().out

    @pytest.mark.parametrize("kind", DOCUMENTS)
    def test_documents_are_valid(self, kind):
        """Guards against example documents that cannot be published."""
        with open(f"examples/{kind}.json") as file:
            content = json.load(file)
        assert content["kind"] == kind
        decode_document(kind, json.dumps(content["document"]).encode())
