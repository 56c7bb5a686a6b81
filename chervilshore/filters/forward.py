"""Prepares a forwarded request and passes it on."""

import functools

import msgspec

from chervilshore import clock as clocks
from chervilshore.controllers import batchstages
from chervilshore import exceptions
from chervilshore.filters import attempt
from chervilshore.filters import base
from chervilshore.filters import stage
from chervilshore import results

MAX_BATCH_STAGE_RUNS = 2
"""Times that a request is stage_results when results vanish before their use."""

FORWARDING_STAGE = 0
"""The position of the one stage that forwards a request."""


class ForwardFilter(base.Filter):
    """Has a request's pieces output and passes it on; the last filter.

    Parameters
    ----------
    clock : Clock
        Measures deadlines.
    batch_stage_runner : BatchStageRunner
        Has the pieces output.
    runner : StageRunner
        Passes the request on.
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
        """Prepare and pass on; see `Filter.handle`."""
        return await self.run(exchange)

    async def run(self, exchange: base.Exchange) -> base.Answer:
        """Prepare a request and pass it on.

        Raises
        ------
        exceptions.RefusalError
            It could not be stage_results or passed on.
        """
        for _ in range(MAX_BATCH_STAGE_RUNS):
            stage_results = await self._batch_stage_runner.run_stages(exchange)
            exchange.delivery = msgspec.structs.replace(
                exchange.delivery, inputs=stage_results.handles
            )
            if exchange.relay is not None:
                # The first event shows that the results have been read.
                exchange.relay.on_begin = functools.partial(
                    self._batch_stage_runner.free_results, stage_results
                )
            try:
                return await self._forward(exchange)
            except exceptions.InputsGone as error:
                inputs_gone = error
            finally:
                self._batch_stage_runner.free_results(stage_results)
        raise exceptions.RefusalError(
            results.Code.NO_ENDPOINT, str(inputs_gone)
        ) from inputs_gone

    async def _forward(self, exchange: base.Exchange) -> base.Answer:
        try:
            output = await self._runner.run(exchange, FORWARDING_STAGE, {})
        except exceptions.RefusalError as error:
            cause = error.__cause__
            from_endpoint = isinstance(cause, attempt.AttemptError)
            response_begun = (
                exchange.relay is not None and exchange.relay.begun
            )
            if not from_endpoint or cause.response is None or response_begun:
                raise
            # The endpoint's own failure tells the caller the most.
            return base.Answer(
                results.Code.STAGE_FAILED, response=cause.response
            )
        return base.Answer(results.Code.OK, response=output["response"])
