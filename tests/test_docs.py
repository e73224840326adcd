"""Tests of the pages for operators against the source and the program."""

import ast
import dataclasses
import re
import shlex
from pathlib import Path

import pytest

import camphorrun
from camphorrun import settings
from camphorrun.cli import main
from camphorrun.metrics import Metrics
from tools.capacity import EXISTING, SLOPES, build_parser

ROOT = Path(camphorrun.__file__).parent
REPOSITORY = ROOT.parent
PAGES = (
    "README.md",
    "docs/settings.md",
    "docs/OPERATIONS.md",
    "docs/binary.md",
    "docs/metrics.md",
    "docs/glossary.md",
)
COMMAND = re.compile(r"^camphorrun .*(--help|--check|--version)$", re.MULTILINE)


def page(name: str) -> str:
    return (REPOSITORY / name).read_text()


def rows(text: str) -> dict[str, str]:
    """Return the default column of each table row by the name in its first cell."""
    found = re.findall(r"^\| `(\w+)` \| ([^|]*)\|", text, re.MULTILINE)
    return {name: default.strip().strip("`") for name, default in found}


def shell_commands() -> list[str]:
    """Return the commands in ``sh`` blocks that change nothing."""
    found: set[str] = set()
    for name in PAGES:
        for block in re.findall(r"```sh\n(.*?)```", page(name), re.DOTALL):
            found.update(match.group() for match in COMMAND.finditer(block))
    return sorted(found)


class TestSettingsPage:
    """The page documents every field."""

    @pytest.mark.parametrize(
        "kind",
        [kind for name, kind in vars(settings).items() if name.endswith("Settings")],
        ids=lambda kind: kind.__name__,
    )
    def test_fields_and_defaults_are_on_the_page(self, kind):
        """Guards against settings that operators cannot know of."""
        section = page("docs/settings.md").partition(f"## {kind.__name__}\n")[2]
        documented = rows(section.partition("\n## ")[0])
        fields = {field.name: field for field in dataclasses.fields(kind)}
        assert set(documented) == set(fields)
        for name, field in fields.items():
            if isinstance(field.default, bool | int | float):
                assert documented[name] == str(field.default).lower()
            elif field.default is dataclasses.MISSING:
                assert documented[name] in ("", "recommended")
            else:
                assert documented[name] == (field.default or "empty")


class TestCommands:
    """Commands on the pages work."""

    def test_there_are_commands(self):
        """Guards against a search that finds nothing to run."""
        assert len(shell_commands()) >= 5

    @pytest.mark.parametrize("command", shell_commands())
    def test_command_succeeds(self, command, capsys, monkeypatch):
        """Guards against pages that show commands the program refuses."""
        monkeypatch.chdir(REPOSITORY)
        try:
            code = main(shlex.split(command)[1:])
        except SystemExit as exc:
            code = exc.code
        assert code == 0, capsys.readouterr().err


CODE = re.compile(r"[a-z]+(_[a-z]+)*")
# Functions whose string arguments are codes.
REFUSING = {
    "Refused",
    "StartRefused",
    "NotStarted",
    "refuse_new_work",
    "_drop_queued",
    "_fail_all",
    "_failed",
    "_error",
    "_give_up",
    "Unknown",
    "AttemptFailedError",
}


def strings(nodes) -> set[str]:
    """Return the string constants below some nodes that have the form of a code."""
    found = (
        child.value for node in nodes for child in ast.walk(node) if _is_text(child)
    )
    return {value for value in found if CODE.fullmatch(value)}


def _is_text(node) -> bool:
    return isinstance(node, ast.Constant) and isinstance(node.value, str)


def _codes_of_call(node: ast.Call) -> set[str]:
    name = getattr(node.func, "id", getattr(node.func, "attr", ""))
    owner = getattr(getattr(node.func, "value", None), "attr", "")
    given = [word.value for word in node.keywords if word.arg == "code"]
    found = strings(value for value in given if not isinstance(value, ast.Call))
    if name in REFUSING or (owner, name) == ("refusals", "labels"):
        found |= strings(node.args)
    return found


def _codes_of_assignment(node: ast.Assign) -> set[str]:
    name = getattr(node.targets[0], "id", "")
    if name in ("code", "default_code") or name.endswith("_CODES"):
        return strings([node.value])
    if name == "_NOT_RUN_STATUS":
        return strings(node.value.keys)
    return set()


def _code_constants(module: ast.Module) -> set[str]:
    """Return constants of a module such as ``QUEUE_FULL = "queue_full"``."""
    return {
        node.value.value
        for node in module.body
        if isinstance(node, ast.Assign)
        and _is_text(node.value)
        and node.value.value.upper() == getattr(node.targets[0], "id", "")
    }


def codes_in(source: str) -> set[str]:
    """Return the stable codes that a module raises, returns or counts."""
    module = ast.parse(source)
    found = _code_constants(module)
    for node in ast.walk(module):
        if isinstance(node, ast.Call):
            found |= _codes_of_call(node)
        elif isinstance(node, ast.Assign):
            found |= _codes_of_assignment(node)
        elif isinstance(node, ast.FunctionDef) and "refusal" in node.name:
            returns = (n for n in ast.walk(node) if isinstance(n, ast.Return))
            found |= strings(n.value for n in returns if n.value is not None)
    return found


def all_codes() -> set[str]:
    # Stand-ins, demo and replay are no part of the system that operators run; their
    # errors appear on their own command lines only.
    paths = (
        path
        for path in ROOT.rglob("*.py")
        if not {"tests", "standins", "demo", "replay"}
        & set(path.relative_to(ROOT).parts)
    )
    found = set().union(*(codes_in(path.read_text()) for path in paths))
    # The attribute name in getattr(result, "code", ...) is no code.
    return found - {"code"}


class TestCodes:
    """Every code of the source is explained on the page."""

    def test_codes_are_found(self):
        """Guards against a collection that finds too little."""
        expected = {
            "queue_full",
            "draining",
            "bad_credential",
            "link_lost",
            "over_share",
        }
        assert expected <= all_codes()

    def test_every_code_is_on_the_page(self):
        """Guards against refusals that operators cannot look up."""
        documented = set(rows(page("docs/OPERATIONS.md")))
        assert all_codes() - documented == set()
        assert documented - all_codes() == set()


class TestMetricsPage:
    """The page lists every metric."""

    def test_metrics_are_on_the_page(self):
        """Guards against metrics nobody can interpret, or that do not exist."""
        families = Metrics().registry.collect()
        names = {f"{f.name}_total" if f.type == "counter" else f.name for f in families}
        assert set(rows(page("docs/metrics.md"))) == names


class TestPromises:
    """The page of promises names tests that exist."""

    def test_named_tests_exist(self):
        """Guards against a promise whose test was renamed or removed."""
        sources = [path.read_text() for path in ROOT.rglob("tests/*.py")]
        known = set(re.findall(r"class (Test\w+)|def (test_\w+)", "".join(sources)))
        names = {name for pair in known for name in pair}
        named = set(re.findall(r"\b(Test[A-Z]\w+|test_\w+)", page("docs/promises.md")))
        modules = {path.stem for path in ROOT.rglob("tests/*.py")} | {"test_binary"}
        assert named - names - modules == set()


class TestCapacityPage:
    """The page can be measured again and names parts that exist."""

    PAGE = page("docs/CAPACITY.md")

    def test_commands_measure_every_slope(self):
        """Guards against figures whose command is gone, and slopes without a page."""
        lines = re.findall(r"^python -m tools\.capacity (.+)$", self.PAGE, re.MULTILINE)
        slopes = {build_parser().parse_args(shlex.split(line)).slope for line in lines}
        assert slopes == {*SLOPES, *EXISTING}

    def test_mechanisms_exist(self):
        """Guards against loads that are attributed to classes of the past."""
        named = re.findall(r"`([a-z]+)\.([A-Z]\w+)`", self.PAGE)
        assert len(named) >= 15
        for subpackage, name in named:
            sources = (path.read_text() for path in (ROOT / subpackage).glob("*.py"))
            assert any(f"class {name}" in source for source in sources), name
