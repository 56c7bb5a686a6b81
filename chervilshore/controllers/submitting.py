"""Submits jobs to the owners of batch pools and awaits their results."""

import asyncio
from collections import abc as collections_abc
import enum
import logging
import math

import mode
import msgspec

from chervilshore import batchmessages
from chervilshore.clients import batches
from chervilshore.clients import peers as peer_types
from chervilshore import clock as clocks
from chervilshore.controllers import batching
from chervilshore.controllers import directory as directories
from chervilshore.decisions import backlog
from chervilshore.decisions import owners
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import records

ACCEPT_TIMEOUT_MS = 250.0
"""Milliseconds to wait until an owner accepts a job."""

CHECK_INTERVAL_MS = 700.0
"""Milliseconds after which an unfinished job is submitted to its owner again,
to check that the owner still has it."""

SILENT_CHECK_MS = 250.0
"""Milliseconds until an owner that did not answer a check is asked again."""

MAX_SILENCE_MS = 1500.0
"""Milliseconds for which an owner that has accepted a job may be silent. A
sound host can be: its process pauses, or its answers are lost."""

MAX_OWNERS_TRIED = 4
"""Owners to which one job is submitted before it fails."""

OWNER_BACKOFF_MS = 2000.0
"""Milliseconds for which an owner that did not answer is not chosen."""

_LOGGER = logging.getLogger(__name__)


class _Offer(enum.Enum):
    """What became of the offer of a job to an owner."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class _PendingJob:
    """A submitted job whose result is awaited."""

    def __init__(self, on_read: collections_abc.Callable[[], None]) -> None:
        self.is_read = False
        self._on_read = on_read
        self.reset()

    def mark_read(self) -> None:
        """Record that all inputs have been read and may be freed."""
        self.is_read = True
        self._on_read()

    def reset(self) -> None:
        """Await the result of another owner."""
        self.result = asyncio.get_running_loop().create_future()


class BatchPoolClient(mode.Service):
    """Submits jobs to the owners of batch pools, this host among them.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    peers : PeerTransport
        Carries messages to and from the other hosts.
    directory : Directory
        The hosts.
    service : BatchService
        Runs the pools that this host owns.

    Attributes
    ----------
    backlog : Backlog
        The estimates of waits that owners reported.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        peers: peer_types.PeerTransport,
        directory: directories.Directory,
        service: batching.BatchService,
    ) -> None:
        super().__init__()
        self.backlog = backlog.Backlog()
        self._host = host
        self._clock = clock
        self._peers = peers
        self._directory = directory
        self._service = service
        self._pending: dict[str, _PendingJob] = {}
        self._backoff_until: dict[ids.HostId, float] = {}

    async def on_start(self) -> None:
        """Register the handlers of messages."""
        self._peers.handle(
            batchmessages.BatchJobResult,
            lambda _, update: self._handle_update(update),
        )
        self._peers.handle(
            batchmessages.BatchInputsRead,
            lambda _, update: self._handle_update(update),
        )

    def _handle_update(
        self,
        update: batchmessages.BatchJobResult | batchmessages.BatchInputsRead,
    ) -> None:
        pending = self._pending.get(update.job)
        if pending is None:
            return
        if isinstance(update, batchmessages.BatchInputsRead):
            pending.mark_read()
        elif not pending.result.done():
            pending.result.set_result(update)

    async def submit(
        self,
        job_request: batchmessages.BatchJobRequest,
        on_read: collections_abc.Callable[[], None],
    ) -> batchmessages.BatchJobResult:
        """Submit a job to the owner of its pool and wait for its result.

        The job is submitted to another owner when one does not answer or
        hands the job back; if its inputs have been freed by then, it fails
        with `Failure.INPUT_GONE`. No host is tried twice: the job fails as
        soon as none is left.

        Parameters
        ----------
        job_request : BatchJobRequest
            The job.
        on_read : callable
            Called when all inputs of the job have been read and may be
            freed; at least once if that happens before the job ends.

        Returns
        -------
        BatchJobResult
            The results, or why there are none.
        """
        submitted = self._clock.now()
        pending = _PendingJob(on_read)
        self._pending[job_request.job] = pending
        failed_owners: set[ids.HostId] = set()
        owner: records.HostRecord | None = None
        try:
            while len(failed_owners) < MAX_OWNERS_TRIED:
                elapsed_ms = self._clock.now() - submitted
                updated = msgspec.structs.replace(
                    job_request,
                    due_ms=job_request.due_ms - elapsed_ms,
                    left_ms=job_request.left_ms - elapsed_ms,
                )
                # An owner that has the job keeps it, though another host may
                # be the first choice by now: two owners would run it twice.
                if owner is None:
                    if pending.is_read:
                        return _make_failed(
                            job_request, batches.Failure.INPUT_GONE
                        )
                    if updated.left_ms <= 0.0:
                        return _make_failed(job_request, batches.Failure.LATE)
                    owner = self._choose_owner(job_request.pool, failed_owners)
                    if owner is None:
                        break
                    heard_at = -math.inf
                offer = await self._offer(owner, updated)
                is_silent = self._is_only_silent(owner, offer, heard_at)
                if offer is _Offer.ACCEPTED:
                    heard_at = self._clock.now()
                if offer is _Offer.ACCEPTED or is_silent:
                    wait_ms = (
                        SILENT_CHECK_MS if is_silent else CHECK_INTERVAL_MS
                    )
                    if not await self._wait(pending.result, wait_ms):
                        continue
                    job_result = pending.result.result()
                    if job_result.failure is not batches.Failure.MOVED:
                        return job_result
                    pending.reset()
                failed_owners.add(owner.host)
                self._cancel(owner, job_request.job)
                owner = None
            return _make_failed(job_request, batches.Failure.ERROR)
        finally:
            del self._pending[job_request.job]
            if not pending.result.done() and owner is not None:
                self._cancel(owner, job_request.job)

    def _is_only_silent(
        self, owner: records.HostRecord, offer: _Offer, heard_at: float
    ) -> bool:
        """Return whether an owner may still run a job that it has accepted.

        Another owner would run what it has begun a second time.
        """
        if offer is not _Offer.UNANSWERED:
            return False
        if self._clock.now() - heard_at >= MAX_SILENCE_MS:
            return False
        return any(one.host == owner.host for one in self._directory.hosts())

    async def _wait(self, result: asyncio.Future, wait_ms: float) -> bool:
        """Wait for a result; return False when the next check is due."""
        try:
            await clocks.wait_for(self._clock, asyncio.shield(result), wait_ms)
        except TimeoutError:
            return False
        return True

    async def _offer(
        self,
        owner: records.HostRecord,
        job_request: batchmessages.BatchJobRequest,
    ) -> _Offer:
        """Submit a job to a host; return what became of it."""
        if owner.host == self._host:
            accepted = self._service.accept(job_request, self._handle_update)
            return self._record_accepted(job_request.pool, accepted)
        try:
            accepted = await self._peers.send_request(
                owner.peer_address, job_request, ACCEPT_TIMEOUT_MS
            )
        except exceptions.PeerError as error:
            self._backoff_until[owner.host] = (
                self._clock.now() + OWNER_BACKOFF_MS
            )
            events.log_event(
                _LOGGER,
                events.Event.BATCH_OWNER_UNREACHABLE,
                request=job_request.request,
                keeper=owner.host,
                pool=job_request.pool,
                error=error,
            )
            return _Offer.UNANSWERED
        return self._record_accepted(job_request.pool, accepted)

    def _record_accepted(
        self, pool: ids.PoolName, accepted: messages.Message | None
    ) -> _Offer:
        if not isinstance(accepted, batchmessages.BatchJobAccepted):
            return _Offer.REFUSED
        self.backlog.record_waits(pool, accepted.waits, self._clock.now())
        return _Offer.ACCEPTED

    def _cancel(self, owner: records.HostRecord, job: str) -> None:
        """Cancel a job at its owner."""
        if owner.host == self._host:
            self._service.cancel_job(job)
        else:
            self._peers.send(
                owner.peer_address, batchmessages.BatchJobCancelled(job)
            )

    def _choose_owner(
        self, pool: ids.PoolName, excluded: collections_abc.Set[ids.HostId]
    ) -> records.HostRecord | None:
        """Choose the owner of a pool among the hosts that are alive.

        Hosts with the same view choose the same owner. One that did not
        answer lately is chosen only if no other host is alive, and this host
        while it leaves only if none is.

        Returns
        -------
        HostRecord or None
            The owner; None if all hosts that may own it are excluded.
        """
        now = self._clock.now()
        hosts = [
            record
            for record in self._directory.hosts()
            if record.host not in excluded
        ]
        alive = [
            record
            for record in hosts
            if record.state is records.HostState.ALIVE
        ]
        answering = [
            record
            for record in alive
            if now >= self._backoff_until.get(record.host, 0.0)
        ]
        this_host = [record for record in hosts if record.host == self._host]
        return owners.choose_by_capacity(answering or alive or this_host, pool)

    def free(self, pool: ids.PoolName, handles: tuple[str, ...]) -> None:
        """Free results at the endpoints of a pool, through its owner."""
        owner = self._choose_owner(pool, frozenset())
        if owner is None or owner.host == self._host:
            self._service.free(pool, handles)
        else:
            self._peers.send(
                owner.peer_address,
                batchmessages.BatchResultsReleased(pool, handles),
            )


def _make_failed(
    job_request: batchmessages.BatchJobRequest, failure: batches.Failure
) -> batchmessages.BatchJobResult:
    return batchmessages.BatchJobResult(job_request.job, (), failure)
