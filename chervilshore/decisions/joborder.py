"""In which order jobs are called for, and where."""

import collections
from collections import abc as collections_abc

from chervilshore.decisions import makers
from chervilshore.decisions import piecejobs
from chervilshore import ids

PRIORITY_MS = 300.0
"""Milliseconds by which one step of priority moves a piece ahead or back."""

NEAR_BYTES = 200_000
"""Bytes between domains from which a job should wait for its own domain."""

NEAR_SLACK_MS = 80.0
"""Milliseconds that must be left besides to wait for an endpoint there."""


def sort_jobs(
    jobs: collections_abc.Iterable[piecejobs.Job], now: float
) -> list[piecejobs.Job]:
    """Order the jobs that wait: those that can be timely come first.

    Parameters
    ----------
    jobs : iterable of Job
        The jobs; those that do not wait are left out.
    now : float
        The time in milliseconds.
    """

    def weigh(job: piecejobs.Job) -> tuple[bool, int, float]:
        if now <= job.due:
            return False, 0, job.due + PRIORITY_MS * job.priority
        # What earlier steps have made would be lost first.
        by_time = job.deadline + PRIORITY_MS * job.priority
        return True, -job.stage, by_time

    return sorted((job for job in jobs if job.waiting), key=weigh)


def waits_for_near(
    maker: makers.Maker,
    job: piecejobs.Job,
    others: collections_abc.Iterable[makers.Maker],
    now: float,
) -> bool:
    """Tell whether a job should wait for an endpoint in its domain.

    Large inputs and results stay in a domain while that costs the request
    nothing.

    Parameters
    ----------
    maker : Maker
        An endpoint that is free.
    job : Job
        The job.
    others : iterable of Maker
        All endpoints of the pool.
    now : float
        The time in milliseconds.
    """
    domain = maker.record.domain
    if job.far_bytes < NEAR_BYTES or domain == job.domain:
        return False
    return any(
        other.record.domain == job.domain
        and other.is_usable(now)
        and now + other.count_left(now) + NEAR_SLACK_MS <= job.due
        for other in others
    )


def choose_domain(
    inputs: collections_abc.Sequence[ids.DomainId],
    input_bytes: int,
    home: ids.DomainId,
    result_bytes: int,
) -> tuple[ids.DomainId, int]:
    """Choose the domain in which a job should be done.

    Parameters
    ----------
    inputs : sequence of DomainId
        Where each input is.
    input_bytes : int
        Bytes of inputs that all its pieces read.
    home : DomainId
        Where its results will be read; empty when that is open.
    result_bytes : int
        Bytes of all its results.

    Returns
    -------
    tuple
        The domain, and the bytes that go to or from another one when the
        job is done elsewhere.
    """
    if home and (result_bytes >= input_bytes or not inputs):
        return home, result_bytes
    if not inputs:
        return home, 0
    ((domain, count),) = collections.Counter(inputs).most_common(1)
    return domain, input_bytes * count // len(inputs)
