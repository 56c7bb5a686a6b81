"""Compares ways to choose among engines of uneven and changing speed.

Run with ``python -m lab.capacity_bench``; the loads are those of
tests/test_capacity_router.py. For each way the share of large prompts that
were in time, the p99 of their first events, and the shared tokens that were
read again.
"""

from chervilshore.decisions.capacity import router
from tests import capacity_helpers
from tests import test_capacity_router as loads

SEEDS = (1, 2)


def antiphase(domain, now):
    """Return the demand of domains that are busy by turns."""
    busy = (now // 1500.0) % 2 == domain % 2
    return loads.USUAL_RATE * (1.5 if busy else 0.5)


CASES = {
    "uneven": (loads.slow_quarter, loads.constant),
    "10 changes a second": (loads.disturbed_by(10.0), loads.constant),
    "1.7 changes a second": (loads.disturbed_by(1.7), loads.constant),
    "slow when half full": (loads.slow_when_half_full, loads.constant),
    "antiphase": (loads.slow_quarter, antiphase),
}

WAYS = {
    "session, own counts": {"learns": False},
    "learnt, as built": {},
    "no random endpoints": {"RANDOM_CHOICES": 0},
    "always the best": {"TIMELY_FRACTION": 0.0, "SESSION_TOLERANCE": 1.0},
    "reading again is free": {"REREAD_WEIGHT": 0.0},
    "pauses do not count": {"PAUSE_FRACTION": 1e9},
}


def play(case, way, seed):
    """Play a load with constants of the router changed."""
    slow, rate = CASES[case]
    changed = {name: value for name, value in way.items() if name.isupper()}
    usual = {name: getattr(router, name) for name in changed}
    vars(router).update(changed)
    try:
        fleet = capacity_helpers.Fleet(
            slow, rate, learns=way.get("learns", True), seed=seed
        )
        return fleet.run(loads.DAY_MS)
    finally:
        vars(router).update(usual)


def main():
    """Print the table."""
    for case in CASES:
        print(f"\n{case}\n{'way':24}{'in time %':>10}{'p99':>8}{'again M':>9}")
        for name, way in WAYS.items():
            fleets = [play(case, way, seed) for seed in SEEDS]
            judged = [fleet.judge(True) for fleet in fleets]
            again = sum(
                engine.read_again
                for fleet in fleets
                for engine in fleet.engines.values()
            )
            timely = sum(one for one, _ in judged) / len(judged)
            p99 = sum(one for _, one in judged) / len(judged)
            print(
                f"{name:24}{100 * timely:10.1f}{p99:8.0f}"
                f"{again / len(SEEDS) / 1e6:9.2f}"
            )


if __name__ == "__main__":
    main()
