"""An event loop whose time jumps to the next timer.

A schedule of minutes runs in milliseconds and goes the same way each
time, as long as nothing in it waits for a socket.
"""

import asyncio

from chervilshore import clock as clocks


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them."""

    def __init__(self) -> None:
        self._moment = 0.0
        super().__init__()

    def time(self) -> float:
        return self._moment

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._moment = max(self._moment, self._scheduled[0]._when)
        super()._run_once()


class LoopClock(clocks.Clock):
    """Reads and waits on the time of the running loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time() * clocks.MILLIS_PER_SECOND

    def wall(self) -> float:
        return self.now()

    async def sleep(self, millis: float) -> None:
        await asyncio.sleep(max(0.0, millis) / clocks.MILLIS_PER_SECOND)


def run(coroutine):
    """Run a coroutine on a virtual loop to its end."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
