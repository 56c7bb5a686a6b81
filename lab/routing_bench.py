"""Compares routers while one endpoint in three is ten times slower.

Run with ``python -m lab.routing_bench``.
"""

import statistics

from chervilshore.decisions import completion
from chervilshore.decisions import deadlines
from chervilshore.decisions import ejection
from chervilshore.decisions import fairness
from chervilshore.decisions import retries
from chervilshore.decisions import routing
from chervilshore.decisions import shedding
from lab import pool_model
from lab import routers

SEEDS = (1, 2)
SLOWDOWN_START_MS = 5_000.0


def slow_third(index, now):
    """Return the slowdown of an endpoint; every third becomes slow."""
    return 10.0 if index % 3 == 0 and now >= SLOWDOWN_START_MS else 1.0


class LateHedging(retries.Hedging):
    """Hedges after the 95th percentile of the attempts of the pool."""

    def hedge_delay_ms(self, pool, now):
        if self._times.count(pool, now) < retries.MIN_HEDGE_SAMPLES:
            return None
        return self._times.quantile(pool, 0.95, now)


def make_variants():
    """Return functions that make a host, by the name of the variant."""

    def host(router, hedging=None):
        return pool_model.Host(
            router, fairness.FairQueue(), shedding.NoShedding(), hedging
        )

    def make_completion_host(domain, generator, times, eject=True, hedge=True):
        outliers = (
            ejection.OutlierEjection() if eject else ejection.NoEjection()
        )
        router = completion.CompletionRouter(domain, generator, outliers)
        budget = retries.RetryBudget()
        return host(router, retries.Hedging(times, budget) if hedge else None)

    def hedge_late(domain, generator, times):
        late_host = make_completion_host(domain, generator, times, False)
        late_host.hedging = LateHedging(times, retries.RetryBudget())
        return late_host

    return {
        "random": lambda d, g, t: host(routers.RandomRouter(g)),
        "least in flight": lambda d, g, t: host(
            routing.LeastInFlightRouter(d)
        ),
        "two choices": lambda d, g, t: host(routers.TwoChoicesRouter(g)),
        "completion only": lambda d, g, t: make_completion_host(
            d, g, t, False, False
        ),
        "hedge after p95": lambda d, g, t: hedge_late(d, g, t),
        "with hedging": lambda d, g, t: make_completion_host(
            d, g, t, False, True
        ),
        "with ejection": lambda d, g, t: make_completion_host(
            d, g, t, True, False
        ),
        "with both": make_completion_host,
    }


def measure(settings, variant):
    times = deadlines.StageTimes()
    model = pool_model.Model(
        settings, lambda d, g: variant(d, g, times), times
    )
    model.run()
    done = [job for job in model.jobs if job.ended is not None]
    durations = sorted(job.ended - job.arrived for job in done)
    attempts = sum(job.attempts for job in model.jobs)
    return (
        100.0 * len(done) / len(model.jobs),
        attempts / len(done),
        statistics.median(durations),
        durations[int(0.99 * len(durations))],
        100.0 * model.cross_domain_attempts / attempts,
    )


def main():
    cases = {
        "healthy, 0.8": (0.8, lambda index, now: 1.0),
        "one in three slow, 0.6": (0.6, slow_third),
    }
    for deadline in (1500.0, 7000.0):
        for name, (load, slow) in cases.items():
            print(f"\n{name}, deadline {deadline:.0f} ms")
            print(
                f"{'way':18}{'attain %':>9}{'work':>7}{'p50':>7}{'p99':>7}"
                f"{'far %':>7}"
            )
            for label, variant in make_variants().items():
                rows = []
                for seed in SEEDS:
                    kind = pool_model.RequestKind("team", deadline_ms=deadline)
                    settings = pool_model.ModelSettings(
                        lambda now, load=load: load,
                        (kind,),
                        slow,
                        seed=seed,
                    )
                    rows.append(measure(settings, variant))
                attained, work, p50, p99, cross_domain = (
                    statistics.mean(column) for column in zip(*rows)
                )
                print(
                    f"{label:18}{attained:9.2f}{work:7.3f}{p50:7.0f}{p99:7.0f}"
                    f"{cross_domain:7.0f}"
                )


if __name__ == "__main__":
    main()
