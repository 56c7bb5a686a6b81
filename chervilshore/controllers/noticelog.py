"""Records and logs what endpoints say of themselves in their responses."""

import logging

from chervilshore import clock as clocks
from chervilshore.decisions import endpointnotices
from chervilshore import events
from chervilshore import metrics as metric_types
from chervilshore import notices
from chervilshore import records

_LOGGER = logging.getLogger(__name__)

_EVENTS = {
    endpointnotices.Change.LIMIT: events.Event.ENDPOINT_LIMIT_CHANGED,
    endpointnotices.Change.LEAVING: events.Event.ENDPOINT_LEAVES,
    endpointnotices.Change.PAUSE: events.Event.ENDPOINT_PAUSED,
    endpointnotices.Change.BRITTLE: events.Event.ENDPOINT_BRITTLE,
}


class NoticeLog:
    """The sink of notices: keeps the newest ones and logs each change.

    Parameters
    ----------
    clock : Clock
        The time.
    known : EndpointNotices
        Where the notices are kept.
    metrics : Metrics
        Counts the changes.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        known: endpointnotices.EndpointNotices,
        metrics: metric_types.Metrics,
    ) -> None:
        self._clock = clock
        self._known = known
        self._metrics = metrics

    def record(
        self, record: records.EndpointRecord, notice: notices.Notice
    ) -> None:
        """Record the notice of one response; see `notices.Sink`."""
        now = self._clock.now()
        for change in self._known.record(record, notice, now):
            self._metrics.count(
                metric_types.Metric.ENDPOINT_NOTICES, record.pool, change.value
            )
            events.log_event(
                _LOGGER,
                _EVENTS[change],
                endpoint=record.endpoint,
                instance=record.instance,
                pool=record.pool,
                limit_per_s=notice.limit_per_s,
                pause_ms=notice.pause_ms,
                max_rejections_per_s=notice.max_rejections_per_s,
            )
