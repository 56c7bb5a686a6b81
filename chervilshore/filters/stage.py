"""Runs one stage of a request, with retries and hedged requests."""

import asyncio
from collections import abc as collections_abc
import contextlib
import logging

from chervilshore import clock as clocks
from chervilshore.controllers import quarantine as quarantines
from chervilshore.decisions import retries
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import attempt
from chervilshore.filters import base
from chervilshore.filters import stagestate
from chervilshore import records
from chervilshore import results

MAX_ATTEMPTS = 4
"""Maximum attempts at one stage, including those that reached no endpoint."""

_LOGGER = logging.getLogger(__name__)


class StageRunner:
    """Runs stages.

    Parameters
    ----------
    clock : Clock
        Measures deadlines.
    runner : AttemptRunner
        Makes the attempts.
    find_budget : callable
        Returns the retry budget of a pool.
    hedging : Hedging or None
        Decides when a hedge is started; None for no hedges.
    quarantine : Quarantine or None
        Records the endpoints that end while they run a request; None to
        record nothing.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        runner: attempt.AttemptRunner,
        find_budget: retries.FindBudget,
        hedging: retries.Hedging | None = None,
        quarantine: quarantines.Quarantine | None = None,
    ) -> None:
        self._clock = clock
        self._runner = runner
        self._find_budget = find_budget
        self._hedging = hedging
        self._quarantine = quarantine

    @contextlib.contextmanager
    def begin(
        self, exchange: base.Exchange, index: int, value: dict
    ) -> collections_abc.Iterator[stagestate.StageState]:
        """Return the state of a stage until its request has ended.

        Parameters
        ----------
        exchange : Exchange
            The request.
        index : int
            The position of the stage in the pipeline.
        value : dict
            The body of the request and the outputs of the earlier stages.
        """
        state = stagestate.StageState(
            exchange, index, value, self._find_budget
        )
        try:
            yield state
        finally:
            state.sends.end()

    async def run(
        self, exchange: base.Exchange, index: int, value: dict
    ) -> dict:
        """Run one stage; see `begin` and `run_attempts`."""
        with self.begin(exchange, index, value) as state:
            return await self.run_attempts(state)

    async def run_attempts(self, state: stagestate.StageState) -> dict:
        """Make attempts at a stage until one succeeds or none may follow.

        Parameters
        ----------
        state : StageState
            The state of the stage. It counts the attempts of all calls.

        Returns
        -------
        dict
            The output of this stage.

        Raises
        ------
        exceptions.InputsGone
            The endpoint no longer has the batch results that it needs, and
            the request may be sent once more.
        exceptions.RefusalError
            The stage could not be run, or no attempt returned a complete
            answer.
        """
        exchange = state.exchange
        while True:
            if self._quarantine is not None:
                self._quarantine.check(exchange)
            try:
                output = await self._run_attempt(state)
            except attempt.AttemptError as error:
                await self._record_loss(exchange, error)
                self._check_retry(state, error)
            else:
                self._record_answer(exchange, output)
                return output

    def _record_answer(self, exchange: base.Exchange, output: dict) -> None:
        response = output.get("response")
        is_success = response is not None and response.status < 300
        if is_success and self._quarantine is not None:
            self._quarantine.record_answer(exchange)

    async def _record_loss(
        self, exchange: base.Exchange, error: attempt.AttemptError
    ) -> None:
        is_lost = isinstance(error.__cause__, exceptions.EndpointLost)
        if is_lost and self._quarantine is not None:
            await self._quarantine.record_loss(exchange, error.record)
            if not self._quarantine.may_retry(exchange):
                self._fail(self._choose_lost_code(exchange), error)

    def _choose_lost_code(self, exchange: base.Exchange) -> results.Code:
        """Return the code of a request that was cut and is not repeated."""
        if exchange.pipeline.repeatable:
            return results.Code.STAGE_BROKEN
        return results.Code.OUTCOME_UNKNOWN

    async def _run_attempt(self, state: stagestate.StageState) -> dict:
        hedge_delay_ms = self._choose_hedge_delay(state)
        if hedge_delay_ms is None:
            return await self._runner.run(state)
        return await self._run_hedged(state, hedge_delay_ms)

    def _choose_hedge_delay(
        self, state: stagestate.StageState
    ) -> float | None:
        if self._hedging is None or state.is_streamed:
            return None
        if not state.exchange.pipeline.repeatable:
            return None
        self._hedging.record_first_attempt()
        return self._hedging.hedge_delay_ms(state.pool.name, self._clock.now())

    async def _run_hedged(
        self, state: stagestate.StageState, hedge_delay_ms: float
    ) -> dict:
        """Run an attempt, and hedge it if it takes longer than the delay."""
        running = {asyncio.ensure_future(self._runner.run(state))}
        timer = asyncio.ensure_future(self._clock.sleep(hedge_delay_ms))
        try:
            await asyncio.wait(
                running | {timer}, return_when=asyncio.FIRST_COMPLETED
            )
            is_slow = not any(task.done() for task in running)
            if is_slow and self._hedging.acquire_hedge(self._clock.now()):
                hedge = self._runner.run(state, hedge=True)
                running.add(asyncio.ensure_future(hedge))
            return await self._wait_for_answer(running)
        finally:
            timer.cancel()
            for task in running:
                task.cancel()

    async def _wait_for_answer(self, running: set[asyncio.Task]) -> dict:
        """Return the first complete answer; raise an error if all fail."""
        failure: BaseException | None = None
        while running:
            done, _ = await asyncio.wait(
                running, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                running.discard(task)
                if task.exception() is None:
                    return task.result()
                # Prefer the error of an endpoint to a refusal without a slot.
                if not isinstance(failure, attempt.AttemptError):
                    failure = task.exception()
        raise failure

    def _check_retry(
        self, state: stagestate.StageState, error: attempt.AttemptError
    ) -> None:
        """Return if another attempt may follow; else raise a refusal."""
        repeatable = state.exchange.pipeline.repeatable
        may_have_run = error.outcome is records.Outcome.BROKEN
        if error.outcome is records.Outcome.REJECTED:
            if error.response is None or not repeatable:
                self._fail(results.Code.STAGE_FAILED, error)
        if may_have_run and not repeatable:
            self._fail(results.Code.OUTCOME_UNKNOWN, error)
        if may_have_run:
            self._keep_text(state, error)
        now = self._clock.now()
        if now >= state.exchange.deadline:
            self._fail(results.Code.DEADLINE_PASSED, error)
        runs_left = state.possible_runs < state.exchange.pipeline.attempts
        attempts_left = state.attempts < MAX_ATTEMPTS and runs_left
        if not attempts_left or not state.sends.reserve(now):
            self._log_denial(state, "budget" if attempts_left else "attempts")
            broken = results.Code.STAGE_BROKEN
            self._fail(
                broken if may_have_run else results.Code.NO_ENDPOINT, error
            )
        if error.outcome is records.Outcome.STALE:
            raise exceptions.InputsGone(str(error)) from error
        state.excluded |= {error.record.endpoint}

    def _log_denial(self, state: stagestate.StageState, reason: str) -> None:
        events.log_event(
            _LOGGER,
            events.Event.RETRY_DENIED,
            request=state.exchange.request,
            pool=state.pool.name,
            arrivals=state.sends.arrivals,
            reason=reason,
        )

    def _keep_text(
        self, state: stagestate.StageState, error: attempt.AttemptError
    ) -> None:
        """Keep generated text if the next attempt can resume after it.

        Raises
        ------
        exceptions.RefusalError
            The caller has received text that the next attempt could not
            continue.
        """
        relay = state.exchange.relay
        if relay is not None and relay.head_sent:
            # An endpoint that does not say its version fits to no other one.
            if relay.last_event_id is None or not relay.origin.version:
                self._fail(results.Code.STREAM_BROKEN, error)
        if state.pool.resume:
            state.text_chunks = max(
                state.text_chunks, error.text_chunks, key=len
            )
            return
        if error.text_chunks and state.is_streamed:
            # Another run could generate different text, which must not be
            # appended to what the caller already has.
            self._fail(results.Code.STREAM_BROKEN, error)

    def _fail(self, code: results.Code, error: attempt.AttemptError) -> None:
        raise exceptions.RefusalError(code, str(error)) from error
