"""The space for results of two batch stages under full load."""

import heapq
import itertools

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import batchjobs
from chervilshore.decisions import batchplanner
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

RESULT_BYTES = 60_000
DESK_ITEMS, VENUE_ITEMS = 4, 6
REQUESTS, END_MS = 600, 12_000.0

# Space for 27 results, which is less than those of two full calls.
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
    return batchjobs.Job(
        name=f"{stage}/{number}",
        request=ids.RequestId(str(number)),
        stage=stage,
        count=count,
        inputs=inputs,
        due=1e9,
        deadline=1e9,
        result_bytes=RESULT_BYTES if stage == 0 else 0,
        input_bytes=DESK_ITEMS * RESULT_BYTES if stage else 0,
    )


class Simulation:
    """Two batch stages in virtual time, without a network."""

    def __init__(self):
        self.desk = make_planner(DESK, "desk")
        self.venue = make_planner(VENUE, "venue")
        self.done = 0
        self._events = []
        self._numbers = itertools.count()
        for number in range(REQUESTS):
            self.desk.add(make_job(number, 0, DESK_ITEMS))

    def run(self):
        """Run the events until `END_MS`."""
        now = 0.0
        while now < END_MS:
            for planner in (self.desk, self.venue):
                for call in planner.plan(now):
                    self._begin(planner, call, now)
            now, _, action = heapq.heappop(self._events)
            action(now)

    def _begin(self, planner, call, now):
        self._at(
            now + call.expected_ms,
            lambda time: self._end(planner, call, time),
        )
        if planner is self.venue:
            self._at(
                now + planner.estimate_read_ms(call),
                lambda _: self._free(planner.record_inputs_read(call)),
            )

    def _at(self, time, action):
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def _end(self, planner, call, now):
        name = call.record.endpoint
        handles = [f"{name}/{now}/{index}" for index in range(call.size)]
        done, _ = planner.finish(call, handles, now)
        for job in done:
            if planner is self.desk:
                number = int(job.request)
                self.venue.add(
                    make_job(number, 1, VENUE_ITEMS, tuple(job.handles))
                )
            else:
                self.done += 1
                self._free([job])

    def _free(self, jobs):
        for job in jobs:
            for handle in job.inputs:
                endpoint = ids.EndpointId(handle.partition("/")[0])
                self.desk.record_freed(endpoint, [handle])


def test_results_are_freed_as_soon_as_they_are_read():
    """Guards against half-empty calls when the pools are overloaded.

    They come about if the results of the first stage are kept until the
    calls that read them end: the next calls of the first stage lack that
    space.
    """
    simulation = Simulation()
    simulation.run()
    call_ms = DESK.call_ms + DESK.max_items * DESK.per_item_ms
    possible = 3 * DESK.max_items / DESK_ITEMS * END_MS / call_ms
    assertions.assert_that(
        simulation.done, matchers.GreaterThan(round(0.8 * possible))
    )
