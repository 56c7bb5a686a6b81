"""Runs the batch stages of a request and forwards it to an endpoint."""

import functools

import msgspec

from chervilshore import clock as clocks
from chervilshore.controllers import batchstages
from chervilshore import exceptions
from chervilshore.filters import attempt
from chervilshore.filters import base
from chervilshore.filters import stage
from chervilshore.filters import stagestate
from chervilshore import results

MAX_BATCH_STAGE_RUNS = 2
"""Maximum runs of the batch stages of a request; they run again if their
results are deleted before the endpoint uses them."""

FORWARDING_STAGE = 0
"""Position of the only stage of a pipeline of forwarded requests."""


class ForwardFilter(base.Filter):
    """Runs batch stages and forwards the request; the last filter.

    Parameters
    ----------
    clock : Clock
        Measures deadlines.
    batch_stage_runner : BatchStageRunner
        Runs the batch stages.
    runner : StageRunner
        Forwards the request.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        batch_stage_runner: batchstages.BatchStageRunner,
        runner: stage.StageRunner,
    ) -> None:
        self._clock = clock
        self._batch_stage_runner = batch_stage_runner
        self._runner = runner

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Run batch stages and forward; see `Filter.handle`."""
        return await self.run(exchange)

    async def run(self, exchange: base.Exchange) -> base.Answer:
        """Run the batch stages of a request and forward it.

        The batch stages run again if the endpoint no longer has their
        results when the request arrives there, and the retry budget allows
        that it is sent once more.

        Raises
        ------
        exceptions.RefusalError
            A batch stage failed, or the request could not be forwarded.
        """
        with self._runner.begin(exchange, FORWARDING_STAGE, {}) as state:
            return await self._run(exchange, state)

    async def _run(
        self, exchange: base.Exchange, state: stagestate.StageState
    ) -> base.Answer:
        for _ in range(MAX_BATCH_STAGE_RUNS):
            stage_results = await self._batch_stage_runner.run_stages(exchange)
            exchange.delivery = msgspec.structs.replace(
                exchange.delivery, inputs=stage_results.handles
            )
            if exchange.relay is not None:
                # Once the endpoint sends an event, it has read the results.
                exchange.relay.on_head_sent = functools.partial(
                    self._batch_stage_runner.free_results, stage_results
                )
            try:
                return await self._forward(exchange, state)
            except exceptions.InputsGone as error:
                inputs_gone = error
            finally:
                self._batch_stage_runner.free_results(stage_results)
        raise exceptions.RefusalError(
            results.Code.NO_ENDPOINT, str(inputs_gone)
        ) from inputs_gone

    async def _forward(
        self, exchange: base.Exchange, state: stagestate.StageState
    ) -> base.Answer:
        try:
            output = await self._runner.run_attempts(state)
        except exceptions.RefusalError as error:
            cause = error.__cause__
            from_endpoint = isinstance(cause, attempt.AttemptError)
            response_begun = (
                exchange.relay is not None and exchange.relay.head_sent
            )
            if not from_endpoint or cause.response is None or response_begun:
                raise
            # The endpoint's own error response is the most informative one.
            return base.Answer(
                results.Code.STAGE_FAILED, response=cause.response
            )
        relay = exchange.relay
        if relay is not None and relay.head_sent and not relay.is_complete:
            raise exceptions.RefusalError(
                results.Code.STREAM_BROKEN,
                f"status {output['response'].status} after the stream",
            )
        return base.Answer(results.Code.OK, response=output["response"])
