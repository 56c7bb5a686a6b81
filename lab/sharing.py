"""One keeper for a preparing pool against hosts that call by themselves.

    python -m lab.sharing

plays the same requests in a model of one pool, with the decisions of the
product, and prints how many are begun in time and how full calls are.
"""

import heapq
import itertools
import random

from chervilshore.decisions import batchjobs
from chervilshore.decisions import batchplanner
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

HOSTS, ENDPOINTS, QUEUE = 6, 3, 2
PIECES = 4
SLACK_MS = 600.0
"""Milliseconds after its arrival in which a job's call must begin."""

PATIENCE_MS = 4000.0
END_MS = 60_000.0
RATES = (6.0, 12.0, 18.0, 24.0)
"""Requests a second of all hosts; the sheet of Kelvinside has 12.9."""

DESK = model.Batching(15, 240.0, 13.2, 1e9, 4000.0, 10_000.0)


class Endpoint:
    """Works on one call at a time and lets few wait."""

    def __init__(self) -> None:
        self.free_at = 0.0
        self.waiting = 0


class Pool:
    """Some planners before the same endpoints.

    Parameters
    ----------
    planners : int
        Hosts that plan, each unaware of the others.
    rate : float
        Requests a second.
    seed : int
        Draws arrivals.
    """

    def __init__(self, planners: int, rate: float, seed: int) -> None:
        self.asked = self.timely = self.calls = self.pieces = self.full = 0
        self._endpoints = [Endpoint() for _ in range(ENDPOINTS)]
        self._planners = [self._make_planner() for _ in range(planners)]
        self._events: list = []
        self._numbers = itertools.count()
        generator = random.Random(seed)
        moment = 0.0
        while moment < END_MS:
            moment += generator.expovariate(rate) * 1000.0
            planner = self._planners[generator.randrange(planners)]
            self._at(moment, self._arrive, planner)

    def _make_planner(self) -> batchplanner.BatchPlanner:
        planner = batchplanner.BatchPlanner(DESK)
        planner.set_endpoints(
            records.EndpointRecord(
                endpoint=ids.EndpointId(str(number)),
                pool=ids.PoolName("desk"),
                domain=ids.DomainId("a"),
                address=ids.Address(f"10.0.0.{number}:80"),
            )
            for number in range(ENDPOINTS)
        )
        return planner

    def run(self) -> None:
        """Play until nothing happens any more."""
        while self._events:
            now, _, happen, words = heapq.heappop(self._events)
            happen(now, *words)
            for planner in self._planners:
                planner.expire(now)
                for call in planner.plan(now):
                    self._send(planner, call, now)

    def _at(self, moment: float, happen, *words) -> None:
        item = (moment, next(self._numbers), happen, words)
        heapq.heappush(self._events, item)

    def _arrive(self, now: float, planner: batchplanner.BatchPlanner) -> None:
        self.asked += 1
        name = str(self.asked)
        planner.add(
            batchjobs.Job(
                name=name,
                request=ids.RequestId(name),
                stage=0,
                count=PIECES,
                due=now + SLACK_MS,
                deadline=now + PATIENCE_MS,
            )
        )

    def _send(self, planner, call: batchjobs.BatchCall, now: float) -> None:
        endpoint = self._endpoints[int(call.record.endpoint)]
        if endpoint.free_at > now and endpoint.waiting >= QUEUE:
            self.full += 1
            planner.fail(call, True, now)
            self._at(now + 61.0, lambda _: None)
            return
        begins = max(now, endpoint.free_at)
        endpoint.waiting += begins > now
        endpoint.free_at = begins + DESK.expect_ms(call.size)
        self.calls += 1
        self.pieces += call.size
        self._at(begins, self._begin, endpoint, begins > now)
        self._at(endpoint.free_at, self._end, planner, call, begins)

    def _begin(self, now: float, endpoint: Endpoint, waited: bool) -> None:
        endpoint.waiting -= waited

    def _end(self, now: float, planner, call, begins: float) -> None:
        handles = [f"{now}/{number}" for number in range(call.size)]
        done, _ = planner.finish(call, handles, now)
        self.timely += sum(begins <= job.due for job in done)


def main() -> None:
    """Print both ways at several rates."""
    for rate in RATES:
        for planners, way in ((1, "one keeper"), (HOSTS, "each by itself")):
            pools = [Pool(planners, rate, seed) for seed in (1, 2, 3)]
            for pool in pools:
                pool.run()
            asked = sum(pool.asked for pool in pools)
            timely = sum(pool.timely for pool in pools)
            pieces = sum(pool.pieces for pool in pools)
            calls = sum(pool.calls for pool in pools)
            full = sum(pool.full for pool in pools)
            print(
                f"{rate:4.0f} a second, {way}: {timely / asked:.0%} begun in "
                f"time, {pieces / calls:.1f} pieces a call, {full} calls "
                "found the endpoint full"
            )


if __name__ == "__main__":
    main()
