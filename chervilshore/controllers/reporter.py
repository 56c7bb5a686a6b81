"""Shows operators what routing, limits and shedding are doing."""

from collections import abc as collections_abc
import logging

import mode

from chervilshore import clock as clocks
from chervilshore.decisions import retries
from chervilshore.decisions import shedding
from chervilshore import events
from chervilshore import ids
from chervilshore import metrics

REPORT_INTERVAL_MS = 1000.0
"""Milliseconds between two looks at the decisions."""

SHEDDING_END_REPORTS = 5
"""Looks without a refusal after which shedding has ended."""

EjectedEndpoints = dict[ids.PoolName, dict[ids.EndpointId, float]]
"""For each pool, the milliseconds for which endpoints stay left out."""

_LOGGER = logging.getLogger(__name__)


class FlowReporter(mode.Service):
    """Sets metrics and logs events from what the decisions describe.

    The decisions are pure and log nothing themselves.

    Parameters
    ----------
    clock : Clock
        The time.
    counters : Metrics
        Takes the figures.
    shed : Shedding
        Bounds what the host takes on.
    budget : RetryBudget
        Bounds the retries.
    read_ejected : callable
        Tells which endpoints are left out.
    count_shares : callable
        Tells how many teams' limits the host holds a share of.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        shed: shedding.Shedding,
        budget: retries.RetryBudget,
        read_ejected: collections_abc.Callable[[], EjectedEndpoints],
        count_shares: collections_abc.Callable[[], int],
    ) -> None:
        super().__init__()
        self._clock = clock
        self._metrics = counters
        self._shedding = shed
        self._budget = budget
        self._read_ejected = read_ejected
        self._count_shares = count_shares
        self._out: EjectedEndpoints = {}
        self._refused: dict[ids.PoolName, float] = {}
        self._calm: dict[ids.PoolName, int] = {}

    @mode.Service.task
    async def _report_always(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(REPORT_INTERVAL_MS)
            self.report()

    def report(self) -> None:
        """Look at the decisions once."""
        self._report_shedding()
        self._report_ejected()
        budget = self._budget.describe()
        self._metrics.set(metrics.Metric.RETRIES_LEFT, budget["left"])
        self._metrics.set(metrics.Metric.RETRIES_DENIED, budget["denied"])
        self._metrics.set(metrics.Metric.TEAM_SHARES, self._count_shares())

    def _report_shedding(self) -> None:
        for pool, gate in self._shedding.describe().items():
            self._metrics.set(metrics.Metric.SHED_LIMIT, gate["limit"], pool)
            self._metrics.set(
                metrics.Metric.SHED_WAITING, gate["waiting"], pool
            )
            self._metrics.set(
                metrics.Metric.SHED_REFUSED, gate["refused"], pool
            )
            self._compare(pool, gate)

    def _compare(self, pool: ids.PoolName, gate: dict[str, float]) -> None:
        refused = gate["refused"] - self._refused.get(pool, 0)
        self._refused[pool] = gate["refused"]
        if refused:
            if pool not in self._calm:
                self._log(
                    events.Event.SHEDDING_BEGAN, pool, limit=gate["limit"]
                )
            self._calm[pool] = 0
        elif pool in self._calm:
            self._calm[pool] += 1
            if self._calm[pool] == SHEDDING_END_REPORTS:
                del self._calm[pool]
                self._log(events.Event.SHEDDING_ENDED, pool)

    def _report_ejected(self) -> None:
        ejected = self._read_ejected()
        for pool in ejected.keys() | self._out.keys():
            now = ejected.get(pool, {})
            before = self._out.get(pool, {})
            self._metrics.set(metrics.Metric.EJECTED, len(now), pool)
            for endpoint in sorted(now.keys() - before.keys()):
                self._log(
                    events.Event.ENDPOINT_EJECTED, pool, endpoint=endpoint
                )
            for endpoint in sorted(before.keys() - now.keys()):
                self._log(
                    events.Event.ENDPOINT_RETURNED, pool, endpoint=endpoint
                )
        self._out = ejected

    def _log(self, event: events.Event, pool: ids.PoolName, **fields) -> None:
        events.log_event(_LOGGER, event, pool=pool, **fields)
