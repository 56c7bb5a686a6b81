"""Hosts stay current although calls to the store are never answered.

The load: changes of the configuration and of endpoints while the store is
silent, refuses or loses answers for some seconds.
"""

import random

from testtools import assertions
from testtools import matchers

from tests import catalog_helpers as helpers
from tests import virtual

SCHEDULES = 300
"""Random series of outages and changes."""


def assert_versions(cluster, version):
    versions = [host.version for host in cluster.hosts]
    assertions.assert_that(
        versions, matchers.Equals([version] * len(versions))
    )


# A configuration that was confirmed after an outage is not in force in time,
# as the watch sent during the outage is never answered (incident, CONFIG).
def test_watch_sent_into_a_silent_store_is_replaced_once_it_answers():
    async def run():
        cluster = helpers.Cluster(3)
        await cluster.start()
        cluster.configure(2)
        await cluster.wait(100.0)
        cluster.store.faults.silent = True
        await cluster.wait(6000.0)
        cluster.store.faults.silent = False
        cluster.configure(3)
        await cluster.wait(helpers.IN_TOUCH_MS)
        assert_versions(cluster, 3)

    virtual.run(run())


# Batch calls go on to an endpoint that said it leaves, as the retry of a
# watch that ended during an outage is never answered (incident, DRAIN).
def test_leaving_endpoint_is_known_after_a_watch_ended_in_an_outage():
    async def run():
        cluster = helpers.Cluster(3)
        await cluster.start()
        await cluster.wait(15_000.0)
        cluster.store.faults.silent = True
        await cluster.wait(5500.0)
        cluster.store.faults.silent = False
        await cluster.wait(2000.0)
        cluster.write_endpoint("w0", "draining")
        await cluster.wait(helpers.IN_FORCE_MS)
        leaving = cluster.list_leaving("w0")
        assertions.assert_that(leaving, matchers.Equals([True] * 3))

    virtual.run(run())


def test_single_lost_answer_of_a_watch_is_noticed():
    """The store answers everything else all the while."""

    async def run():
        cluster = helpers.Cluster(1)
        await cluster.start()
        cluster.store.faults.lose_watches = 1
        cluster.configure(2)
        await cluster.wait(500.0)
        cluster.configure(3)
        await cluster.wait(500.0)
        cluster.configure(4)
        await cluster.wait(helpers.IN_TOUCH_MS)
        assert_versions(cluster, 4)

    virtual.run(run())


async def run_schedule(seed):
    """Play outages and changes; return the versions that were in force late.

    A version must be in force `IN_FORCE_MS` after it was written, or
    `IN_TOUCH_MS` after the last outage ended, whichever is later.
    """
    rng = random.Random(seed)
    cluster = helpers.Cluster(1, seed)
    await cluster.start()
    faults = cluster.store.faults
    (host,) = cluster.hosts
    late = []
    version = 1
    for _ in range(4):
        for _ in range(rng.randrange(3)):
            version += 1
            cluster.configure(version)
            await cluster.wait(rng.uniform(0.0, 400.0))
        faults.silent = rng.random() < 0.6
        faults.refuses = not faults.silent
        await cluster.wait(rng.uniform(100.0, 8000.0))
        faults.silent = faults.refuses = False
        version += 1
        cluster.configure(version)
        await cluster.wait(helpers.IN_TOUCH_MS)
        if host.version < version:
            late.append(version)
        await cluster.wait(rng.uniform(0.0, 15_000.0))
    return late


def test_versions_are_in_force_in_time_after_any_outage():
    late = {
        seed: versions
        for seed in range(SCHEDULES)
        if (versions := virtual.run(run_schedule(seed)))
    }
    assertions.assert_that(late, matchers.Equals({}))
