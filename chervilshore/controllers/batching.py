"""Keeps the pieces of all hosts for the pools that this host looks after."""

import asyncio
import collections
from collections import abc as collections_abc
import logging

import mode

from chervilshore.clients import peers as peer_types
from chervilshore.clients import pieces
from chervilshore import clock as clocks
from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import directory as directories
from chervilshore.controllers import freeing
from chervilshore.decisions import backlog
from chervilshore.decisions import batches
from chervilshore.decisions import piecejobs
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import metrics as metric_types
from chervilshore import piecemessages

CALL_FACTOR = 6.0
"""Times the expected time for which a call is awaited: slow endpoints have
been seen to take five times as long."""

CALL_SLACK_MS = 500.0
"""Milliseconds added to that."""

KEPT_MS = 5000.0
"""Milliseconds for which a result is told again to a host that asks."""

_LOGGER = logging.getLogger(__name__)

Report = collections_abc.Callable[
    [piecemessages.PiecesMade | piecemessages.PiecesRead], None
]
"""Takes news of a job to the host that asked for it."""


class _Keep:
    """One pool that is looked after."""

    def __init__(self, planner: batches.BatchPlanner) -> None:
        self.planner = planner
        self.reports: dict[str, Report] = {}
        self.wake = asyncio.Event()

    def note_freed(self, endpoint: ids.EndpointId, handles: list[str]) -> None:
        """Plan with the room of results that are given up."""
        self.planner.note_freed(endpoint, handles)
        self.wake.set()


class BatchKeeper(mode.Service):
    """Plans and makes the calls of preparing pools.

    Parameters
    ----------
    clock : Clock
        The time.
    peers : PeerTransport
        Carries the messages.
    directory : Directory
        The endpoints.
    configuration : Configuration
        The rules in force.
    client : PieceClient
        Makes the calls.
    metrics : Metrics
        Counts calls and pieces.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        peers: peer_types.PeerTransport,
        directory: directories.Directory,
        configuration: configurations.Configuration,
        client: pieces.PieceClient,
        metrics: metric_types.Metrics,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._peers = peers
        self._directory = directory
        self._configuration = configuration
        self._client = client
        self._freer = freeing.ResultFreer(clock, directory, client)
        self._metrics = metrics
        self._keeps: dict[ids.PoolName, _Keep] = {}
        self._ended: dict[str, tuple[float, piecemessages.PiecesMade]] = {}
        self._pool_of: dict[str, ids.PoolName] = {}
        self._running: set[asyncio.Task] = set()
        self._leaving = False

    async def on_start(self) -> None:
        """Take messages."""
        self._peers.handle(piecemessages.PiecesAsk, self._hear_ask)
        self._peers.handle(
            piecemessages.PiecesDrop, lambda _, drop: self.drop(drop.job)
        )
        self._peers.handle(
            piecemessages.PiecesFree,
            lambda _, free: self.free(free.pool, free.handles),
        )

    async def on_stop(self) -> None:
        """End what runs."""
        self._freer.stop()
        for task in tuple(self._running):
            task.cancel()

    def leave(self) -> None:
        """Send what waits to other keepers, and take on nothing more."""
        self._leaving = True
        for keep in self._keeps.values():
            for job in keep.planner.give_up_waiting():
                self._end(keep, job, pieces.Failure.MOVED)

    def _hear_ask(
        self, sender: ids.Address, ask: piecemessages.PiecesAsk
    ) -> piecemessages.PiecesTaken | None:
        def report(news: messages.Message) -> None:
            self._peers.send(sender, news)

        return self.take(ask, report)

    def take(
        self, ask: piecemessages.PiecesAsk, report: Report
    ) -> piecemessages.PiecesTaken | None:
        """Take a job on, or tell its end once more.

        Returns
        -------
        PiecesTaken or None
            Nothing when the pool is not known here, or the host leaves.
        """
        now = self._clock.now()
        self._forget_ended(now)
        ended = self._ended.get(ask.job)
        if ended is not None:
            report(ended[1])
            return piecemessages.PiecesTaken(backlog.Waits())
        keep = self._find_keep(ask.pool)
        if keep is None:
            return None
        if self._leaving and ask.job not in keep.planner.jobs:
            return None
        keep.reports[ask.job] = report
        waits = keep.planner.estimate_waits(now)
        if ask.job not in keep.planner.jobs:
            self._pool_of[ask.job] = ask.pool
            keep.planner.add(_make_job(ask, now))
            keep.wake.set()
        return piecemessages.PiecesTaken(waits)

    def drop(self, job: str) -> None:
        """Forget a job that is not needed any more."""
        pool = self._pool_of.pop(job, None)
        if pool is not None:
            keep = self._keeps[pool]
            dropped = keep.planner.drop(job)
            keep.reports.pop(job, None)
            if dropped is not None:
                self.free(pool, filter(None, dropped.handles))

    def free(
        self, pool: ids.PoolName, handles: collections_abc.Iterable[str]
    ) -> None:
        """Give results up, and plan with their room."""
        keep = self._find_keep(pool)
        if keep is not None:
            self._freer.free(pool, handles, keep.note_freed)

    def _find_keep(self, pool: ids.PoolName) -> _Keep | None:
        rule = self._configuration.rules.pools.get(pool)
        if rule is None or rule.batching is None:
            return None
        keep = self._keeps.get(pool)
        if keep is None:
            keep = _Keep(batches.BatchPlanner(rule.batching))
            self._keeps[pool] = keep
            self._start(self._run_keep(pool, keep))
        keep.planner.batching = rule.batching
        return keep

    def _start(self, coroutine: collections_abc.Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._running.add(task)
        task.add_done_callback(self._forget_task)
        return task

    def _forget_task(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error("background task failed", exc_info=task.exception())

    async def _run_keep(self, pool: ids.PoolName, keep: _Keep) -> None:
        while True:
            now = self._clock.now()
            self._refresh(pool, keep)
            for job in keep.planner.expire(now):
                self._end(keep, job, pieces.Failure.LATE)
            for call in keep.planner.plan(now):
                self._start(self._make_call(keep, call))
            for job in keep.planner.take_failed():
                self._end_failed(keep, job)
            keep.wake.clear()
            await self._wait(keep)

    async def _wait(self, keep: _Keep) -> None:
        moment = keep.planner.next_moment(self._clock.now())
        if moment is None:
            await keep.wake.wait()
            return
        left = moment - self._clock.now()
        try:
            await clocks.wait_for(self._clock, keep.wake.wait(), left + 1.0)
        except TimeoutError:
            # It is time to plan again.
            return

    def _refresh(self, pool: ids.PoolName, keep: _Keep) -> None:
        rules = self._configuration.rules
        keep.planner.set_endpoints(
            record
            for record in self._directory.endpoints(pool)
            if rules.is_open(record)
        )

    async def _make_call(self, keep: _Keep, call: piecejobs.BatchCall) -> None:
        now = self._clock.now()
        asked = [
            pieces.PieceCall(
                request=part.job.request,
                stage=part.job.stage,
                piece=piece,
                left_ms=part.job.deadline - now,
                key=part.job.key,
                inputs=part.job.inputs,
            )
            for part in call.parts
            for piece in part.pieces
        ]
        limit = CALL_FACTOR * call.expected_ms + CALL_SLACK_MS
        outcome = "made"
        failures: collections.Counter[str] = collections.Counter()
        reading = self._start(self._tell_read(keep, call))
        try:
            found = await self._client.run(call.record, asked, limit)
        except exceptions.EndpointError as error:
            busy = isinstance(error, exceptions.EndpointBusy)
            outcome = "busy" if busy else "lost"
            self._fail(keep, call, busy)
        else:
            failures.update(one.failure.value for one in found if one.failure)
            self._finish(keep, call, found)
        finally:
            reading.cancel()
        millis = self._clock.now() - now
        self._metrics.count(
            metric_types.Metric.BATCHES, call.record.pool, outcome
        )
        self._metrics.count(
            metric_types.Metric.PIECES,
            call.record.pool,
            outcome,
            by=len(asked),
        )
        events.log_event(
            _LOGGER,
            events.Event.PIECES_CALLED,
            pool=call.record.pool,
            endpoint=call.record.endpoint,
            outcome=outcome,
            pieces=len(asked),
            waiting=keep.planner.count_waiting(),
            failures=dict(failures),
            room_bytes=keep.planner.count_room(call.record.endpoint, now),
            requests=[part.job.request for part in call.parts],
            expected_ms=round(call.expected_ms),
            millis=round(millis),
        )
        keep.wake.set()

    async def _tell_read(self, keep: _Keep, call: piecejobs.BatchCall) -> None:
        """Tell those who asked when the inputs are not needed any more.

        Their room is scarce: kept until the call ends, results of a step
        would be there twice as long as they are read.
        """
        await self._clock.sleep(keep.planner.expect_read_ms(call))
        for job in keep.planner.note_read(call):
            report = keep.reports.get(job.name)
            if report is not None:
                report(piecemessages.PiecesRead(job.name))

    def _fail(
        self, keep: _Keep, call: piecejobs.BatchCall, busy: bool
    ) -> None:
        for job in keep.planner.fail(call, busy, self._clock.now()):
            self._end_failed(keep, job)

    def _finish(
        self,
        keep: _Keep,
        call: piecejobs.BatchCall,
        found: list[pieces.PieceResult],
    ) -> None:
        now = self._clock.now()
        handles = [one.handle for one in found]
        done, spare = keep.planner.finish(call, handles, now)
        for job in done:
            self._end(keep, job, None)
        if spare:
            self.free(call.record.pool, spare)
        position = 0
        for part in call.parts:
            failures = {
                one.failure
                for one in found[position : position + len(part.pieces)]
                if one.failure is not None
            }
            position += len(part.pieces)
            for failure in (pieces.Failure.INPUT_GONE, pieces.Failure.LATE):
                if failure in failures and keep.planner.drop(part.job.name):
                    self._end(keep, part.job, failure)
        crowded = sum(one.failure is pieces.Failure.NO_ROOM for one in found)
        for job in keep.planner.retry_missing(call, crowded, now):
            self._end_failed(keep, job)

    def _end_failed(self, keep: _Keep, job: piecejobs.Job) -> None:
        gone = pieces.Failure.INPUT_GONE
        self._end(keep, job, gone if job.is_read else pieces.Failure.ERROR)

    def _end(
        self,
        keep: _Keep,
        job: piecejobs.Job,
        failure: pieces.Failure | None,
    ) -> None:
        handles = () if failure else tuple(job.handles)
        made = piecemessages.PiecesMade(job.name, handles, failure)
        if failure and any(job.handles):
            pool = self._pool_of.get(job.name)
            if pool is not None:
                self.free(pool, filter(None, job.handles))
        self._ended[job.name] = (self._clock.now(), made)
        self._pool_of.pop(job.name, None)
        report = keep.reports.pop(job.name, None)
        if report is not None:
            report(made)

    def _forget_ended(self, now: float) -> None:
        while self._ended:
            name, (moment, _) = next(iter(self._ended.items()))
            if now - moment < KEPT_MS:
                return
            del self._ended[name]


def _make_job(ask: piecemessages.PiecesAsk, now: float) -> piecejobs.Job:
    return piecejobs.Job(
        name=ask.job,
        request=ask.request,
        stage=ask.stage,
        count=ask.count,
        key=ask.key,
        inputs=ask.inputs,
        priority=ask.priority,
        due=now + ask.due_ms,
        deadline=now + ask.left_ms,
        result_bytes=ask.result_bytes,
        domain=ask.domain,
        far_bytes=ask.far_bytes,
        input_bytes=ask.input_bytes,
    )
