"""Runs the batch stages that come before a request itself."""

import asyncio
from collections import abc as collections_abc
import itertools
import logging

import msgspec

from chervilshore import batchmessages
from chervilshore.clients import batches
from chervilshore import clock as clocks
from chervilshore.controllers import directory as directories
from chervilshore.controllers import submitting
from chervilshore.decisions import affinity
from chervilshore.decisions import jobscheduling
from chervilshore.decisions import stageplanning
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import ids
from chervilshore import results

MIN_RETRY_AFTER_MS = 500.0
"""Minimum milliseconds in the Retry-After of a refused request."""

MAX_RERUNS = 1
"""Times that the batch stages of a request run again when a result is gone
before it was read: its endpoint died, or the reader can't reach it."""

MAX_LATE_WAIT_MS = 900.0
"""Milliseconds of wait for calls of a pool up to which a late request starts.

With a longer wait its start is delayed, as results expire after a few seconds.
"""

LATE_CHECK_INTERVAL_MS = 250.0
"""Milliseconds after which the start of a delayed request is checked again."""

_LOGGER = logging.getLogger(__name__)


class BatchStageResults(msgspec.Struct):
    """The batch results that a request holds at present.

    Parameters
    ----------
    handles : tuple of str
        Handles of the results that the endpoint of the request itself reads.
    handles_by_stage : dict
        Handles of all results that endpoints still keep, by batch stage.
    pool_by_stage : dict
        The pool of each batch stage.
    """

    handles: tuple[str, ...] = ()
    handles_by_stage: dict[int, tuple[str, ...]] = {}
    pool_by_stage: dict[int, ids.PoolName] = {}


class BatchStageFailed(exceptions.ChervilshoreError):
    """A batch stage ended without results.

    Parameters
    ----------
    failure : Failure
        Why there are no results.
    """

    def __init__(self, failure: batches.Failure) -> None:
        super().__init__(failure.value)
        self.failure = failure


class BatchStageRunner:
    """Runs the batch stages of requests in order and frees their results.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    directory : Directory
        The endpoints.
    pool_client : BatchPoolClient
        Submits the jobs of batch stages.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        directory: directories.Directory,
        pool_client: submitting.BatchPoolClient,
    ) -> None:
        self._host = host
        self._clock = clock
        self._directory = directory
        self._pool_client = pool_client
        self._numbers = itertools.count()
        self._run_id = f"{clock.wall():.0f}"

    async def run_stages(self, exchange: base.Exchange) -> BatchStageResults:
        """Run all batch stages of a request.

        The caller must free the results with `free_results`.

        Raises
        ------
        exceptions.RefusalError
            There can be no results in time.
        """
        for tries_left in reversed(range(MAX_RERUNS + 1)):
            try:
                return await self._run_once(exchange)
            except BatchStageFailed as error:
                gone = error.failure is batches.Failure.INPUT_GONE
                if gone and tries_left:
                    continue
                raise exceptions.RefusalError(
                    results.Code.DEADLINE_HOPELESS,
                    f"preparation: {error}",
                    MIN_RETRY_AFTER_MS,
                ) from error

    async def _run_once(self, exchange: base.Exchange) -> BatchStageResults:
        steps = self._plan(exchange)
        stage_results = BatchStageResults()
        if not steps:
            return stage_results
        await self._wait_for_backlog(exchange)
        reader_domain = affinity.choose_reader_domain(
            exchange.forwarded_request.parts,
            self._directory.endpoints(exchange.pipeline.stages[-1].pool),
        )
        try:
            await self._run_steps(
                exchange, steps, stage_results, reader_domain
            )
        except BaseException:
            self.free_results(stage_results)
            raise
        return stage_results

    def _plan(
        self, exchange: base.Exchange
    ) -> list[stageplanning.PlannedStage]:
        now = self._clock.now()
        forwarded_request = exchange.forwarded_request
        return stageplanning.plan_batch_stages(
            exchange.pipeline,
            exchange.rules.pools,
            forwarded_request.item_counts,
            forwarded_request.tokens_in,
            lambda pool: self._pool_client.backlog.current_waits(
                pool, now
            ).timely_wait_ms(exchange.priority),
        )

    async def _wait_for_backlog(self, exchange: base.Exchange) -> None:
        """Delay a late request until its pools can run it soon.

        Results of a late request that starts immediately would expire in the
        queue of a later stage, and take calls from requests that can still
        reach their latency objective.

        Raises
        ------
        exceptions.RefusalError
            The backlog is too long for the request's time limit.
        """
        limit = exchange.arrived_at + stageplanning.start_limit_ms(
            exchange.pipeline, exchange.deadline - exchange.arrived_at
        )
        objective = exchange.arrived_at + exchange.pipeline.objective_ms
        while True:
            now = self._clock.now()
            steps = self._plan(exchange)
            if now + stageplanning.estimate_start_ms(steps) <= objective:
                return
            wait_ms = max(
                self._pool_client.backlog.current_waits(step.pool, now).late_ms
                for step in steps
            )
            if now + wait_ms + stageplanning.estimate_start_ms(steps) > limit:
                raise exceptions.RefusalError(
                    results.Code.OVERLOADED,
                    f"pieces wait for {wait_ms:.0f} ms",
                    max(MIN_RETRY_AFTER_MS, wait_ms),
                )
            if wait_ms <= MAX_LATE_WAIT_MS:
                return
            await self._clock.sleep(
                min(LATE_CHECK_INTERVAL_MS, wait_ms - MAX_LATE_WAIT_MS + 1.0)
            )

    async def _run_steps(
        self,
        exchange: base.Exchange,
        steps: list[stageplanning.PlannedStage],
        stage_results: BatchStageResults,
        reader_domain: ids.DomainId,
    ) -> None:
        tasks: dict[int, asyncio.Task] = {}
        readers = stageplanning.find_readers(steps)
        for step in steps:
            stage_results.pool_by_stage[step.stage] = step.pool
            input_tasks = [tasks[stage] for stage in step.after]
            tasks[step.stage] = asyncio.ensure_future(
                self._run_step(
                    exchange,
                    step,
                    input_tasks,
                    stage_results,
                    readers,
                    reader_domain,
                )
            )
        try:
            handles = await asyncio.gather(*tasks.values())
        finally:
            for task in tasks.values():
                task.cancel()
        by_stage = dict(zip(tasks, handles, strict=True))
        stage_results.handles = tuple(
            handle
            for stage in stageplanning.find_final_stages(steps)
            for handle in by_stage[stage]
        )

    async def _run_step(
        self,
        exchange: base.Exchange,
        step: stageplanning.PlannedStage,
        input_tasks: list[asyncio.Task],
        stage_results: BatchStageResults,
        readers: dict[int, set[int]],
        reader_domain: ids.DomainId,
    ) -> tuple[str, ...]:
        inputs: list[str] = []
        for task in input_tasks:
            inputs += await asyncio.shield(task)
        domain, cross_domain_bytes = jobscheduling.choose_domain(
            self._find_domains(
                inputs,
                [stage_results.pool_by_stage[stage] for stage in step.after],
            ),
            step.count * step.input_bytes,
            ids.DomainId("") if readers[step.stage] else reader_domain,
            step.count * step.result_bytes,
        )
        job_request = self._make_job_request(
            exchange, step, tuple(inputs), domain, cross_domain_bytes
        )

        def free_inputs() -> None:
            # Free inputs that no other stage reads: results of other
            # requests need their space.
            for stage in step.after:
                readers[stage].discard(step.stage)
                if (
                    not readers[stage]
                    and stage in stage_results.handles_by_stage
                ):
                    self._free_stage(stage_results, stage)

        job_result = await self._pool_client.submit(job_request, free_inputs)
        events.log_event(
            _LOGGER,
            events.Event.BATCH_JOB_ENDED,
            request=exchange.request,
            stage=step.stage,
            pool=step.pool,
            pieces=step.count,
            failure=job_result.failure and job_result.failure.value,
        )
        if job_result.failure is not None:
            raise BatchStageFailed(job_result.failure)
        stage_results.handles_by_stage[step.stage] = job_result.handles
        free_inputs()
        return job_result.handles

    def _find_domains(
        self,
        handles: collections_abc.Sequence[str],
        pools: collections_abc.Iterable[ids.PoolName],
    ) -> list[ids.DomainId]:
        """Return the domain of each result whose endpoint is still listed."""
        domains = {
            record.address: record.domain
            for pool in pools
            for record in self._directory.endpoints(pool)
        }
        addresses = (handle.partition("/")[0] for handle in handles)
        return [domains[one] for one in addresses if one in domains]

    def _make_job_request(
        self,
        exchange: base.Exchange,
        step: stageplanning.PlannedStage,
        inputs: tuple[str, ...],
        domain: ids.DomainId,
        cross_domain_bytes: int,
    ) -> batchmessages.BatchJobRequest:
        now = self._clock.now()
        objective = exchange.arrived_at + exchange.pipeline.objective_ms
        limit = stageplanning.start_limit_ms(
            exchange.pipeline, exchange.deadline - exchange.arrived_at
        )
        return batchmessages.BatchJobRequest(
            job=f"{self._host}/{self._run_id}/{next(self._numbers)}",
            pool=step.pool,
            request=exchange.request,
            stage=step.stage,
            count=step.count,
            key=exchange.forwarded_request.item_key,
            inputs=inputs,
            priority=exchange.priority,
            due_ms=objective - now - step.critical_path_ms,
            left_ms=exchange.arrived_at + limit - now - step.critical_path_ms,
            result_bytes=step.result_bytes,
            input_bytes=step.input_bytes,
            domain=domain,
            cross_domain_bytes=cross_domain_bytes,
        )

    def free_results(self, stage_results: BatchStageResults) -> None:
        """Free all results that a request still holds at endpoints."""
        for stage in list(stage_results.handles_by_stage):
            self._free_stage(stage_results, stage)

    def _free_stage(
        self, stage_results: BatchStageResults, stage: int
    ) -> None:
        handles = stage_results.handles_by_stage.pop(stage)
        pool = stage_results.pool_by_stage[stage]
        self._pool_client.free(pool, handles)
