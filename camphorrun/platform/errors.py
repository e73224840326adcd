"""Errors of the adapter."""

from ..core import CamphorrunError


class StoreError(CamphorrunError):
    """A call to the store gave no usable answer.

    Codes: ``unavailable`` (nothing was done), ``uncertain`` (the call may have been
    executed, or may be later), ``trimmed`` (the records asked for were deleted),
    ``new_era`` (the store came back from a copy, earlier positions are void),
    ``old_era`` (an answer from before that), ``bad_era`` (an answer whose era is
    missing or can't be true).
    """

    default_code = "unavailable"


class DecodeError(CamphorrunError):
    """Bytes of the platform that can't be understood; ``field`` is the path at fault.

    The code of a caller's request is ``bad_request``.
    """

    default_code = "malformed"
