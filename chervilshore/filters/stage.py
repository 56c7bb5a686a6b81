"""Runs one stage of a request, with hedges and retries."""

import asyncio

from chervilshore import clock as clocks
from chervilshore.decisions import retries
from chervilshore import exceptions
from chervilshore.filters import attempt
from chervilshore.filters import base
from chervilshore import records
from chervilshore import results

MAX_ATTEMPTS = 4
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
        execution = attempt.StageExecution(exchange, index, value)
        self._budget.record_first_attempt()
        while True:
            try:
                return await self._run_attempt(execution)
            except attempt.AttemptError as error:
                self._check_retry(execution, error)

    async def _run_attempt(self, execution: attempt.StageExecution) -> dict:
        hedge_delay_ms = self._choose_hedge_delay(execution)
        if hedge_delay_ms is None:
            return await self._runner.run(execution)
        return await self._run_hedged(execution, hedge_delay_ms)

    def _choose_hedge_delay(
        self, execution: attempt.StageExecution
    ) -> float | None:
        if self._hedging is None or execution.is_streamed:
            return None
        if not execution.exchange.pipeline.repeatable:
            return None
        self._hedging.record_first_attempt()
        return self._hedging.hedge_delay_ms(
            execution.pool.name, self._clock.now()
        )

    async def _run_hedged(
        self, execution: attempt.StageExecution, hedge_delay_ms: float
    ) -> dict:
        """Run an attempt, and a second one when it takes too long."""
        running = {asyncio.ensure_future(self._runner.run(execution))}
        timer = asyncio.ensure_future(self._clock.sleep(hedge_delay_ms))
        try:
            await asyncio.wait(
                running | {timer}, return_when=asyncio.FIRST_COMPLETED
            )
            is_slow = not any(task.done() for task in running)
            if is_slow and self._hedging.acquire_hedge(self._clock.now()):
                hedge = self._runner.run(execution, hedge=True)
                running.add(asyncio.ensure_future(hedge))
            return await self._wait_for_answer(running)
        finally:
            timer.cancel()
            for task in running:
                task.cancel()

    async def _wait_for_answer(self, running: set[asyncio.Task]) -> dict:
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

    def _check_retry(
        self, execution: attempt.StageExecution, error: attempt.AttemptError
    ) -> None:
        """Decide whether another attempt follows; raise if none does."""
        repeatable = execution.exchange.pipeline.repeatable
        may_have_run = error.outcome is records.Outcome.BROKEN
        if error.outcome is records.Outcome.STALE:
            raise exceptions.InputsGone(str(error)) from error
        if error.outcome is records.Outcome.REJECTED:
            if error.response is None or not repeatable:
                self._fail(results.Code.STAGE_FAILED, error)
        if may_have_run and not repeatable:
            self._fail(results.Code.OUTCOME_UNKNOWN, error)
        if may_have_run:
            self._keep_text(execution, error)
        now = self._clock.now()
        if now >= execution.exchange.deadline:
            self._fail(results.Code.DEADLINE_PASSED, error)
        runs_left = (
            execution.possible_runs < execution.exchange.pipeline.attempts
        )
        attempts_left = execution.attempts < MAX_ATTEMPTS and runs_left
        # What reached nobody has cost no endpoint anything.
        costs_no_retry = error.outcome is records.Outcome.UNREACHED
        if not attempts_left or not (
            costs_no_retry or self._budget.acquire_retry(now)
        ):
            broken = results.Code.STAGE_BROKEN
            self._fail(
                broken if may_have_run else results.Code.NO_ENDPOINT, error
            )
        execution.excluded |= {error.endpoint}

    def _keep_text(
        self, execution: attempt.StageExecution, error: attempt.AttemptError
    ) -> None:
        """Keep text that the next attempt can go on from."""
        relay = execution.exchange.relay
        if relay is not None and relay.begun and relay.last_event is None:
            self._fail(results.Code.STREAM_BROKEN, error)
        if execution.pool.resume:
            execution.text_chunks = max(
                execution.text_chunks, error.text_chunks, key=len
            )
            return
        if error.text_chunks and execution.is_streamed:
            # Another run could generate other text, which must not be
            # joined to what the caller has already.
            self._fail(results.Code.STREAM_BROKEN, error)

    def _fail(self, code: results.Code, error: attempt.AttemptError) -> None:
        raise exceptions.RefusalError(code, str(error)) from error
