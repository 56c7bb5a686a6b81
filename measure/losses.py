"""Slopes of membership, driven as a fleet in this process."""

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
"""Bytes of ZeroMQ, TCP, IP and Ethernet headers around one message."""

QUIET_MS = 6000.0
NEWS_MS = 20_000.0
DEATH_MS = 15_000.0
HOSTS = (9, 50, 120, 370)
FAULTY_HOSTS = (12, 50, 120, 370)
REGION_HOSTS = (12, 30, 60, 120)
RACK_HOSTS = 8
NUMBERS = probes.ProbeSettings()


def _count_wire(made: fleet.Fleet) -> float:
    sent = sum(node.messages for node in made.nodes)
    return sum(node.bytes for node in made.nodes) + FRAME_BYTES * sent


def measure_members() -> list[fits.Series]:
    """Measure a quiet fleet by its number of hosts."""
    traffic, rates, work, memory = [], [], [], []
    for size in HOSTS:
        made = fleet.Fleet(size, NUMBERS, 1)
        made.run(1500)
        before = _count_wire(made)
        sent = sum(node.messages for node in made.nodes)
        start = time.process_time()
        made.run(QUIET_MS)
        seconds = time.process_time() - start
        per = size * QUIET_MS / 1000
        traffic.append((size, (_count_wire(made) - before) / per))
        sent = sum(node.messages for node in made.nodes) - sent
        rates.append((size, sent / per))
        work.append((size, 1e6 * seconds / per))
        everyone = [node.members.me for node in made.nodes]
        memory.append((size, scaling.allocated_bytes(lambda: _fill(everyone))))
    hosts = "entry hosts"
    return [
        fits.fit("member_bytes", hosts, "wire bytes/s of a host", traffic),
        fits.fit("member_messages", hosts, "messages/s of a host", rates),
        fits.fit("member_cpu", hosts, "us/s of a host", work),
        fits.fit("member_memory", hosts, "bytes in a host", memory),
    ]


def _fill(everyone) -> membership.Members:
    copies = msgspec.msgpack.decode(
        msgspec.msgpack.encode(everyone), type=list[records.HostRecord]
    )
    made = membership.Members(copies[0], NUMBERS, random.Random(1))
    made.merge(copies, 0.0)
    return made


def measure_faults() -> list[fits.Series]:
    """Measure deaths, restarts and the loss of a domain."""
    deaths, knows, cuts = [], [], []
    for size in FAULTY_HOSTS:
        quiet = _run_quiet(size, DEATH_MS)
        extra, last = _run_restart(size)
        deaths.append((size, max(0.0, extra - quiet) / size))
        knows.append((size, last))
        cuts.append((size, _run_cut(size) / size / (NEWS_MS / 1000)))
    hosts = "entry hosts"
    return [
        fits.fit("restart_bytes", hosts, "bytes a host and restart", deaths),
        fits.fit("death_known", hosts, "ms until the last host knows", knows),
        fits.fit("domain_bytes", hosts, "wire bytes/s of a host", cuts),
    ]


def _run_quiet(size: int, millis: float) -> float:
    made = fleet.Fleet(size, NUMBERS, 2)
    made.run(1500)
    before = _count_wire(made)
    made.run(millis)
    return _count_wire(made) - before


def _run_restart(size: int) -> tuple[float, float]:
    made = fleet.Fleet(size, NUMBERS, 2)
    made.run(1500)
    before = _count_wire(made)
    victim = made.nodes[0]
    known = {}

    def note(node, record):
        if record.host == victim.host:
            if record.state is records.HostState.DOWN:
                known[node.host] = made.now

    made.on_change = note
    start = made.now
    victim.alive = False
    made.run(DEATH_MS / 2)
    made.restart(victim)
    made.run(DEATH_MS / 2)
    return _count_wire(made) - before, max(known.values()) - start


def _run_cut(size: int) -> float:
    made = fleet.Fleet(size, NUMBERS, 2)
    made.run(1500)
    gone = {n.host for n in made.nodes if n.members.me.domain == "domain-0"}
    made.loses = lambda one, two: (one.host in gone) != (two.host in gone)
    before = _count_wire(made)
    made.run(NEWS_MS)
    return _count_wire(made) - before


def measure_losses() -> list[fits.Series]:
    """Measure the loss of a rack, and regions cut off from each other."""
    racks, knows, bursts, heals = [], [], [], []
    for size in FAULTY_HOSTS:
        extra, last = _run_rack(size)
        racks.append((size, extra / size / (DEATH_MS / 1000)))
        knows.append((size, last))
    for size in REGION_HOSTS:
        burst, healed = _run_regions(size)
        bursts.append((size, burst / size / (NEWS_MS / 1000)))
        heals.append((size, healed))
    hosts = "entry hosts"
    return [
        fits.fit("rack_bytes", hosts, "wire bytes/s of a host", racks),
        fits.fit("rack_known", hosts, "ms until all know of 8", knows),
        fits.fit("region_bytes", hosts, "wire bytes/s of a host", bursts),
        fits.fit("region_heal", hosts, "ms until all know all", heals),
    ]


def _run_rack(size: int) -> tuple[float, float]:
    made = fleet.Fleet(size, NUMBERS, 2)
    made.run(1500)
    before = _count_wire(made)
    lost = {node.host for node in made.nodes[: min(RACK_HOSTS, size // 3)]}
    known = {}

    def note(node, record):
        if record.host in lost and record.state is records.HostState.DOWN:
            known[node.host, record.host] = made.now

    made.on_change = note
    start = made.now
    for node in made.nodes:
        node.alive = node.host not in lost
    made.run(DEATH_MS)
    return _count_wire(made) - before, max(known.values()) - start


def _run_regions(size: int) -> tuple[float, float]:
    made = fleet.Fleet(size, NUMBERS, 2)
    made.run(1500)
    side = {node.host for node in made.nodes[: size // 2]}
    made.loses = lambda one, two: (one.host in side) != (two.host in side)
    before = _count_wire(made)
    made.run(NEWS_MS)
    sent = _count_wire(made) - before
    made.loses = lambda one, two: False
    start = made.now
    while any(len(n.members.hosts()) < size for n in made.nodes):
        made.run(200)
    return sent, made.now - start


CASES = {
    "members": measure_members,
    "faults": measure_faults,
    "losses": measure_losses,
}
"""Functions that each measure some series."""
