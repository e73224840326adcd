"""Era of the metadata store.

The store increments its era each time it is restored from an older copy of its data,
and sends the era in each response.
"""

from ..http1 import ResponseHead
from .errors import StoreError

_ERA_FIELD = "store-era"
# A larger era is rejected as an error, because the era counts restores.
MAX_ERA = 2**53
MAX_ERA_DIGITS = 16
# Restores that may happen between two responses. A larger step is rejected as an
# error, because after a wrong era all later responses would look outdated.
MAX_ERA_STEP = 1000


class StoreEra:
    """Highest era seen in the responses of the store.

    Attributes
    ----------
    number : int
        Era number; 0 until a response has one.

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
        """Return the era of a response and remember it as the highest one.

        A response without an era is accepted, as era 0, as long as no response had
        one.

        Raises
        ------
        StoreError
            With code ``old_era`` if the response is from before the last restore, and
            ``bad_era`` if its era is missing, malformed or out of range. Such a
            response says nothing about the present state of the store.
        """
        text = head.headers.get(_ERA_FIELD)
        if not text:
            if self.number:
                raise StoreError(
                    f"store: response without an era, expected era {self.number}",
                    code="bad_era",
                )
            return 0
        is_number = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
        if not is_number or int(text) > MAX_ERA:
            raise StoreError(
                f"store: expected an era from 0 to {MAX_ERA}, got {text[:40]!r}",
                code="bad_era",
            )
        era = int(text)
        if era < self.number:
            raise StoreError(
                f"store: response of era {era}, expected {self.number} or later",
                code="old_era",
            )
        if self.number and era > self.number + MAX_ERA_STEP:
            raise StoreError(
                f"store: era {era} is more than {MAX_ERA_STEP} above {self.number}",
                code="bad_era",
            )
        self.number = era
        return era
