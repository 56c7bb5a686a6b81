"""Has the pieces made that go before a request."""

import asyncio
import itertools
import logging

import mode
import msgspec

from chervilshore.clients import peers as peer_types
from chervilshore.clients import pieces
from chervilshore import clock as clocks
from chervilshore.controllers import batching
from chervilshore.controllers import directory as directories
from chervilshore.decisions import backlog
from chervilshore.decisions import owners
from chervilshore.decisions import placing
from chervilshore.decisions import schedule
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import ids
from chervilshore import messages
from chervilshore import piecemessages
from chervilshore import records
from chervilshore import results

ACCEPT_MS = 250.0
"""Milliseconds that a keeper has to take a job on."""

CHECK_MS = 700.0
"""Milliseconds after which a keeper is asked about a job once more."""

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

SUBMIT_TRIES = 4
"""Keepers that are tried for one job."""

SILENT_MS = 2000.0
"""Milliseconds for which a keeper that did not answer is passed over."""

_LOGGER = logging.getLogger(__name__)


class Prepared(msgspec.Struct):
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


class StepFailed(exceptions.ChervilshoreError):
    """A step has no result.

    Parameters
    ----------
    failure : Failure
        Why.
    """

    def __init__(self, failure: pieces.Failure) -> None:
        super().__init__(failure.value)
        self.failure = failure


class Preparer(mode.Service):
    """Asks the keepers of preparing pools for a request's pieces.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    peers : Peers
        Carries the messages.
    directory : Directory
        The hosts.
    keeper : BatchKeeper
        Looks after the pools of this host.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        peers: peer_types.Peers,
        directory: directories.Directory,
        keeper: batching.BatchKeeper,
    ) -> None:
        super().__init__()
        self._host = host
        self._clock = clock
        self._peers = peers
        self._directory = directory
        self._keeper = keeper
        self._numbers = itertools.count()
        self._life = f"{clock.wall():.0f}"
        self._waiting: dict[str, asyncio.Future] = {}
        self._backlog = backlog.Backlog()
        self._silent: dict[ids.HostId, float] = {}

    async def on_start(self) -> None:
        """Take messages."""
        self._peers.handle(
            piecemessages.PiecesMade, lambda _, made: self._hear_made(made)
        )

    def _hear_made(self, made: piecemessages.PiecesMade) -> None:
        future = self._waiting.get(made.job)
        if future is not None and not future.done():
            future.set_result(made)

    async def prepare(self, exchange: base.Exchange) -> Prepared:
        """Have all pieces of a request made.

        Raises
        ------
        exceptions.RefusalError
            They cannot be had in time.
        """
        for tries_left in reversed(range(MOST_REDOS + 1)):
            try:
                return await self._prepare_once(exchange)
            except StepFailed as error:
                gone = error.failure is pieces.Failure.INPUT_GONE
                if gone and tries_left:
                    continue
                raise exceptions.RefusalError(
                    results.Code.DEADLINE_HOPELESS,
                    f"preparation: {error}",
                    RETRY_MS,
                ) from error

    async def _prepare_once(self, exchange: base.Exchange) -> Prepared:
        steps = self._plan(exchange)
        prepared = Prepared()
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
            self.release(prepared)
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
            lambda pool: self._backlog.find(pool, now).timely_ms,
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
                self._backlog.find(step.pool, now).late_ms for step in steps
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
        prepared: Prepared,
        home: ids.DomainId,
    ) -> None:
        tasks: dict[int, asyncio.Task] = {}
        readers = schedule.count_readers(steps)
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
        prepared: Prepared,
        readers: dict[int, int],
        home: ids.DomainId,
    ) -> tuple[str, ...]:
        inputs: list[str] = []
        for task in needed:
            inputs += await asyncio.shield(task)
        ask = self._make_ask(exchange, step, tuple(inputs), home)
        made = await self._submit(ask)
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
            raise StepFailed(made.failure)
        prepared.made[step.stage] = made.handles
        for other in step.after:
            readers[other] -= 1
            if not readers[other]:
                # Their room is wanted for the results of other requests.
                self._free(prepared, other)
        return made.handles

    def _make_ask(
        self,
        exchange: base.Exchange,
        step: schedule.Step,
        inputs: tuple[str, ...],
        home: ids.DomainId,
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
            domain=home,
        )

    async def _submit(
        self, ask: piecemessages.PiecesAsk
    ) -> piecemessages.PiecesMade:
        """Find a keeper and wait for the job's end."""
        began = self._clock.now()
        future = asyncio.get_running_loop().create_future()
        self._waiting[ask.job] = future
        silent: set[ids.HostId] = set()
        keeper: records.HostRecord | None = None
        try:
            while len(silent) < SUBMIT_TRIES:
                keeper = self._choose_keeper(ask.pool, silent)
                passed = self._clock.now() - began
                sent = msgspec.structs.replace(
                    ask,
                    due_ms=ask.due_ms - passed,
                    left_ms=ask.left_ms - passed,
                )
                if sent.left_ms <= 0.0:
                    return _make_failed(ask, pieces.Failure.LATE)
                if not await self._offer(keeper, sent):
                    silent.add(keeper.host)
                    continue
                if not await self._wait(future):
                    continue
                if future.result().failure is not pieces.Failure.MOVED:
                    return future.result()
                silent.add(keeper.host)
                future = asyncio.get_running_loop().create_future()
                self._waiting[ask.job] = future
            return _make_failed(ask, pieces.Failure.ERROR)
        finally:
            del self._waiting[ask.job]
            if not future.done() and keeper is not None:
                self._drop(keeper, ask.job)

    async def _wait(self, future: asyncio.Future) -> bool:
        try:
            await clocks.wait_for(
                self._clock, asyncio.shield(future), CHECK_MS
            )
        except TimeoutError:
            return False
        return True

    async def _offer(
        self, keeper: records.HostRecord, ask: piecemessages.PiecesAsk
    ) -> bool:
        if keeper.host == self._host:
            taken = self._keeper.take(ask, self._hear_made)
            return self._note_taken(ask.pool, taken)
        try:
            taken = await self._peers.ask(keeper.peer_address, ask, ACCEPT_MS)
        except exceptions.PeerError as error:
            self._silent[keeper.host] = self._clock.now() + SILENT_MS
            events.log_event(
                _LOGGER,
                events.Event.BATCH_KEEPER_SILENT,
                request=ask.request,
                keeper=keeper.host,
                pool=ask.pool,
                error=error,
            )
            return False
        return self._note_taken(ask.pool, taken)

    def _note_taken(
        self, pool: ids.PoolName, taken: messages.Message | None
    ) -> bool:
        if not isinstance(taken, piecemessages.PiecesTaken):
            return False
        self._backlog.note(pool, taken.waits, self._clock.now())
        return True

    def _drop(self, keeper: records.HostRecord, job: str) -> None:
        if keeper.host == self._host:
            self._keeper.drop(job)
        else:
            self._peers.send(
                keeper.peer_address, piecemessages.PiecesDrop(job)
            )

    def _choose_keeper(
        self, pool: ids.PoolName, passed_over: set[ids.HostId]
    ) -> records.HostRecord:
        """Choose the keeper that all hosts choose, as far as it is known."""
        now = self._clock.now()
        hosts = self._directory.hosts()
        usable = [
            record
            for record in hosts
            if record.state is records.HostState.ALIVE
            and record.host not in passed_over
            and now >= self._silent.get(record.host, 0.0)
        ]
        return owners.choose_strong(usable, pool) or hosts[0]

    def release(self, prepared: Prepared) -> None:
        """Let the endpoints forget a request's results."""
        for stage in list(prepared.made):
            self._free(prepared, stage)

    def _free(self, prepared: Prepared, stage: int) -> None:
        handles = prepared.made.pop(stage)
        pool = prepared.pools[stage]
        keeper = self._choose_keeper(pool, set())
        if keeper.host == self._host:
            self._keeper.free(pool, handles)
        else:
            self._peers.send(
                keeper.peer_address, piecemessages.PiecesFree(pool, handles)
            )


def _make_failed(
    ask: piecemessages.PiecesAsk, failure: pieces.Failure
) -> piecemessages.PiecesMade:
    return piecemessages.PiecesMade(ask.job, (), failure)
