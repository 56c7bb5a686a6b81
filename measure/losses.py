"""Measures how the cost of membership grows with the number of hosts."""

import random
import time

import msgspec

from chervilshore.decisions import membership
from chervilshore.decisions import probes
from chervilshore import records
from measure import fits
from measure import fleet
from measure import scaling

FRAME_BYTES = 68
"""Bytes of ZeroMQ, TCP, IP and Ethernet headers per message."""

QUIET_MS = 6000.0
"""Milliseconds for which a cluster without changes is measured."""

PARTITION_MS = 20_000.0
"""Milliseconds for which a partitioned cluster is measured."""

FAILURE_MS = 15_000.0
"""Milliseconds for which failures of hosts are measured."""

HOSTS = (9, 50, 120, 370)
"""Cluster sizes without faults."""

FAULTY_HOSTS = (12, 50, 120, 370)
"""Cluster sizes with failing hosts, racks and domains."""

REGION_HOSTS = (12, 30, 60, 120)
"""Cluster sizes that are split into two halves."""

RACK_HOSTS = 8
"""Hosts of the failing rack, but at most a third of the cluster."""

PROBE_SETTINGS = probes.ProbeSettings()


def _wire_bytes(cluster: fleet.Cluster) -> float:
    """Return the bytes that all hosts have sent so far, with headers."""
    sent = sum(node.messages for node in cluster.nodes)
    return sum(node.bytes for node in cluster.nodes) + FRAME_BYTES * sent


def measure_members() -> list[fits.Series]:
    """Measure the cost of membership without changes, per host."""
    traffic, rates, work, memory = [], [], [], []
    for size in HOSTS:
        cluster = fleet.Cluster(size, PROBE_SETTINGS, 1)
        cluster.run(1500)
        before = _wire_bytes(cluster)
        sent = sum(node.messages for node in cluster.nodes)
        cpu_start = time.process_time()
        cluster.run(QUIET_MS)
        cpu_seconds = time.process_time() - cpu_start
        host_seconds = size * QUIET_MS / 1000
        traffic.append((size, (_wire_bytes(cluster) - before) / host_seconds))
        sent = sum(node.messages for node in cluster.nodes) - sent
        rates.append((size, sent / host_seconds))
        work.append((size, 1e6 * cpu_seconds / host_seconds))
        all_records = [node.members.me for node in cluster.nodes]
        memory.append(
            (size, scaling.allocated_bytes(lambda: _make_members(all_records)))
        )
    hosts = "entry hosts"
    return [
        fits.fit("member_bytes", hosts, "wire bytes/s of a host", traffic),
        fits.fit("member_messages", hosts, "messages/s of a host", rates),
        fits.fit("member_cpu", hosts, "us/s of a host", work),
        fits.fit("member_memory", hosts, "bytes in a host", memory),
    ]


def _make_members(all_records) -> membership.Members:
    copies = msgspec.msgpack.decode(
        msgspec.msgpack.encode(all_records), type=list[records.HostRecord]
    )
    members = membership.Members(copies[0], PROBE_SETTINGS, random.Random(1))
    members.merge(copies, 0.0)
    return members


def measure_faults() -> list[fits.Series]:
    """Measure the restart of a host and the partition of a domain."""
    restarts, detections, partitions = [], [], []
    for size in FAULTY_HOSTS:
        quiet_bytes = _run_quiet(size, FAILURE_MS)
        restart_bytes, detection_ms = _run_restart(size)
        restarts.append((size, max(0.0, restart_bytes - quiet_bytes) / size))
        detections.append((size, detection_ms))
        partitions.append(
            (size, _run_partition(size) / size / (PARTITION_MS / 1000))
        )
    hosts = "entry hosts"
    return [
        fits.fit("restart_bytes", hosts, "bytes a host and restart", restarts),
        fits.fit(
            "death_known", hosts, "ms until the last host knows", detections
        ),
        fits.fit("domain_bytes", hosts, "wire bytes/s of a host", partitions),
    ]


def _run_quiet(size: int, duration_ms: float) -> float:
    """Return the bytes sent without changes."""
    cluster = fleet.Cluster(size, PROBE_SETTINGS, 2)
    cluster.run(1500)
    before = _wire_bytes(cluster)
    cluster.run(duration_ms)
    return _wire_bytes(cluster) - before


def _run_restart(size: int) -> tuple[float, float]:
    """Kill a host and restart it.

    Returns the bytes sent, and the milliseconds until the last host knew
    that it was down.
    """
    cluster = fleet.Cluster(size, PROBE_SETTINGS, 2)
    cluster.run(1500)
    before = _wire_bytes(cluster)
    victim = cluster.nodes[0]
    detected_at = {}

    def record_down(node, record):
        if record.host == victim.host:
            if record.state is records.HostState.DOWN:
                detected_at[node.host] = cluster.now

    cluster.on_change = record_down
    start = cluster.now
    victim.alive = False
    cluster.run(FAILURE_MS / 2)
    cluster.restart(victim)
    cluster.run(FAILURE_MS / 2)
    return _wire_bytes(cluster) - before, max(detected_at.values()) - start


def _run_partition(size: int) -> float:
    """Return the bytes sent while a domain is partitioned from the others."""
    cluster = fleet.Cluster(size, PROBE_SETTINGS, 2)
    cluster.run(1500)
    isolated = {
        n.host for n in cluster.nodes if n.members.me.domain == "domain-0"
    }
    cluster.should_drop = lambda one, two: (
        (one.host in isolated) != (two.host in isolated)
    )
    before = _wire_bytes(cluster)
    cluster.run(PARTITION_MS)
    return _wire_bytes(cluster) - before


def measure_losses() -> list[fits.Series]:
    """Measure the failure of a rack, and a partition into two regions."""
    racks, detections, partitions, recoveries = [], [], [], []
    for size in FAULTY_HOSTS:
        rack_bytes, detection_ms = _run_rack(size)
        racks.append((size, rack_bytes / size / (FAILURE_MS / 1000)))
        detections.append((size, detection_ms))
    for size in REGION_HOSTS:
        sent_bytes, recovery_ms = _run_regions(size)
        partitions.append((size, sent_bytes / size / (PARTITION_MS / 1000)))
        recoveries.append((size, recovery_ms))
    hosts = "entry hosts"
    return [
        fits.fit("rack_bytes", hosts, "wire bytes/s of a host", racks),
        fits.fit("rack_known", hosts, "ms until all know of 8", detections),
        fits.fit("region_bytes", hosts, "wire bytes/s of a host", partitions),
        fits.fit("region_heal", hosts, "ms until all know all", recoveries),
    ]


def _run_rack(size: int) -> tuple[float, float]:
    """Kill all hosts of a rack.

    Returns the bytes sent, and the milliseconds until all other hosts knew
    that they were down.
    """
    cluster = fleet.Cluster(size, PROBE_SETTINGS, 2)
    cluster.run(1500)
    before = _wire_bytes(cluster)
    failed = {
        node.host for node in cluster.nodes[: min(RACK_HOSTS, size // 3)]
    }
    detected_at = {}

    def record_down(node, record):
        if record.host in failed and record.state is records.HostState.DOWN:
            detected_at[node.host, record.host] = cluster.now

    cluster.on_change = record_down
    start = cluster.now
    for node in cluster.nodes:
        node.alive = node.host not in failed
    cluster.run(FAILURE_MS)
    return _wire_bytes(cluster) - before, max(detected_at.values()) - start


def _run_regions(size: int) -> tuple[float, float]:
    """Partition a cluster into two halves and join them again.

    Returns the bytes sent during the partition, and the milliseconds from
    its end until all hosts knew each other.
    """
    cluster = fleet.Cluster(size, PROBE_SETTINGS, 2)
    cluster.run(1500)
    first_half = {node.host for node in cluster.nodes[: size // 2]}
    cluster.should_drop = lambda one, two: (
        (one.host in first_half) != (two.host in first_half)
    )
    before = _wire_bytes(cluster)
    cluster.run(PARTITION_MS)
    sent_bytes = _wire_bytes(cluster) - before
    cluster.should_drop = lambda one, two: False
    start = cluster.now
    while any(len(n.members.hosts()) < size for n in cluster.nodes):
        cluster.run(200)
    return sent_bytes, cluster.now - start


CASES = {
    "members": measure_members,
    "faults": measure_faults,
    "losses": measure_losses,
}
"""Functions that return measured series, by the name that --only takes."""
