"""Roll-outs that a few hosts carry out, with stand-ins for store and workers.

The load: steady requests on two routes while a pool moves to another version,
which may be bad, and hosts or the store fail on the way.
"""

import asyncio

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import rendezvous
from chervilshore.platform import names
from tests import gateway_helpers
from tests import rollout_helpers as helpers

HOSTS = 3
ROLLBACK_SECONDS = 3.0
"""The bound of the helpers' settings."""

FAULTS = {
    "fails": {"fail_share": 0.5},
    "fails on one route": {"fail_share": 0.6, "path": "/find/"},
    "slow": {"slow_share": 0.8, "slow_factor": 6.0},
}


@pytest.fixture
async def fleet(deployment):
    """Hosts, endpoints of the old version, and callers."""
    made = helpers.Fleet(deployment, HOSTS)
    yield made
    await made.stop()


def list_watched_kinds(deployment):
    """Return the kinds of objects that hosts watch."""
    return {kind for kind, count in deployment.store.watches.items() if count}


def check_all_served(fleet):
    """Check that each request was answered with success."""
    assertions.assert_that(set(fleet.statuses), matchers.Equals({200}))


async def test_host_without_the_bounds_reads_no_orders(deployment):
    await gateway_helpers.serve_plain(deployment)
    await deployment.wait_until(lambda: len(deployment.store.watches) >= 3)
    assertions.assert_that(
        list_watched_kinds(deployment),
        matchers.Not(matchers.Contains(names.ROLLOUTS)),
    )


async def test_without_an_order_nothing_is_written_or_counted(fleet):
    await fleet.start()
    await fleet.add_endpoints(helpers.NEW)
    await asyncio.sleep(2.0)
    deployment = fleet.deployment
    assertions.assert_that(deployment.store.status_writes, matchers.Equals([]))
    for host in deployment.hosts:
        status = await deployment.read_status(host)
        assertions.assert_that(status["rollouts"], matchers.Equals({}))
    check_all_served(fleet)


# The old endpoints stop at once when the order is completed.
async def test_good_version_completes_and_no_request_is_lost(fleet):
    await fleet.start()
    await fleet.order()
    await fleet.add_endpoints(helpers.NEW)
    await fleet.wait_state("running", 2.0)
    took = await fleet.wait_state("completed")
    await fleet.stop_endpoints(helpers.OLD)
    await asyncio.sleep(1.0)
    assertions.assert_that(took, matchers.LessThan(helpers.DURATION_SECONDS))
    check_all_served(fleet)


@pytest.mark.parametrize("fault", FAULTS)
async def test_bad_version_is_rolled_back_and_gets_nothing_more(fleet, fault):
    await fleet.start()
    await fleet.order()
    await fleet.add_endpoints(helpers.NEW, **FAULTS[fault])
    await fleet.wait_state("rolled_back")
    await asyncio.sleep(0.5)
    new = fleet.count_runs(helpers.NEW)
    await asyncio.sleep(1.0)
    assertions.assert_that(fleet.count_runs(helpers.NEW), matchers.Equals(new))
    bound = 0.1 * (new + fleet.count_runs(helpers.OLD)) + helpers.SLACK
    assertions.assert_that(new, matchers.Not(matchers.GreaterThan(bound)))


async def test_version_gets_another_trial_when_the_order_is_repeated(fleet):
    await fleet.start()
    await fleet.order()
    await fleet.add_endpoints(helpers.NEW, fail_share=0.5)
    await fleet.wait_state("rolled_back")
    await fleet.deployment.store.remove(names.ROLLOUTS, "ledger")
    for worker in fleet.list_workers(helpers.NEW):
        worker.version_faults.fail_share = 0.0
    await fleet.order()
    await fleet.wait_state("running", 2.0)
    await fleet.wait_state("completed")


async def test_order_is_carried_out_when_the_host_that_writes_stops(fleet):
    await fleet.start()
    await fleet.order()
    await fleet.add_endpoints(helpers.NEW)
    await fleet.wait_state("running", 2.0)
    hosts = {host._options.host: host for host in fleet.deployment.hosts}
    first = rendezvous.rank(hosts, f"ledger {helpers.NEW}")[0]
    fleet.deployment.hosts.remove(hosts[first])
    await hosts[first].stop()
    took = await fleet.wait_state("completed")
    assertions.assert_that(took, matchers.LessThan(helpers.DURATION_SECONDS))


async def test_order_is_carried_out_when_the_store_was_away(fleet):
    await fleet.start()
    await fleet.order()
    await fleet.add_endpoints(helpers.NEW)
    await fleet.wait_state("running", 2.0)
    store = fleet.deployment.store
    store.faults.refuse = 503
    await asyncio.sleep(4.0)
    store.faults.refuse = 0
    await fleet.wait_state("completed")
    check_all_served(fleet)


async def test_order_is_carried_out_when_all_hosts_start_anew(fleet):
    await fleet.start()
    await fleet.order()
    await fleet.add_endpoints(helpers.NEW)
    await fleet.wait_state("running", 2.0)
    await asyncio.sleep(2.0)
    await fleet.restart_hosts()
    took = await fleet.wait_state("completed")
    assertions.assert_that(took, matchers.LessThan(helpers.DURATION_SECONDS))


async def test_order_to_the_version_in_use_ends_one_midway(fleet):
    await fleet.start()
    await fleet.order()
    await fleet.add_endpoints(helpers.NEW)
    await fleet.wait_state("running", 2.0)
    await asyncio.sleep(2.0)
    await fleet.order(to=helpers.OLD)
    await fleet.wait_state("completed")
    new = fleet.count_runs(helpers.NEW)
    await asyncio.sleep(1.0)
    assertions.assert_that(fleet.count_runs(helpers.NEW), matchers.Equals(new))
    check_all_served(fleet)


async def test_version_whose_order_is_removed_gets_nothing_more(fleet):
    await fleet.start()
    await fleet.order()
    await fleet.add_endpoints(helpers.NEW)
    await fleet.wait_state("running", 2.0)
    await fleet.deployment.store.remove(names.ROLLOUTS, "ledger")
    await asyncio.sleep(1.0)
    new = fleet.count_runs(helpers.NEW)
    await asyncio.sleep(1.0)
    assertions.assert_that(fleet.count_runs(helpers.NEW), matchers.Equals(new))
    check_all_served(fleet)


# Requests like these had been held back, as endpoints ended under them.
async def test_sound_requests_are_served_though_a_version_crashes(fleet):
    await fleet.start()
    await fleet.order()
    await fleet.add_endpoints(helpers.NEW)
    for worker in fleet.list_workers(helpers.NEW):
        worker.faults.crash_body = helpers.BODY
    await asyncio.sleep(5.0)
    crashed = sum(
        bool(worker.runs) for worker in fleet.list_workers(helpers.NEW)
    )
    assertions.assert_that(crashed, matchers.Equals(helpers.ENDPOINTS))
    for host in fleet.deployment.hosts:
        status = await fleet.deployment.read_status(host)
        assertions.assert_that(status["held"], matchers.Equals({}))
    check_all_served(fleet)
