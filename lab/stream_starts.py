"""What it costs that hosts tell owners and the store how streams began.

Without a network: the bytes that a host sends and the streams that it keeps
while several versions serve, by the number of hosts; the memory of a full
table; the processor time of one start; and the writes to the store, what one
writes, and what a host reads after all have ended.
"""

import time
import tracemalloc

import msgspec

from chervilshore.controllers import streamstore
from chervilshore.decisions import storedstreams
from chervilshore.decisions import streamorigins
from chervilshore import forwarded
from chervilshore import records
from chervilshore import streammessages
from chervilshore import wire

STREAMS_PER_S_AT_370 = 1800.0
HOST_COUNTS = (6, 84, 195, 370)
LIFETIME_S = 60.0
RESUMED_S = 15.0
"""Seconds for which a caller may resume a stream."""

STARTS = 2000


def make_hosts(count: int) -> list[records.HostRecord]:
    """Return hosts in three domains."""
    return [
        records.HostRecord(
            f"front-{number}", "abc"[number % 3], f"10.0.0.{number}:7740", ""
        )
        for number in range(count)
    ]


def measure_report() -> int:
    """Return the bytes of a report of one start in its envelope."""
    start = streamorigins.StreamStart(
        "9c41d07be2a35f68",
        forwarded.StreamOrigin("huvo11a", "v1.2"),
        15_000.0,
    )
    report = streammessages.StreamReport((start,))
    return len(wire.encode(wire.Envelope("10.1.64.27:7740", 0, False, report)))


def measure_start(count: int) -> float:
    """Return the milliseconds in which a host records and shares a start."""
    hosts = make_hosts(count)
    table = streamorigins.StreamTable()
    origin = forwarded.StreamOrigin("huvo11a", "v1.2")
    begun = time.process_time()
    for number in range(STARTS):
        table.record(f"s{number}", origin, 1000.0, 0.0)
        table.share(f"s{number}", hosts)
    return (time.process_time() - begun) / STARTS * 1000.0


def measure_memory() -> float:
    """Return the megabytes of a full table."""
    hosts = make_hosts(6)
    tracemalloc.start()
    table = streamorigins.StreamTable()
    for number in range(streamorigins.MAX_STREAMS):
        origin = forwarded.StreamOrigin("huvo11a", "v1.2")
        table.record(f"{number:016x}", origin, 1000.0, 0.0)
        table.share(f"{number:016x}", hosts)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1e6


def measure_store(count: int) -> tuple[float, int, float]:
    """Return writes a second, bytes of a write, and milliseconds to read all.

    All hosts write as often as they may, with their streams of `RESUMED_S`.
    """
    interval_ms = count * streamstore.WRITE_INTERVAL_PER_HOST_MS
    rate = STREAMS_PER_S_AT_370 / 370
    origin = forwarded.StreamOrigin("huvo11a", "v1.2")
    content = msgspec.json.encode(
        [
            storedstreams.StoredStart(f"{number:016x}", origin, 1.8e12, True)
            for number in range(round(rate * RESUMED_S))
        ]
    )
    decoder = msgspec.json.Decoder(tuple[storedstreams.StoredStart, ...])
    begun = time.process_time()
    for _ in range(count):
        decoder.decode(content)
    read_ms = (time.process_time() - begun) * 1000.0
    writes_per_s = count * min(1000.0 / interval_ms, rate)
    return writes_per_s, len(content), read_ms


def main() -> None:
    """Print the figures."""
    size = measure_report()
    print(f"report of one start: {size} bytes")
    for count in HOST_COUNTS:
        rate = STREAMS_PER_S_AT_370 / 370
        owned = rate * 2
        print(
            f"{count} hosts: {rate * 2 * size:.0f} bytes a second sent, "
            f"{(rate + owned) * LIFETIME_S:.0f} streams kept, "
            f"{measure_start(count):.2f} ms for a start"
        )
    print(f"full table: {measure_memory():.0f} MB")
    for count in HOST_COUNTS:
        writes_per_s, size, read_ms = measure_store(count)
        print(
            f"{count} hosts: {writes_per_s:.0f} writes a second of {size} "
            f"bytes; all read: {size * count / 1e6:.2f} MB, {read_ms:.1f} ms"
        )


if __name__ == "__main__":
    main()
