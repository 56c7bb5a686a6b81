"""Runs a request through the stages of its pipeline."""

import msgspec

from chervilshore.filters import base
from chervilshore.filters import stage
from chervilshore import results


class PipelineFilter(base.Filter):
    """Runs the stages in order; it is the last filter of the chain.

    Parameters
    ----------
    runner : StageRunner
        Runs one stage.
    """

    def __init__(self, runner: stage.StageRunner) -> None:
        self._runner = runner

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Run all stages; see `Filter.handle`."""
        return await self.run(exchange)

    async def run(self, exchange: base.Exchange) -> base.Answer:
        """Run all stages and answer with what the last one made.

        Raises
        ------
        exceptions.RefusalError
            A stage could not be run or did not bring a whole answer.
        """
        value = dict(exchange.body)
        made: dict = {}
        for index in range(len(exchange.pipeline.stages)):
            made = await self._runner.run(exchange, index, value)
            value |= made
        body = msgspec.json.encode(made)
        return base.Answer(results.Code.OK, body=body)
