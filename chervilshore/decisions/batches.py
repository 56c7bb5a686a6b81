"""Which pieces of work go together to which endpoint, and when.

An endpoint of a preparing pool makes one call at a time, and a call costs
a fixed time before its first piece. One planner for a pool therefore
collects the pieces of all hosts and fills a call whenever an endpoint is
free.
"""

from collections import abc as collections_abc
import enum
import math

import msgspec

from chervilshore.decisions import backlog
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

PRIORITY_MS = 300.0
"""Milliseconds by which one step of priority moves a piece ahead or back."""

SPEED_WEIGHT = 0.4
"""The weight of one call in an endpoint's speed."""

LATE_FACTOR = 2.0
"""Times the expected time after which a call's pieces go elsewhere too."""

LATE_SLACK_MS = 250.0
"""Milliseconds added to that, for the way and for small calls."""

MOST_TRIES = 3
"""Calls that one piece may be part of."""

BACKOFF_MS = 60.0
"""Milliseconds for which a full endpoint is not asked again."""

CROWDED_REST_MS = 200.0
"""Milliseconds for which an endpoint without any room is not asked again;
results of a lost keeper take up to four seconds to lapse."""

SHARE_MS = 1500.0
"""Milliseconds over which the share of timely work is averaged."""

LEAST_SPARE = 0.1
"""The part of a pool that is taken to be left for late work in any case."""

CROWDED_MS = 600.0
"""Milliseconds for which an endpoint counts as fuller than it seemed."""

FAILED_MS = 700.0
"""Milliseconds for which an endpoint rests after a first lost call."""

MOST_FAILED_MS = 5000.0
"""Milliseconds for which an endpoint rests at most."""

NEAR_BYTES = 200_000
"""Bytes of a result from which it should be made near its reader."""

NEAR_SLACK_MS = 80.0
"""Milliseconds that must be left besides to wait for an endpoint there."""

ROOM_PART = 0.97
"""The part of the room for results that is planned with, as their sizes are
known only about."""

SLOW_SPEED = 2.0
"""Times the usual duration from which an endpoint is left while others
are free soon."""

SPEED_REST_MS = 4000.0
"""Milliseconds after which a slow endpoint is tried with a small call."""


class State(enum.Enum):
    """Where a piece stands."""

    WAITING = "waiting"
    CALLED = "called"
    DONE = "done"


class Job(msgspec.Struct, eq=False):
    """The pieces that one preparation of a request needs.

    Parameters
    ----------
    name : str
        Unique among all hosts.
    request : RequestId
        The request.
    stage : int
        The position of the preparation.
    count : int
        Its pieces.
    key : str
        What the pieces work on, when they have no inputs.
    inputs : tuple of str
        The results that they work on.
    priority : int
        Lower goes first.
    due : float
        The moment by which its call must begin to reach the objective.
    deadline : float
        The moment by which its call must begin to be of use at all.
    result_bytes : int
        Bytes of one result, about.
    domain : DomainId
        Where the results will be read; empty when that is open.

    Attributes
    ----------
    handles : list of str
        The results, empty where there is none yet.
    waiting : set of int
        Pieces that are in no call.
    tries : int
        Calls that brought nothing for it.
    """

    name: str
    request: ids.RequestId
    stage: int
    count: int
    key: str = ""
    inputs: tuple[str, ...] = ()
    priority: int = 5
    due: float = 0.0
    deadline: float = 0.0
    result_bytes: int = 0
    domain: ids.DomainId = ids.DomainId("")
    handles: list[str] = []
    waiting: set[int] = set()
    tries: int = 0

    def __post_init__(self) -> None:
        self.handles = [""] * self.count
        self.waiting = set(range(self.count))

    @property
    def is_done(self) -> bool:
        """Whether every piece has its result."""
        return all(self.handles)


class Part(msgspec.Struct, frozen=True, eq=False):
    """Some pieces of a job within a call."""

    job: Job
    pieces: tuple[int, ...]


class BatchCall(msgspec.Struct, eq=False):
    """A call to an endpoint.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint.
    parts : list of Part
        The pieces.
    began : float
        The moment at which it begins.
    expected_ms : float
        Milliseconds that it should take.
    released : bool
        Whether its pieces wait for another call, as it takes too long.
    """

    record: records.EndpointRecord
    parts: list[Part]
    began: float
    expected_ms: float
    released: bool = False

    @property
    def size(self) -> int:
        """The number of its pieces."""
        return sum(len(part.pieces) for part in self.parts)


class _Worker:
    """What is known of one endpoint."""

    def __init__(self, record: records.EndpointRecord) -> None:
        self.record = record
        self.call: BatchCall | None = None
        self.speed = 1.0
        self.rests_until = 0.0
        self.failures = 0
        self.results: dict[str, tuple[float, int]] = {}

    def used_bytes(self, now: float) -> int:
        gone = [name for name, (end, _) in self.results.items() if end <= now]
        for name in gone:
            del self.results[name]
        return sum(size for _, size in self.results.values())


class BatchPlanner:
    """Plans the calls of one pool.

    Parameters
    ----------
    batching : Batching
        How the pool's endpoints take pieces.

    Attributes
    ----------
    jobs : dict of str to Job
        The jobs that are not done.
    """

    def __init__(self, batching: model.Batching) -> None:
        self.batching = batching
        self.jobs: dict[str, Job] = {}
        self._workers: dict[ids.EndpointId, _Worker] = {}
        self._timely = 0.0
        self._faded = 0.0

    def set_endpoints(
        self, found: collections_abc.Iterable[records.EndpointRecord]
    ) -> None:
        """Name the endpoints that may be used."""
        kept = {}
        for record in found:
            worker = self._workers.get(record.endpoint)
            if worker is None or worker.record.instance != record.instance:
                worker = _Worker(record)
            worker.record = record
            kept[record.endpoint] = worker
        self._workers = kept

    def add(self, job: Job) -> None:
        """Take a job on."""
        self.jobs[job.name] = job

    def drop(self, name: str) -> Job | None:
        """Forget a job; pieces in a call are made in vain."""
        return self.jobs.pop(name, None)

    def give_up_waiting(self) -> list[Job]:
        """Take the jobs of which nothing has been called for."""
        found = [
            job for job in self.jobs.values() if len(job.waiting) == job.count
        ]
        for job in found:
            del self.jobs[job.name]
        return found

    def expect_ms(self, pieces: int, speed: float = 1.0) -> float:
        """Tell the milliseconds that a call with so many pieces takes."""
        batching = self.batching
        return speed * (batching.call_ms + batching.piece_ms * pieces)

    def estimate_waits(self, now: float) -> backlog.Waits:
        """Tell for how long new jobs wait for their call, about."""
        usable = [
            worker
            for worker in self._workers.values()
            if worker.rests_until <= now and worker.speed < SLOW_SPEED
        ]
        whole = self.expect_ms(self.batching.most)
        if not usable:
            return backlog.Waits(whole, whole)
        timely = late = 0
        for job in self.jobs.values():
            if now <= job.due:
                timely += len(job.waiting)
            else:
                late += len(job.waiting)
        free = min(self._left_ms(worker, now) for worker in usable)
        each = whole / self.batching.most / len(usable)
        spare = max(LEAST_SPARE, 1.0 - self._count_share(now, each))
        return backlog.Waits(
            free + timely * each, free + (timely + late) * each / spare
        )

    def _count_share(self, now: float, each_ms: float) -> float:
        """Tell the part of the pool that timely work takes."""
        self._fade(now)
        return self._timely * each_ms / SHARE_MS

    def _fade(self, now: float) -> None:
        passed = max(0.0, now - self._faded)
        self._timely *= math.exp(-passed / SHARE_MS)
        self._faded = now

    def _left_ms(self, worker: _Worker, now: float) -> float:
        call = worker.call
        if call is None:
            return 0.0
        return max(0.0, call.began + call.expected_ms - now)

    def expire(self, now: float) -> list[Job]:
        """Take the jobs whose waiting pieces come too late."""
        late = [
            job
            for job in self.jobs.values()
            if job.waiting and now >= job.deadline
        ]
        for job in late:
            del self.jobs[job.name]
        return late

    def plan(self, now: float) -> list[BatchCall]:
        """Fill a call for each endpoint that is free."""
        self._release_late(now)
        calls = []
        waiting = self._sort(now)
        for worker in self._list_free(now):
            if not waiting:
                break
            call = self._fill(worker, waiting, now)
            if call is not None:
                calls.append(call)
            waiting = [job for job in waiting if job.waiting]
        return calls

    def next_moment(self, now: float) -> float | None:
        """Tell when to plan again though nothing has happened."""
        moments = []
        for worker in self._workers.values():
            call = worker.call
            if call is not None and not call.released:
                moments.append(call.began + self._late_ms(call))
            elif worker.rests_until > now:
                moments.append(worker.rests_until)
        moments += [job.deadline for job in self.jobs.values() if job.waiting]
        return min((one for one in moments if one > now), default=None)

    def _late_ms(self, call: BatchCall) -> float:
        return LATE_FACTOR * call.expected_ms + LATE_SLACK_MS

    def _release_late(self, now: float) -> None:
        """Let pieces of calls that take too long go elsewhere too."""
        for worker in self._workers.values():
            call = worker.call
            if call is None or call.released:
                continue
            if now >= call.began + self._late_ms(call):
                call.released = True
                worker.speed = max(worker.speed, SLOW_SPEED)
                self._return_pieces(call)

    def _return_pieces(
        self, call: BatchCall, counts: bool = True
    ) -> list[Job]:
        """Let a call's pieces wait again; tell which jobs have failed."""
        failed = []
        for part in call.parts:
            job = self.jobs.get(part.job.name)
            if job is not part.job:
                continue
            missing = {one for one in part.pieces if not job.handles[one]}
            if not missing:
                continue
            if counts:
                job.tries += 1
            if job.tries >= MOST_TRIES:
                del self.jobs[job.name]
                failed.append(job)
            else:
                job.waiting |= missing
        return failed

    def _sort(self, now: float) -> list[Job]:
        """Order the jobs: those that can reach their objective first."""

        def weigh(job: Job) -> tuple[bool, int, float]:
            if now <= job.due:
                return False, 0, job.due + PRIORITY_MS * job.priority
            # What earlier steps have made would be lost first.
            by_time = job.deadline + PRIORITY_MS * job.priority
            return True, -job.stage, by_time

        return sorted(
            (job for job in self.jobs.values() if job.waiting), key=weigh
        )

    def _list_free(self, now: float) -> list[_Worker]:
        free = [
            worker
            for worker in self._workers.values()
            if worker.call is None and worker.rests_until <= now
        ]
        free.sort(key=lambda worker: worker.speed)
        return free

    def _fill(
        self, worker: _Worker, waiting: list[Job], now: float
    ) -> BatchCall | None:
        batching = self.batching
        room = ROOM_PART * batching.room_bytes - worker.used_bytes(now)
        left = batching.most
        parts = []
        for job in waiting:
            if left <= 0:
                break
            if self._waits_for_near(worker, job, now):
                continue
            fits = left
            if job.result_bytes:
                fits = min(left, int(room // job.result_bytes))
            pieces = tuple(sorted(job.waiting)[: max(0, fits)])
            if not pieces:
                continue
            parts.append(Part(job, pieces))
            left -= len(pieces)
            room -= len(pieces) * job.result_bytes
        if not parts:
            return None
        self._fade(now)
        for part in parts:
            part.job.waiting -= set(part.pieces)
            if now <= part.job.due:
                self._timely += len(part.pieces)
        size = batching.most - left
        call = BatchCall(
            worker.record, parts, now, self.expect_ms(size, worker.speed)
        )
        worker.call = call
        for part in parts:
            for piece in part.pieces:
                self._reserve(worker, part.job, piece, call, now)
        return call

    def _waits_for_near(self, worker: _Worker, job: Job, now: float) -> bool:
        """Tell whether a job should wait for an endpoint near its reader.

        Large results are made where they will be read while that costs
        the request nothing.
        """
        domain = worker.record.domain
        if job.result_bytes < NEAR_BYTES or domain == job.domain:
            return False
        return any(
            other.record.domain == job.domain
            and other.rests_until <= now
            and other.speed < SLOW_SPEED
            and now + self._left_ms(other, now) + NEAR_SLACK_MS <= job.due
            for other in self._workers.values()
        )

    def _reserve(
        self,
        worker: _Worker,
        job: Job,
        piece: int,
        call: BatchCall,
        now: float,
    ) -> None:
        ends = now + call.expected_ms + self.batching.keep_ms
        worker.results[f"{job.name}/{piece}"] = (ends, job.result_bytes)

    def _end(self, call: BatchCall, now: float) -> _Worker | None:
        worker = self._workers.get(call.record.endpoint)
        if worker is None or worker.call is not call:
            return None
        worker.call = None
        return worker

    def finish(
        self,
        call: BatchCall,
        handles: list[str],
        now: float,
    ) -> tuple[list[Job], list[str]]:
        """Take the results of a call, in the order of its pieces.

        Parameters
        ----------
        call : BatchCall
            The call.
        handles : list of str
            A handle for each piece; empty where none was made.
        now : float
            The time in milliseconds.

        Returns
        -------
        tuple of list
            The jobs that are done now, and the handles that nobody needs.
        """
        worker = self._end(call, now)
        if worker is not None:
            worker.failures = 0
            actual = (now - call.began) / self.expect_ms(call.size)
            worker.speed += SPEED_WEIGHT * (actual - worker.speed)
            if worker.speed >= SLOW_SPEED:
                worker.rests_until = now + SPEED_REST_MS
                worker.speed = (worker.speed + 1.0) / 2.0
        done, spare = [], []
        position = 0
        for part in call.parts:
            job = part.job
            known = self.jobs.get(job.name) is job
            for piece in part.pieces:
                handle = handles[position]
                position += 1
                if worker is not None:
                    self._note_result(worker, job, piece, handle, now)
                if not handle:
                    continue
                if not known or job.handles[piece]:
                    spare.append(handle)
                    continue
                job.handles[piece] = handle
                job.waiting.discard(piece)
            if known and job.is_done:
                del self.jobs[job.name]
                done.append(job)
        return done, spare

    def _note_result(
        self, worker: _Worker, job: Job, piece: int, handle: str, now: float
    ) -> None:
        worker.results.pop(f"{job.name}/{piece}", None)
        if handle:
            ends = now + self.batching.keep_ms
            worker.results[handle] = (ends, job.result_bytes)

    def retry_missing(
        self, call: BatchCall, crowded: int, now: float
    ) -> list[Job]:
        """Let pieces without a result wait again.

        Parameters
        ----------
        call : BatchCall
            The call.
        crowded : int
            Pieces for whose results there was no room.
        now : float
            The time in milliseconds.

        Returns
        -------
        list of Job
            The jobs that have failed too often.
        """
        worker = self._workers.get(call.record.endpoint)
        if worker is not None and crowded:
            # Less room is left there than it seemed.
            size = max(part.job.result_bytes for part in call.parts)
            worker.results["crowded"] = (now + CROWDED_MS, crowded * size)
            if crowded == call.size:
                worker.rests_until = now + CROWDED_REST_MS
        return self._return_pieces(call, counts=not crowded)

    def fail(self, call: BatchCall, full: bool, now: float) -> list[Job]:
        """Take a call that brought nothing.

        Parameters
        ----------
        call : BatchCall
            The call.
        full : bool
            Whether the endpoint only had no place for it.
        now : float
            The time in milliseconds.

        Returns
        -------
        list of Job
            The jobs that have failed too often.
        """
        worker = self._end(call, now)
        if worker is not None:
            if full:
                for part in call.parts:
                    for piece in part.pieces:
                        name = f"{part.job.name}/{piece}"
                        worker.results.pop(name, None)
                worker.rests_until = now + BACKOFF_MS
            else:
                worker.failures += 1
                rest = FAILED_MS * 2.0 ** (worker.failures - 1)
                worker.rests_until = now + min(MOST_FAILED_MS, rest)
        if call.released:
            return []
        return self._return_pieces(call, counts=not full)

    def count_room(self, endpoint: ids.EndpointId, now: float) -> float:
        """Tell the bytes of results that an endpoint can still keep."""
        worker = self._workers.get(endpoint)
        if worker is None:
            return 0.0
        return self.batching.room_bytes - worker.used_bytes(now)

    def find_maker(self, handle: str) -> records.EndpointRecord | None:
        """Tell which endpoint has a result."""
        for worker in self._workers.values():
            if handle in worker.results:
                return worker.record
        return None

    def note_freed(
        self,
        endpoint: ids.EndpointId,
        handles: collections_abc.Iterable[str],
    ) -> None:
        """Count the room of results that an endpoint has given up."""
        worker = self._workers.get(endpoint)
        if worker is not None:
            for handle in handles:
                worker.results.pop(handle, None)
