"""Base class of every error that camphorrun raises on purpose."""


class CamphorrunError(Exception):
    """Error with a stable code.

    Each layer derives its own family and converts the errors of the layers below.

    Parameters
    ----------
    message : str
        What was expected and what was found.
    code : str, optional
        Stable identifier used in answers, counters and logs. Defaults to the
        ``default_code`` of the class.
    field : str, optional
        Path of the input field at fault, empty if none is.

    Examples
    --------
    >>> CamphorrunError("no such thing", code="not_found").code
    'not_found'
    """

    default_code = "internal"

    def __init__(self, message: str, *, code: str = "", field: str = ""):
        super().__init__(message)
        self.code = code or self.default_code
        self.field = field
