"""Compares queues while a large team overloads the pool.

Run with ``python -m lab.queue_bench``.
"""

from chervilshore.decisions import deadlines
from chervilshore.decisions import fairness
from chervilshore.decisions import queues
from chervilshore.decisions import routing
from chervilshore.decisions import shedding
from lab import pool_model

KINDS = (
    pool_model.RequestKind("small", 0, 0.1, 2_000.0),
    pool_model.RequestKind("large", 0, 0.7, 2_000.0),
    pool_model.RequestKind("reviews", 5, 0.2, 30_000.0),
)
SEEDS = (1, 2, 3)


class DeadlineQueue(queues.FifoQueue):
    """Serves the request with the earliest deadline first."""

    def pop(self, now, eligible):
        ticket = min(
            (one for one in self._tickets.values() if eligible(one)),
            key=lambda one: one.requirements.deadline,
            default=None,
        )
        if ticket is not None:
            self.remove(ticket)
        return ticket


QUEUES = {
    "fifo": queues.FifoQueue,
    "earliest deadline": DeadlineQueue,
    "fair": fairness.FairQueue,
}


def measure(make_queue, seed):
    settings = pool_model.ModelSettings(
        lambda now: 1.3, KINDS, endpoints=5, hosts=3, seed=seed
    )
    model = pool_model.Model(
        settings,
        lambda domain, generator: pool_model.Host(
            routing.LeastInFlightRouter(domain),
            make_queue(),
            shedding.NoShedding(),
        ),
        deadlines.StageTimes(),
    )
    model.run()
    percentages = []
    for kind in KINDS:
        jobs = [job for job in model.jobs if job.kind is kind]
        done = sum(job.ended is not None for job in jobs)
        percentages.append(100.0 * done / len(jobs))
    return percentages


def main():
    print("1.3 of capacity, no shedding; attainment in %")
    names = "".join(f"{kind.team:>9}" for kind in KINDS)
    print(f"{'way':18}{names}")
    for label, make_queue in QUEUES.items():
        rows = [measure(make_queue, seed) for seed in SEEDS]
        means = [sum(column) / len(rows) for column in zip(*rows)]
        print(f"{label:18}" + "".join(f"{mean:9.1f}" for mean in means))


if __name__ == "__main__":
    main()
