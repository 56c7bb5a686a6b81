"""Plans the batch stages of a request: their order, calls and timing."""

from collections import abc as collections_abc

import msgspec

from chervilshore import ids
from chervilshore.rules import model

TYPICAL_FILL_FRACTION = 0.6
"""Fraction of a call's largest size that calls usually have."""

FIRST_EVENT_MS = 110.0
"""Time from the end of the batch stages to the first event, without the
time to read the prompt."""

PROMPT_TOKENS_PER_MS = 100.0
"""Prompt tokens that an engine reads in a millisecond."""


MIN_START_LIMIT_MS = 2000.0
"""Shortest time that callers wait for the first event."""

START_LIMIT_OBJECTIVES = 4.0
"""Multiple of the latency objective that callers wait for the first event."""

START_LIMIT_GAPS = 8.0
"""Multiple of the allowed gap between events that callers wait for the first
one."""


class PlannedStage(msgspec.Struct, frozen=True):
    """One batch stage of one request.

    Parameters
    ----------
    stage : int
        Its position in the pipeline.
    pool : PoolName
        The pool.
    count : int
        The number of its items.
    after : tuple of int
        The positions of the batch stages whose results it reads.
    result_bytes : int
        Estimated bytes of one result.
    critical_path_ms : float
        Milliseconds from the start of its call to the first event, along the
        longest chain of later stages.
    input_bytes : int
        Estimated bytes of all inputs of one item.
    wait_ms : float
        Estimated milliseconds until its call starts.
    """

    stage: int
    pool: ids.PoolName
    count: int
    after: tuple[int, ...]
    result_bytes: int
    critical_path_ms: float
    input_bytes: int = 0
    wait_ms: float = 0.0


def start_limit_ms(pipeline: model.Pipeline, deadline_ms: float) -> float:
    """Return for how long callers wait for the answer to begin.

    Parameters
    ----------
    pipeline : Pipeline
        The pipeline.
    deadline_ms : float
        Milliseconds for which they wait for the whole answer.
    """
    if not pipeline.streams:
        return deadline_ms
    limit_ms = max(
        MIN_START_LIMIT_MS,
        START_LIMIT_OBJECTIVES * pipeline.objective_ms,
        START_LIMIT_GAPS * pipeline.gap_ms,
    )
    return min(deadline_ms, limit_ms)


def plan_batch_stages(
    pipeline: model.Pipeline,
    pools: collections_abc.Mapping[ids.PoolName, model.Pool],
    counts: collections_abc.Sequence[int],
    tokens: int,
    estimate_wait: collections_abc.Callable[[ids.PoolName], float],
) -> list[PlannedStage]:
    """Plan the batch stages that a request needs.

    Parameters
    ----------
    pipeline : Pipeline
        The pipeline with its batch stages.
    pools : mapping
        The pools by name.
    counts : sequence of int
        The request's items for each batch stage; one with 0 is skipped.
    tokens : int
        The number of tokens of the prompt.
    estimate_wait : callable
        Returns the estimated milliseconds until a call of a pool starts.

    Returns
    -------
    list of PlannedStage
        The stages, each one after those whose results it reads.
    """
    needed = [
        index
        for index in range(len(pipeline.batch_stages))
        if index < len(counts) and counts[index] > 0
    ]
    first_ms = FIRST_EVENT_MS + tokens / PROMPT_TOKENS_PER_MS
    paths: dict[int, float] = {}
    waits: dict[int, float] = {}
    for index in reversed(needed):
        batch_stage = pipeline.batch_stages[index]
        later = [
            paths[other] + waits[other]
            for other in needed
            if other in paths and index in pipeline.batch_stages[other].after
        ]
        call_ms = _expected_call_ms(pools.get(batch_stage.pool), counts[index])
        waits[index] = estimate_wait(batch_stage.pool)
        paths[index] = call_ms + max(later, default=first_ms)
    return [
        PlannedStage(
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
            critical_path_ms=paths[index],
            wait_ms=waits[index],
        )
        for index in needed
    ]


def estimate_start_ms(
    stages: collections_abc.Sequence[PlannedStage],
) -> float:
    """Return the estimated milliseconds until the first event."""
    return max(
        (stage.wait_ms + stage.critical_path_ms for stage in stages),
        default=0.0,
    )


def find_readers(
    stages: collections_abc.Sequence[PlannedStage],
) -> dict[int, set[int]]:
    """Return for each stage the stages that read its results."""
    readers: dict[int, set[int]] = {stage.stage: set() for stage in stages}
    for stage in stages:
        for other in stage.after:
            readers[other].add(stage.stage)
    return readers


def find_final_stages(
    stages: collections_abc.Sequence[PlannedStage],
) -> list[int]:
    """Return the stages whose results no other batch stage reads."""
    read = {other for stage in stages for other in stage.after}
    return [stage.stage for stage in stages if stage.stage not in read]


def _expected_call_ms(pool: model.Pool | None, count: int) -> float:
    """Return the milliseconds that the call of so many items should take."""
    if pool is None or pool.batching is None:
        return 0.0
    batching = pool.batching
    size = min(
        batching.max_items,
        max(count, TYPICAL_FILL_FRACTION * batching.max_items),
    )
    return batching.expect_ms(size)
