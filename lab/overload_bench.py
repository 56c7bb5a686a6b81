"""Compare ways to meet twice the capacity for twenty seconds.

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

BEGIN_MS = 10_000.0
END_MS = 30_000.0
SETTLE_MS = 2_000.0
SEEDS = (1, 2, 3)
KINDS = (
    pool_model.Kind("dealers", 0, 0.4, 2_000.0),
    pool_model.Kind("office", 5, 0.6, 7_000.0),
)


class Span(msgspec.Struct):
    """When the overload begins and ends."""

    begin: float = BEGIN_MS
    end: float = END_MS


class Figures(msgspec.Struct):
    """What was measured, in parts of a hundred and milliseconds."""

    carried: float
    late: float
    prompt: float
    p50: float
    before: float
    after: float


class FixedConcurrency(shedding.NoShedding):
    """Takes on a fixed number of requests."""

    def __init__(self, most):
        self._most = most
        self._in_flight = 0

    def admit(self, pools, priority, now):
        if self._in_flight >= self._most:
            return 100.0
        self._in_flight += 1
        return 0.0

    def release(self, pools, priority, millis, now):
        self._in_flight -= 1


def load(now):
    return 2.0 if BEGIN_MS <= now < END_MS else 0.8


def make_ways():
    """Name the ways to compare; each makes a host."""

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
        "fair, fixed 8": host(fair, lambda: FixedConcurrency(8)),
        "fair, fixed 32": host(fair, lambda: FixedConcurrency(32)),
        "fifo, adaptive": host(fifo, adaptiveconcurrency.AdaptiveConcurrency),
        "fair, adaptive": host(fair, adaptiveconcurrency.AdaptiveConcurrency),
    }


def attain(jobs):
    done = sum(job.ended is not None for job in jobs)
    return 100.0 * done / max(1, len(jobs))


def measure(shape, way, span):
    times = deadlines.StageTimes()
    model = pool_model.Model(shape, lambda d, g: way(d, g, times), times)
    jobs = model.run().jobs
    over = [job for job in jobs if span.begin <= job.arrived < span.end]
    done = [job for job in over if job.ended is not None]
    late = [job for job in over if job.ended is None and job.refused is None]
    carried = sum(
        job.ended is not None and span.begin <= job.ended < span.end
        for job in jobs
    )
    settled = span.end + SETTLE_MS
    return Figures(
        100.0 * carried / (model.capacity * (span.end - span.begin)),
        100.0 * len(late) / len(over),
        attain([job for job in over if job.kind.priority == 0]),
        statistics.median(job.ended - job.arrived for job in done),
        attain([job for job in jobs if job.arrived < span.begin]),
        attain([job for job in jobs if job.arrived >= settled]),
    )


def main():
    names = Figures.__struct_fields__
    for title, sizes in {
        "9 endpoints of 8 slots, 9 hosts": {},
        "5 endpoints of 8 slots, 6 hosts": {"endpoints": 5, "hosts": 6},
    }.items():
        print(f"\n{title}")
        print(f"{'way':18}" + "".join(f"{name:>9}" for name in names))
        for label, way in make_ways().items():
            rows = [
                measure(
                    pool_model.Shape(load, KINDS, seed=seed, **sizes),
                    way,
                    Span(),
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
