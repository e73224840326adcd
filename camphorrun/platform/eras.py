"""The era of the store, which rises each time it comes back from an older copy."""

from ..http1 import ResponseHead
from .errors import StoreError

_ERA_FIELD = "store-era"
# A larger number is taken for a mistake; the store counts its returns.
MAX_ERA = 2**53
# Returns that may pass between two answers; a larger step is taken for a mistake,
# because a wrong era would make all later answers look old.
MAX_ERA_STEP = 1000


class StoreEra:
    """Highest era that the answers of the store have borne.

    Attributes
    ----------
    number : int
        The era, 0 while no answer had one.

    Examples
    --------
    >>> from ..http1 import Headers
    >>> era = StoreEra()
    >>> era.observe(ResponseHead(200, b"", Headers([(b"Store-Era", b"3")])))
    3
    """

    __slots__ = ("number",)

    def __init__(self):
        self.number = 0

    def observe(self, head: ResponseHead) -> int:
        """Return the era of an answer.

        Raises
        ------
        StoreError
            With code ``old_era`` for an answer from before the last return, and
            ``bad_era`` if the era is missing, malformed or out of range. Neither says
            anything about the present store.
        """
        text = head.headers.get(_ERA_FIELD)
        if not text:
            if self.number:
                raise StoreError("store: answer without an era", code="bad_era")
            return 0
        if not text.isascii() or not text.isdigit() or int(text) > MAX_ERA:
            raise StoreError(f"store: era {text[:40]!r}", code="bad_era")
        era = int(text)
        if era < self.number:
            raise StoreError(f"store: era {era} < {self.number}", code="old_era")
        if self.number and era > self.number + MAX_ERA_STEP:
            raise StoreError(f"store: era {era} > {self.number}", code="bad_era")
        self.number = era
        return era
