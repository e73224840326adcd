"""Choice of the pieces for replicas whose speed differs and changes.

Load pattern: other work on the hosts makes some replicas take several times as long as
others, for some hundred milliseconds at a time. A slow replica still makes pieces, but
a group that can't wait for it is late there, while a faster replica that is free a
little later would finish the group in time. The calls of a slow replica have no lower
limit of their own: the fixed time of a call is slow, too, however few its pieces.
"""

from bisect import bisect_left
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallSpeed:
    """Speed of the replica that gets the next call, compared with faster ones.

    Attributes
    ----------
    slowdown : float
        Expected time of the call as a multiple of the nominal one.
    faster_ends : tuple of float
        Times at which faster replicas can finish a full call that begins when they are
        free, in ascending order. Empty if no replica is faster.

    Examples
    --------
    >>> speed = CallSpeed(2.5, (0.4, 0.9))
    >>> speed.is_left(0.45, end_at=0.5, pieces_before=0, batch=10)
    True
    >>> speed.is_left(0.45, end_at=0.5, pieces_before=10, batch=10)
    False
    """

    slowdown: float = 1.0
    faster_ends: tuple[float, ...] = ()

    def is_left(
        self, due_at: float, *, end_at: float, pieces_before: int, batch: int
    ) -> bool:
        """Return whether a group is left to a faster replica.

        Parameters
        ----------
        due_at : float
            When the call with its pieces must have finished.
        end_at : float
            When the call of this replica would finish.
        pieces_before : int
            Pieces that were already left to faster replicas. Each of these replicas
            takes a full call of them.
        batch : int
            Largest number of pieces of one call.
        """
        if end_at <= due_at:
            return False
        replica = pieces_before // batch
        return replica < bisect_left(self.faster_ends, due_at)


NOMINAL_SPEED = CallSpeed()
