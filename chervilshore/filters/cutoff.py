"""Answers the caller at the deadline, even if work still runs."""

import asyncio

from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import results


class CutoffFilter(base.Filter):
    """Ends a request at its deadline or when its caller disconnects.

    Repeatable work is cancelled then. Work that must not be repeated
    continues without its caller, so that its outcome is recorded, unless no
    caller can ask for the outcome later.

    Parameters
    ----------
    clock : Clock
        Measures the deadline.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._background_tasks: set[asyncio.Task] = set()

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Run the chain until the deadline; see `Filter.handle`."""
        task = asyncio.ensure_future(proceed(exchange))
        remaining_ms = exchange.deadline - self._clock.now()
        timer = asyncio.ensure_future(self._clock.sleep(remaining_ms))
        try:
            await asyncio.wait(
                {task, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            self._detach(exchange, task)
            raise
        finally:
            timer.cancel()
        if task.done():
            return task.result()
        self._detach(exchange, task)
        raise exceptions.RefusalError(self._choose_code(exchange))

    async def finish(self) -> None:
        """Wait for the work that continues without its caller."""
        while self._background_tasks:
            await asyncio.wait(set(self._background_tasks))

    def _detach(self, exchange: base.Exchange, task: asyncio.Task) -> None:
        """Cancel the work, or let it continue without its caller."""
        exchange.abandoned = True
        if task.done():
            return
        if not exchange.continues_without_caller:
            task.cancel()
        self._background_tasks.add(task)
        task.add_done_callback(self._remove)

    def _remove(self, task: asyncio.Task) -> None:
        self._background_tasks.discard(task)
        if not task.cancelled():
            # No caller awaits the result. Reading the exception keeps the
            # event loop from logging that it was never retrieved.
            task.exception()

    def _choose_code(self, exchange: base.Exchange) -> results.Code:
        if not exchange.dispatched:
            return results.Code.DEADLINE_PASSED
        if exchange.pipeline.repeatable:
            return results.Code.DEADLINE_MISSED
        return results.Code.OUTCOME_UNKNOWN
