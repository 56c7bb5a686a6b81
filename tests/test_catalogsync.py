"""Hosts that copy from one another what they cannot read in the store.

A copy says up to which position it is current. What is gone at that position
must not be in it as if it were present: the store tells of each removal once.
"""

import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import catalogmessages
from chervilshore.controllers import catalog as catalogs
from chervilshore import records
from tests import catalog_helpers as helpers
from tests import virtual

SCHEDULES = 60
"""Random series of cuts, changes, restarts and restores for each size."""

REWRITE_MS = 1000.0
"""Milliseconds after which writers write again what a restored store lacks."""

CONFIGURATION_BYTES = 800_000
LINK_BYTES_PER_MS = 625.0
"""Bytes of a large configuration, and 5 Mbit/s, the smallest link of hosts."""

COPY_MS = 10_000.0
"""Milliseconds in which hosts without the store have it from others."""

SETTLE_MS = (
    helpers.IN_TOUCH_MS + catalogs.RESTORE_GRACE_MS + helpers.IN_FORCE_MS
)
"""Milliseconds after the last disruption until hosts have what is stored."""


async def remove_in_an_outage(cluster):
    """Cut all hosts off from the store, and remove an entry meanwhile."""
    await cluster.start()
    cluster.cut_store(True)
    await cluster.wait(3000.0)
    cluster.store.remove("servers", "w0")


def find_differences(cluster):
    """Return where hosts have other objects than the store."""
    found = []
    for host in cluster.hosts:
        for kind in helpers.WATCHED_KINDS:
            stored = cluster.store.copy().objects.get(kind, {})
            cached = host.catalog.caches[kind].objects
            if cached.keys() != stored.keys():
                found.append(
                    (host.membership.me.host, kind, set(cached), set(stored))
                )
    return found


# Guards against DRAIN: hosts of a zone that was cut off use a worker for as
# long as it serves, as one of them passes on the entry that was removed.
@pytest.mark.parametrize("count", [2, 3, 6])
def test_entry_removed_in_an_outage_is_gone_at_all_hosts(count):
    async def run():
        cluster = helpers.Cluster(count)
        await remove_in_an_outage(cluster)
        await cluster.wait(1000.0)
        cluster.cut_store(False, slice(1))
        await cluster.wait(2000.0)
        cluster.cut_store(False)
        await cluster.wait(helpers.IN_TOUCH_MS)
        assertions.assert_that(
            (cluster.list_leaving("w0"), cluster.list_leaving("w1")),
            matchers.Equals(([True] * count, [False] * count)),
        )

    virtual.run(run())


# Guards against DRAIN: the same where the host that copies has just started.
def test_entry_removed_in_an_outage_is_gone_at_a_host_that_starts():
    async def run():
        cluster = helpers.Cluster(3)
        await remove_in_an_outage(cluster)
        cluster.cut_store(False, slice(1))
        await cluster.restart(2, is_cut=True)
        await cluster.wait(helpers.IN_TOUCH_MS)
        assertions.assert_that(
            cluster.hosts[2].catalog.ready, matchers.Equals(True)
        )
        assertions.assert_that(
            cluster.list_leaving("w0"), matchers.Equals([True] * 3)
        )

    virtual.run(run())


# Guards against a host that gives up endpoints which run: their entries
# expired in the outage, and a copy from a peer does not list them.
def test_entry_that_expired_in_an_outage_is_used_until_it_is_written_again():
    async def run():
        cluster = helpers.Cluster(3)
        await remove_in_an_outage(cluster)
        cluster.cut_store(False, slice(1))
        for _ in range(20):
            await cluster.wait(60.0)
            assertions.assert_that(
                cluster.list_leaving("w0"), matchers.Equals([False] * 3)
            )
        cluster.write_endpoint("w0")
        cluster.cut_store(False)
        for _ in range(40):
            await cluster.wait(100.0)
            assertions.assert_that(
                cluster.list_leaving("w0"), matchers.Equals([False] * 3)
            )

    virtual.run(run())


# Guards against links full of copies that come too late: hosts without the
# store ask again and again for a configuration that takes a second to send,
# and those that send it are taken for down.
def test_large_configuration_is_copied_once_over_small_links():
    async def run():
        cluster = helpers.Cluster(3)
        await cluster.start()
        cluster.network.link_bytes_per_ms = LINK_BYTES_PER_MS
        cluster.cut_store(True, slice(1, None))
        cluster.configure(2, CONFIGURATION_BYTES)
        await cluster.wait(2000.0)
        before = cluster.network.bytes
        await cluster.wait(COPY_MS)
        down = [
            record.host
            for host in cluster.hosts
            for record in host.membership.hosts()
            if record.state is not records.HostState.ALIVE
        ]
        versions = [host.version for host in cluster.hosts]
        return versions, down, cluster.network.bytes - before

    versions, down, sent = virtual.run(run())
    assertions.assert_that((versions, down), matchers.Equals(([2, 2, 2], [])))
    # Each of two hosts gets a copy; the rest are small messages.
    assertions.assert_that(sent, matchers.LessThan(3 * CONFIGURATION_BYTES))


# Guards against EVAC: a zone stays out for good at a host that copied its
# evacuation from a peer, after the store had lost it in a restore.
def test_copy_marks_an_evacuation_that_a_restored_store_lacks():
    async def run():
        cluster = helpers.Cluster(2)
        await cluster.start()
        copy = cluster.store.copy()
        cluster.store.write("evacuations", "a", {})
        await cluster.wait(helpers.IN_FORCE_MS)
        cluster.store.restore(copy)
        await cluster.wait(helpers.IN_FORCE_MS)
        request = catalogmessages.CatalogRequest({"evacuations": 0})
        reply = cluster.hosts[0].sync._handle_request("", request)
        (snapshot,) = reply.snapshots
        (removed,) = snapshot.removed
        assertions.assert_that(
            (snapshot.objects, removed.object.name),
            matchers.Equals(((), "a")),
        )
        assertions.assert_that(
            removed.left_ms, matchers.LessThan(catalogs.RESTORE_GRACE_MS)
        )

    virtual.run(run())


# Guards against a peer of another build that keeps an object for longer.
def test_removed_entry_counts_no_longer_than_this_host_would_keep_it():
    async def run():
        cluster = helpers.Cluster(2)
        await remove_in_an_outage(cluster)
        cache = cluster.hosts[0].catalog.caches["servers"]
        cache._removal_grace_ms = 3_600_000.0
        cluster.cut_store(False, slice(1))
        await cluster.wait(SETTLE_MS)
        assertions.assert_that(
            cluster.list_leaving("w0"), matchers.Equals([False, True])
        )

    virtual.run(run())


class Schedule:
    """A random series of disruptions and changes in one cluster."""

    def __init__(self, seed, count, readers):
        self._rng = random.Random(seed)
        self.cluster = helpers.Cluster(count, seed, readers)
        self._version = 1
        self._names = {"servers": {"w0", "w1"}, "evacuations": set()}

    async def play(self):
        await self.cluster.start()
        actions = [
            self._cut_some,
            self._heal_some,
            self._change,
            self._change,
            self._restart,
            self._delay_answers,
        ]
        for _ in range(20):
            await self._rng.choice(actions)()
            await self.cluster.wait(self._rng.choice([30, 200, 900, 2500]))
        await self._restore()
        self.cluster.cut_store(False)
        await self.cluster.wait(SETTLE_MS)
        return find_differences(self.cluster)

    def _choose_hosts(self):
        hosts = self.cluster.hosts
        return self._rng.sample(hosts, self._rng.randint(1, len(hosts)))

    async def _cut_some(self):
        for host in self._choose_hosts():
            host.link.cut = True

    async def _heal_some(self):
        for host in self._choose_hosts():
            host.link.cut = False

    async def _delay_answers(self):
        for host in self._choose_hosts():
            host.link.delay_ms = self._rng.choice([0.0, 100.0, 800.0])

    async def _restart(self):
        index = self._rng.randrange(len(self.cluster.hosts))
        await self.cluster.restart(index, self._rng.random() < 0.5)

    async def _change(self):
        if self._rng.random() < 0.2:
            self._version += 1
            self.cluster.configure(self._version)
            return
        kind = self._rng.choice(["servers", "servers", "evacuations"])
        names = self._names[kind]
        name = self._rng.choice(
            ["a", "b"] if kind == "evacuations" else ["w0", "w1", "w2", "w3"]
        )
        if name in names:
            names.discard(name)
            self.cluster.store.remove(kind, name)
        else:
            names.add(name)
            self._write(kind, name)

    def _write(self, kind, name):
        if kind == "servers":
            self.cluster.write_endpoint(name)
        else:
            self.cluster.store.write(kind, name, {})

    async def _restore(self):
        """Restore the store from a copy in some schedules, not at once."""
        if self._rng.random() < 0.5:
            return
        copy = self.cluster.store.copy()
        for _ in range(3):
            await self._change()
            await self.cluster.wait(self._rng.choice([30, 900]))
        self.cluster.store.restore(copy)
        await self.cluster.wait(REWRITE_MS)
        self.cluster.configure(self._version)
        for kind, names in self._names.items():
            stored = set(self.cluster.store.copy().objects.get(kind, {}))
            for name in sorted(stored | names):
                # Whoever removes an object that is there again, or writes
                # one that is not, makes a change of its own.
                self._write(kind, name)
                if name not in names:
                    self.cluster.store.remove(kind, name)


async def play_schedule(seed, count, readers):
    return await Schedule(seed, count, readers).play()


# Guards against what is gone in the store and stays at a host, whatever the
# order in which hosts lose the store, start, and copy from one another.
@pytest.mark.parametrize(("count", "readers"), [(3, 0), (9, 2)])
def test_hosts_have_what_is_stored_after_any_disruption(count, readers):
    differing = {
        seed: found
        for seed in range(SCHEDULES)
        if (found := virtual.run(play_schedule(seed, count, readers)))
    }
    assertions.assert_that(differing, matchers.Equals({}))
