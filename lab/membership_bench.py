"""Compare ways of finding dead hosts: bytes, time, false suspicions.

Ways: probing with three helpers, with one, with none (one observer's
word), and a full mesh of heartbeats.
"""

import argparse
import json
import random
import statistics
import time

import msgspec

from chervilshore.decisions import probes
from chervilshore import messages
from chervilshore import records
from chervilshore import wire
from measure import fleet

SIZES = (9, 50, 120, 370)
QUIET_MS = 20_000.0
LOSS_MS = 30_000.0
FRAME_BYTES = 2 + 66
"""Bytes of ZeroMQ, TCP, IP and Ethernet headers around one message."""

HEARTBEAT_MS = 1000.0
MISSED_HEARTBEATS = 2.5

DOWN = records.HostState.DOWN


def count_costs(size, numbers, seed):
    """Measure a quiet fleet."""
    made = fleet.Cluster(size, numbers, seed)
    made.run(2000)
    sent = sum(node.messages for node in made.nodes)
    size_before = sum(node.bytes for node in made.nodes)
    start = time.process_time()
    made.run(QUIET_MS)
    seconds = time.process_time() - start
    node_seconds = size * QUIET_MS / 1000
    sent = sum(node.messages for node in made.nodes) - sent
    size_after = sum(node.bytes for node in made.nodes) - size_before
    return {
        "messages_per_s": sent / node_seconds,
        "bytes_per_s": size_after / node_seconds,
        "wire_bytes_per_s": (size_after + FRAME_BYTES * sent) / node_seconds,
        "cpu_us_per_s": 1e6 * seconds / node_seconds,
    }


def time_detection(size, numbers, seed, loss=0.0):
    """Kill a host; tell when the first and the last one knew."""
    made = fleet.Cluster(size, numbers, seed)
    add_loss(made, loss, seed)
    made.run(3000)
    victim = made.nodes[seed % size]
    known = {}

    def note(node, record):
        if record.host == victim.host:
            if record.state is DOWN:
                known.setdefault(node.host, made.now)
            else:
                known.pop(node.host, None)

    made.on_change = note
    victim.alive = False
    start = made.now
    while len(known) < size - 1 and made.now - start < 60_000:
        made.run(50)
    return min(known.values()) - start, max(known.values()) - start


def add_loss(made, loss, seed):
    """Lose a share of all messages."""
    rng = random.Random(seed)
    if loss:
        made.should_drop = lambda one, two: rng.random() < loss


def count_false(size, numbers, seed, loss):
    """Count suspicions and downs of hosts that live, and what lasts."""
    made = fleet.Cluster(size, numbers, seed)
    add_loss(made, loss, seed)
    counts = {"suspect": 0, "down": 0}

    def note(node, record):
        if record.state.value in counts and record.host != node.host:
            counts[record.state.value] += 1

    made.on_change = note
    made.run(LOSS_MS)
    made.should_drop = lambda one, two: False
    made.run(10_000)
    lasting = sum(
        record.state is DOWN
        for node in made.nodes
        for record in node.members.list_all()
    )
    node_seconds = size * LOSS_MS / 1000
    return {
        "false_suspicions_per_node_s": counts["suspect"] / node_seconds,
        "false_downs": counts["down"],
        "lasting_downs": lasting,
    }


def count_mesh(size, seed, loss):
    """The baseline: every host sends a heartbeat to every other."""
    ping = messages.Ping((), 7, 1 << 60)
    envelope = wire.Envelope("10.20.0.1:7000", 0, False, ping)
    length = len(wire.encode(envelope))
    start = time.process_time()
    for _ in range(20_000):
        wire.decode(wire.encode(envelope))
    micros = 1e6 * (time.process_time() - start) / 20_000
    others = size - 1
    rate = others * 1000 / HEARTBEAT_MS
    rng = random.Random(seed)
    limit = HEARTBEAT_MS * MISSED_HEARTBEATS
    lasts = [
        max(limit - rng.random() * HEARTBEAT_MS for _ in range(others))
        for _ in range(20)
    ]
    # Down falsely when as many in a row are lost as fit into the limit.
    missed = int(MISSED_HEARTBEATS)
    rounds = int(LOSS_MS / HEARTBEAT_MS)
    downs = (
        sum(
            all(rng.random() < loss for _ in range(missed))
            for _ in range(size * others)
            for _ in range(rounds)
        )
        if size <= 50
        else round(size * others * rounds * loss**missed)
    )
    return {
        "messages_per_s": rate,
        "bytes_per_s": rate * length,
        "wire_bytes_per_s": rate * (length + FRAME_BYTES),
        "cpu_us_per_s": rate * micros,
        "last_ms": {"median": statistics.median(lasts), "most": max(lasts)},
        "false_downs": downs,
    }


def measure_way(size, numbers, seeds):
    """Measure one way at one size."""
    row = count_costs(size, numbers, 1)
    for name, loss in (("", 0.0), ("_loss_20", 0.2)):
        times = [time_detection(size, numbers, seed, loss) for seed in seeds]
        lasts = sorted(last for _, last in times)
        row[f"last_ms{name}"] = {
            "median": statistics.median(lasts),
            "most": lasts[-1],
        }
    row |= count_false(size, numbers, 1, 0.2)
    return row


def main():
    """Print a row of JSON for each way and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--ways", nargs="*", default=["3", "1", "0", "mesh"])
    options = parser.parse_args()
    for size in options.sizes:
        few = max(3, options.seeds * 9 // size)
        seeds = range(min(options.seeds, few))
        for way in options.ways:
            if way == "mesh":
                row = count_mesh(size, 1, 0.2)
            else:
                numbers = msgspec.structs.replace(
                    probes.ProbeSettings(), helpers=int(way)
                )
                row = measure_way(size, numbers, seeds)
            print(json.dumps({"size": size, "way": way} | row), flush=True)


if __name__ == "__main__":
    main()
