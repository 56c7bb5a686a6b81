"""Seeded roll-outs of good and bad versions amid trouble of other kinds.

Hosts are cut off or start anew, endpoints are slow, fail or crash, a domain is
bad, callers cause errors, requests come in a burst or at one host. The full
number of schedules runs by `SCHEDULES=1000 python -m pytest
tests/test_rollouts_schedules.py`.
"""

import os

import pytest
from testtools import assertions
from testtools import matchers

from lab import rollout_schedules

SCHEDULES = int(os.environ.get("SCHEDULES", "60"))


@pytest.fixture(scope="module")
def results():
    return {seed: rollout_schedules.play(seed) for seed in range(SCHEDULES)}


def select(results, finding, chosen):
    """Return the seeds of chosen results that have a finding."""
    return [
        seed
        for seed, result in results.items()
        if chosen(result) and finding in result.findings
    ]


def is_good(result):
    return result.is_good


def is_bad(result):
    return not result.is_good


def is_plainly_bad(result):
    """Return whether a version is bad on all routes and at any load."""
    plan = result.plan
    return not result.is_good and not plan.pipeline and not plan.load


def test_no_good_version_is_rolled_back(results):
    found = select(results, "wrongly rolled back", is_good)
    assertions.assert_that(found, matchers.Equals([]))


def test_good_versions_are_completed_by_the_deadline(results):
    found = select(results, "late", is_good)
    good = sum(result.is_good for result in results.values())
    assertions.assert_that(
        len(found), matchers.Not(matchers.GreaterThan(0.01 * good)), str(found)
    )


@pytest.mark.parametrize("finding", ["missed", "share"])
def test_plainly_bad_versions_are_found_within_the_share(results, finding):
    found = select(results, finding, is_plainly_bad)
    assertions.assert_that(found, matchers.Equals([]))


@pytest.mark.parametrize("finding", ["missed", "share"])
def test_versions_bad_in_part_are_found_within_the_share(results, finding):
    found = select(
        results,
        finding,
        lambda result: is_bad(result) and not is_plainly_bad(result),
    )
    assertions.assert_that(found, matchers.Equals([]))


def test_hosts_stop_soon_after_the_fiftieth_bad_answer(results):
    found = select(results, "late sends", is_bad)
    assertions.assert_that(found, matchers.Equals([]))
