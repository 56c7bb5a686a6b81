"""Takes jobs for pieces to the keepers of their pools, and back."""

import asyncio
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
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import piecemessages
from chervilshore import records

ACCEPT_MS = 250.0
"""Milliseconds that a keeper has to take a job on."""

CHECK_MS = 700.0
"""Milliseconds after which a keeper is asked about a job once more."""

SUBMIT_TRIES = 4
"""Keepers that are tried for one job."""

SILENT_MS = 2000.0
"""Milliseconds for which a keeper that did not answer is passed over."""

_LOGGER = logging.getLogger(__name__)


class Keepers(mode.Service):
    """The keepers of preparing pools, this host's own among them.

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

    Attributes
    ----------
    backlog : Backlog
        What keepers said of their queues.
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
        self.backlog = backlog.Backlog()
        self._host = host
        self._clock = clock
        self._peers = peers
        self._directory = directory
        self._keeper = keeper
        self._waiting: dict[str, asyncio.Future] = {}
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

    async def submit(
        self, ask: piecemessages.PiecesAsk
    ) -> piecemessages.PiecesMade:
        """Find a keeper and wait for the job's end.

        Returns
        -------
        PiecesMade
            The results, or why there are none.
        """
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
        self.backlog.note(pool, taken.waits, self._clock.now())
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

    def free(self, pool: ids.PoolName, handles: tuple[str, ...]) -> None:
        """Let the endpoints of a pool forget results."""
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
