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

MOST_PREPARATIONS = 2
"""Times that a request is prepared when results vanish before their use."""

RUN_STAGE = 0
"""The position of the one stage that forwards a request."""


class ForwardFilter(base.Filter):
    """Has a request's pieces made and passes it on; the last filter.

    Parameters
    ----------
    clock : Clock
        Measures deadlines.
    preparer : BatchStageRunner
        Has the pieces made.
    runner : StageRunner
        Passes the request on.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        preparer: batchstages.BatchStageRunner,
        runner: stage.StageRunner,
    ) -> None:
        self._clock = clock
        self._preparer = preparer
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
            It could not be prepared or passed on.
        """
        for _ in range(MOST_PREPARATIONS):
            prepared = await self._preparer.run_stages(exchange)
            exchange.delivery = msgspec.structs.replace(
                exchange.delivery, inputs=prepared.handles
            )
            if exchange.relay is not None:
                # The first event shows that the results have been read.
                exchange.relay.on_head_sent = functools.partial(
                    self._preparer.free_results, prepared
                )
            try:
                return await self._pass_on(exchange)
            except exceptions.InputsGone as error:
                lost = error
            finally:
                self._preparer.free_results(prepared)
        raise exceptions.RefusalError(
            results.Code.NO_ENDPOINT, str(lost)
        ) from lost

    async def _pass_on(self, exchange: base.Exchange) -> base.Answer:
        try:
            made = await self._runner.run(exchange, RUN_STAGE, {})
        except exceptions.RefusalError as error:
            failed = error.__cause__
            known = isinstance(failed, attempt.AttemptError)
            head_sent = exchange.relay is not None and exchange.relay.head_sent
            if not known or failed.response is None or head_sent:
                raise
            # The endpoint's own failure tells the caller the most.
            return base.Answer(
                results.Code.STAGE_FAILED, response=failed.response
            )
        return base.Answer(results.Code.OK, response=made["response"])
