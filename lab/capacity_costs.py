"""What it costs that hosts learn the capacity of endpoints together.

Run with ``python -m lab.capacity_costs``. Hosts on virtual time hold streams
all the time, as many as a fleet of their size does; for each number of hosts
the messages and bytes that a host and an aggregator send in a second, and the
processor time in which a host takes in one table.
"""

import random
import time

from chervilshore import capacitymessages
from chervilshore.controllers import capacities
from chervilshore.decisions.capacity import estimates
from chervilshore.decisions.capacity import observations
from chervilshore import wire

HOST_COUNTS = (6, 84, 195, 370)
DOMAINS = 4
STREAMS_PER_HOST = 2
ENDPOINTS_PER_HOST = 0.6
TABLES = 50


def make_seen(number: int) -> observations.Observation:
    """Return what hosts see of one endpoint in an interval."""
    return observations.Observation(
        f"i-{number:010x}", 3, 1, 6000, 30, 1500, 1, 200, 6000
    )


def measure_bytes(message) -> int:
    """Return the bytes of a message in its envelope."""
    envelope = wire.Envelope("10.1.64.27:7740", 0, False, message)
    return len(wire.encode(envelope))


def measure_table(endpoints: int) -> float:
    """Return the milliseconds in which a host takes in a table."""
    known = estimates.Estimates()
    slots = {make_seen(number).endpoint: 24 for number in range(endpoints)}
    seen = tuple(make_seen(number) for number in range(endpoints))
    begun = time.process_time()
    for number in range(TABLES):
        known.record(seen, {}, slots, 250.0 * number)
    return (time.process_time() - begun) / TABLES * 1000.0


def main() -> None:
    """Print the table."""
    rng = random.Random(1)
    print("hosts endpoints table-bytes tables/s host-B/s aggregator-B/s ms")
    for hosts in HOST_COUNTS:
        endpoints = max(2, int(hosts * ENDPOINTS_PER_HOST))
        members = max(0, -(-hosts // DOMAINS) - 1)
        table_ms = max(
            capacities.TABLE_MS,
            members * 1000.0 / capacities.MAX_TABLES_PER_S,
        )
        table = measure_bytes(
            capacitymessages.CapacityTable(
                tuple(make_seen(number) for number in range(endpoints)), 300
            )
        )
        report = measure_bytes(
            capacitymessages.CapacityReport(
                "front-otaru-1",
                tuple(
                    make_seen(rng.randrange(endpoints))
                    for _ in range(STREAMS_PER_HOST)
                ),
            )
        )
        host_bytes = report * 1000.0 / capacities.REPORT_MS
        sent = table * (members + DOMAINS - 1) * 1000.0 / table_ms
        print(
            f"{hosts:5} {endpoints:9} {table:11} {1000.0 / table_ms:8.1f}"
            f" {host_bytes + table * 1000.0 / table_ms:8.0f} {sent:14.0f}"
            f" {measure_table(endpoints):5.2f}"
        )


if __name__ == "__main__":
    main()
