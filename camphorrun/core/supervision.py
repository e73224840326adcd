"""Supervision of background tasks that are restarted when they fail."""

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
    """A child exceeded the number of restarts within the window."""

    default_code = "child_failed"


class Supervisor:
    """Runs children as tasks and restarts each one that raises, with back-off.

    A child that returns is not restarted. A child that fails more than
    ``max_restarts`` times within ``window_s`` seconds makes ``run`` raise. To nest, the
    factory must create a new supervisor for each start; one supervisor can run only
    once.

    Parameters
    ----------
    name : str
        Name used in log messages and errors.
    timers : TimerService
        Clock and back-off delays.
    max_restarts : int
        Maximum number of restarts of one child within the window.
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
        self._completion: asyncio.Future | None = None
        self._machine.add_model(self)

    def add(self, name: str, factory: ChildFactory) -> None:
        """Register a child, and start it if the supervisor is running.

        Raises
        ------
        ValueError
            If a child of this name is registered.
        """
        if name in self._factories:
            raise ValueError(f"child {name!r} is already registered")
        self._factories[name] = factory
        if self.state == "running":
            self._start_child(name)

    async def run(self) -> None:
        """Run all children until ``stop`` is called or a child exceeds its restarts.

        Raises
        ------
        SupervisionError
            If a child failed more than ``max_restarts`` times within the window.
        """
        self.start()
        self._completion = asyncio.get_running_loop().create_future()
        for name in self._factories:
            self._start_child(name)
        try:
            await self._completion
        except SupervisionError:
            self.fail()
            raise
        finally:
            await self._cancel_children()
        self.finish()

    async def stop(self) -> None:
        """Cancel all children and let ``run`` return."""
        if self.state == "running":
            self.stop_children()
        if self._completion is not None and not self._completion.done():
            self._completion.set_result(None)
        await self._cancel_children()

    def _start_child(self, name: str) -> None:
        task = asyncio.get_running_loop().create_task(self._run_child(name), name=name)
        self._tasks[name] = task

    async def _run_child(self, name: str) -> None:
        failure_times: list[float] = []
        while True:
            try:
                await self._factories[name]()
                return
            except asyncio.CancelledError:
                raise
            except Exception as exc:
                delay_s = self._restart_delay_s(name, failure_times, exc)
                if delay_s is None:
                    return
                await self._timers.sleep(delay_s)

    def _restart_delay_s(
        self, name: str, failure_times: list[float], exc: Exception
    ) -> float | None:
        """Return the delay before a restart, or None if no restart is allowed."""
        now = self._timers.now()
        failure_times[:] = [at for at in failure_times if now - at < self._window_s]
        failure_times.append(now)
        logging.error("%s: child %s failed: %r", self.name, name, exc, exc_info=exc)
        if len(failure_times) > self._max_restarts:
            self._fail_supervisor(name, exc)
            return None
        delay_s = FIRST_RESTART_DELAY_SECONDS * 2 ** (len(failure_times) - 1)
        return min(MAX_RESTART_DELAY_SECONDS, delay_s)

    def _fail_supervisor(self, name: str, exc: Exception) -> None:
        if self._completion is None or self._completion.done():
            return
        error = SupervisionError(
            f"{self.name}: child {name} failed more than {self._max_restarts} times"
            f" within {self._window_s} s: {exc!r}"
        )
        self._completion.set_exception(error)

    async def _cancel_children(self) -> None:
        current = asyncio.current_task()
        tasks = [task for task in self._tasks.values() if task is not current]
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
        self._tasks.clear()
