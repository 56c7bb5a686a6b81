"""What it costs that hosts tell each other which endpoints have ended.

Rounds as in `controllers/quarantine`, without a network: five endpoints end
one after the other under a part, each seen by several hosts with one other
part each. Prints the time until all hosts hold the part back, and the bytes
that a host sends.
"""

import math
import random

from chervilshore.controllers import quarantine
from chervilshore.decisions import crashevidence
from chervilshore import quarantinemessages
from chervilshore import wire

HOST_COUNTS = (6, 76, 195, 370)
CRASHES = 5
CRASH_INTERVAL_MS = 700.0
REQUESTS_PER_CRASH = 12
SECONDS = 10
PART = "part:0123456789abcdef"


def encode(message) -> int:
    """Return the size of a message in its envelope."""
    return len(
        wire.encode(wire.Envelope("10.1.64.27:7740", 1, False, message))
    )


def simulate(count: int, rng: random.Random) -> tuple[float, float, float]:
    """Return the time until all hold the part, and bytes sent by a host.

    Returns
    -------
    tuple of float
        Milliseconds from the fifth end; mean bytes a second, and the most
        that one host sends in one second.
    """
    hosts = [crashevidence.CrashEvidence() for _ in range(count)]
    sent = [[0] * (SECONDS + 1) for _ in hosts]
    crashed, known_at = 0, math.inf
    rounds = quarantine.count_rounds(count - 1)
    step_ms = quarantine.SPREAD_MS
    for step in range(int(SECONDS * 1000 / step_ms)):
        now = step * step_ms
        if crashed < CRASHES and now >= crashed * CRASH_INTERVAL_MS:
            for number, host in enumerate(
                rng.sample(range(count), min(count, REQUESTS_PER_CRASH))
            ):
                parts = [f"part:{crashed:08x}{number:08x}"]
                if number == 0:
                    parts.append(PART)
                hosts[host].record_crash(
                    f"i-{crashed:010x}/1", parts, now, now
                )
            crashed += 1
        for index, host in enumerate(hosts):
            if not host.has_news():
                continue
            findings = host.select_news(quarantine.MAX_FINDINGS, rounds, now)
            report = quarantinemessages.CrashReport(findings)
            size = encode(report)
            for other in rng.sample(range(count), quarantine.SPREAD_PEERS):
                sent[index][int(now // 1000)] += size
                hosts[other].merge(findings, now)
        if known_at == math.inf and all(PART in one.verdicts for one in hosts):
            known_at = now - (CRASHES - 1) * CRASH_INTERVAL_MS
    active = CRASHES * CRASH_INTERVAL_MS / 1000.0 + 1.0
    mean = sum(map(sum, sent)) / count / active
    return known_at, mean, max(map(max, sent))


def main() -> None:
    """Print a line for each number of hosts."""
    request = quarantinemessages.CrashReportRequest(2**62)
    at_rest = encode(request) + encode(quarantinemessages.CrashReport())
    per_second = at_rest * 1000.0 / quarantine.SYNC_MS
    print(f"at rest: {per_second:.0f} bytes a second for each host")
    for count in HOST_COUNTS:
        known_ms, mean, most = simulate(count, random.Random(5))
        print(
            f"{count} hosts: held on all {known_ms:.0f} ms after the fifth "
            f"end; {mean:.0f} bytes a second for each host, at most {most}"
        )


if __name__ == "__main__":
    main()
