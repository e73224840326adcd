"""Checks that imports between subpackages go one way."""

import ast
from pathlib import Path

import camphorrun

ROOT = Path(camphorrun.__file__).parent
# Subpackages by level; imports go to the same subpackage or to an earlier group.
LEVELS = (
    ("core",),
    ("metrics", "messages", "catalog", "http1"),
    ("settings",),
    ("limits", "retries"),
    ("routing", "admission", "quarantine", "configuration", "claims", "pipeline"),
    ("placement",),
    ("clients", "transport", "relay", "platform"),
    ("daemon",),
    ("entry", "agent", "standins", "gateway"),
    ("operators", "replay"),
    ("demo",),
    ("cli",),
)
DECISION_LOGIC = (
    "admission",
    "catalog",
    "claims",
    "configuration",
    "limits",
    "pipeline",
    "placement",
    "quarantine",
    "retries",
    "routing",
)
SOCKET_MODULES = {"aiohttp", "socket", "http", "urllib"}


def _level_of(subpackage: str) -> int:
    return next(i for i, group in enumerate(LEVELS) if subpackage in group)


def _sources() -> list[tuple[str, Path]]:
    files = [path for path in ROOT.rglob("*.py") if "tests" not in path.parts]
    return [
        (path.relative_to(ROOT).parts[0], path)
        for path in files
        if len(path.relative_to(ROOT).parts) > 1
    ]


def _imported_subpackages(path: Path) -> list[str]:
    depth = len(path.relative_to(ROOT).parts) - 1
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level == depth + 1:
            found.append((node.module or "").partition(".")[0])
    return [name for name in found if name]


def _imported_modules(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            names.add(node.module.partition(".")[0])
    return names


class TestLayers:
    """The dependency order of the design page holds."""

    def test_every_subpackage_has_a_level(self):
        """Guards against a subpackage outside the order."""
        known = {name for group in LEVELS for name in group}
        assert {subpackage for subpackage, _ in _sources()} <= known

    def test_imports_go_to_earlier_levels(self):
        """Guards against cycles between subpackages."""
        wrong = [
            f"{path.relative_to(ROOT)} imports {other}"
            for subpackage, path in _sources()
            for other in _imported_subpackages(path)
            if other != subpackage and _level_of(other) >= _level_of(subpackage)
        ]
        assert wrong == []

    def test_decision_logic_knows_no_sockets(self):
        """Guards against decision logic that needs a network to be tested."""
        wrong = [
            f"{path.relative_to(ROOT)} imports {name}"
            for subpackage, path in _sources()
            if subpackage in DECISION_LOGIC
            for name in _imported_modules(path) & SOCKET_MODULES
        ]
        assert wrong == []

    def test_no_process_is_started(self):
        """Guards against a product process that starts another process."""
        forbidden = {"subprocess", "multiprocessing"}
        wrong = [
            str(path.relative_to(ROOT))
            for _, path in _sources()
            if _imported_modules(path) & forbidden
        ]
        assert wrong == []
