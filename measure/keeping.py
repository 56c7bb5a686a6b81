"""Slopes of an endpoint's keeper, driven in this process."""

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
"""Hosts that ask one keeper; 62 is a failure domain of the target."""

ROUNDS = 100
TICK_MS = 100.0
EPOCH = 7


def measure_keeper() -> list[fits.Series]:
    """Measure one message at the keeper by the number of holders."""
    work, sizes = [], []
    for holders in HOLDERS:
        limit = concurrency.Limit(2, 512, 0.0)
        keeper = allocators.SlotAllocator(
            "endpoint-1",
            "entry-000",
            EPOCH,
            limit,
            recovery.Recovery((), 0, 0),
        )
        start = time.process_time()
        size = 0
        for turn in range(ROUNDS):
            for holder in range(holders):
                ask = _make_ask(holder, turn)
                for reply in keeper.handle_request(
                    ask, turn * TICK_MS
                ).values():
                    size += _measure(reply)
                size += _measure(ask)
        seconds = time.process_time() - start
        asks = ROUNDS * holders
        work.append((holders, 1e6 * seconds / asks))
        sizes.append((holders, size / asks))
    name = "hosts that ask one keeper"
    return [
        fits.fit("keeper_cpu", name, "us of a message and replies", work),
        fits.fit("keeper_bytes", name, "bytes of both, unframed", sizes),
    ]


def _make_ask(holder: int, turn: int) -> grantmessages.GrantAsk:
    return grantmessages.GrantAsk(
        "endpoint-1",
        f"entry-{holder:03d}",
        1,
        turn,
        EPOCH,
        running=turn % 3,
        wanted=1,
        remaining_ms=2000.0,
        outcomes=((records.Outcome.OK, 40.0),),
        instance="i1",
    )


def _measure(body: messages.Message) -> int:
    envelope = wire.Envelope("10.20.0.1:7000", 0, False, body)
    return len(wire.encode(envelope))


CASES = {"keeper": measure_keeper}
"""Functions that each measure some series."""
