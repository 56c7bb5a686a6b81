"""Entries that are as large as the store allows.

The load: a dozen entries of 1 MB that another writer leaves at once.
"""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import objects
from chervilshore.platform import store as store_clients
from tests import catalog_helpers
from tests import gateway_helpers
from tests import virtual

ENTRY_BYTES = 1_000_000
ENTRIES = 12

MAX_MESSAGE_BYTES = 2_000_000
"""Largest message between hosts; a larger one ends their connection."""


async def write_large(store):
    for number in range(ENTRIES):
        await store.write("servers", f"large{number}", "x" * ENTRY_BYTES)


# What changed did not fit into one response, again and again.
async def test_host_lists_again_what_does_not_fit_into_a_watch(deployment):
    host, _ = await gateway_helpers.serve_plain(deployment)
    deployment.store.faults.refuse = 503
    await write_large(deployment.store)
    await deployment.add_worker("w9", "ledger")
    deployment.store.faults.refuse = 0
    await deployment.wait_ready(host, 2)


async def test_changes_that_do_not_fit_count_as_history_that_is_gone(
    deployment,
):
    client = store_clients.MetadataStore(
        deployment.address, clocks.SystemClock(), 5000.0
    )
    try:
        since = (await client.list("servers")).revision
        await write_large(deployment.store)
        with pytest.raises(exceptions.HistoryGone):
            await client.poll("servers", since)
        with pytest.raises(exceptions.HistoryGone):
            await client.watch("servers", since, 1000.0)
        listing = await client.list("servers")
    finally:
        await client.close()
    assertions.assert_that(listing.objects, matchers.HasLength(ENTRIES))


def write_to(cluster):
    """Write large entries of several kinds to the store of a cluster."""
    for kind in ("servers", "chervilshore-hosts", "evacuations"):
        for number in range(ENTRIES):
            cluster.store.write(kind, f"large{number}", "x" * ENTRY_BYTES)


# Copies that were larger than messages may be never arrived.
@pytest.mark.parametrize("readers", [0, 1])
def test_copies_for_other_hosts_fit_into_messages(readers):
    sizes = []

    async def run():
        cluster = catalog_helpers.Cluster(3, readers=readers)
        transmit = cluster.network.transmit

        def record(to, data):
            sizes.append(len(data))
            transmit(to, data)

        cluster.network.transmit = record
        await cluster.start()
        write_to(cluster)
        await cluster.wait(3000.0)
        await cluster.restart(2)
        cluster.hosts[2].link.cut = True
        await cluster.wait(8000.0)
        assertions.assert_that(
            [len(host.catalog.endpoints("ledger")) for host in cluster.hosts],
            matchers.Equals([2, 2, 2]),
        )

    virtual.run(run())
    assertions.assert_that(max(sizes), matchers.LessThan(MAX_MESSAGE_BYTES))


def test_copies_keep_what_other_hosts_need():
    async def run():
        cluster = catalog_helpers.Cluster(1)
        await cluster.start()
        cluster.store.write("servers", "odd", "x" * ENTRY_BYTES)
        cluster.store.write("evacuations", "b", "x" * ENTRY_BYTES)
        await cluster.wait(3000.0)
        catalog = cluster.hosts[0].catalog
        copies = {
            (kind, name): catalog.copy(kind, stored).content
            for kind, cache in catalog.caches.items()
            for name, stored in cache.objects.items()
            if kind != "chervilshore-hosts"
        }
        unused = [("evacuations", "b"), ("servers", "odd")]
        assertions.assert_that(
            sorted(
                key
                for key, content in copies.items()
                if content == objects.NO_CONTENT
            ),
            matchers.Equals(unused),
        )
        for kind, name in copies.keys() - unused:
            assertions.assert_that(
                copies[kind, name],
                matchers.Equals(catalog.caches[kind].objects[name].content),
            )

    virtual.run(run())


def test_reader_tells_no_changes_whose_status_is_large():
    async def run():
        cluster = catalog_helpers.Cluster(1)
        stored = objects.StoredObject("o", 2, b"{}", b"1" * ENTRY_BYTES)
        changes = objects.Changes((objects.Change(stored),), 2)
        store = cluster.hosts[0].store
        store._record("rollouts", 1, changes)
        reply = store._read_log("rollouts", 1)
        assertions.assert_that(reply.changes, matchers.Is(None))

    virtual.run(run())
