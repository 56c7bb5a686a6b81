"""Daemons follow the list of endpoints although one entry is odd.

The load: three real daemons, one entry of another writer among those of the
endpoints before and after they start, and then changes of the list.
"""

import asyncio
import signal

import aiohttp
import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from tests import daemon_helpers
from tests import gateway_helpers as helpers
from tests import odd_entries

HOSTS = 3
REQUESTS = 10
FOLLOW_SECONDS = 5.0
"""Seconds within which a change of the list must be in use; the users allow
2 s, and a busy machine takes longer."""

SETTLE_SECONDS = 3.0
"""Seconds in which hosts look for others."""

MAX_ENTRY_BYTES = 1_000_000
"""Size of an entry that the store may hold."""

POLL_SECONDS = 0.05


@pytest.fixture
async def daemons(deployment, tmp_path):
    """Yield daemons that are not started, of one cluster."""
    async with daemon_helpers.make_daemons(
        deployment, tmp_path, HOSTS
    ) as found:
        yield found


async def serve(deployment, daemons):
    """Start the daemons with one worker, and wait until they are ready."""
    await deployment.configure(
        [helpers.make_route("look", "ledger")],
        [helpers.make_service("ledger")],
    )
    await deployment.add_worker("w0", "ledger")
    await daemon_helpers.start_all(daemons)


async def follow(daemons, endpoints):
    """Wait until all daemons know this many endpoints."""
    async with (
        aiohttp.ClientSession() as session,
        asyncio.timeout(FOLLOW_SECONDS),
    ):
        for daemon in daemons:
            while await count_endpoints(session, daemon) != endpoints:
                await asyncio.sleep(POLL_SECONDS)


async def count_endpoints(session, daemon):
    """Return the number of endpoints that a daemon knows; None if it ended."""
    try:
        async with session.get(f"http://{daemon.ready_address}/") as response:
            return (await response.json())["catalog"]["endpoints"]
    except aiohttp.ClientConnectionError:
        return None


def check_running(daemons):
    ended = [d.name for d in daemons if d.process.returncode is not None]
    assertions.assert_that(ended, matchers.Equals([]))


async def write_odd_entries(deployment):
    """Write each odd entry under a name between those of the workers."""
    for number, (_, content) in enumerate(odd_entries.ENTRIES):
        await deployment.store.write(
            "servers", f"w0odd{number:03}", msgspec.Raw(content)
        )
    for name in odd_entries.NAMES:
        await deployment.store.write("servers", name, odd_entries.ENTRY)


# Hosts that read one odd entry must go on to follow the others.
@pytest.mark.parametrize("is_before", [True, False])
async def test_daemons_follow_the_list_beside_odd_entries(
    deployment, daemons, is_before
):
    if is_before:
        await write_odd_entries(deployment)
    await serve(deployment, daemons)
    if not is_before:
        await write_odd_entries(deployment)
    await deployment.add_worker("w1", "ledger")
    await follow(daemons, 2)
    await deployment.store.remove("servers", "w0")
    await follow(daemons, 1)
    check_running(daemons)
    for daemon in daemons * REQUESTS:
        response, _ = await deployment.send(daemon, "/look/")
        assertions.assert_that(response.status, matchers.Equals(200))


# Copies that are larger than messages may be never arrived.
async def test_daemon_that_starts_without_the_store_learns_from_others(
    deployment, daemons
):
    await write_odd_entries(deployment)
    await deployment.store.write(
        "evacuations", "elsewhere", "x" * MAX_ENTRY_BYTES
    )
    await serve(deployment, daemons)
    deployment.store.faults.refuse = 503
    await daemons[0].restart(signal.SIGKILL)
    async with asyncio.timeout(helpers.WAIT_SECONDS):
        await daemons[0].wait_ready()
    await follow(daemons, 1)


# An address that is none ended the tasks that probe hosts.
async def test_daemons_probe_others_beside_odd_entries_of_hosts(
    deployment, daemons, tmp_path
):
    for number, address in enumerate(odd_entries.ADDRESSES):
        entry = {"domain": "a", "peer": address, "capacity": 1.0}
        await deployment.store.write(
            "chervilshore-hosts", f"h0odd{number}", entry
        )
    await serve(deployment, daemons)
    await asyncio.sleep(SETTLE_SECONDS)
    check_running(daemons)
    for daemon in daemons:
        assertions.assert_that(
            await daemon.signal_and_wait(signal.SIGTERM), matchers.Equals(0)
        )
        log = (tmp_path / f"{daemon.name}.log").read_text()
        assertions.assert_that(
            log, matchers.Not(matchers.Contains("Task exception"))
        )
