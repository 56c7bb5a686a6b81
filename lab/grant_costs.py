"""Measures the size and the processing time of a grant message.

Run with ``python -m lab.grant_costs``.
"""

import time

from chervilshore.decisions import allocators
from chervilshore.decisions import clusterview
from chervilshore.decisions import concurrency
from chervilshore.decisions import ownerships
from chervilshore.decisions import recovery
from chervilshore import grantmessages
from chervilshore import records
from chervilshore import wire

ROUNDS = 20_000
EPOCH = 1 << 60
RUN_ID = 1_796_000_000_000


def make_request(holder: str, number: int) -> grantmessages.GrantAsk:
    """Make a request that renews slots, asks for one and reports outcomes."""
    outcomes = ((records.Outcome.OK, 200.5),) * 2
    return grantmessages.GrantAsk(
        "language-model-07",
        holder,
        RUN_ID,
        number,
        EPOCH,
        3,
        1,
        1,
        remaining_ms=6500.5,
        outcomes=outcomes,
        instance="language-model-07-1796",
    )


def measure_owner(holders: int) -> tuple[int, int, float]:
    """Return the bytes of a request and a reply, and the us per request."""
    pending_recovery = recovery.Recovery((), 0.0, 0.0)
    limit = concurrency.Limit(1, 24, 0.0)
    owner = allocators.SlotAllocator(
        "language-model-07", "k", EPOCH, limit, pending_recovery
    )
    names = [f"casa-centre-{number}" for number in range(holders)]
    for name in names:
        owner.handle_request(make_request(name, 1), 0.0)
    started = time.perf_counter()
    for number in range(ROUNDS):
        request = make_request(names[number % holders], 2 + number)
        replies = owner.handle_request(request, float(number))
    micros = (time.perf_counter() - started) / ROUNDS * 1e6
    reply = next(iter(replies.values()))
    sizes = [
        len(wire.encode(wire.Envelope("10.1.2.3:7000", 0, False, one)))
        for one in (request, reply)
    ]
    return sizes[0], sizes[1], micros


def measure_view(hosts: int, endpoints: int) -> tuple[float, float]:
    """Return the ms of a change of the cluster view and of an idle tick."""
    alive = records.HostState.ALIVE
    known = {f"h{n}": (f"d{n % 6}", alive) for n in range(hosts)}
    placements = {
        f"e{n}": clusterview.EndpointPlacement(f"d{n % 6}", 1, 24)
        for n in range(endpoints)
    }
    view = clusterview.ClusterView(60_000.0)
    view.update(clusterview.Topology(known, placements), 0.0)
    started = time.perf_counter()
    del known["h6"]
    view.update(clusterview.Topology(dict(known), placements), 1.0)
    update_ms = (time.perf_counter() - started) * 1e3
    owned = ownerships.Ownerships(
        "h0", RUN_ID, 60_000.0, 0.0, view, lambda to, message: None, None
    )
    started = time.perf_counter()
    for number in range(100):
        owned.list_pending()
        owned.tick(float(number))
    return update_ms, (time.perf_counter() - started) * 10.0


def main() -> None:
    """Print the tables of docs/design/grants.md."""
    print("| holders | ask, bytes | answer, bytes | keeper, us a message |")
    print("| --- | --- | --- | --- |")
    for holders in (3, 9, 62, 370):
        request, reply, micros = measure_owner(holders)
        print(f"| {holders} | {request} | {reply} | {micros:.0f} |")
    print("| hosts | endpoints | change of view, ms | idle tick, ms |")
    print("| --- | --- | --- | --- |")
    for hosts, endpoints in ((9, 17), (92, 150), (185, 300), (370, 600)):
        update, tick = measure_view(hosts, endpoints)
        print(f"| {hosts} | {endpoints} | {update:.2f} | {tick:.3f} |")


if __name__ == "__main__":
    main()
