"""The entry daemon, which serves callers."""

from .daemon import EntryDaemon

__all__ = ["EntryDaemon"]
