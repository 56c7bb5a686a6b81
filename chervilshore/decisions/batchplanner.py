"""Groups the items of batch stages into calls to the endpoints of a pool.

A batch endpoint runs one call at a time, and each call costs a fixed time
before its first item. Therefore one planner for each pool collects the items
of all hosts, and fills a call whenever an endpoint is free.
"""

from collections import abc as collections_abc

from chervilshore.decisions import backlog
from chervilshore.decisions import batchendpoints
from chervilshore.decisions import batchjobs
from chervilshore.decisions import callfilling
from chervilshore.decisions import inputrelease
from chervilshore.decisions import jobscheduling
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

OVERDUE_FACTOR = 2.0
"""Multiple of the expected time after which a call counts as overdue."""

OVERDUE_SLACK_MS = 250.0
"""Time added to that for the network and for small calls."""

MAX_FAILED_CALLS = 3
"""Failed calls after which a job fails."""


class BatchPlanner:
    """Plans the calls of one batch pool.

    Parameters
    ----------
    batching : Batching
        Size, duration and space of the pool's calls.

    Attributes
    ----------
    jobs : dict of str to Job
        The unfinished jobs by name.
    leaving : bool
        Whether another owner already runs calls at the same endpoints.
    """

    def __init__(self, batching: model.Batching) -> None:
        self.batching = batching
        self.jobs: dict[str, batchjobs.Job] = {}
        self.leaving = False
        self._endpoints: dict[
            ids.EndpointId, batchendpoints.BatchEndpoint
        ] = {}
        self._failed: list[batchjobs.Job] = []
        self._timely = backlog.TimelyLoad()

    def set_endpoints(
        self, found: collections_abc.Iterable[records.EndpointRecord]
    ) -> None:
        """Set the usable endpoints; restarted ones lose their state."""
        kept = {}
        for record in found:
            endpoint = self._endpoints.get(record.endpoint)
            if endpoint is None or endpoint.record.instance != record.instance:
                endpoint = batchendpoints.BatchEndpoint(record)
            endpoint.record = record
            kept[record.endpoint] = endpoint
        self._endpoints = kept

    def hold(self, endpoint_id: ids.EndpointId, until: float) -> None:
        """Make no call to an endpoint before a time in milliseconds."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.backoff_until = max(endpoint.backoff_until, until)

    def add(self, job: batchjobs.Job) -> None:
        """Add a job to the queue."""
        self.jobs[job.name] = job

    def drop(self, name: str) -> batchjobs.Job | None:
        """Remove and return a job; results of its running calls are unused."""
        return self.jobs.pop(name, None)

    def leave(self) -> list[batchjobs.Job]:
        """Leave the pool to another owner, but finish the begun jobs.

        Removes and returns the jobs that are not begun.
        """
        self.leaving = True
        found = [job for job in self.jobs.values() if not job.is_begun]
        for job in found:
            del self.jobs[job.name]
        return found

    def expect_ms(self, items: int, slowdown: float = 1.0) -> float:
        """Return the milliseconds that a call with so many items takes."""
        return slowdown * self.batching.expect_ms(items)

    def estimate_waits(self, now: float) -> backlog.WaitEstimate:
        """Estimate how long new jobs wait until their call begins."""
        usable = [
            one for one in self._endpoints.values() if one.is_usable(now)
        ]
        call_ms = self.expect_ms(self.batching.max_items)
        if not usable:
            return backlog.WaitEstimate(call_ms, (), call_ms)
        item_ms = call_ms / self.batching.max_items / len(usable)
        return backlog.estimate_waits(
            self.jobs.values(),
            min(one.remaining_ms(now) for one in usable),
            item_ms,
            self._timely.spare_fraction(item_ms, now),
            now,
        )

    def expire(self, now: float) -> list[batchjobs.Job]:
        """Remove and return the jobs with items that wait too long.

        A job whose results need more space than the whole pool has waits
        until it is due, as endpoints may return.
        """
        expired = [
            job
            for job in self.jobs.values()
            if job.waiting and now >= self._expiry(job)
        ]
        for job in expired:
            del self.jobs[job.name]
        return expired

    def _expiry(self, job: batchjobs.Job) -> float:
        if callfilling.can_ever_fit(job, len(self._endpoints), self.batching):
            return job.deadline
        return min(job.due, job.deadline)

    def plan(self, now: float) -> list[batchjobs.BatchCall]:
        """Start a call for each free endpoint, and return the calls."""
        self._requeue_overdue(now)
        calls = []
        waiting = jobscheduling.sort_jobs(self.jobs.values(), now)
        space = callfilling.SpacePlan(
            self._endpoints.values(), waiting, self.batching, now
        )
        for endpoint in self._list_free(now):
            if not waiting:
                break
            call = self._fill(endpoint, waiting, space, now)
            if call is not None:
                calls.append(call)
            waiting = [job for job in waiting if job.waiting]
        return calls

    def next_plan_time(self, now: float) -> float | None:
        """Return when to plan again if no event comes before; None: never."""
        times = []
        for endpoint in self._endpoints.values():
            call = endpoint.call
            if call is not None and not call.overdue:
                times.append(call.started_at + self._overdue_ms(call))
            elif endpoint.backoff_until > now:
                times.append(endpoint.backoff_until)
        times += [
            self._expiry(job) for job in self.jobs.values() if job.waiting
        ]
        return min((time for time in times if time > now), default=None)

    def _overdue_ms(self, call: batchjobs.BatchCall) -> float:
        return OVERDUE_FACTOR * call.expected_ms + OVERDUE_SLACK_MS

    def _requeue_overdue(self, now: float) -> None:
        """Put the items of overdue calls back into the queue."""
        for endpoint in self._endpoints.values():
            call = endpoint.call
            if call is None or call.overdue:
                continue
            if now >= call.started_at + self._overdue_ms(call):
                call.overdue = True
                endpoint.record_overdue()
                # Items whose inputs are released can't run elsewhere.
                movable = [
                    part for part in call.parts if not part.job.inputs_released
                ]
                call.moved_jobs.update(part.job.name for part in movable)
                self._failed += self._requeue(movable)

    def pop_failed_jobs(self) -> list[batchjobs.Job]:
        """Remove and return the jobs that have failed during planning."""
        failed, self._failed = self._failed, []
        return failed

    def _requeue(
        self,
        parts: collections_abc.Iterable[batchjobs.CallPart],
        counts: bool = True,
    ) -> list[batchjobs.Job]:
        """Put items without results back into the queue.

        Removes and returns the jobs that fail thereby. With `counts` the
        call counts as a failed call of its jobs.
        """
        failed = []
        for part in parts:
            job = self.jobs.get(part.job.name)
            if job is not part.job:
                continue
            missing = {i for i in part.item_indexes if not job.handles[i]}
            if not missing:
                continue
            job.unread |= missing
            if counts:
                job.failed_calls += 1
            if job.failed_calls >= MAX_FAILED_CALLS or job.inputs_released:
                del self.jobs[job.name]
                failed.append(job)
            else:
                job.waiting |= missing
        return failed

    def _list_free(self, now: float) -> list[batchendpoints.BatchEndpoint]:
        """Return the endpoints that can take a call, the fastest first."""
        free = [
            one
            for one in self._endpoints.values()
            if one.call is None and one.backoff_until <= now
        ]
        free.sort(key=lambda one: one.slowdown)
        return free

    def _fill(
        self,
        endpoint: batchendpoints.BatchEndpoint,
        waiting: list[batchjobs.Job],
        space: callfilling.SpacePlan,
        now: float,
    ) -> batchjobs.BatchCall | None:
        """Start a call with waiting items; None when no item suits it."""
        parts = callfilling.choose_parts(
            endpoint,
            waiting,
            self._endpoints.values(),
            space,
            self.batching.max_items,
            now,
        )
        if not parts:
            return None
        for part in parts:
            part.job.waiting -= set(part.item_indexes)
            if now <= part.job.due:
                self._timely.record_items(len(part.item_indexes), now)
        size = sum(len(part.item_indexes) for part in parts)
        call = batchjobs.BatchCall(
            endpoint.record,
            parts,
            now,
            self.expect_ms(size, endpoint.slowdown),
        )
        endpoint.reserve(call, self.batching.result_ttl_ms, now)
        return call

    def estimate_read_ms(self, call: batchjobs.BatchCall) -> float:
        """Return the milliseconds in which a call has read its inputs."""
        return inputrelease.estimate_read_ms(call, self.batching)

    def record_inputs_read(
        self, call: batchjobs.BatchCall
    ) -> list[batchjobs.Job]:
        """Record that a call has read its inputs, unless it may still wait.

        Returns the jobs of which all inputs are read now; they may be freed.
        """
        endpoint = self._endpoints.get(call.record.endpoint)
        if (
            self.leaving
            or endpoint is None
            or not endpoint.begins_calls_at_once
        ):
            return []
        return inputrelease.mark_read(call, self.jobs)

    def _end(
        self, call: batchjobs.BatchCall
    ) -> batchendpoints.BatchEndpoint | None:
        """Mark the endpoint of a call as free; None when it is gone."""
        endpoint = self._endpoints.get(call.record.endpoint)
        if endpoint is None or endpoint.call is not call:
            return None
        endpoint.call = None
        return endpoint

    def finish(
        self,
        call: batchjobs.BatchCall,
        handles: list[str],
        now: float,
    ) -> tuple[list[batchjobs.Job], list[str]]:
        """Record the results of a call.

        Returns the jobs that are done now, and the handles of unused results.

        Parameters
        ----------
        call : BatchCall
            The call.
        handles : list of str
            The handle of each item's result, in the order of the call; empty
            for an item without a result.
        now : float
            The time in milliseconds.
        """
        endpoint = self._end(call)
        if endpoint is not None:
            usual_ms = self.expect_ms(call.size)
            endpoint.begins_calls_at_once = inputrelease.began_at_once(
                call, handles, now
            )
            endpoint.record_duration((now - call.started_at) / usual_ms, now)
        done, unused = [], []
        position = 0
        expires = now + self.batching.result_ttl_ms
        for part in call.parts:
            job = part.job
            known = self.jobs.get(job.name) is job
            for index in part.item_indexes:
                handle = handles[position]
                position += 1
                if endpoint is not None:
                    endpoint.record_result(job, index, handle, expires)
                if not handle:
                    continue
                if not known or job.handles[index]:
                    unused.append(handle)
                    continue
                job.handles[index] = handle
                job.waiting.discard(index)
                job.unread.discard(index)
            if known and job.is_done:
                del self.jobs[job.name]
                done.append(job)
        return done, unused

    def requeue_missing(
        self, call: batchjobs.BatchCall, out_of_space: int, now: float
    ) -> list[batchjobs.Job]:
        """Put the items without results of a finished call into the queue.

        `out_of_space` is the number of items for whose results there was no
        space. Removes and returns the jobs that fail thereby.
        """
        endpoint = self._endpoints.get(call.record.endpoint)
        if endpoint is not None and out_of_space:
            size = max(part.job.result_bytes for part in call.parts)
            endpoint.record_out_of_space(
                out_of_space * size, out_of_space == call.size, now
            )
        return self._requeue(call.own_parts, counts=not out_of_space)

    def fail(
        self, call: batchjobs.BatchCall, busy: bool, now: float
    ) -> list[batchjobs.Job]:
        """Put the items of a failed call back into the queue.

        With `busy` the endpoint rejected it before it ran, so that it does
        not count. Removes and returns the jobs that fail thereby.
        """
        endpoint = self._end(call)
        if endpoint is not None:
            if busy:
                endpoint.release(call)
                endpoint.record_busy(now)
            else:
                endpoint.record_failure(now)
        return self._requeue(call.own_parts, counts=not busy)

    def count_waiting_items(self) -> int:
        """Return the number of items that are in no call."""
        return sum(len(job.waiting) for job in self.jobs.values())

    def free_result_bytes(
        self, endpoint_id: ids.EndpointId, now: float
    ) -> float:
        """Return the bytes of results that an endpoint can still keep."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return 0.0
        return self.batching.result_space_bytes - endpoint.used_bytes(now)

    def record_freed(
        self,
        endpoint_id: ids.EndpointId,
        handles: collections_abc.Iterable[str],
    ) -> None:
        """Record that an endpoint has freed results."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            for handle in handles:
                endpoint.results.pop(handle, None)
