"""Supervisor tree: named children that are restarted when they fail."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from absl import logging
from transitions import Machine

from .errors import CamphorrunError
from .timers import TimerService

ChildFactory = Callable[[], Awaitable[None]]

FIRST_RESTART_DELAY_SECONDS = 0.05
MAX_RESTART_DELAY_SECONDS = 2.0


class SupervisionError(CamphorrunError):
    """A child failed more often than its supervisor allows."""

    default_code = "child_failed"


class Supervisor:
    """Runs children as tasks and restarts each one that raises.

    A child that returns is finished. A child that fails more than
    ``max_restarts`` times within ``window_s`` seconds fails the supervisor, which
    may itself be a child of another supervisor.

    Parameters
    ----------
    name : str
        Name used in logs.
    timers : TimerService
        Clock and delays.
    max_restarts : int
        Restarts allowed to one child within the window.
    window_s : float
        Length of the window in seconds.
    """

    _machine = Machine(
        model=None,
        states=["idle", "running", "stopping", "stopped", "failed"],
        transitions=[
            ["start", "idle", "running"],
            ["stop_children", "running", "stopping"],
            ["finish", ["idle", "running", "stopping"], "stopped"],
            ["fail", "running", "failed"],
        ],
        initial="idle",
    )

    def __init__(
        self,
        name: str,
        timers: TimerService,
        *,
        max_restarts: int = 8,
        window_s: float = 30.0,
    ):
        self.name = name
        self._timers = timers
        self._max_restarts = max_restarts
        self._window_s = window_s
        self._factories: dict[str, ChildFactory] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._failure: asyncio.Future | None = None
        self._machine.add_model(self)

    def add(self, name: str, factory: ChildFactory) -> None:
        """Register a child; it starts at once if the supervisor is running."""
        if name in self._factories:
            raise ValueError(f"child {name!r} is already registered")
        self._factories[name] = factory
        if self.state == "running":
            self._launch(name)

    async def run(self) -> None:
        """Run all children until ``stop`` is called or one fails for good.

        Raises
        ------
        SupervisionError
            If a child exceeded its restarts.
        """
        self.start()
        self._failure = asyncio.get_running_loop().create_future()
        for name in self._factories:
            self._launch(name)
        try:
            await self._failure
        except SupervisionError:
            self.fail()
            raise
        finally:
            await self._cancel_all()
        self.finish()

    async def stop(self) -> None:
        """Cancel all children and let ``run`` return."""
        if self.state == "running":
            self.stop_children()
        if self._failure is not None and not self._failure.done():
            self._failure.set_result(None)
        await self._cancel_all()

    def _launch(self, name: str) -> None:
        task = asyncio.get_running_loop().create_task(self._keep(name), name=name)
        self._tasks[name] = task

    async def _keep(self, name: str) -> None:
        failures: list[float] = []
        while True:
            try:
                await self._factories[name]()
                return
            except asyncio.CancelledError:
                raise
            except Exception as exc:
                delay_s = self._delay_after(name, failures, exc)
                if delay_s is None:
                    return
                await self._timers.sleep(delay_s)

    def _delay_after(
        self, name: str, failures: list[float], exc: Exception
    ) -> float | None:
        """Return the delay before the restart, or None if the child gave up."""
        now = self._timers.now()
        failures[:] = [at for at in failures if now - at < self._window_s]
        failures.append(now)
        logging.error("%s: child %s failed: %r", self.name, name, exc, exc_info=exc)
        if len(failures) > self._max_restarts:
            self._give_up(name, exc)
            return None
        delay_s = FIRST_RESTART_DELAY_SECONDS * 2 ** (len(failures) - 1)
        return min(MAX_RESTART_DELAY_SECONDS, delay_s)

    def _give_up(self, name: str, exc: Exception) -> None:
        if self._failure is None or self._failure.done():
            return
        error = SupervisionError(f"{self.name}: child {name} keeps failing: {exc!r}")
        self._failure.set_exception(error)

    async def _cancel_all(self) -> None:
        current = asyncio.current_task()
        tasks = [task for task in self._tasks.values() if task is not current]
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
        self._tasks.clear()
