"""Endless responses, and what a budget holds of them."""

import asyncio

from standins import endless


async def watch(budget, most):
    """Record what a budget holds, until it is cancelled."""
    while True:
        most.append(budget.charged)
        await asyncio.sleep(0.001)


async def add_endless(
    deployment, name, place, entry, max_bytes=endless.MAX_SENT_BYTES
):
    """Start a worker whose responses do not end; register it in the store."""
    worker = endless.EndlessWorker(name, place, max_bytes)
    deployment.workers[name] = worker
    await worker.start()
    await deployment.store.write(
        "servers", name, entry | {"addr": worker.address}
    )
