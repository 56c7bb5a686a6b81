"""Hosts go on when the store comes back from a copy some seconds old.

The load: changes that the copy lacks, and their writers who write them again.
"""

import collections
import random

import pytest
from testtools import assertions
from testtools import matchers

from tests import catalog_helpers as helpers
from tests import virtual

SCHEDULES = 150
"""Random series of changes and restores."""


def test_version_that_the_copy_lacks_stays_in_force():
    async def run():
        cluster = helpers.Cluster(3)
        await cluster.start()
        copy = cluster.store.copy()
        cluster.configure(2)
        await cluster.wait(1000.0)
        cluster.store.restore(copy)
        await cluster.wait(helpers.IN_TOUCH_MS)
        versions = [host.version for host in cluster.hosts]
        assertions.assert_that(versions, matchers.Equals([2, 2, 2]))

    virtual.run(run())


def test_versions_are_followed_after_revisions_went_back():
    """The store gives out revisions again that the hosts have seen."""

    async def run():
        cluster = helpers.Cluster(3)
        await cluster.start()
        copy = cluster.store.copy()
        for version in (2, 3, 4):
            cluster.configure(version)
            await cluster.wait(500.0)
        cluster.store.restore(copy)
        cluster.configure(4)
        await cluster.wait(helpers.IN_TOUCH_MS)
        cluster.configure(5)
        await cluster.wait(helpers.IN_FORCE_MS)
        versions = [host.version for host in cluster.hosts]
        assertions.assert_that(versions, matchers.Equals([5, 5, 5]))

    virtual.run(run())


def test_endpoint_that_leaves_is_not_used_again_for_the_copy():
    """Its entry in the copy says that it is ready."""

    async def run():
        cluster = helpers.Cluster(2)
        await cluster.start()
        copy = cluster.store.copy()
        cluster.write_endpoint("w0", "draining")
        await cluster.wait(1000.0)
        cluster.store.restore(copy)
        for _ in range(20):
            await cluster.wait(200.0)
            leaving = cluster.list_leaving("w0")
            assertions.assert_that(leaving, matchers.Equals([True] * 2))

    virtual.run(run())


def test_removed_endpoint_that_the_copy_has_back_stays_removed():
    async def run():
        cluster = helpers.Cluster(2)
        await cluster.start()
        copy = cluster.store.copy()
        cluster.store.remove("servers", "w0")
        await cluster.wait(1000.0)
        cluster.store.restore(copy)
        await cluster.wait(helpers.IN_TOUCH_MS)
        leaving = cluster.list_leaving("w0")
        assertions.assert_that(leaving, matchers.Equals([True] * 2))
        # An endpoint that runs writes its entry again.
        cluster.write_endpoint("w0")
        await cluster.wait(helpers.IN_FORCE_MS)
        leaving = cluster.list_leaving("w0")
        assertions.assert_that(leaving, matchers.Equals([False] * 2))

    virtual.run(run())


def test_endpoint_that_the_copy_lacks_is_used_until_it_is_written_again():
    async def run():
        cluster = helpers.Cluster(2)
        await cluster.start()
        copy = cluster.store.copy()
        cluster.write_endpoint("w2")
        await cluster.wait(1000.0)
        cluster.store.restore(copy)
        for step in range(30):
            await cluster.wait(100.0)
            if step == 20:
                cluster.write_endpoint("w2")
            leaving = cluster.list_leaving("w2")
            assertions.assert_that(leaving, matchers.Equals([False] * 2))
        await cluster.wait(10_000.0)
        leaving = cluster.list_leaving("w2")
        assertions.assert_that(leaving, matchers.Equals([False] * 2))

    virtual.run(run())


def test_domain_that_is_out_stays_out_until_it_is_written_again():
    async def run():
        cluster = helpers.Cluster(2)
        await cluster.start()
        copy = cluster.store.copy()
        cluster.store.write("evacuations", "a", {})
        await cluster.wait(1000.0)
        cluster.store.restore(copy)
        for step in range(40):
            await cluster.wait(100.0)
            if step == 25:
                cluster.store.write("evacuations", "a", {})
            for host in cluster.hosts:
                assertions.assert_that(
                    list(host.catalog.rules.domains), matchers.Equals(["a"])
                )
        cluster.store.remove("evacuations", "a")
        await cluster.wait(helpers.IN_FORCE_MS)
        for host in cluster.hosts:
            assertions.assert_that(
                host.catalog.rules.domains, matchers.Equals({})
            )

    virtual.run(run())


async def run_schedule(seed):
    """Play changes, restores, kills and cuts; return what went wrong.

    No host that runs on goes back to an older version, and all have the
    operator's version in time once it is written again.
    """
    rng = random.Random(seed)
    cluster = helpers.Cluster(rng.choice([1, 3, 5, 9]), seed)
    await cluster.start()
    version = 1
    problems = []
    for _ in range(rng.randrange(1, 4)):
        copy = cluster.store.copy()
        for _ in range(rng.randrange(4)):
            version += 1
            cluster.configure(version)
            await cluster.wait(rng.uniform(0.0, 900.0))
        cluster.store.faults.silent = rng.random() < 0.7
        await cluster.wait(rng.uniform(0.0, 2000.0))
        before = [host.version for host in cluster.hosts]
        cluster.store.restore(copy)
        cluster.store.faults.silent = False
        cluster.cut({"10.0.0.1:1"} if rng.random() < 0.3 else set())
        await cluster.wait(rng.uniform(0.0, 1500.0))
        if rng.random() < 0.3:
            killed = rng.randrange(len(cluster.hosts))
            await cluster.restart(killed)
            # A host that starts here knows only the copy.
            before[killed] = 0
        cluster.configure(version)
        await cluster.wait(helpers.IN_TOUCH_MS)
        cluster.cut(set())
        after = [host.version for host in cluster.hosts]
        if after != [version] * len(after):
            problems.append(f"late: {after}, {version}")
        if any(new < old for new, old in zip(after, before, strict=True)):
            problems.append(f"back: {before}, {after}")
        await cluster.wait(rng.uniform(0.0, 5000.0))
    return problems


def test_no_version_goes_back_or_comes_late_in_any_schedule():
    problems = {
        seed: found
        for seed in range(SCHEDULES)
        if (found := virtual.run(run_schedule(seed)))
    }
    assertions.assert_that(problems, matchers.Equals({}))


@pytest.mark.parametrize(
    ("hosts", "reads_per_s"), [(6, 2000), (76, 6000), (195, 16_000)]
)
def test_calls_after_a_restore_take_less_than_half_of_the_rate(
    hosts, reads_per_s
):
    """All hosts started at the same moment, so that they notice together."""

    async def run():
        cluster = helpers.Cluster(hosts)
        await cluster.start(with_peers=False)
        copy = cluster.store.copy()
        cluster.configure(2)
        await cluster.wait(1000.0)
        cluster.store.calls.clear()
        cluster.store.restore(copy)
        await cluster.wait(500.0)
        cluster.configure(2)
        await cluster.wait(5000.0)
        by_second = collections.Counter(
            int(at // 1000.0) for at, _, _ in cluster.store.calls
        )
        assertions.assert_that(
            max(by_second.values()), matchers.LessThan(reads_per_s / 2)
        )
        versions = {host.version for host in cluster.hosts}
        assertions.assert_that(versions, matchers.Equals({2}))

    virtual.run(run())
