"""Errors of the claims layer."""

from ..core import CamphorrunError


class ClaimError(CamphorrunError):
    """A claim operation did not complete.

    Codes: ``bad_key``, ``key_expired``, ``log_unavailable`` (nothing was appended),
    ``append_uncertain`` (the append may have taken effect) and ``claims_overloaded``
    (refused because the queue is full).
    """

    default_code = "log_unavailable"
