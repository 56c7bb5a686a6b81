"""Runs the batch items of all hosts for the pools that this host owns."""

import asyncio
import collections
from collections import abc as collections_abc
import logging

import mode

from chervilshore import batchmessages
from chervilshore.clients import batches
from chervilshore.clients import peers as peer_types
from chervilshore import clock as clocks
from chervilshore.controllers import batchevidence
from chervilshore.controllers import batchpools
from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import directory as directories
from chervilshore.controllers import freeing
from chervilshore.controllers import versions
from chervilshore.decisions import backlog
from chervilshore.decisions import batchjobs
from chervilshore.decisions import batchplanner
from chervilshore.decisions import endpointnotices
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import metrics as metric_types

CALL_TIMEOUT_FACTOR = 6.0
"""Factor of a call's expected time in its timeout: slow endpoints have been
seen to take five times as long as expected."""

CALL_MARGIN_MS = 500.0
"""Milliseconds in a call's timeout beyond that."""

RESULT_RETENTION_MS = 5000.0
"""Milliseconds for which the result of a finished job can be sent again."""

IDLE_CHECK_MS = 50.0
"""Milliseconds between two checks whether jobs are left."""

_LOGGER = logging.getLogger(__name__)


class BatchService(mode.Service):
    """Plans and makes the calls of the batch pools that this host owns."""

    def __init__(
        self,
        clock: clocks.Clock,
        peers: peer_types.PeerTransport,
        directory: directories.Directory,
        configuration: configurations.Configuration,
        client: batches.BatchClient,
        metrics: metric_types.Metrics,
        notices: endpointnotices.EndpointNotices,
        version_choice: versions.Versions | None = None,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._peers = peers
        self._directory = directory
        self._configuration = configuration
        self._client = client
        self._freer = freeing.ResultFreer(clock, directory, client, notices)
        self._metrics = metrics
        self._notices = notices
        self._versions = version_choice or versions.AnyVersion()
        self._pool_states: dict[ids.PoolName, batchpools.PoolState] = {}
        self._finished: dict[
            str, tuple[float, batchmessages.BatchJobResult]
        ] = {}
        self._pool_by_job: dict[str, ids.PoolName] = {}
        self._running: set[asyncio.Task] = set()
        self._leaving = False

    async def on_start(self) -> None:
        """Register the handlers of messages."""
        self._peers.handle(
            batchmessages.BatchJobRequest, self._handle_job_request
        )
        self._peers.handle(
            batchmessages.BatchJobCancelled,
            lambda _, message: self.cancel_job(message.job),
        )
        self._peers.handle(
            batchmessages.BatchResultsReleased,
            lambda _, message: self.free(message.pool, message.handles),
        )

    async def on_stop(self) -> None:
        """Cancel all calls and background tasks."""
        self._freer.stop()
        for task in tuple(self._running):
            task.cancel()

    def leave(self) -> None:
        """Drain: refuse new jobs, and return unstarted ones to submitters."""
        self._leaving = True
        for state in self._pool_states.values():
            for job in state.planner.leave():
                self._end_job(state, job, batches.Failure.MOVED)

    async def wait_idle(self) -> None:
        """Wait until no job is left and the last result has been sent."""
        while any(one.planner.jobs for one in self._pool_states.values()):
            await self._clock.sleep(IDLE_CHECK_MS)
        await self._clock.sleep(IDLE_CHECK_MS)

    def _handle_job_request(
        self, sender: ids.Address, job_request: batchmessages.BatchJobRequest
    ) -> batchmessages.BatchJobAccepted | None:
        def send_update(update: messages.Message) -> None:
            self._peers.send(sender, update)

        return self.accept(job_request, send_update)

    def accept(
        self,
        job_request: batchmessages.BatchJobRequest,
        send_update: batchpools.SendUpdate,
    ) -> batchmessages.BatchJobAccepted | None:
        """Accept a job, or send its result again when it has finished.

        A job that is submitted again runs only once; its updates go to the
        newest `send_update`. Returns None when the active rules have no such
        batch pool, or when this host drains and does not have the job.
        """
        now = self._clock.now()
        self._forget_finished(now)
        finished = self._finished.get(job_request.job)
        if finished is not None:
            send_update(finished[1])
            return batchmessages.BatchJobAccepted(backlog.WaitEstimate())
        state = self._find_pool(job_request.pool)
        if state is None:
            return None
        if self._leaving and job_request.job not in state.planner.jobs:
            return None
        state.senders[job_request.job] = send_update
        waits = state.planner.estimate_waits(now)
        if job_request.job not in state.planner.jobs:
            self._pool_by_job[job_request.job] = job_request.pool
            state.planner.add(job_request.make_job(now))
            state.wake.set()
        return batchmessages.BatchJobAccepted(waits)

    def cancel_job(self, job: str) -> None:
        """Cancel a job that is no longer needed and free its results."""
        pool = self._pool_by_job.pop(job, None)
        if pool is not None:
            state = self._pool_states[pool]
            cancelled = state.planner.drop(job)
            state.senders.pop(job, None)
            if cancelled is not None:
                self.free(pool, filter(None, cancelled.handles))

    def free(
        self, pool: ids.PoolName, handles: collections_abc.Iterable[str]
    ) -> None:
        """Free results at the endpoints of a pool; reuse their space."""
        state = self._find_pool(pool)
        if state is not None:
            freed = tuple(handles)
            for handle in freed:
                self._versions.release(handle)
            self._freer.free(pool, freed, state.add_space)

    def _find_pool(self, pool: ids.PoolName) -> batchpools.PoolState | None:
        """Return a batch pool, started on first use; None without a rule."""
        rule = self._configuration.rules.pools.get(pool)
        if rule is None or rule.batching is None:
            return None
        state = self._pool_states.get(pool)
        if state is None:
            state = batchpools.PoolState(
                batchplanner.BatchPlanner(rule.batching)
            )
            self._pool_states[pool] = state
            self._start(self._run_pool(pool, state))
        state.planner.batching = rule.batching
        return state

    def _start(self, coroutine: collections_abc.Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._running.add(task)
        task.add_done_callback(self._forget_task)
        return task

    def _forget_task(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error("background task failed", exc_info=task.exception())

    async def _run_pool(
        self, pool: ids.PoolName, state: batchpools.PoolState
    ) -> None:
        while True:
            now = self._clock.now()
            self._update_endpoints(pool, state)
            for job in state.planner.expire(now):
                self._end_job(state, job, batches.Failure.LATE)
            for call in state.planner.plan(now):
                self._notices.count(call.record, now)
                self._start(self._make_call(state, call))
            for job in state.planner.pop_failed_jobs():
                self._end_failed_job(state, job)
            state.wake.clear()
            await self._wait_for_work(state)

    async def _wait_for_work(self, state: batchpools.PoolState) -> None:
        """Wait until something changes or the planner has something due."""
        due = state.planner.next_plan_time(self._clock.now())
        if due is None:
            await state.wake.wait()
            return
        left = due - self._clock.now()
        try:
            await clocks.wait_for(self._clock, state.wake.wait(), left + 1.0)
        except TimeoutError:
            # Work of the planner is due: plan again.
            return

    def _update_endpoints(
        self, pool: ids.PoolName, state: batchpools.PoolState
    ) -> None:
        now = self._clock.now()
        accepts_requests = self._configuration.rules.accepts_requests
        usable = [
            record
            for record in self._directory.endpoints(pool)
            if accepts_requests(record)
            and not self._notices.is_leaving(record)
        ]
        state.planner.set_endpoints(usable)
        pauses = self._versions.find_pauses(pool, usable, now)
        for record in usable:
            next_call = self._notices.next_send(record, sole_sender=True)
            next_call = max(next_call, pauses.get(record.endpoint, 0.0))
            state.planner.hold(record.endpoint, next_call)

    async def _make_call(
        self, state: batchpools.PoolState, call: batchjobs.BatchCall
    ) -> None:
        now = self._clock.now()
        calls = batchpools.list_item_calls(call, now)
        timeout_ms = CALL_TIMEOUT_FACTOR * call.expected_ms + CALL_MARGIN_MS
        outcome = "made"
        failures: collections.Counter[str] = collections.Counter()
        evidence = batchevidence.CallEvidence(self._versions, call, now)
        read_report = self._start(self._report_read(state, call))
        try:
            results = await self._client.run(call.record, calls, timeout_ms)
        except exceptions.EndpointError as error:
            evidence.record_error(error)
            busy = isinstance(error, exceptions.EndpointBusy)
            outcome = "busy" if busy else "lost"
            self._fail_call(state, call, busy)
        else:
            evidence.record_results(results)
            failures.update(
                result.failure.value for result in results if result.failure
            )
            self._finish_call(state, call, results)
        finally:
            read_report.cancel()
            evidence.end(self._clock.now(), state.planner.batching)
        millis = self._clock.now() - now
        self._metrics.count(
            metric_types.Metric.BATCH_CALLS, call.record.pool, outcome
        )
        self._metrics.count(
            metric_types.Metric.BATCH_ITEMS,
            call.record.pool,
            outcome,
            by=len(calls),
        )
        events.log_event(
            _LOGGER,
            events.Event.BATCH_CALL_ENDED,
            pool=call.record.pool,
            endpoint=call.record.endpoint,
            outcome=outcome,
            pieces=len(calls),
            waiting=state.planner.count_waiting_items(),
            failures=dict(failures),
            room_bytes=state.planner.free_result_bytes(
                call.record.endpoint, now
            ),
            requests=[part.job.request for part in call.parts],
            expected_ms=round(call.expected_ms),
            millis=round(millis),
        )
        state.wake.set()

    async def _report_read(
        self, state: batchpools.PoolState, call: batchjobs.BatchCall
    ) -> None:
        """Report to submitters when a call has probably read its inputs.

        Space for results is scarce: kept until the call ends, inputs would
        take it for twice as long as they are read.
        """
        await self._clock.sleep(state.planner.estimate_read_ms(call))
        for job in state.planner.record_inputs_read(call):
            send_update = state.senders.get(job.name)
            if send_update is not None:
                send_update(batchmessages.BatchInputsRead(job.name))

    def _fail_call(
        self,
        state: batchpools.PoolState,
        call: batchjobs.BatchCall,
        busy: bool,
    ) -> None:
        for job in state.planner.fail(call, busy, self._clock.now()):
            self._end_failed_job(state, job)

    def _finish_call(
        self,
        state: batchpools.PoolState,
        call: batchjobs.BatchCall,
        results: list[batches.ItemResult],
    ) -> None:
        now = self._clock.now()
        handles = [result.handle for result in results]
        done, unused = state.planner.finish(call, handles, now)
        for job in done:
            self._end_job(state, job, None)
        if unused:
            self.free(call.record.pool, unused)
        # Late jobs, and those whose inputs are gone, can't be retried here.
        position = 0
        for part in call.parts:
            failures = {
                result.failure
                for result in results[
                    position : position + len(part.item_indexes)
                ]
                if result.failure is not None
            }
            position += len(part.item_indexes)
            for failure in (batches.Failure.INPUT_GONE, batches.Failure.LATE):
                if failure in failures and state.planner.drop(part.job.name):
                    self._end_job(state, part.job, failure)
        without_space = sum(
            result.failure is batches.Failure.OUT_OF_SPACE
            for result in results
        )
        for job in state.planner.requeue_missing(call, without_space, now):
            self._end_failed_job(state, job)

    def _end_failed_job(
        self, state: batchpools.PoolState, job: batchjobs.Job
    ) -> None:
        """End a job that failed too often.

        If its inputs have been freed, the stages before it must run again.
        """
        gone = batches.Failure.INPUT_GONE
        self._end_job(
            state, job, gone if job.inputs_released else batches.Failure.ERROR
        )

    def _end_job(
        self,
        state: batchpools.PoolState,
        job: batchjobs.Job,
        failure: batches.Failure | None,
    ) -> None:
        """Send the result of a job; free partial results if it failed."""
        handles = () if failure else tuple(job.handles)
        result = batchmessages.BatchJobResult(job.name, handles, failure)
        if failure and any(job.handles):
            pool = self._pool_by_job.get(job.name)
            if pool is not None:
                self.free(pool, filter(None, job.handles))
        self._finished[job.name] = (self._clock.now(), result)
        self._pool_by_job.pop(job.name, None)
        send_update = state.senders.pop(job.name, None)
        if send_update is not None:
            send_update(result)

    def _forget_finished(self, now: float) -> None:
        while self._finished:
            name, (finished_at, _) = next(iter(self._finished.items()))
            if now - finished_at < RESULT_RETENTION_MS:
                return
            del self._finished[name]
