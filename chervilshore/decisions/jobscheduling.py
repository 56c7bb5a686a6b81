"""The order in which jobs get calls, and the domains where they run."""

import collections
from collections import abc as collections_abc

from chervilshore.decisions import batchendpoints
from chervilshore.decisions import batchjobs
from chervilshore import ids

PRIORITY_STEP_MS = 300.0
"""Time by which one step of priority moves a job forward or back."""

MIN_CROSS_DOMAIN_BYTES = 200_000
"""Bytes between domains from which a job waits for its own domain."""

LOCAL_SLACK_MS = 80.0
"""Time that must be left before the due time to wait for an endpoint in the
job's domain."""


def sort_jobs(
    jobs: collections_abc.Iterable[batchjobs.Job], now: float
) -> list[batchjobs.Job]:
    """Return the jobs with waiting items, the first one to serve first.

    Jobs that can still reach their objective go before late ones.
    """

    def rank(job: batchjobs.Job) -> tuple[bool, int, float]:
        if now <= job.due:
            return False, 0, job.due + PRIORITY_STEP_MS * job.priority
        # Late jobs of later stages go first: the results of their earlier
        # stages would be lost otherwise.
        by_deadline = job.deadline + PRIORITY_STEP_MS * job.priority
        return True, -job.stage, by_deadline

    return sorted((job for job in jobs if job.waiting), key=rank)


def waits_for_local(
    endpoint: batchendpoints.BatchEndpoint,
    job: batchjobs.Job,
    others: collections_abc.Iterable[batchendpoints.BatchEndpoint],
    now: float,
) -> bool:
    """Return whether a job should wait for an endpoint in its domain.

    A job with large inputs or results waits only if it can still begin by
    its due time.

    Parameters
    ----------
    endpoint : BatchEndpoint
        An endpoint that is free.
    job : Job
        The job.
    others : iterable of BatchEndpoint
        All endpoints of the pool.
    now : float
        The time in milliseconds.
    """
    domain = endpoint.record.domain
    if job.cross_domain_bytes < MIN_CROSS_DOMAIN_BYTES or domain == job.domain:
        return False
    return any(
        other.record.domain == job.domain
        and other.is_usable(now)
        and now + other.remaining_ms(now) + LOCAL_SLACK_MS <= job.due
        for other in others
    )


def choose_domain(
    input_domains: collections_abc.Sequence[ids.DomainId],
    input_bytes: int,
    reader_domain: ids.DomainId,
    result_bytes: int,
) -> tuple[ids.DomainId, int]:
    """Choose the domain in which a job should run.

    Parameters
    ----------
    input_domains : sequence of DomainId
        The domain of each input.
    input_bytes : int
        Bytes of inputs that all its items read.
    reader_domain : DomainId
        Where its results will be read; empty when that is not known.
    result_bytes : int
        Bytes of all its results.

    Returns
    -------
    tuple
        The domain, and the bytes sent between domains when the job runs in
        another one. The domain is empty when any will do.
    """
    if reader_domain and (result_bytes >= input_bytes or not input_domains):
        return reader_domain, result_bytes
    if not input_domains:
        return reader_domain, 0
    ((domain, count),) = collections.Counter(input_domains).most_common(1)
    return domain, input_bytes * count // len(input_domains)
