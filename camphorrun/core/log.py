"""Interface of the append-only log service."""

from dataclasses import dataclass
from typing import Protocol

from .errors import CamphorrunError


class LogError(CamphorrunError):
    """The log service refused a call, or did not return a valid reply.

    Code ``log_unavailable`` means that nothing was appended; ``append_uncertain``
    means that the records may have been appended.
    """

    default_code = "log_unavailable"


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record; ``time_ms`` is the time of the append by the log service's clock."""

    offset: int
    time_ms: int
    value: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Result of a read.

    Attributes
    ----------
    records : tuple of LogRecord
        Records in offset order; may be empty.
    next_offset : int
        Offset from which the next read should start.
    end_offset : int
        Offset of the next record to be appended; equal to ``next_offset`` if the
        reader has reached the end.
    first_offset : int
        Oldest offset that is still retained.
    log_time_ms : int
        Time of the read by the log service's clock, in milliseconds.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    end_offset: int
    first_offset: int
    log_time_ms: int


class LogStore(Protocol):
    """Append-only streams of records; offsets of a stream start at 1."""

    async def append(self, stream: str, values: list[bytes]) -> int:
        """Append values in one call and return the offset of the first one.

        Raises
        ------
        LogError
            With code ``log_unavailable`` or ``append_uncertain``.
        """
        ...

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        """Return up to ``limit`` records from ``offset`` on.

        If there are none, the call waits up to ``wait_s`` seconds for an append. An
        ``offset`` below ``first_offset`` reads from ``first_offset`` on.

        Raises
        ------
        LogError
            With code ``log_unavailable``.
        """
        ...
