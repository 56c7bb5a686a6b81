"""Tests that settings reload on SIGHUP and when their file changes."""

import asyncio
import re
import signal
import sys

import aiohttp
import msgspec
from testtools import assertions
from testtools import matchers

from chervilshore.clients import admin as admin_clients
from chervilshore import clock as clocks
from chervilshore import ids
from chervilshore import node
from chervilshore import overviews
from chervilshore import records
from chervilshore.rules import model
from chervilshore import settings
from measure import deployment as deployments
from tests import gateway_helpers as helpers


async def read_events(stream, event):
    """Read log lines until a line with the given event number."""
    async with asyncio.timeout(20.0):
        async for line in stream:
            fields = msgspec.json.decode(line)
            if fields.get("event") == event:
                return fields
    raise AssertionError(f"no event {event}")


async def start(tmp_path, deployment):
    ports = deployments.find_ports(3)
    path = tmp_path / "settings.json"
    values = {
        "interface": "forward",
        "host": "h1",
        "domain": "a",
        "http_address": f"127.0.0.1:{ports[0]}",
        "ready_address": f"127.0.0.1:{ports[1]}",
        "peer_address": f"127.0.0.1:{ports[2]}",
        "platform": deployment.address,
    }
    path.write_bytes(msgspec.json.encode(values))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "chervilshore.daemon",
        "--file",
        str(path),
        stdout=asyncio.subprocess.PIPE,
    )
    await read_events(process.stdout, 1001)
    return process, path, values


async def wait_registered(deployment):
    await deployment.wait_until(
        lambda: "h1" in deployment.store._objects.get("chervilshore-hosts", {})
    )


async def test_daemon_reloads_valid_settings_and_refuses_invalid_ones(
    tmp_path,
):
    deployment = helpers.Deployment()
    await deployment.start()
    process, path, values = await start(tmp_path, deployment)
    try:
        # Once the host is registered, the signal handlers are installed.
        await wait_registered(deployment)
        process.send_signal(signal.SIGHUP)
        await read_events(process.stdout, 1006)
        path.write_bytes(msgspec.json.encode(values | {"connect_ms": "no"}))
        await read_events(process.stdout, 1007)
        path.write_bytes(msgspec.json.encode(values | {"connect_ms": "400"}))
        await read_events(process.stdout, 1006)
        process.send_signal(signal.SIGTERM)
        await read_events(process.stdout, 1004)
        assertions.assert_that(await process.wait(), matchers.Equals(0))
    finally:
        if process.returncode is None:
            process.kill()
        await deployment.stop()


async def read_refusal(address):
    """Return what a host's status page and its metric say of its settings."""
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{address}/") as response:
            state = msgspec.json.decode(await response.read())
        async with session.get(f"http://{address}/metrics") as response:
            text = await response.text()
    (value,) = re.findall(r"^chervilshore_settings_refused (.*)$", text, re.M)
    return state["settings"]["refusal"], float(value)


async def test_settings_refused_at_a_reload_show_to_operators(tmp_path):
    # Only a line of the log told, before a planned restart ended the host.
    deployment = helpers.Deployment()
    await deployment.start()
    process, path, values = await start(tmp_path, deployment)
    address = values["ready_address"]
    try:
        await wait_registered(deployment)
        for text, event, expected in (
            ("no", 1007, ("connect_ms in the settings file is 'no'", 1.0)),
            ("400", 1006, ("", 0.0)),
        ):
            changed = values | {"connect_ms": text}
            path.write_bytes(msgspec.json.encode(changed))
            process.send_signal(signal.SIGHUP)
            await read_events(process.stdout, event)
            reason, value = await read_refusal(address)
            assertions.assert_that(
                (reason.partition(",")[0], value), matchers.Equals(expected)
            )
    finally:
        process.kill()
        await process.wait()
        await deployment.stop()


async def test_own_interface_shows_refused_settings():
    flags = {
        "host": "h1",
        "domain": "a",
        "http_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2",
        "platform": "127.0.0.1:3",
    }
    host = node.Node(settings.load(flags, {}), clocks.SystemClock())
    host.refuse_settings("drain_ms is 'x'")
    state = host.server.sections["settings"]()
    status = admin_clients.decode_status(
        msgspec.json.encode(
            {"host": "h1", "domain": "a", "generation": 1, "settings": state}
        )
    )
    record = records.HostRecord("h1", "a", "127.0.0.1:2", "127.0.0.1:1")
    report = overviews.report_status(
        ids.Generation(1),
        model.Rules(),
        records.HostList(),
        [(record, status)],
    )
    assertions.assert_that(report.text, matchers.Contains("drain_ms is 'x'"))


def test_flags_and_variables_override_the_file():
    file = {name: "h9" for name in ("host", "domain")} | {
        "http_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2",
        "platform": "127.0.0.1:3",
    }
    loaded = settings.load({"host": "h1"}, {"CHERVILSHORE_DOMAIN": "d2"}, file)
    assertions.assert_that(
        (loaded.host, loaded.domain), matchers.Equals(("h1", "d2"))
    )
