"""Base class of all errors that camphorrun raises deliberately."""


class CamphorrunError(Exception):
    """Error with a stable code.

    Each package derives its own subclasses, and converts the errors of the packages
    that it calls.

    Parameters
    ----------
    message : str
        The expected and the actual condition.
    code : str, optional
        Stable identifier used in responses, counters and logs; defaults to the
        ``default_code`` of the class.
    field : str, optional
        Path of the invalid input field; empty if the error concerns none.

    Examples
    --------
    >>> CamphorrunError("model 'm' is not listed", code="not_found").code
    'not_found'
    """

    default_code = "internal"

    def __init__(self, message: str, *, code: str = "", field: str = ""):
        super().__init__(message)
        self.code = code or self.default_code
        self.field = field
