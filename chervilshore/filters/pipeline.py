"""Runs a request through the stages of its pipeline."""

import msgspec

from chervilshore.filters import base
from chervilshore.filters import stage
from chervilshore import results


class PipelineFilter(base.Filter):
    """Runs the stages in order; the last filter of the chain.

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
        """Run all stages and return the output of the last one.

        Each stage gets the body of the request, updated with the outputs of
        the stages before it.

        Raises
        ------
        exceptions.RefusalError
            A stage could not be run or did not return a complete answer.
        """
        value = dict(exchange.body)
        output: dict = {}
        for index in range(len(exchange.pipeline.stages)):
            output = await self._runner.run(exchange, index, value)
            value |= output
        body = msgspec.json.encode(output)
        return base.Answer(results.Code.OK, body=body)
