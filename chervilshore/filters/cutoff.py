"""Answers the caller at the deadline or the host's end, whatever runs."""

import asyncio

from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import results


class CutoffFilter(base.Filter):
    """Ends a request at its deadline, or when its caller or host is gone.

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
        self._has_ended = asyncio.Event()

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Run the chain until the deadline or the end; see `Filter.handle`."""
        task = asyncio.ensure_future(proceed(exchange))
        remaining_ms = exchange.deadline - self._clock.now()
        timer = asyncio.ensure_future(self._clock.sleep(remaining_ms))
        end = asyncio.ensure_future(self._has_ended.wait())
        try:
            await asyncio.wait(
                {task, timer, end}, return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            self._detach(exchange, task)
            raise
        finally:
            timer.cancel()
            end.cancel()
        if task.done():
            return task.result()
        self._detach(exchange, task)
        raise exceptions.RefusalError(self._choose_code(exchange))

    def end(self) -> None:
        """Answer all requests now, as the host is about to close."""
        self._has_ended.set()

    async def finish(self) -> None:
        """Wait for the work that continues without its caller."""
        while self._background_tasks:
            await asyncio.wait(set(self._background_tasks))

    def _detach(self, exchange: base.Exchange, task: asyncio.Task) -> None:
        """Cancel the work, or let it continue without its caller."""
        exchange.abandoned = True
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
        has_ended = self._has_ended.is_set()
        if not exchange.dispatched:
            if has_ended:
                return results.Code.DRAINING
            return results.Code.DEADLINE_PASSED
        if not exchange.pipeline.repeatable:
            return results.Code.OUTCOME_UNKNOWN
        if has_ended:
            return results.Code.STAGE_BROKEN
        return results.Code.DEADLINE_MISSED
