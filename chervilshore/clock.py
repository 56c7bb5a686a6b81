"""Clocks in milliseconds, which tests can replace."""

import abc
import asyncio
import heapq
import itertools
import time

MILLIS_PER_SECOND = 1000.0


class Clock(abc.ABC):
    """A source of time in milliseconds."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the monotonic time.

        Returns
        -------
        float
            Milliseconds since an arbitrary fixed time; never decreases.
        """

    @abc.abstractmethod
    def wall(self) -> float:
        """Return the time of day.

        Returns
        -------
        float
            Milliseconds since 1970-01-01 UTC; for display only, never for
            deciding whether something has expired.
        """

    @abc.abstractmethod
    async def sleep(self, millis: float) -> None:
        """Wait.

        Parameters
        ----------
        millis : float
            Milliseconds to wait; zero or less yields to the event loop once.
        """


class SystemClock(Clock):
    """The clock of the operating system."""

    def now(self) -> float:
        """Return the monotonic time; see `Clock.now`."""
        return time.monotonic() * MILLIS_PER_SECOND

    def wall(self) -> float:
        """Return the time of day; see `Clock.wall`."""
        return time.time() * MILLIS_PER_SECOND

    async def sleep(self, millis: float) -> None:
        """Wait; see `Clock.sleep`."""
        await asyncio.sleep(max(0.0, millis) / MILLIS_PER_SECOND)


class ManualClock(Clock):
    """A clock that only moves when `advance` or `set` is called.

    Parameters
    ----------
    start : float
        The initial time, in milliseconds.
    """

    SETTLE_TURNS = 20
    """Turns of the event loop that tasks get to run after a wake-up; a woken
    task may need several before it sleeps again."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future]] = []

    def now(self) -> float:
        """Return the monotonic time; see `Clock.now`."""
        return self._now

    def wall(self) -> float:
        """Return the time of day; see `Clock.wall`."""
        return self._now

    def set(self, millis: float) -> None:
        """Move the clock without waking sleepers; it never goes back.

        For tests of decisions, which do not wait.
        """
        self._now = max(self._now, millis)

    async def sleep(self, millis: float) -> None:
        """Wait until `advance` reaches the wake-up time; see `Clock.sleep`."""
        if millis <= 0:
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        entry = (self._now + millis, next(self._order), future)
        heapq.heappush(self._sleepers, entry)
        await future

    async def advance(self, millis: float) -> None:
        """Move the clock and wake each sleeper at its wake-up time.

        Parameters
        ----------
        millis : float
            Milliseconds to move forward.
        """
        end = self._now + millis
        await self._settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            wake_at, _, future = heapq.heappop(self._sleepers)
            self._now = max(self._now, wake_at)
            if not future.done():
                future.set_result(None)
            await self._settle()
        self._now = end
        await self._settle()

    async def _settle(self) -> None:
        for _ in range(self.SETTLE_TURNS):
            await asyncio.sleep(0)


async def wait_for(clock: Clock, awaitable, millis: float):
    """Wait for an awaitable, with a timeout measured by the given clock.

    Parameters
    ----------
    clock : Clock
        The clock that measures the wait.
    awaitable : Awaitable
        What to wait for; it is cancelled on timeout.
    millis : float
        The timeout in milliseconds.

    Returns
    -------
    object
        The result of the awaitable.

    Raises
    ------
    TimeoutError
        The timeout expired first.
    """
    task = asyncio.ensure_future(awaitable)
    timer = asyncio.ensure_future(clock.sleep(millis))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        raise TimeoutError(f"timed out after {millis:.0f} ms")
    finally:
        timer.cancel()
        if not task.done():
            task.cancel()
            await asyncio.wait({task})
