"""Measures how the cost of an endpoint's owner grows with its holders."""

import time

from chervilshore.decisions import allocators
from chervilshore.decisions import concurrency
from chervilshore.decisions import recovery
from chervilshore import grantmessages
from chervilshore import messages
from chervilshore import records
from chervilshore import wire
from measure import fits

HOLDERS = (3, 9, 20, 62)
"""Numbers of hosts that request slots from one owner; 62 is the size of a
failure domain of the target."""

ROUNDS = 100
"""Requests of each holder."""

TICK_MS = 100.0
"""Milliseconds between two requests of a holder."""

EPOCH = 7


def measure_owner() -> list[fits.Series]:
    """Measure CPU time and bytes per request, by the number of holders."""
    cpu_points, byte_points = [], []
    for holders in HOLDERS:
        limit = concurrency.Limit(2, 512, 0.0)
        allocator = allocators.SlotAllocator(
            "endpoint-1",
            "entry-000",
            EPOCH,
            limit,
            recovery.Recovery((), 0, 0),
        )
        cpu_start = time.process_time()
        total_bytes = 0
        for number in range(ROUNDS):
            for holder in range(holders):
                request = _make_request(holder, number)
                for reply in allocator.handle_request(
                    request, number * TICK_MS
                ).values():
                    total_bytes += _encoded_bytes(reply)
                total_bytes += _encoded_bytes(request)
        cpu_seconds = time.process_time() - cpu_start
        requests = ROUNDS * holders
        cpu_points.append((holders, 1e6 * cpu_seconds / requests))
        byte_points.append((holders, total_bytes / requests))
    name = "hosts that ask one keeper"
    return [
        fits.fit(
            "keeper_cpu", name, "us of a message and replies", cpu_points
        ),
        fits.fit("keeper_bytes", name, "bytes of both, unframed", byte_points),
    ]


def _make_request(holder: int, number: int) -> grantmessages.GrantAsk:
    return grantmessages.GrantAsk(
        "endpoint-1",
        f"entry-{holder:03d}",
        1,
        number,
        EPOCH,
        running=number % 3,
        wanted=1,
        remaining_ms=2000.0,
        outcomes=((records.Outcome.OK, 40.0),),
        instance="i1",
    )


def _encoded_bytes(body: messages.Message) -> int:
    envelope = wire.Envelope("10.20.0.1:7000", 0, False, body)
    return len(wire.encode(envelope))


CASES = {"keeper": measure_owner}
"""Functions that return measured series, by the name that --only takes."""
