"""Totals that hosts exchange, in any order and with losses."""

import random

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions.rollouts import evidence as evidences
from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore import records

KEY = evidences.Key("report", "a", 0, evidences.OLD_CELL)
OK = records.Outcome.OK
REJECTED = records.Outcome.REJECTED


def make_report(own, sequence, host="h1", incarnation=1):
    return evidences.HostEvidence(
        7,
        host,
        incarnation,
        sequence,
        rollout_records.Phase.CANARY,
        tallies=own.list_tallies(),
    )


@pytest.fixture
def own():
    return evidences.OwnEvidence()


@pytest.fixture
def evidence():
    return evidences.Evidence()


def add_up(added):
    """Return the ended and failed attempts and the latencies in additions."""
    tallies = [tally for pairs in added if pairs for _, tally in pairs]
    return (
        sum(tally.ended for tally in tallies),
        sum(tally.failed for tally in tallies),
        sum(sum(tally.buckets) for tally in tallies),
    )


def test_what_was_added_is_counted_once_in_any_order(own, evidence):
    rng = random.Random(3)
    reports = []
    for sequence in range(1, 30):
        for _ in range(3):
            own.record_end(KEY, OK, rng.lognormvariate(5.0, 1.0))
        own.record_end(KEY, REJECTED, 20.0)
        reports.append(make_report(own, sequence))
    arrived = [rng.choice(reports) for _ in range(40)] + [reports[-1]]
    added = [evidence.absorb(report) for report in arrived]
    assertions.assert_that(
        add_up(added), matchers.Equals((29 * 4, 29, 29 * 3))
    )


def test_a_new_process_run_adds_to_the_earlier_one(own, evidence):
    own.record_end(KEY, OK, 100.0)
    added = [evidence.absorb(make_report(own, 5))]
    again = evidences.OwnEvidence()
    again.record_end(KEY, OK, 100.0)
    added.append(evidence.absorb(make_report(again, 1, incarnation=2)))
    assertions.assert_that(add_up(added), matchers.Equals((2, 0, 2)))


def test_a_run_long_ago_is_not_counted_again(own, evidence):
    own.record_end(KEY, OK, 100.0)
    for incarnation in range(1, evidences.MAX_RUNS + 2):
        evidence.absorb(make_report(own, 1, incarnation=incarnation))
    assertions.assert_that(
        evidence.absorb(make_report(own, 1)), matchers.Is(None)
    )


@pytest.mark.parametrize(
    "outcome",
    [
        records.Outcome.BUSY,
        records.Outcome.STALE,
        records.Outcome.CANCELLED,
        records.Outcome.UNREACHED,
    ],
)
def test_what_is_not_of_the_version_is_not_counted(own, outcome):
    own.record_end(KEY, outcome, 100.0)
    assertions.assert_that(own.list_tallies(), matchers.Equals(()))


def test_a_report_has_a_bounded_size(own):
    for number in range(5000):
        key = evidences.Key(f"pipeline{number}", "a", 0, number % 8)
        own.record_end(key, OK, 50.0 + number)
    encoded = msgspec.msgpack.encode(make_report(own, 1))
    most = evidences.MAX_TALLIES + evidences.CELLS
    assertions.assert_that(
        len(own.list_tallies()), matchers.Not(matchers.GreaterThan(most))
    )
    assertions.assert_that(len(encoded), matchers.LessThan(12_000))


def test_a_report_arrives_as_it_was(own):
    own.record_end(KEY, OK, 100.0)
    report = make_report(own, 1)
    encoded = msgspec.msgpack.encode(report)
    decoded = msgspec.msgpack.decode(encoded, type=evidences.HostEvidence)
    assertions.assert_that(decoded, matchers.Equals(report))


def test_buckets_grow_at_both_ends():
    tally = evidences.Tally()
    for millis in (100.0, 10.0, 1000.0):
        tally.add(millis)
    first = evidences.find_bucket(10.0)
    assertions.assert_that(tally.first, matchers.Equals(first))
    assertions.assert_that(sum(tally.buckets), matchers.Equals(3))
    last = evidences.find_bucket(1000.0)
    assertions.assert_that(
        len(tally.buckets), matchers.Equals(last - first + 1)
    )
