"""Schedules of roll-outs: what is wrong with a version and around it."""

import enum
import random

import msgspec

HOST_COUNTS = (3, 84, 370)
PIPELINES = ("contract", "report", "suggest")


class Trouble(enum.Enum):
    """What else goes wrong."""

    NONE = "none"
    SLOW_ENDPOINTS = "slow endpoints"
    FAILING_ENDPOINT = "failing endpoint, ejected at times"
    CRASH = "an endpoint crashes"
    DOMAIN = "bad domain"
    CUT = "hosts cut off"
    RESTART = "all hosts restart"
    CALLERS = "errors of callers"
    BURST = "burst of requests"
    HALF = "one host has half of the traffic"


class Fault(enum.Enum):
    """What is wrong with the version."""

    GOOD = "good"
    FAILS = "fails"
    SLOW = "slow"
    PARTLY_SLOW = "partly slow"


class Plan(msgspec.Struct):
    """One schedule."""

    hosts: int
    endpoints: int
    rate: float
    duration_ms: float
    trouble: Trouble
    fault: Fault
    fraction: float = 0.0
    factor: float = 1.0
    begins_ms: float = 0.0
    pipeline: str = ""
    load: float = 0.0
    trouble_ms: tuple[float, float] = (0.0, 0.0)


def make_plan(seed: int) -> Plan:
    """Draw a schedule."""
    rng = random.Random(seed)
    hosts = HOST_COUNTS[seed % len(HOST_COUNTS)]
    plan = Plan(
        hosts=hosts,
        endpoints=rng.choice((3, 6, 9, 30)),
        rate=rng.choice((40.0, 80.0, 120.0)),
        duration_ms=rng.choice((60_000.0, 90_000.0, 120_000.0)),
        trouble=rng.choice(list(Trouble)),
        fault=rng.choice(
            3 * [Fault.GOOD] + [Fault.FAILS, Fault.SLOW, Fault.PARTLY_SLOW]
        ),
    )
    begins = rng.uniform(0.1, 0.8) * plan.duration_ms
    plan.trouble_ms = (begins, begins + rng.uniform(5_000.0, 30_000.0))
    plan.fraction = 1.0
    if plan.fault is Fault.FAILS:
        plan.fraction = rng.choice((0.05, 0.1, 0.3, 1.0))
    elif plan.fault is Fault.SLOW:
        plan.factor = rng.choice((2.0, 3.0, 5.0))
    elif plan.fault is Fault.PARTLY_SLOW:
        plan.fraction = rng.choice((0.2, 0.5))
        plan.factor = rng.choice((4.0, 8.0))
    when = rng.choice(("at once", "later", "load", "route"))
    if when == "later":
        plan.begins_ms = rng.uniform(0.1, 0.4) * plan.duration_ms
    elif when == "load":
        plan.load = 0.7
    elif when == "route":
        plan.pipeline = rng.choice(PIPELINES)
    return plan
