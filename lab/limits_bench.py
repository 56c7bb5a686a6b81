"""Compares an even split of team limits with shares that follow demand.

Nine hosts share a rate limit with a burst of 20 requests for 20 seconds.
Run with ``python -m lab.limits_bench``.
"""

import asyncio

from chervilshore.clients import memory
from chervilshore import clock as clocks
from tests import limits_helpers

SECONDS = 20


async def run(shared, rate, sent, hosts):
    clock = clocks.ManualClock()
    network = memory.MemoryNetwork(clock)
    cluster = limits_helpers.LimitsCluster(
        clock, network, rate=rate, burst=20.0, concurrency=100
    )
    if shared:
        await cluster.start()
    await cluster.send(0.0, 3_000.0)
    await cluster.send(sent, SECONDS * 1000.0, hosts)
    admitted = sum(cluster.admitted.values())
    await cluster.stop()
    return admitted, network.messages, network.bytes


async def main():
    cases = {
        "100/s: 1000/s, nine hosts": (100.0, 1000.0, None),
        "100/s: 1000/s, one host": (100.0, 1000.0, ["h4"]),
        "100/s: 95/s, nine hosts": (100.0, 95.0, None),
        "100/s: 95/s, one host": (100.0, 95.0, ["h4"]),
        "100/s: 95/s, three hosts": (100.0, 95.0, ["h0", "h4", "h8"]),
        "20/s: 200/s, nine hosts": (20.0, 200.0, None),
        "20/s: 16/s, nine hosts": (20.0, 16.0, None),
    }
    print(
        f"{'case':32}{'split':>7}{'shares':>8}{'may':>6}"
        f"{'messages':>10}{'bytes':>8}"
    )
    for name, (rate, sent, hosts) in cases.items():
        split, _, _ = await run(False, rate, sent, hosts)
        shares, messages, size = await run(True, rate, sent, hosts)
        may = int(min(sent, rate) * SECONDS)
        print(f"{name:32}{split:7}{shares:8}{may:6}{messages:10}{size:8}")


if __name__ == "__main__":
    asyncio.run(main())
