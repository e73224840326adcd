"""Commands of ``camphorrun ctl``: change, observe and drain a running system."""

from .changes import delete_document, get_document, publish_file, show_history
from .console import CommandResult, CommandStatus, Console
from .context import OperatorContext, open_context
from .drain import drain_host
from .explain import explain_request
from .fleet import show_status, wait_for_version

__all__ = [
    "CommandResult",
    "CommandStatus",
    "Console",
    "OperatorContext",
    "delete_document",
    "drain_host",
    "explain_request",
    "get_document",
    "open_context",
    "publish_file",
    "show_history",
    "show_status",
    "wait_for_version",
]
