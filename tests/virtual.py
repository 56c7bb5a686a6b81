"""An event loop whose time jumps to the next timer.

A schedule of minutes runs in milliseconds and goes the same way each
time, as long as nothing in it waits for a socket.
"""

import asyncio
import selectors

from chervilshore import clock as clocks


STEP_SECONDS = 1e-6
"""What a jump goes past its timer, so that time never stands still."""


class IdleSelector(selectors.SelectSelector):
    """Never waits, as there is no socket to wait for."""

    def select(self, timeout=None):
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them."""

    def __init__(self) -> None:
        self._moment = 0.0
        super().__init__(IdleSelector())

    def time(self) -> float:
        return self._moment

    def _run_once(self) -> None:
        if not self._ready:
            if not self._scheduled:
                raise RuntimeError("nothing is left that could happen")
            moment = max(self._moment, self._scheduled[0]._when)
            self._moment = moment + STEP_SECONDS
        super()._run_once()


class LoopClock(clocks.Clock):
    """Reads and waits on the time of the running loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time() * clocks.MILLIS_PER_SECOND

    def wall(self) -> float:
        return self.now()

    async def sleep(self, millis: float) -> None:
        await asyncio.sleep(max(0.0, millis) / clocks.MILLIS_PER_SECOND)


class Session:
    """A virtual loop that several coroutines run on, one by one."""

    def __init__(self):
        self._loop = VirtualLoop()

    def run(self, coroutine):
        """Run a coroutine to its end."""
        return self._loop.run_until_complete(coroutine)

    def close(self):
        """Cancel what was left."""
        while tasks := asyncio.all_tasks(self._loop):
            for task in tasks:
                task.cancel()
            self.run(asyncio.wait(tasks))
        self._loop.close()


def run(coroutine):
    """Run a coroutine on a virtual loop, then cancel what it left."""
    session = Session()
    try:
        return session.run(coroutine)
    finally:
        session.close()
