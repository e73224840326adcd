"""Interface of the append-only log service, as the rest of the system uses it."""

from dataclasses import dataclass
from typing import Protocol

from .errors import CamphorrunError


class LogError(CamphorrunError):
    """The log service did not answer, or refused.

    Code ``log_unavailable`` means that nothing was appended; ``append_uncertain``
    means that the append may have taken effect.
    """

    default_code = "log_unavailable"


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record; ``time_ms`` is the log service's clock when it was appended."""

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
        Offset to read from next.
    end_offset : int
        Offset that the next append will get; equal to ``next_offset`` when the reader
        has reached the end.
    first_offset : int
        Oldest offset that is still kept.
    log_time_ms : int
        Clock of the log service at the time of the read.
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
        """Return records from ``offset`` on, waiting up to ``wait_s`` for new ones.

        Reading below ``first_offset`` starts at ``first_offset``.

        Raises
        ------
        LogError
            With code ``log_unavailable``.
        """
        ...
