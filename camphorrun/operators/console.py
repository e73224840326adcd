"""Result of a command, and its progress on standard error."""

import sys
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, TextIO

import msgspec

from ..core import CamphorrunError


class CommandStatus(Enum):
    """How a command ended; the command line maps it to an exit code."""

    OK = "ok"
    FAILED = "failed"
    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"


class OperatorError(CamphorrunError):
    """A command that cannot be carried out.

    Attributes
    ----------
    status : CommandStatus
        How the command ends.
    """

    default_code = "command_failed"

    def __init__(
        self,
        message: str,
        *,
        code: str = "",
        field: str = "",
        status: CommandStatus = CommandStatus.FAILED,
    ):
        super().__init__(message, code=code, field=field)
        self.status = status


@dataclass(frozen=True, slots=True)
class CommandResult:
    """What a command prints: ``data`` for scripts, ``lines`` for people."""

    data: dict[str, Any]
    lines: tuple[str, ...]
    status: CommandStatus = field(default=CommandStatus.OK)

    def render(self, as_json: bool) -> str:
        """Return the text for standard output."""
        if as_json:
            body = {"result": self.status.value, **self.data}
            return msgspec.json.encode(body).decode()
        return "\n".join(self.lines)


class Console:
    """Writes progress lines, each only when it differs from the last one.

    Parameters
    ----------
    stream : TextIO, optional
        Target; standard error by default, so that ``--json`` output stays clean.
    """

    def __init__(self, stream: TextIO | None = None):
        self._stream = stream or sys.stderr
        self._last = ""

    def progress(self, line: str) -> None:
        """Show a line."""
        if line != self._last:
            self._last = line
            print(line, file=self._stream, flush=True)


def table(rows: list[tuple[str, ...]]) -> tuple[str, ...]:
    """Return rows as aligned columns.

    Examples
    --------
    >>> table([("host", "state"), ("h", "serving")])
    ('host  state', 'h     serving')
    """
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    return tuple(
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )
