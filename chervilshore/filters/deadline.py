"""Sets the deadline of each request."""

import re

from chervilshore import clock as clocks
from chervilshore.decisions import deadlines
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore.filters import pools
from chervilshore import results

DEADLINE_HEADER = "x-deadline-ms"
"""Header with the milliseconds that the caller allows for the request."""

_MILLISECONDS = re.compile(r"-?[0-9]{1,15}(\.[0-9]{1,9})?")


class DeadlineFilter(base.Filter):
    """Sets the deadline and refuses requests that cannot meet it.

    Parameters
    ----------
    clock : Clock
        Provides the current time.
    policy : DeadlinePolicy
        Decides whether a deadline can be met.
    max_budget_ms : float
        Maximum budget in milliseconds that a caller may request.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        policy: deadlines.DeadlinePolicy,
        max_budget_ms: float,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._max_budget_ms = max_budget_ms

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Set and check the deadline; see `Filter.handle`."""
        exchange.deadline = exchange.arrived_at + self._read_budget(exchange)
        now = self._clock.now()
        if now >= exchange.deadline:
            raise exceptions.RefusalError(
                results.Code.DEADLINE_PASSED, "no time is left"
            )
        needed = pools.list_pools(exchange)
        # Probes measure the pools with requests that may miss their
        # deadline. A request that must not be repeated is never a probe.
        may_probe = exchange.pipeline.repeatable
        if not self._policy.admits(needed, exchange.deadline, now, may_probe):
            raise exceptions.RefusalError(
                results.Code.DEADLINE_HOPELESS,
                f"the stages take {self._policy.estimate(needed, now):.0f}"
                f" ms, {exchange.deadline - now:.0f} ms are left",
            )
        return await proceed(exchange)

    def _limit_budget(self, exchange: base.Exchange) -> float:
        """Return the caller's budget in milliseconds, limited by the rule."""
        limit_ms = min(
            float(exchange.pipeline.deadline_ms), self._max_budget_ms
        )
        requested_ms = exchange.forwarded_request.timeout_ms
        return (
            limit_ms if requested_ms is None else min(limit_ms, requested_ms)
        )

    def _read_budget(self, exchange: base.Exchange) -> float:
        if exchange.forwarded_request is not None:
            return self._limit_budget(exchange)
        text = exchange.headers.get(DEADLINE_HEADER)
        if text is None:
            return float(exchange.pipeline.deadline_ms)
        if not _MILLISECONDS.fullmatch(text):
            raise exceptions.RefusalError(
                results.Code.BAD_HEADER, f"{DEADLINE_HEADER} is not a number"
            )
        budget = float(text)
        if budget > self._max_budget_ms:
            raise exceptions.RefusalError(
                results.Code.BAD_HEADER,
                f"{DEADLINE_HEADER} is over {self._max_budget_ms:.0f}",
            )
        return budget
