"""Everything a daemon needs to take part in the claims of one stream."""

from ..core import LogStore, TimerService
from .batcher import APPENDS_PER_SECOND, ClaimAppender
from .coordinator import StartCoordinator, VoidCoordinator
from .follower import ClaimFollower
from .ledger import FORGET_MARGIN_MS, ClaimLedger
from .stamps import KEY_LIFETIME_MS


class ClaimParticipant:
    """Ledger, appender, follower and coordinators of one daemon.

    Parameters
    ----------
    log : LogStore
        The log service.
    timers : TimerService
        Clock of waits and limits.
    host, incarnation : str
        Identity of the process; each process needs an incarnation of its own.
    lifetime_ms, margin_ms : int
        See ``ClaimLedger``; all processes must use the same values.
    appends_per_s : float
        Share of this daemon in the append rate of the log service.

    Attributes
    ----------
    ledger, appender, follower, starts, voids
        The components; agents use ``starts`` and entries use ``voids``.
    """

    def __init__(
        self,
        log: LogStore,
        timers: TimerService,
        *,
        host: str,
        incarnation: str,
        lifetime_ms: int = KEY_LIFETIME_MS,
        margin_ms: int = FORGET_MARGIN_MS,
        appends_per_s: float = APPENDS_PER_SECOND,
    ):
        self.ledger = ClaimLedger(lifetime_ms, margin_ms)
        self.appender = ClaimAppender(log, timers, appends_per_s=appends_per_s)
        self.follower = ClaimFollower(log, self.ledger, timers)
        parts = (self.appender, self.follower, timers)
        self.starts = StartCoordinator(*parts, host=host, incarnation=incarnation)
        self.voids = VoidCoordinator(*parts, host=host)

    async def run(self) -> None:
        """Follow the claims stream until cancelled."""
        await self.follower.run()

    async def close(self) -> None:
        """Stop all appends; call ``starts.drain`` first for a graceful shutdown."""
        await self.appender.close()
        await self.starts.close()
