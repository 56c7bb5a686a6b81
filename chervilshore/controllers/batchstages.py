"""Has the pieces made that go before a request."""

import asyncio
from collections import abc as collections_abc
import itertools
import logging

import msgspec

from chervilshore.clients import batchclients
from chervilshore import clock as clocks
from chervilshore.controllers import directory as directories
from chervilshore.controllers import submitting
from chervilshore.decisions import joborder
from chervilshore.decisions import placing
from chervilshore.decisions import schedule
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import ids
from chervilshore import piecemessages
from chervilshore import results

RETRY_MS = 500.0
"""Least milliseconds after which a refused caller may come back."""

MOST_REDOS = 1
"""Times that a request is prepared anew when a result vanished before its
reader: its maker died, or is cut off from the reader."""

GATE_MS = 900.0
"""Milliseconds that a late request may wait for the calls of a pool before
it is held back; results lapse after a few seconds of waiting."""

GATE_CHECK_MS = 250.0
"""Milliseconds after which a request that is held back is looked at again."""

_LOGGER = logging.getLogger(__name__)


class BatchStageResults(msgspec.Struct):
    """The results that a request has for the moment.

    Parameters
    ----------
    handles : tuple of str
        What the endpoint of the request reads.
    made : dict
        The results that are kept, by stage.
    pools : dict
        The pool of each stage.
    """

    handles: tuple[str, ...] = ()
    made: dict[int, tuple[str, ...]] = {}
    pools: dict[int, ids.PoolName] = {}


class BatchStageFailed(exceptions.ChervilshoreError):
    """A step has no result.

    Parameters
    ----------
    failure : Failure
        Why.
    """

    def __init__(self, failure: batchclients.Failure) -> None:
        super().__init__(failure.value)
        self.failure = failure


class BatchStageRunner:
    """Has the steps of a request done in order, and frees their results.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    directory : Directory
        The endpoints.
    keepers : BatchPoolClient
        Have pieces made.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        directory: directories.Directory,
        keepers: submitting.BatchPoolClient,
    ) -> None:
        self._host = host
        self._clock = clock
        self._directory = directory
        self._keepers = keepers
        self._numbers = itertools.count()
        self._life = f"{clock.wall():.0f}"

    async def run_stages(self, exchange: base.Exchange) -> BatchStageResults:
        """Have all pieces of a request made.

        Raises
        ------
        exceptions.RefusalError
            They cannot be had in time.
        """
        for tries_left in reversed(range(MOST_REDOS + 1)):
            try:
                return await self._prepare_once(exchange)
            except BatchStageFailed as error:
                gone = error.failure is batchclients.Failure.INPUT_GONE
                if gone and tries_left:
                    continue
                raise exceptions.RefusalError(
                    results.Code.DEADLINE_HOPELESS,
                    f"preparation: {error}",
                    RETRY_MS,
                ) from error

    async def _prepare_once(
        self, exchange: base.Exchange
    ) -> BatchStageResults:
        steps = self._plan(exchange)
        prepared = BatchStageResults()
        if not steps:
            return prepared
        await self._pass_gate(exchange)
        home = placing.choose_home(
            exchange.passage.parts,
            self._directory.endpoints(exchange.pipeline.stages[-1].pool),
        )
        try:
            await self._run_steps(exchange, steps, prepared, home)
        except BaseException:
            self.free_results(prepared)
            raise
        return prepared

    def _plan(self, exchange: base.Exchange) -> list[schedule.Step]:
        now = self._clock.now()
        passage = exchange.passage
        return schedule.plan_steps(
            exchange.pipeline,
            exchange.rules.pools,
            passage.piece_counts,
            passage.tokens_in,
            lambda pool: self._keepers.backlog.find(pool, now).find_timely(
                exchange.priority
            ),
        )

    async def _pass_gate(self, exchange: base.Exchange) -> None:
        """Hold a late request back before its first step.

        What is made for it would lapse in the queue of a later step, and
        take places from requests that can still reach their objective.
        """
        limit = exchange.arrived + schedule.find_start_limit(
            exchange.pipeline, exchange.deadline - exchange.arrived
        )
        objective = exchange.arrived + exchange.pipeline.objective_ms
        while True:
            now = self._clock.now()
            steps = self._plan(exchange)
            if now + schedule.expect_start(steps) <= objective:
                return
            wait = max(
                self._keepers.backlog.find(step.pool, now).late_ms
                for step in steps
            )
            if now + wait + schedule.expect_start(steps) > limit:
                raise exceptions.RefusalError(
                    results.Code.OVERLOADED,
                    f"pieces wait for {wait:.0f} ms",
                    max(RETRY_MS, wait),
                )
            if wait <= GATE_MS:
                return
            await self._clock.sleep(min(GATE_CHECK_MS, wait - GATE_MS + 1.0))

    async def _run_steps(
        self,
        exchange: base.Exchange,
        steps: list[schedule.Step],
        prepared: BatchStageResults,
        home: ids.DomainId,
    ) -> None:
        tasks: dict[int, asyncio.Task] = {}
        readers = schedule.find_readers(steps)
        for step in steps:
            prepared.pools[step.stage] = step.pool
            needed = [tasks[other] for other in step.after]
            tasks[step.stage] = asyncio.ensure_future(
                self._run_step(exchange, step, needed, prepared, readers, home)
            )
        try:
            found = await asyncio.gather(*tasks.values())
        finally:
            for task in tasks.values():
                task.cancel()
        by_stage = dict(zip(tasks, found, strict=True))
        prepared.handles = tuple(
            handle
            for stage in schedule.find_last(steps)
            for handle in by_stage[stage]
        )

    async def _run_step(
        self,
        exchange: base.Exchange,
        step: schedule.Step,
        needed: list[asyncio.Task],
        prepared: BatchStageResults,
        readers: dict[int, set[int]],
        home: ids.DomainId,
    ) -> tuple[str, ...]:
        inputs: list[str] = []
        for task in needed:
            inputs += await asyncio.shield(task)
        domain, far_bytes = joborder.choose_domain(
            self._find_domains(
                inputs, [prepared.pools[o] for o in step.after]
            ),
            step.count * step.input_bytes,
            ids.DomainId("") if readers[step.stage] else home,
            step.count * step.result_bytes,
        )
        ask = self._make_ask(exchange, step, tuple(inputs), domain, far_bytes)

        def let_inputs_go() -> None:
            # Their room is wanted for the results of other requests.
            for other in step.after:
                readers[other].discard(step.stage)
                if not readers[other] and other in prepared.made:
                    self._free(prepared, other)

        made = await self._keepers.submit(ask, let_inputs_go)
        events.log_event(
            _LOGGER,
            events.Event.PIECES_MADE,
            request=exchange.request,
            stage=step.stage,
            pool=step.pool,
            pieces=step.count,
            failure=made.failure and made.failure.value,
        )
        if made.failure is not None:
            raise BatchStageFailed(made.failure)
        prepared.made[step.stage] = made.handles
        let_inputs_go()
        return made.handles

    def _find_domains(
        self,
        handles: collections_abc.Sequence[str],
        pools: collections_abc.Iterable[ids.PoolName],
    ) -> list[ids.DomainId]:
        """Tell where results are; those of endpoints that left are nowhere."""
        domains = {
            record.address: record.domain
            for pool in pools
            for record in self._directory.endpoints(pool)
        }
        addresses = (handle.partition("/")[0] for handle in handles)
        return [domains[one] for one in addresses if one in domains]

    def _make_ask(
        self,
        exchange: base.Exchange,
        step: schedule.Step,
        inputs: tuple[str, ...],
        domain: ids.DomainId,
        far_bytes: int,
    ) -> piecemessages.PiecesAsk:
        now = self._clock.now()
        objective = exchange.arrived + exchange.pipeline.objective_ms
        limit = schedule.find_start_limit(
            exchange.pipeline, exchange.deadline - exchange.arrived
        )
        return piecemessages.PiecesAsk(
            job=f"{self._host}/{self._life}/{next(self._numbers)}",
            pool=step.pool,
            request=exchange.request,
            stage=step.stage,
            count=step.count,
            key=exchange.passage.piece_key,
            inputs=inputs,
            priority=exchange.priority,
            due_ms=objective - now - step.path_ms,
            left_ms=exchange.arrived + limit - now - step.path_ms,
            result_bytes=step.result_bytes,
            input_bytes=step.input_bytes,
            domain=domain,
            far_bytes=far_bytes,
        )

    def free_results(self, prepared: BatchStageResults) -> None:
        """Let the endpoints forget a request's results."""
        for stage in list(prepared.made):
            self._free(prepared, stage)

    def _free(self, prepared: BatchStageResults, stage: int) -> None:
        handles = prepared.made.pop(stage)
        pool = prepared.pools[stage]
        self._keepers.free(pool, handles)
