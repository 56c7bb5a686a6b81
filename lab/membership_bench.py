"""Compares failure detectors: traffic, detection time, false suspicions.

The detectors are probing with three helpers, with one, with none (a single
observer decides) and a full mesh of heartbeats.
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
IDLE_PERIOD_MS = 20_000.0
LOSS_PERIOD_MS = 30_000.0
FRAME_BYTES = 2 + 66
"""Bytes of ZeroMQ, TCP, IP and Ethernet headers around one message."""

HEARTBEAT_MS = 1000.0
MISSED_HEARTBEATS = 2.5
"""Heartbeat intervals without a heartbeat after which a host is down."""

DOWN = records.HostState.DOWN


def measure_costs(size, probe_settings, seed):
    """Measure the costs of a cluster without changes."""
    cluster = fleet.Cluster(size, probe_settings, seed)
    cluster.run(2000)
    sent = sum(node.messages for node in cluster.nodes)
    size_before = sum(node.bytes for node in cluster.nodes)
    start = time.process_time()
    cluster.run(IDLE_PERIOD_MS)
    seconds = time.process_time() - start
    node_seconds = size * IDLE_PERIOD_MS / 1000
    sent = sum(node.messages for node in cluster.nodes) - sent
    size_after = sum(node.bytes for node in cluster.nodes) - size_before
    return {
        "messages_per_s": sent / node_seconds,
        "bytes_per_s": size_after / node_seconds,
        "wire_bytes_per_s": (size_after + FRAME_BYTES * sent) / node_seconds,
        "cpu_us_per_s": 1e6 * seconds / node_seconds,
    }


def time_detection(size, probe_settings, seed, loss=0.0):
    """Kill a host; return the ms until the first and the last host know."""
    cluster = fleet.Cluster(size, probe_settings, seed)
    add_loss(cluster, loss, seed)
    cluster.run(3000)
    victim = cluster.nodes[seed % size]
    known = {}

    def record_change(node, record):
        if record.host == victim.host:
            if record.state is DOWN:
                known.setdefault(node.host, cluster.now)
            else:
                known.pop(node.host, None)

    cluster.on_change = record_change
    victim.alive = False
    start = cluster.now
    while len(known) < size - 1 and cluster.now - start < 60_000:
        cluster.run(50)
    return min(known.values()) - start, max(known.values()) - start


def add_loss(cluster, loss, seed):
    """Drop a fraction of all messages."""
    rng = random.Random(seed)
    if loss:
        cluster.should_drop = lambda one, two: rng.random() < loss


def count_false(size, probe_settings, seed, loss):
    """Count false suspicions and false downs, and the downs that remain."""
    cluster = fleet.Cluster(size, probe_settings, seed)
    add_loss(cluster, loss, seed)
    counts = {"suspect": 0, "down": 0}

    def record_change(node, record):
        if record.state.value in counts and record.host != node.host:
            counts[record.state.value] += 1

    cluster.on_change = record_change
    cluster.run(LOSS_PERIOD_MS)
    cluster.should_drop = lambda one, two: False
    cluster.run(10_000)
    lasting = sum(
        record.state is DOWN
        for node in cluster.nodes
        for record in node.members.list_all()
    )
    node_seconds = size * LOSS_PERIOD_MS / 1000
    return {
        "false_suspicions_per_node_s": counts["suspect"] / node_seconds,
        "false_downs": counts["down"],
        "lasting_downs": lasting,
    }


def measure_mesh(size, seed, loss):
    """Compute the costs of heartbeats from every host to every other."""
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
    # A host is falsely down when all heartbeats within the limit are lost.
    missed = int(MISSED_HEARTBEATS)
    rounds = int(LOSS_PERIOD_MS / HEARTBEAT_MS)
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


def measure_probing(size, probe_settings, seeds):
    """Measure one setting of the probing detector at one size."""
    row = measure_costs(size, probe_settings, 1)
    for name, loss in (("", 0.0), ("_loss_20", 0.2)):
        times = [
            time_detection(size, probe_settings, seed, loss) for seed in seeds
        ]
        lasts = sorted(last for _, last in times)
        row[f"last_ms{name}"] = {
            "median": statistics.median(lasts),
            "most": lasts[-1],
        }
    row |= count_false(size, probe_settings, 1, 0.2)
    return row


def main():
    """Print a line of JSON for each detector and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--ways", nargs="*", default=["3", "1", "0", "mesh"])
    options = parser.parse_args()
    for size in options.sizes:
        seed_count = max(3, options.seeds * 9 // size)
        seeds = range(min(options.seeds, seed_count))
        for way in options.ways:
            if way == "mesh":
                row = measure_mesh(size, 1, 0.2)
            else:
                probe_settings = msgspec.structs.replace(
                    probes.ProbeSettings(), helpers=int(way)
                )
                row = measure_probing(size, probe_settings, seeds)
            print(json.dumps({"size": size, "way": way} | row), flush=True)


if __name__ == "__main__":
    main()
