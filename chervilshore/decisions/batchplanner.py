"""Which pieces of work go together to which endpoint, and when.

An endpoint of a preparing pool makes one call at a time, which costs a fixed
time before its first piece. One planner for a pool therefore collects the
pieces of all hosts and fills a call whenever an endpoint is free.
"""

from collections import abc as collections_abc

from chervilshore.decisions import backlog
from chervilshore.decisions import joborder
from chervilshore.decisions import makers
from chervilshore.decisions import piecejobs
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

LATE_FACTOR = 2.0
"""Times the expected time after which a call's pieces go elsewhere too."""

LATE_SLACK_MS = 250.0
"""Milliseconds added to that, for the way and for small calls."""

MOST_TRIES = 3
"""Calls that one piece may be part of."""

READ_SLACK_MS = 60.0
"""Milliseconds after its beginning in which a call has read small inputs,
with the way there and one packet that is sent again."""

READ_LINKS = 2.0
"""Links that inputs pass, the maker's and the reader's, one after the other
at worst."""

ROOM_PART = 0.97
"""The part of the room for results that is planned with, as their sizes are
known only about."""


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
        self.jobs: dict[str, piecejobs.Job] = {}
        self._makers: dict[ids.EndpointId, makers.Maker] = {}
        self._failed: list[piecejobs.Job] = []
        self._timely = backlog.TimelyShare()

    def set_endpoints(
        self, found: collections_abc.Iterable[records.EndpointRecord]
    ) -> None:
        """Name the endpoints that may be used."""
        kept = {}
        for record in found:
            maker = self._makers.get(record.endpoint)
            if maker is None or maker.record.instance != record.instance:
                maker = makers.Maker(record)
            maker.record = record
            kept[record.endpoint] = maker
        self._makers = kept

    def add(self, job: piecejobs.Job) -> None:
        """Take a job on."""
        self.jobs[job.name] = job

    def drop(self, name: str) -> piecejobs.Job | None:
        """Forget a job; pieces in a call are made in vain."""
        return self.jobs.pop(name, None)

    def give_up_waiting(self) -> list[piecejobs.Job]:
        """Take the jobs of which nothing has been called for."""
        found = [
            job for job in self.jobs.values() if len(job.waiting) == job.count
        ]
        for job in found:
            del self.jobs[job.name]
        return found

    def expect_ms(self, item_indexes: int, speed: float = 1.0) -> float:
        """Tell the milliseconds that a call with so many pieces takes."""
        return speed * self.batching.expect_ms(item_indexes)

    def estimate_waits(self, now: float) -> backlog.Waits:
        """Tell for how long new jobs wait for their call, about."""
        usable = [
            maker for maker in self._makers.values() if maker.is_usable(now)
        ]
        whole = self.expect_ms(self.batching.most)
        if not usable:
            return backlog.Waits(whole, (), whole)
        each = whole / self.batching.most / len(usable)
        return backlog.estimate_waits(
            self.jobs.values(),
            min(maker.count_left(now) for maker in usable),
            each,
            self._timely.count_spare(each, now),
            now,
        )

    def expire(self, now: float) -> list[piecejobs.Job]:
        """Take the jobs whose waiting pieces come too late."""
        late = [
            job
            for job in self.jobs.values()
            if job.waiting and now >= job.deadline
        ]
        for job in late:
            del self.jobs[job.name]
        return late

    def plan(self, now: float) -> list[piecejobs.BatchCall]:
        """Fill a call for each endpoint that is free."""
        self._release_late(now)
        calls = []
        waiting = joborder.sort_jobs(self.jobs.values(), now)
        for maker in self._list_free(now):
            if not waiting:
                break
            call = self._fill(maker, waiting, now)
            if call is not None:
                calls.append(call)
            waiting = [job for job in waiting if job.waiting]
        return calls

    def next_moment(self, now: float) -> float | None:
        """Tell when to plan again though nothing has happened."""
        moments = []
        for maker in self._makers.values():
            call = maker.call
            if call is not None and not call.released:
                moments.append(call.began + self._late_ms(call))
            elif maker.rests_until > now:
                moments.append(maker.rests_until)
        moments += [job.deadline for job in self.jobs.values() if job.waiting]
        return min((one for one in moments if one > now), default=None)

    def _late_ms(self, call: piecejobs.BatchCall) -> float:
        return LATE_FACTOR * call.expected_ms + LATE_SLACK_MS

    def _release_late(self, now: float) -> None:
        """Let pieces of calls that take too long go elsewhere too."""
        for maker in self._makers.values():
            call = maker.call
            if call is None or call.released:
                continue
            if now >= call.began + self._late_ms(call):
                call.released = True
                maker.note_late()
                # Pieces whose inputs are given up can only wait for it.
                movable = [part for part in call.parts if not part.job.is_read]
                call.moved.update(part.job.name for part in movable)
                self._failed += self._return_pieces(movable)

    def take_failed(self) -> list[piecejobs.Job]:
        """Take the jobs that have failed while calls were planned."""
        failed, self._failed = self._failed, []
        return failed

    def _return_pieces(
        self,
        parts: collections_abc.Iterable[piecejobs.Part],
        counts: bool = True,
    ) -> list[piecejobs.Job]:
        """Let pieces wait again; tell which jobs have failed."""
        failed = []
        for part in parts:
            job = self.jobs.get(part.job.name)
            if job is not part.job:
                continue
            missing = {
                one for one in part.item_indexes if not job.handles[one]
            }
            if not missing:
                continue
            job.unread |= missing
            if counts:
                job.tries += 1
            if job.tries >= MOST_TRIES or job.is_read:
                del self.jobs[job.name]
                failed.append(job)
            else:
                job.waiting |= missing
        return failed

    def _list_free(self, now: float) -> list[makers.Maker]:
        free = [
            maker
            for maker in self._makers.values()
            if maker.call is None and maker.rests_until <= now
        ]
        free.sort(key=lambda maker: maker.speed)
        return free

    def _fill(
        self, maker: makers.Maker, waiting: list[piecejobs.Job], now: float
    ) -> piecejobs.BatchCall | None:
        batching = self.batching
        room = ROOM_PART * batching.room_bytes - maker.count_used(now)
        left = batching.most
        others = self._makers.values()
        parts = []
        for job in waiting:
            if left <= 0:
                break
            if joborder.waits_for_near(maker, job, others, now):
                continue
            fits = left
            if job.result_bytes:
                fits = min(left, int(room // job.result_bytes))
            if fits < (min(left, len(job.waiting)) if parts else 1):
                # Results of half a job would take room from whole ones.
                continue
            item_indexes = tuple(sorted(job.waiting)[:fits])
            parts.append(piecejobs.Part(job, item_indexes))
            left -= len(item_indexes)
            room -= len(item_indexes) * job.result_bytes
        if not parts:
            return None
        for part in parts:
            part.job.waiting -= set(part.item_indexes)
            if now <= part.job.due:
                self._timely.note(len(part.item_indexes), now)
        size = batching.most - left
        call = piecejobs.BatchCall(
            maker.record, parts, now, self.expect_ms(size, maker.speed)
        )
        maker.reserve(call, batching.keep_ms, now)
        return call

    def expect_read_ms(self, call: piecejobs.BatchCall) -> float:
        """Tell the milliseconds in which a call has read its inputs."""
        size = sum(
            len(part.item_indexes) * part.job.input_bytes
            for part in call.parts
        )
        return READ_SLACK_MS + READ_LINKS * size / self.batching.link_speed

    def note_read(self, call: piecejobs.BatchCall) -> list[piecejobs.Job]:
        """Learn that a call has read its inputs; tell whose are done with."""
        read = []
        for part in call.parts:
            job = part.job
            if call.released or self.jobs.get(job.name) is not job:
                continue
            job.unread.difference_update(part.item_indexes)
            if job.inputs and not job.unread:
                job.is_read = True
                read.append(job)
        return read

    def _end(self, call: piecejobs.BatchCall) -> makers.Maker | None:
        maker = self._makers.get(call.record.endpoint)
        if maker is None or maker.call is not call:
            return None
        maker.call = None
        return maker

    def finish(
        self,
        call: piecejobs.BatchCall,
        handles: list[str],
        now: float,
    ) -> tuple[list[piecejobs.Job], list[str]]:
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
        maker = self._end(call)
        if maker is not None:
            usual = self.expect_ms(call.size)
            maker.note_speed((now - call.began) / usual, now)
        done, spare = [], []
        position = 0
        lapses = now + self.batching.keep_ms
        for part in call.parts:
            job = part.job
            known = self.jobs.get(job.name) is job
            for piece in part.item_indexes:
                handle = handles[position]
                position += 1
                if maker is not None:
                    maker.note_result(job, piece, handle, lapses)
                if not handle:
                    continue
                if not known or job.handles[piece]:
                    spare.append(handle)
                    continue
                job.handles[piece] = handle
                job.waiting.discard(piece)
                job.unread.discard(piece)
            if known and job.is_done:
                del self.jobs[job.name]
                done.append(job)
        return done, spare

    def retry_missing(
        self, call: piecejobs.BatchCall, crowded: int, now: float
    ) -> list[piecejobs.Job]:
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
        maker = self._makers.get(call.record.endpoint)
        if maker is not None and crowded:
            # Less room is left there than it seemed.
            size = max(part.job.result_bytes for part in call.parts)
            maker.note_crowded(crowded * size, crowded == call.size, now)
        return self._return_pieces(call.own_parts, counts=not crowded)

    def fail(
        self, call: piecejobs.BatchCall, full: bool, now: float
    ) -> list[piecejobs.Job]:
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
        maker = self._end(call)
        if maker is not None:
            if full:
                maker.release(call)
                maker.note_full(now)
            else:
                maker.note_lost(now)
        return self._return_pieces(call.own_parts, counts=not full)

    def count_waiting(self) -> int:
        """Count the pieces that wait for a call."""
        return sum(len(job.waiting) for job in self.jobs.values())

    def count_room(self, endpoint: ids.EndpointId, now: float) -> float:
        """Tell the bytes of results that an endpoint can still keep."""
        maker = self._makers.get(endpoint)
        if maker is None:
            return 0.0
        return self.batching.room_bytes - maker.count_used(now)

    def note_freed(
        self,
        endpoint: ids.EndpointId,
        handles: collections_abc.Iterable[str],
    ) -> None:
        """Count the room of results that an endpoint has given up."""
        maker = self._makers.get(endpoint)
        if maker is not None:
            for handle in handles:
                maker.results.pop(handle, None)
