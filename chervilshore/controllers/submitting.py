"""Takes jobs for pieces to the keepers of their pools, and back."""

import asyncio
from collections import abc as collections_abc
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


class _Waiting:
    """One job that is waited for."""

    def __init__(self, on_read: collections_abc.Callable[[], None]) -> None:
        self.is_read = False
        self._on_read = on_read
        self.expect_again()

    def note_read(self) -> None:
        """Learn that the inputs need not be kept any more."""
        self.is_read = True
        self._on_read()

    def expect_again(self) -> None:
        """Wait for another keeper's word."""
        self.made = asyncio.get_running_loop().create_future()


class Keepers(mode.Service):
    """The keepers of preparing pools, this host's own among them.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    peers : PeerTransport
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
        peers: peer_types.PeerTransport,
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
        self._waiting: dict[str, _Waiting] = {}
        self._silent: dict[ids.HostId, float] = {}

    async def on_start(self) -> None:
        """Take messages."""
        self._peers.handle(
            piecemessages.PiecesMade, lambda _, made: self._hear(made)
        )
        self._peers.handle(
            piecemessages.PiecesRead, lambda _, read: self._hear(read)
        )

    def _hear(
        self, news: piecemessages.PiecesMade | piecemessages.PiecesRead
    ) -> None:
        waiting = self._waiting.get(news.job)
        if waiting is None:
            return
        if isinstance(news, piecemessages.PiecesRead):
            waiting.note_read()
        elif not waiting.made.done():
            waiting.made.set_result(news)

    async def submit(
        self,
        send_request: piecemessages.PiecesAsk,
        on_read: collections_abc.Callable[[], None],
    ) -> piecemessages.PiecesMade:
        """Find a keeper and wait for the job's end.

        Parameters
        ----------
        ask : PiecesAsk
            The job.
        on_read : callable
            Is called when the job's inputs need not be kept any more; once
            at least if they are read and it does not end before.

        Returns
        -------
        PiecesMade
            The results, or why there are none.
        """
        began = self._clock.now()
        waiting = _Waiting(on_read)
        self._waiting[send_request.job] = waiting
        silent: set[ids.HostId] = set()
        keeper: records.HostRecord | None = None
        try:
            while len(silent) < SUBMIT_TRIES:
                passed = self._clock.now() - began
                sent = msgspec.structs.replace(
                    send_request,
                    due_ms=send_request.due_ms - passed,
                    left_ms=send_request.left_ms - passed,
                )
                # A keeper that has the job is kept, though another one may
                # be the first choice by now: two would make it twice.
                if keeper is None:
                    if waiting.is_read:
                        return _make_failed(send_request, pieces.Failure.INPUT_GONE)
                    if sent.left_ms <= 0.0:
                        return _make_failed(send_request, pieces.Failure.LATE)
                    keeper = self._choose_keeper(send_request.pool, silent)
                if await self._offer(keeper, sent):
                    if not await self._wait(waiting.made):
                        continue
                    made = waiting.made.result()
                    if made.failure is not pieces.Failure.MOVED:
                        return made
                    waiting.expect_again()
                silent.add(keeper.host)
                self._drop(keeper, send_request.job)
                keeper = None
            return _make_failed(send_request, pieces.Failure.ERROR)
        finally:
            del self._waiting[send_request.job]
            if not waiting.made.done() and keeper is not None:
                self._drop(keeper, send_request.job)

    async def _wait(self, future: asyncio.Future) -> bool:
        try:
            await clocks.wait_for(
                self._clock, asyncio.shield(future), CHECK_MS
            )
        except TimeoutError:
            return False
        return True

    async def _offer(
        self, keeper: records.HostRecord, send_request: piecemessages.PiecesAsk
    ) -> bool:
        if keeper.host == self._host:
            taken = self._keeper.take(send_request, self._hear)
            return self._note_taken(send_request.pool, taken)
        try:
            taken = await self._peers.send_request(keeper.peer_address, send_request, ACCEPT_MS)
        except exceptions.PeerError as error:
            self._silent[keeper.host] = self._clock.now() + SILENT_MS
            events.log_event(
                _LOGGER,
                events.Event.BATCH_KEEPER_SILENT,
                request=send_request.request,
                keeper=keeper.host,
                pool=send_request.pool,
                error=error,
            )
            return False
        return self._note_taken(send_request.pool, taken)

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
    send_request: piecemessages.PiecesAsk, failure: pieces.Failure
) -> piecemessages.PiecesMade:
    return piecemessages.PiecesMade(send_request.job, (), failure)
