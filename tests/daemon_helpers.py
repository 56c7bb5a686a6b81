"""Real daemons of one cluster, for tests with a store and workers."""

import asyncio
import contextlib

from measure import deployment as deployments
from standins import site
from tests import gateway_helpers


@contextlib.asynccontextmanager
async def make_daemons(deployment, folder, count):
    """Yield daemons that are not started; stop them at the end."""
    found = [site.Host(f"h{number}", "a", folder) for number in range(count)]
    ports = [deployments.find_ports(3) for _ in found]
    seeds = [f"127.0.0.1:{numbers[2]}" for numbers in ports]
    for daemon, numbers in zip(found, ports, strict=True):
        await daemon.write_settings(deployment.address, numbers, seeds)
    try:
        yield found
    finally:
        for daemon in found:
            await daemon.stop()


async def start_all(daemons):
    """Start daemons and wait until they are ready."""
    await asyncio.gather(*(daemon.start() for daemon in daemons))
    async with asyncio.timeout(gateway_helpers.WAIT_SECONDS):
        for daemon in daemons:
            await daemon.wait_ready()
