"""Room for results, when two steps in a row are as busy as they can be."""

import heapq
import itertools

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import batchplanner
from chervilshore.decisions import piecejobs
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

RESULT_BYTES = 60_000
DESK_PIECES, VENUE_PIECES = 4, 6
REQUESTS, END_MS = 600, 12_000.0

# Room for 27 results, which is less than two full calls.
DESK = model.Batching(15, 240.0, 13.2, 27.8 * RESULT_BYTES, 4000.0, 10_000.0)
VENUE = model.Batching(22, 240.0, 9.3, 1e9, 4000.0, 10_000.0)


def make_planner(batching, name):
    planner = batchplanner.BatchPlanner(batching)
    planner.set_endpoints(
        records.EndpointRecord(
            endpoint=ids.EndpointId(f"{name}{number}"),
            pool=ids.PoolName(name),
            domain=ids.DomainId("a"),
            address=ids.Address(f"10.0.0.{number}:80"),
        )
        for number in range(3)
    )
    return planner


def make_job(number, stage, count, inputs=()):
    return piecejobs.Job(
        name=f"{stage}/{number}",
        request=ids.RequestId(str(number)),
        stage=stage,
        count=count,
        inputs=inputs,
        due=1e9,
        deadline=1e9,
        result_bytes=RESULT_BYTES if stage == 0 else 0,
        input_bytes=DESK_PIECES * RESULT_BYTES if stage else 0,
    )


class Chain:
    """Two steps on a clock of their own."""

    def __init__(self):
        self.desk = make_planner(DESK, "desk")
        self.venue = make_planner(VENUE, "venue")
        self.done = 0
        self._events = []
        self._numbers = itertools.count()
        for number in range(REQUESTS):
            self.desk.add(make_job(number, 0, DESK_PIECES))

    def run(self):
        """Play until the end."""
        now = 0.0
        while now < END_MS:
            for planner in (self.desk, self.venue):
                for call in planner.plan(now):
                    self._begin(planner, call, now)
            now, _, happen = heapq.heappop(self._events)
            happen(now)

    def _begin(self, planner, call, now):
        self._at(
            now + call.expected_ms,
            lambda moment: self._end(planner, call, moment),
        )
        if planner is self.venue:
            self._at(
                now + planner.expect_read_ms(call),
                lambda _: self._free(planner.note_read(call)),
            )

    def _at(self, moment, happen):
        heapq.heappush(self._events, (moment, next(self._numbers), happen))

    def _end(self, planner, call, now):
        name = call.record.endpoint
        handles = [f"{name}/{now}/{one}" for one in range(call.size)]
        done, _ = planner.finish(call, handles, now)
        for job in done:
            if planner is self.desk:
                number = int(job.request)
                self.venue.add(
                    make_job(number, 1, VENUE_PIECES, tuple(job.handles))
                )
            else:
                self.done += 1

    def _free(self, jobs):
        for job in jobs:
            for handle in job.inputs:
                endpoint = ids.EndpointId(handle.partition("/")[0])
                self.desk.note_freed(endpoint, [handle])


def test_results_make_room_as_soon_as_they_are_read():
    """Pattern: more requests with several steps than the pools can carry.

    Kept until their readers' calls end, the results of the first step take
    the room of the calls that should follow, and its endpoints make calls
    that are half empty.
    """
    chain = Chain()
    chain.run()
    call_ms = DESK.call_ms + DESK.most * DESK.piece_ms
    possible = 3 * DESK.most / DESK_PIECES * END_MS / call_ms
    assertions.assert_that(
        chain.done, matchers.GreaterThan(round(0.8 * possible))
    )
