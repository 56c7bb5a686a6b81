"""Runs one stage of a request, with hedges and retries."""

import asyncio

from chervilshore import clock as clocks
from chervilshore.decisions import retries
from chervilshore import exceptions
from chervilshore.filters import attempt
from chervilshore.filters import base
from chervilshore import records
from chervilshore import results

MOST_ATTEMPTS = 4
"""Attempts at one stage, those that reached no endpoint among them."""


class StageRunner:
    """Runs stages.

    Parameters
    ----------
    clock : Clock
        Measures deadlines.
    runner : AttemptRunner
        Makes the attempts.
    budget : RetryPolicy
        Bounds the retries.
    hedging : Hedging or None
        Starts second attempts; nothing for none.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        runner: attempt.AttemptRunner,
        budget: retries.RetryPolicy,
        hedging: retries.Hedging | None = None,
    ) -> None:
        self._clock = clock
        self._runner = runner
        self._budget = budget
        self._hedging = hedging

    async def run(
        self, exchange: base.Exchange, index: int, value: dict
    ) -> dict:
        """Run one stage.

        Parameters
        ----------
        exchange : Exchange
            The request.
        index : int
            The position of the stage.
        value : dict
            The body and what the earlier stages made.

        Returns
        -------
        dict
            What this stage made.

        Raises
        ------
        exceptions.RefusalError
            The stage could not be run, or no attempt brought its answer.
        """
        work = attempt.Work(exchange, index, value)
        self._budget.record_first_attempt()
        while True:
            try:
                return await self._try(work)
            except attempt.AttemptError as error:
                self._consider(work, error)

    async def _try(self, work: attempt.Work) -> dict:
        hedge_delay_ms = self._choose_hedge_delay(work)
        if hedge_delay_ms is None:
            return await self._runner.run(work)
        return await self._race(work, hedge_delay_ms)

    def _choose_hedge_delay(self, work: attempt.Work) -> float | None:
        if self._hedging is None or work.streams:
            return None
        if not work.exchange.pipeline.repeatable:
            return None
        self._hedging.record_first_attempt()
        return self._hedging.hedge_delay_ms(work.pool.name, self._clock.now())

    async def _race(self, work: attempt.Work, hedge_delay_ms: float) -> dict:
        """Run an attempt, and a second one when it takes too long."""
        running = {asyncio.ensure_future(self._runner.run(work))}
        timer = asyncio.ensure_future(self._clock.sleep(hedge_delay_ms))
        try:
            await asyncio.wait(
                running | {timer}, return_when=asyncio.FIRST_COMPLETED
            )
            acquire_hedge = not any(task.done() for task in running)
            if acquire_hedge and self._hedging.acquire_hedge(
                self._clock.now()
            ):
                hedge = self._runner.run(work, hedge=True)
                running.add(asyncio.ensure_future(hedge))
            return await self._take_first(running)
        finally:
            timer.cancel()
            for task in running:
                task.cancel()

    async def _take_first(self, running: set[asyncio.Task]) -> dict:
        """Take the first whole answer, or what the attempts failed with."""
        failure: BaseException | None = None
        while running:
            done, _ = await asyncio.wait(
                running, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                running.discard(task)
                if task.exception() is None:
                    return task.result()
                # A failed attempt tells more than a hedge without a slot.
                if not isinstance(failure, attempt.AttemptError):
                    failure = task.exception()
        raise failure

    def _consider(
        self, work: attempt.Work, error: attempt.AttemptError
    ) -> None:
        """Decide whether another attempt follows; raise if none does."""
        repeatable = work.exchange.pipeline.repeatable
        ran = error.outcome is records.Outcome.BROKEN
        if error.outcome is records.Outcome.STALE:
            raise exceptions.InputsGone(str(error)) from error
        if error.outcome is records.Outcome.REJECTED:
            if error.response is None or not repeatable:
                self._end(results.Code.STAGE_FAILED, error)
        if ran and not repeatable:
            self._end(results.Code.OUTCOME_UNKNOWN, error)
        if ran:
            self._keep_text(work, error)
        now = self._clock.now()
        if now >= work.exchange.deadline:
            self._end(results.Code.DEADLINE_PASSED, error)
        runs_left = work.runs < work.exchange.pipeline.attempts
        tries_left = work.attempts < MOST_ATTEMPTS and runs_left
        # What reached nobody has cost no endpoint anything.
        free = error.outcome is records.Outcome.UNREACHED
        if not tries_left or not (free or self._budget.acquire_retry(now)):
            broken = results.Code.STAGE_BROKEN
            self._end(broken if ran else results.Code.NO_ENDPOINT, error)
        work.excluded |= {error.endpoint}

    def _keep_text(
        self, work: attempt.Work, error: attempt.AttemptError
    ) -> None:
        """Keep text that the next attempt can go on from."""
        relay = work.exchange.relay
        if (
            relay is not None
            and relay.head_sent
            and relay.last_event_id is None
        ):
            self._end(results.Code.STREAM_BROKEN, error)
        if work.pool.resume:
            work.pieces = max(work.pieces, error.pieces, key=len)
            return
        if error.pieces and work.streams:
            # Another run could generate other text, which must not be
            # joined to what the caller has already.
            self._end(results.Code.STREAM_BROKEN, error)

    def _end(self, code: results.Code, error: attempt.AttemptError) -> None:
        raise exceptions.RefusalError(code, str(error)) from error
