"""The filter that gives each request its deadline."""

import re

from chervilshore import clock as clocks
from chervilshore.decisions import deadlines
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore.filters import pools
from chervilshore import results

HEADER = "x-deadline-ms"
"""The header with the milliseconds that are left."""

_NUMBER = re.compile(r"-?[0-9]{1,15}(\.[0-9]{1,9})?")


class DeadlineFilter(base.Filter):
    """Sets the deadline and refuses what cannot meet it.

    Parameters
    ----------
    clock : Clock
        The time.
    policy : DeadlinePolicy
        Judges which deadlines can be met.
    longest_ms : float
        The longest budget in milliseconds that a caller may ask for.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        policy: deadlines.DeadlinePolicy,
        longest_ms: float,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._longest_ms = longest_ms

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Set and check the deadline; see `Filter.handle`."""
        exchange.deadline = exchange.arrived + self._read_budget(exchange)
        now = self._clock.now()
        if now >= exchange.deadline:
            raise exceptions.RefusalError(
                results.Code.DEADLINE_PASSED, "no time is left"
            )
        needed = pools.list_pools(exchange)
        # A request that may not run twice is never spent on finding out.
        probe = exchange.pipeline.repeatable
        if not self._policy.admits(needed, exchange.deadline, now, probe):
            raise exceptions.RefusalError(
                results.Code.DEADLINE_HOPELESS,
                f"the stages take {self._policy.estimate(needed, now):.0f}"
                f" ms, {exchange.deadline - now:.0f} ms are left",
            )
        return await proceed(exchange)

    def _bound_budget(self, exchange: base.Exchange) -> float:
        """Take the caller's own budget, up to the pipeline's limit."""
        most = min(float(exchange.pipeline.deadline_ms), self._longest_ms)
        asked = exchange.forwarded_request.timeout_ms
        return most if asked is None else min(most, asked)

    def _read_budget(self, exchange: base.Exchange) -> float:
        if exchange.forwarded_request is not None:
            return self._bound_budget(exchange)
        text = exchange.headers.get(HEADER)
        if text is None:
            return float(exchange.pipeline.deadline_ms)
        if not _NUMBER.fullmatch(text):
            raise exceptions.RefusalError(
                results.Code.BAD_HEADER, f"{HEADER} is not a number"
            )
        budget = float(text)
        if budget > self._longest_ms:
            raise exceptions.RefusalError(
                results.Code.BAD_HEADER,
                f"{HEADER} is over {self._longest_ms:.0f}",
            )
        return budget
