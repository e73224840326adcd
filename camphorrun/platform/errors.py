"""Exceptions of the platform adapter."""

from ..core import CamphorrunError


class StoreError(CamphorrunError):
    """A call to the metadata store returned no usable response.

    Codes:

    - ``unavailable``: the call was not executed.
    - ``uncertain``: the call may have been executed, or may still be executed.
    - ``trimmed``: the requested records were deleted.
    - ``new_era``: the store was restored from a copy, so earlier offsets are void.
    - ``old_era``: the response is from before the store was restored.
    - ``bad_era``: the era of the response is missing, malformed or out of range.

    Attributes
    ----------
    first_offset : int or None
        First offset that is left of a topic with deleted records, if it is known.
    """

    default_code = "unavailable"

    def __init__(
        self, message: str, *, code: str = "", first_offset: int | None = None
    ):
        super().__init__(message, code=code)
        self.first_offset = first_offset


class DecodeError(CamphorrunError):
    """Data of the platform that can't be decoded.

    ``field`` is the path of the invalid field. The code is ``malformed``, or
    ``bad_request`` if the data is a caller's request.
    """

    default_code = "malformed"
