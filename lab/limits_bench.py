"""Compare an even split of team limits with shares that follow demand.

Nine hosts, a limit of 100 requests a second over the fleet, 20 seconds.
Run with ``python -m lab.limits_bench``.
"""

import asyncio

from chervilshore.clients import memory
from chervilshore import clock as clocks
from tests import limits_helpers

RATE = 100.0
SECONDS = 20


async def run(shared, sent, hosts):
    clock = clocks.ManualClock()
    network = memory.MemoryNetwork(clock)
    fleet = limits_helpers.Fleet(
        clock, network, rate=RATE, burst=20.0, concurrency=100
    )
    if shared:
        await fleet.start()
    await fleet.send(0.0, 3_000.0)
    await fleet.send(sent, SECONDS * 1000.0, hosts)
    admitted = sum(fleet.admitted.values())
    await fleet.stop()
    return admitted, network.messages, network.bytes


async def main():
    cases = {
        "10 times the limit, nine hosts": (1000.0, None),
        "10 times the limit, one host": (1000.0, ["h4"]),
        "0.95 of the limit, nine hosts": (95.0, None),
        "0.95 of the limit, one host": (95.0, ["h4"]),
        "0.95 of the limit, three hosts": (95.0, ["h0", "h4", "h8"]),
    }
    print(
        f"{'case':32}{'split':>7}{'shares':>8}{'may':>6}"
        f"{'messages':>10}{'bytes':>8}"
    )
    for name, (sent, hosts) in cases.items():
        split, _, _ = await run(False, sent, hosts)
        shares, messages, size = await run(True, sent, hosts)
        may = int(min(sent, RATE) * SECONDS)
        print(f"{name:32}{split:7}{shares:8}{may:6}{messages:10}{size:8}")


if __name__ == "__main__":
    asyncio.run(main())
