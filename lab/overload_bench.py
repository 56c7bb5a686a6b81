"""Compares queues and load shedding at twice the capacity for 20 seconds.

Run with ``python -m lab.overload_bench``.
"""

import statistics

import msgspec

from chervilshore.decisions import adaptiveconcurrency
from chervilshore.decisions import deadlines
from chervilshore.decisions import fairness
from chervilshore.decisions import queues
from chervilshore.decisions import routing
from chervilshore.decisions import shedding
from lab import pool_model

OVERLOAD_START_MS = 10_000.0
OVERLOAD_END_MS = 30_000.0
SETTLE_MS = 2_000.0
"""Milliseconds after the overload before recovery is measured."""

SEEDS = (1, 2, 3)
KINDS = (
    pool_model.RequestKind("dealers", 0, 0.4, 2_000.0),
    pool_model.RequestKind("office", 5, 0.6, 7_000.0),
)


class OverloadPeriod(msgspec.Struct):
    """The time of the overload in milliseconds."""

    start_ms: float = OVERLOAD_START_MS
    end_ms: float = OVERLOAD_END_MS


class Figures(msgspec.Struct):
    """The measured figures: percentages, and ``p50`` in milliseconds."""

    carried: float
    late: float
    prompt: float
    p50: float
    before: float
    after: float


class FixedLimit(shedding.NoShedding):
    """Admits a fixed number of concurrent requests."""

    def __init__(self, max_in_flight):
        self._max_in_flight = max_in_flight
        self._in_flight = 0

    def admit(self, pools, priority, now):
        if self._in_flight >= self._max_in_flight:
            return 100.0
        self._in_flight += 1
        return 0.0

    def release(self, pools, priority, millis, now):
        self._in_flight -= 1


def load(now):
    return 2.0 if OVERLOAD_START_MS <= now < OVERLOAD_END_MS else 0.8


def make_variants():
    """Return functions that make a host, by the name of the variant."""

    def host(make_queue, make_shedding):
        def make(domain, generator, times):
            router = routing.LeastInFlightRouter(domain)
            return pool_model.Host(router, make_queue(times), make_shedding())

        return make

    def fair(times):
        return fairness.FairQueue(
            lambda now: times.quantile("pool", 0.1, now) or 0.0
        )

    def fifo(times):
        return queues.FifoQueue()

    return {
        "fifo, unbounded": host(fifo, shedding.NoShedding),
        "fair, unbounded": host(fair, shedding.NoShedding),
        "fair, fixed 8": host(fair, lambda: FixedLimit(8)),
        "fair, fixed 32": host(fair, lambda: FixedLimit(32)),
        "fifo, adaptive": host(fifo, adaptiveconcurrency.AdaptiveConcurrency),
        "fair, adaptive": host(fair, adaptiveconcurrency.AdaptiveConcurrency),
    }


def attainment_percent(jobs):
    done = sum(job.ended is not None for job in jobs)
    return 100.0 * done / max(1, len(jobs))


def measure(settings, variant, period):
    times = deadlines.StageTimes()
    model = pool_model.Model(
        settings, lambda d, g: variant(d, g, times), times
    )
    jobs = model.run().jobs
    during = [
        job for job in jobs if period.start_ms <= job.arrived < period.end_ms
    ]
    done = [job for job in during if job.ended is not None]
    late = [job for job in during if job.ended is None and job.refused is None]
    carried = sum(
        job.ended is not None and period.start_ms <= job.ended < period.end_ms
        for job in jobs
    )
    settled = period.end_ms + SETTLE_MS
    return Figures(
        100.0 * carried / (model.capacity * (period.end_ms - period.start_ms)),
        100.0 * len(late) / len(during),
        attainment_percent([job for job in during if job.kind.priority == 0]),
        statistics.median(job.ended - job.arrived for job in done),
        attainment_percent(
            [job for job in jobs if job.arrived < period.start_ms]
        ),
        attainment_percent([job for job in jobs if job.arrived >= settled]),
    )


def main():
    names = Figures.__struct_fields__
    for title, sizes in {
        "9 endpoints of 8 slots, 9 hosts": {},
        "5 endpoints of 8 slots, 6 hosts": {"endpoints": 5, "hosts": 6},
    }.items():
        print(f"\n{title}")
        print(f"{'way':18}" + "".join(f"{name:>9}" for name in names))
        for label, variant in make_variants().items():
            rows = [
                measure(
                    pool_model.ModelSettings(load, KINDS, seed=seed, **sizes),
                    variant,
                    OverloadPeriod(),
                )
                for seed in SEEDS
            ]
            means = [
                statistics.mean(getattr(row, name) for row in rows)
                for name in names
            ]
            print(f"{label:18}" + "".join(f"{mean:9.2f}" for mean in means))


if __name__ == "__main__":
    main()
