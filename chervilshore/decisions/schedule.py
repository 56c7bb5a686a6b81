"""When each preparation of a request must begin, and on what it waits."""

from collections import abc as collections_abc

import msgspec

from chervilshore import ids
from chervilshore.rules import model

FILL_PART = 0.6
"""The part of a call's most pieces that it has as a rule."""

FIRST_EVENT_MS = 110.0
"""Milliseconds from a prepared request to its first event, without the
reading of its prompt."""

TOKENS_PER_MS = 100.0
"""Prompt tokens that an engine reads in a millisecond."""


LEAST_PATIENCE_MS = 2000.0
"""Milliseconds for which callers wait for the first event in any case."""

PATIENCE_OBJECTIVES = 4.0
"""Objectives for which callers wait for the first event."""

PATIENCE_GAPS = 8.0
"""Pauses for which callers wait for the first event."""


class Step(msgspec.Struct, frozen=True):
    """One preparation of one request.

    Parameters
    ----------
    stage : int
        Its position in the pipeline.
    pool : PoolName
        The pool.
    count : int
        Its pieces.
    after : tuple of int
        The positions of the steps whose results it needs.
    result_bytes, input_bytes : int
        Bytes of one result and of all inputs of a piece, about.
    path_ms : float
        Milliseconds from the beginning of its call to the first event.
    wait_ms : float
        Milliseconds for which its call is waited for, about.
    """

    stage: int
    pool: ids.PoolName
    count: int
    after: tuple[int, ...]
    result_bytes: int
    path_ms: float
    input_bytes: int = 0
    wait_ms: float = 0.0


def find_start_limit(pipeline: model.Pipeline, deadline_ms: float) -> float:
    """Tell for how long callers wait for an answer to begin.

    Parameters
    ----------
    pipeline : Pipeline
        The pipeline.
    deadline_ms : float
        Milliseconds for which they wait for the whole answer.
    """
    if not pipeline.streams:
        return deadline_ms
    patience = max(
        LEAST_PATIENCE_MS,
        PATIENCE_OBJECTIVES * pipeline.objective_ms,
        PATIENCE_GAPS * pipeline.gap_ms,
    )
    return min(deadline_ms, patience)


def plan_steps(
    pipeline: model.Pipeline,
    pools: collections_abc.Mapping[ids.PoolName, model.Pool],
    counts: collections_abc.Sequence[int],
    tokens: int,
    find_wait: collections_abc.Callable[[ids.PoolName], float],
) -> list[Step]:
    """Plan the preparations that a request needs.

    Parameters
    ----------
    pipeline : Pipeline
        Names the preparations.
    pools : mapping
        How their pools take pieces.
    counts : sequence of int
        The request's pieces for each preparation; 0 leaves it out.
    tokens : int
        Tokens of the prompt.
    find_wait : callable
        Tells the milliseconds for which a pool's calls are waited for.

    Returns
    -------
    list of Step
        The steps, each one after those that it needs.
    """
    needed = [
        index
        for index in range(len(pipeline.batch_stages))
        if index < len(counts) and counts[index] > 0
    ]
    first_ms = FIRST_EVENT_MS + tokens / TOKENS_PER_MS
    paths: dict[int, float] = {}
    waits: dict[int, float] = {}
    for index in reversed(needed):
        preparation = pipeline.batch_stages[index]
        later = [
            paths[other] + waits[other]
            for other in needed
            if other in paths and index in pipeline.batch_stages[other].after
        ]
        own = _expect_call(pools.get(preparation.pool), counts[index])
        waits[index] = find_wait(preparation.pool)
        paths[index] = own + max(later, default=first_ms)
    return [
        Step(
            stage=index,
            pool=pipeline.batch_stages[index].pool,
            count=counts[index],
            after=tuple(
                other
                for other in pipeline.batch_stages[index].after
                if other in paths
            ),
            result_bytes=pipeline.batch_stages[index].result_bytes,
            input_bytes=sum(
                counts[other] * pipeline.batch_stages[other].result_bytes
                for other in pipeline.batch_stages[index].after
                if other in paths
            ),
            path_ms=paths[index],
            wait_ms=waits[index],
        )
        for index in needed
    ]


def expect_start(steps: collections_abc.Sequence[Step]) -> float:
    """Tell the milliseconds until the first event, with all waiting."""
    return max((step.wait_ms + step.path_ms for step in steps), default=0.0)


def find_readers(
    steps: collections_abc.Sequence[Step],
) -> dict[int, set[int]]:
    """Tell for each stage the stages that need its results."""
    readers: dict[int, set[int]] = {step.stage: set() for step in steps}
    for step in steps:
        for other in step.after:
            readers[other].add(step.stage)
    return readers


def find_last(steps: collections_abc.Sequence[Step]) -> list[int]:
    """Tell the stages whose results no other step needs."""
    followed = {other for step in steps for other in step.after}
    return [step.stage for step in steps if step.stage not in followed]


def _expect_call(pool: model.Pool | None, count: int) -> float:
    if pool is None or pool.batching is None:
        return 0.0
    batching = pool.batching
    size = min(batching.max_items, max(count, FILL_PART * batching.max_items))
    return batching.expect_ms(size)
