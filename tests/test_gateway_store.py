"""A forwarding host whose store is away, turns it away or forgets."""

import asyncio

from testtools import assertions
from testtools import matchers

from tests import gateway_helpers as helpers


async def test_a_host_without_the_store_learns_from_its_peers(deployment):
    """Pattern: the store turns one host away; a key is revoked meanwhile."""
    host, _ = await helpers.serve_plain(deployment)
    other = await deployment.add_host()
    await deployment.wait_ready(other, 1)
    await deployment.wait(lambda: len(other._catalog.hosts()) == 2)
    # This host alone calls a store that is not there any more.
    other._catalog._store._address = "127.0.0.1:9"
    version = await deployment.configure(
        [helpers.make_route("look", "ledger")],
        [helpers.make_service("ledger")],
        keys=["another"],
    )
    # The open watch tells of this change; the next one comes by a peer.
    await deployment.wait(lambda: other._catalog.rules.generation == version)
    version = await deployment.configure(
        [helpers.make_route("look", "ledger")],
        [helpers.make_service("ledger")],
    )
    await deployment.wait(lambda: other._catalog.rules.generation == version)


async def test_forgotten_history_is_listed_anew(deployment):
    host, _ = await helpers.serve_plain(deployment)
    deployment.store.faults.refuse = 503
    await deployment.configure(
        [helpers.make_route("new", "ledger")],
        [helpers.make_service("ledger")],
    )
    deployment.store.compact()
    deployment.store.faults.refuse = 0
    await deployment.wait(lambda: "new" in host._catalog.rules.pipelines)


async def test_a_host_without_configuration_says_so(deployment):
    host = await deployment.add_host()
    response, _ = await deployment.ask(host, "/look/")
    assertions.assert_that(response.status, matchers.Equals(503))
    assertions.assert_that(host.is_ready, matchers.Is(False))


async def test_a_lost_answer_leaves_one_entry_of_the_host(deployment):
    deployment.store.faults.lose = 1
    host, _ = await helpers.serve_plain(deployment)
    caches = deployment.store._objects["chervilshore-hosts"]
    await deployment.wait(lambda: list(caches) == ["h1"])


async def test_a_host_started_without_the_store_learns_from_a_seed(
    deployment,
):
    """Pattern: a host is restarted while the store is down."""
    host, _ = await helpers.serve_plain(deployment)
    deployment.store.faults.refuse = 503
    other = await deployment.add_host(seeds=host._options.peer_address)
    await deployment.wait_ready(other, 1)
    response, _ = await deployment.ask(other, "/look/")
    assertions.assert_that(response.status, matchers.Equals(200))


async def test_many_changes_of_endpoints_cost_few_calls(deployment):
    """Pattern: endpoints go down and up by turns, and many hosts watch."""
    host, (worker,) = await helpers.serve_plain(deployment)
    before = deployment.store.watches["servers"]
    for number in range(30):
        entry = worker.describe("ledger", "a", version=f"v{number}")
        await deployment.store.write("servers", "w0", entry)
        await asyncio.sleep(0.04)
    await deployment.wait(
        lambda: (
            host._catalog.caches["servers"].revision
            == deployment.store.revision
        )
    )
    spent = deployment.store.watches["servers"] - before
    assertions.assert_that(spent, matchers.LessThan(6))
