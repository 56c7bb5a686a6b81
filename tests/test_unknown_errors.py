"""An error of unknown cause in one kind does not end the reading of others."""

import asyncio

from testtools import assertions
from testtools import matchers

from chervilshore import exceptions
from tests import catalog_helpers
from tests import gateway_helpers
from tests import virtual

TASK_FAILED = 1005


def break_endpoint(host, name):
    """Let one endpoint's entry raise an error that no code expects."""
    known = host.catalog.entries["servers"]
    decode = known._decode

    def fail(found, content):
        if found == name:
            raise MemoryError("of unknown cause")
        return decode(found, content)

    known._decode = fail


def list_failed(caplog):
    """Return the tasks that were logged as failed."""
    return {
        record.fields["task"]
        for record in caplog.records
        if getattr(record, "event", 0) == TASK_FAILED
    }


# Such an error ended the service that reads the store, and all others too.
def test_error_in_an_entry_is_logged_and_reading_goes_on(caplog):
    async def run():
        cluster = catalog_helpers.Cluster(1)
        await cluster.start(with_peers=False)
        host = cluster.hosts[0]
        break_endpoint(host, "w7")
        cluster.write_endpoint("w7")
        await cluster.wait(5000.0)
        cluster.configure(2)
        await cluster.wait(5000.0)
        assertions.assert_that(host.version, matchers.Equals(2))
        cluster.store.remove("servers", "w7")
        cluster.write_endpoint("w8")
        await cluster.wait(5000.0)
        assertions.assert_that(
            len(host.catalog.endpoints("ledger")), matchers.Equals(3)
        )

    virtual.run(run())
    assertions.assert_that(
        list_failed(caplog), matchers.Equals({"follow servers"})
    )


def test_error_in_a_check_is_logged_and_reading_goes_on(caplog):
    async def fail(kind, since):
        raise MemoryError("of unknown cause")

    async def run():
        cluster = catalog_helpers.Cluster(1)
        await cluster.start(with_peers=False)
        host = cluster.hosts[0]
        host.link.poll = fail
        for number in range(2, 5):
            await cluster.wait(5000.0)
            cluster.configure(number)
            cluster.write_endpoint(f"w{number}")
        await cluster.wait(5000.0)
        assertions.assert_that(
            (host.version, len(host.catalog.endpoints("ledger"))),
            matchers.Equals((4, 5)),
        )

    virtual.run(run())
    assertions.assert_that(
        list_failed(caplog), matchers.Not(matchers.Equals(set()))
    )


# A host whose services have ended said that it is ready for callers.
async def test_host_of_which_a_service_has_ended_is_not_ready(deployment):
    host, _ = await gateway_helpers.serve_plain(deployment)
    await host._membership.crash(exceptions.PlatformError("a test"))
    async with asyncio.timeout(gateway_helpers.WAIT_SECONDS):
        while host.is_ready:
            await asyncio.sleep(0.01)
    response, _ = await deployment.send(host, "/look/")
    assertions.assert_that(response.status, matchers.Equals(200))
