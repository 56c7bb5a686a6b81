"""An event loop with virtual time, which jumps to the next timer.

Minutes of simulated time run in milliseconds, and deterministically as long
as no task waits for a socket.
"""

import asyncio
import selectors

from chervilshore import clock as clocks


STEP_SECONDS = 1e-6
"""Seconds by which a jump passes its timer, so that time always advances."""


class IdleSelector(selectors.SelectSelector):
    """A selector that returns immediately, as there are no sockets."""

    def select(self, timeout=None):
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that runs timers in order without waiting."""

    def __init__(self) -> None:
        self._time = 0.0
        super().__init__(IdleSelector())

    def time(self) -> float:
        return self._time

    def _run_once(self) -> None:
        if not self._ready:
            if not self._scheduled:
                raise RuntimeError(
                    "the loop has no callback and no timer left"
                )
            next_time = max(self._time, self._scheduled[0]._when)
            self._time = next_time + STEP_SECONDS
        super()._run_once()


class LoopClock(clocks.Clock):
    """A clock that uses the time of the running event loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time() * clocks.MILLIS_PER_SECOND

    def wall(self) -> float:
        return self.now()

    async def sleep(self, millis: float) -> None:
        await asyncio.sleep(max(0.0, millis) / clocks.MILLIS_PER_SECOND)


class Session:
    """Runs several coroutines, one after another, on one virtual loop."""

    def __init__(self):
        self._loop = VirtualLoop()

    def run(self, coroutine):
        """Run a coroutine and return its result."""
        return self._loop.run_until_complete(coroutine)

    def close(self):
        """Cancel the remaining tasks and close the loop."""
        while tasks := asyncio.all_tasks(self._loop):
            for task in tasks:
                task.cancel()
            self.run(asyncio.wait(tasks))
        self._loop.close()


def run(coroutine):
    """Run a coroutine on a new virtual loop; cancel the remaining tasks."""
    session = Session()
    try:
        return session.run(coroutine)
    finally:
        session.close()
