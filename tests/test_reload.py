"""Tests that settings reload on SIGHUP and when their file changes."""

import asyncio
import signal
import sys

import msgspec
from testtools import assertions
from testtools import matchers

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


async def test_daemon_reloads_valid_settings_and_refuses_invalid_ones(
    tmp_path,
):
    deployment = helpers.Deployment()
    await deployment.start()
    process, path, values = await start(tmp_path, deployment)
    try:
        # Once the host is registered, the signal handlers are installed.
        await deployment.wait_until(
            lambda: (
                "h1" in deployment.store._objects.get("chervilshore-hosts", {})
            )
        )
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
