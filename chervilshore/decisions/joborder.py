"""In which order jobs are called for, and where."""

from collections import abc as collections_abc

from chervilshore.decisions import makers
from chervilshore.decisions import piecejobs

PRIORITY_MS = 300.0
"""Milliseconds by which one step of priority moves a piece ahead or back."""

NEAR_BYTES = 200_000
"""Bytes of a result from which it should be made near its reader."""

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
    """Tell whether a job should wait for an endpoint near its reader.

    Large results are made where they will be read while that costs the
    request nothing.

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
    if job.result_bytes < NEAR_BYTES or domain == job.domain:
        return False
    return any(
        other.record.domain == job.domain
        and other.is_usable(now)
        and now + other.count_left(now) + NEAR_SLACK_MS <= job.due
        for other in others
    )
