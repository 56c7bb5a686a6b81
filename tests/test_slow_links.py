"""Hosts take large configurations into use over small links.

The load: a configuration of 800 KB that changes often, read over a link of
5 Mbit/s, the smallest of the deployments.
"""

import asyncio
import contextlib

from aiohttp import test_utils
import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import rest
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore.platform import store as stores
from standins import platform as platforms
from standins import slowlink
from tests import gateway_helpers as helpers

LINK_BYTES = 625_000
"""Bytes a second of the link."""

ROUTES = 2000
ROUTE_NAME_BYTES = 120
CONFIGURATION_BYTES = 818_000

IN_FORCE_SECONDS = 3.0
"""``config_ms`` of the deployments with such links."""

READS = 5

STORM_CHANGES = 12
STORM_SECONDS = 0.33
"""Changes in quick succession, and the time between two of them."""


def make_routes():
    """Return routes that take 800 KB."""
    names = (
        f"r{number}".ljust(ROUTE_NAME_BYTES, "x") for number in range(ROUTES)
    )
    return [helpers.make_route(name, "ledger") for name in names]


@pytest.fixture
async def link(deployment):
    new_link = slowlink.SlowLink(deployment.address, LINK_BYTES)
    new_link.address = await new_link.start()
    yield new_link
    await new_link.stop()


async def configure(deployment):
    return await deployment.configure(
        make_routes(), [helpers.make_service("ledger")]
    )


@contextlib.asynccontextmanager
async def open_client(link):
    client = stores.MetadataStore(link.address, clocks.SystemClock())
    try:
        yield client
    finally:
        await client.close()


async def wait_in_force(host, version):
    async with asyncio.timeout(IN_FORCE_SECONDS):
        while host._catalog.rules.generation != version:
            await asyncio.sleep(0.01)


# Guards against CONFIG and DENIED: each read of a large configuration is given
# up after a second, and its routes are answered with 404 for ever.
@pytest.mark.parametrize("call", ["list", "poll", "watch"])
async def test_large_configuration_is_read_whole(deployment, link, call):
    await configure(deployment)
    async with open_client(link) as client:
        since = (await client.list("config")).revision
        await configure(deployment)
        if call == "list":
            (read,) = (await client.list("config")).objects
        elif call == "poll":
            (change,) = (await client.poll("config", since)).changes
            read = change.object
        else:
            changes = await client.watch("config", since, 100.0)
            read = changes.changes[0].object
    assertions.assert_that(
        len(read.content), matchers.GreaterThan(0.99 * CONFIGURATION_BYTES)
    )


# Guards against CONFIG: of several versions of a configuration all but the
# last are read in vain.
@pytest.mark.parametrize("call", ["poll", "watch"])
async def test_several_versions_count_as_history_that_is_gone(
    deployment, link, call
):
    await configure(deployment)
    async with open_client(link) as client:
        since = (await client.list("config")).revision
        for _ in range(3):
            await configure(deployment)
        before = link.received
        with pytest.raises(exceptions.HistoryGone):
            if call == "poll":
                await client.poll("config", since)
            else:
                await client.watch("config", since, 100.0)
    assertions.assert_that(
        link.received - before, matchers.LessThan(CONFIGURATION_BYTES)
    )


# Guards against writes that are taken for unknown, again and again, while they
# still arrive at the store.
async def test_large_object_is_written(deployment, link):
    content = msgspec.json.encode("x" * CONFIGURATION_BYTES)
    async with open_client(link) as client:
        await client.put("own", "large", content)
        (stored,) = (await client.list("own")).objects
    assertions.assert_that(stored.content, matchers.Equals(content))


# Guards against the same for the platform of the own interface.
async def test_large_object_of_the_own_interface_passes_a_small_link():
    app = platforms.PlatformServer().make_app()
    value = b"x" * CONFIGURATION_BYTES
    async with test_utils.TestServer(app) as server:
        link = slowlink.SlowLink(f"127.0.0.1:{server.port}", LINK_BYTES)
        client = rest.RestPlatform(await link.start())
        try:
            await client.create("large", value)
            stored = await client.get("large")
            (watched,) = await client.watch("large", 0, 100.0)
        finally:
            await client.close()
            await link.stop()
    assertions.assert_that(
        (stored.value, watched.value), matchers.Equals((value, value))
    )


# Guards against a host that waits for a store which has fallen silent.
async def test_answer_that_falls_silent_is_given_up(deployment, link):
    async with open_client(link) as client:
        await configure(deployment)
        call = asyncio.ensure_future(client.list("config"))
        await deployment.wait_until(lambda: link.received > 100_000)
        link.is_silent = True
        async with asyncio.timeout(2 * client.timeout_ms / 1000.0):
            with pytest.raises(exceptions.PlatformUnavailable):
                await call
        link.is_silent = False


# Guards against watches that end early, again and again: a store may send the
# head of its answer before anything has changed.
async def test_watch_waits_for_the_body_of_an_early_head():
    body = b'{"events":[],"current_rev":5}'

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        length = str(len(body)).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %b\r\n\r\n" % length)
        await asyncio.sleep(1.5)
        writer.write(body)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = stores.MetadataStore(f"{host}:{port}", clocks.SystemClock())
    watch = asyncio.ensure_future(client.watch("config", 1, 2000.0))
    await asyncio.sleep(1.0)
    is_receiving = client.is_receiving("config")
    changes = await watch
    await client.close()
    server.close()
    assertions.assert_that(
        (is_receiving, changes.revision), matchers.Equals((False, 5))
    )


# Guards against CONFIG: checks read again what a watch is just receiving, and
# each takes a part of the link.
async def test_large_configuration_is_read_once(deployment, link):
    host, _ = await helpers.serve_plain(
        deployment, host={"platform": link.address}
    )
    before = link.received
    for _ in range(READS):
        await wait_in_force(host, await configure(deployment))
    assertions.assert_that(
        link.received - before,
        matchers.LessThan((READS + 1) * CONFIGURATION_BYTES),
    )


# Guards against CONFIG: a watch returns each version of a configuration that
# has changed often, which takes longer than the time between two of them.
async def test_last_of_many_large_configurations_is_in_force_in_time(
    deployment, link
):
    host, _ = await helpers.serve_plain(
        deployment, host={"platform": link.address}
    )
    for _ in range(STORM_CHANGES):
        version = await configure(deployment)
        await asyncio.sleep(STORM_SECONDS)
    await wait_in_force(host, version)


# Guards against RECOVER: a host that starts never reads a large configuration.
async def test_host_that_starts_reads_a_large_configuration(deployment, link):
    await configure(deployment)
    await deployment.add_worker("w0", "ledger")
    host = await deployment.add_host(platform=link.address)
    async with asyncio.timeout(2 * IN_FORCE_SECONDS):
        await deployment.wait_ready(host, 1)
