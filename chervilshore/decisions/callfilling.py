"""Chooses the items of a batch call within the space for results.

A result uses space at its endpoint until it has been read, and the results of
a job are read only when all of them exist. If jobs were begun in whatever
space is left, several of them could hold all of it while each one waits for
more.
"""

from collections import abc as collections_abc

from chervilshore.decisions import batchendpoints
from chervilshore.decisions import batchjobs
from chervilshore.decisions import jobscheduling
from chervilshore.rules import model

SPACE_FRACTION = 0.97
"""Fraction of the space for results that plans use, as sizes are estimates."""


class SpacePlan:
    """The space for results of a pool, and what begun jobs still need of it.

    Parameters
    ----------
    endpoints : iterable of BatchEndpoint
        All endpoints of the pool.
    jobs : iterable of Job
        The jobs with waiting items.
    batching : Batching
        Gives the space for results of one endpoint.
    now : float
        The time in milliseconds.
    """

    def __init__(
        self,
        endpoints: collections_abc.Iterable[batchendpoints.BatchEndpoint],
        jobs: collections_abc.Iterable[batchjobs.Job],
        batching: model.Batching,
        now: float,
    ) -> None:
        limit = SPACE_FRACTION * batching.result_space_bytes
        self._free = {
            one.record.endpoint: max(0.0, limit - one.used_bytes(now))
            for one in endpoints
            if one.backoff_until <= now
        }
        self._promised = sum(
            len(job.waiting) * job.result_bytes for job in jobs if job.is_begun
        )

    def count_fitting(
        self, endpoint: batchendpoints.BatchEndpoint, job: batchjobs.Job
    ) -> int:
        """Return how many waiting items of a job an endpoint has space for.

        It is 0 for a job that is not begun unless all its results fit into
        the pool beside those that begun jobs still need.
        """
        waiting = len(job.waiting)
        if not job.result_bytes:
            return waiting
        if not job.is_begun:
            free = sum(
                size // job.result_bytes for size in self._free.values()
            )
            needed = job.count * job.result_bytes + self._promised
            if needed > free * job.result_bytes:
                return 0
        space = self._free.get(endpoint.record.endpoint, 0.0)
        return min(waiting, int(space // job.result_bytes))

    def take(
        self,
        endpoint: batchendpoints.BatchEndpoint,
        job: batchjobs.Job,
        count: int,
    ) -> None:
        """Reserve the space of items that a call will carry."""
        if not job.is_begun:
            self._promised += job.count * job.result_bytes
        self._promised -= count * job.result_bytes
        self._free[endpoint.record.endpoint] -= count * job.result_bytes


def can_ever_fit(
    job: batchjobs.Job, endpoint_count: int, batching: model.Batching
) -> bool:
    """Return whether an empty pool has space for all results of a job."""
    if job.is_begun or not job.result_bytes or not endpoint_count:
        return True
    limit = SPACE_FRACTION * batching.result_space_bytes
    return job.count <= endpoint_count * int(limit // job.result_bytes)


def choose_parts(
    endpoint: batchendpoints.BatchEndpoint,
    waiting: collections_abc.Sequence[batchjobs.Job],
    others: collections_abc.Collection[batchendpoints.BatchEndpoint],
    space: SpacePlan,
    max_items: int,
    now: float,
) -> list[batchjobs.CallPart]:
    """Choose the items of the next call to a free endpoint.

    Begun jobs go first, as their results use space until the last one is
    made; then the jobs go in their order.

    Parameters
    ----------
    endpoint : BatchEndpoint
        The endpoint.
    waiting : sequence of Job
        The jobs with waiting items, the first one to serve first.
    others : collection of BatchEndpoint
        All endpoints of the pool.
    space : SpacePlan
        The space for results, from which that of the parts is taken.
    max_items : int
        Maximum number of items of the call.
    now : float
        The time in milliseconds.
    """
    remaining_items = max_items
    parts: list[batchjobs.CallPart] = []
    for job in sorted(waiting, key=lambda one: not one.holds_space):
        if remaining_items <= 0:
            break
        if jobscheduling.waits_for_local(endpoint, job, others, now):
            continue
        count = min(remaining_items, space.count_fitting(endpoint, job))
        wanted = min(remaining_items, len(job.waiting))
        if count < (wanted if parts else 1):
            # Results of half a job would use space that whole jobs need.
            continue
        space.take(endpoint, job, count)
        indexes = tuple(sorted(job.waiting)[:count])
        parts.append(batchjobs.CallPart(job, indexes))
        remaining_items -= count
    return parts
