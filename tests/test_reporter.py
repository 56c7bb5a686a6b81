"""Metrics and events of routing, team limits and load shedding."""

import logging

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.controllers import reporter
from chervilshore.decisions import adaptiveconcurrency
from chervilshore.decisions import retries
from chervilshore import metrics

POOL = "engines"


@pytest.fixture
def logged(caplog):
    caplog.set_level(logging.INFO)
    return lambda: [
        record.event for record in caplog.records if hasattr(record, "event")
    ]


async def test_changes_are_logged_once_and_metrics_are_set(clock, logged):
    ejected = {}
    shed = adaptiveconcurrency.AdaptiveConcurrency()
    counters = metrics.Metrics()
    service = reporter.FlowReporter(
        clock,
        counters,
        shed,
        retries.RetryBudget(),
        lambda: {POOL: dict(ejected)},
        lambda: 3,
    )
    await service.start()
    ejected["e1"] = 500.0
    for _ in range(200):
        shed.admit((POOL,), 0, clock.now())
    await clock.advance(2 * reporter.REPORT_INTERVAL_MS)
    assertions.assert_that(sorted(logged()), matchers.Equals([4101, 4103]))
    text = counters.render().decode()
    for line in (
        'chervilshore_endpoints_ejected{pool="engines"} 1',
        "chervilshore_team_shares 3",
    ):
        assertions.assert_that(text, matchers.Contains(line))
    ejected.clear()
    await clock.advance(
        reporter.SHEDDING_END_REPORTS * reporter.REPORT_INTERVAL_MS
    )
    await service.stop()
    assertions.assert_that(
        sorted(logged()), matchers.Equals([4101, 4102, 4103, 4104])
    )
