"""Reports routing, team limits and load shedding in metrics and events."""

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
"""Milliseconds between two reports."""

SHEDDING_END_REPORTS = 5
"""Consecutive reports without a refusal after which shedding has ended."""

EjectedEndpoints = dict[ids.PoolName, dict[ids.EndpointId, float]]
"""For each pool, the milliseconds for which endpoints stay ejected."""

_LOGGER = logging.getLogger(__name__)


class FlowReporter(mode.Service):
    """Sets metrics and logs events from the state of flow control.

    The classes of `decisions` do no input or output and log nothing.

    Parameters
    ----------
    clock : Clock
        The time.
    counters : Metrics
        Where the metrics are set.
    shed : Shedding
        Limits the load that the host admits.
    budget : RetryBudget
        Limits retries.
    read_ejected : callable
        Returns the ejected endpoints.
    count_shares : callable
        Returns the number of teams of whose limits the host has a share.
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
        self._last_ejected: EjectedEndpoints = {}
        self._last_refused: dict[ids.PoolName, float] = {}
        self._quiet_reports: dict[ids.PoolName, int] = {}

    @mode.Service.task
    async def _report_periodically(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(REPORT_INTERVAL_MS)
            self.report()

    def report(self) -> None:
        """Set all metrics and log what changed since the last report."""
        self._report_shedding()
        self._report_ejected()
        budget = self._budget.describe()
        self._metrics.set(metrics.Metric.RETRIES_LEFT, budget["left"])
        self._metrics.set(metrics.Metric.RETRIES_DENIED, budget["denied"])
        self._metrics.set(metrics.Metric.TEAM_SHARES, self._count_shares())

    def _report_shedding(self) -> None:
        for pool, state in self._shedding.describe().items():
            self._metrics.set(metrics.Metric.SHED_LIMIT, state["limit"], pool)
            self._metrics.set(
                metrics.Metric.SHED_WAITING, state["waiting"], pool
            )
            self._metrics.set(
                metrics.Metric.SHED_REFUSED, state["refused"], pool
            )
            self._log_shedding(pool, state)

    def _log_shedding(
        self, pool: ids.PoolName, state: dict[str, float]
    ) -> None:
        refused = state["refused"] - self._last_refused.get(pool, 0)
        self._last_refused[pool] = state["refused"]
        if refused:
            if pool not in self._quiet_reports:
                self._log(
                    events.Event.SHEDDING_STARTED, pool, limit=state["limit"]
                )
            self._quiet_reports[pool] = 0
        elif pool in self._quiet_reports:
            self._quiet_reports[pool] += 1
            if self._quiet_reports[pool] == SHEDDING_END_REPORTS:
                del self._quiet_reports[pool]
                self._log(events.Event.SHEDDING_ENDED, pool)

    def _report_ejected(self) -> None:
        ejected = self._read_ejected()
        for pool in ejected.keys() | self._last_ejected.keys():
            after = ejected.get(pool, {})
            before = self._last_ejected.get(pool, {})
            self._metrics.set(metrics.Metric.EJECTED, len(after), pool)
            for endpoint in sorted(after.keys() - before.keys()):
                self._log(
                    events.Event.ENDPOINT_EJECTED, pool, endpoint=endpoint
                )
            for endpoint in sorted(before.keys() - after.keys()):
                self._log(events.Event.EJECTION_ENDED, pool, endpoint=endpoint)
        self._last_ejected = ejected

    def _log(self, event: events.Event, pool: ids.PoolName, **fields) -> None:
        events.log_event(_LOGGER, event, pool=pool, **fields)
