"""Compares one owner of a batch pool with hosts that plan separately.

    python -m lab.sharing

simulates the same requests in a model of one pool with the batch planner of
the daemon, and prints how many start in time and how full the calls are.
"""

import heapq
import itertools
import random

from chervilshore.decisions import batchjobs
from chervilshore.decisions import batchplanner
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

HOSTS, ENDPOINTS, MAX_WAITING = 6, 3, 2
ITEMS_PER_JOB = 4
MAX_START_DELAY_MS = 600.0
"""Milliseconds after the arrival of a job within which its call must start."""

JOB_TIMEOUT_MS = 4000.0
"""Milliseconds after the arrival of a job until it expires."""

END_MS = 60_000.0
RATES = (6.0, 12.0, 18.0, 24.0)
"""Requests per second of all hosts; the Kelvinside data sheet has 12.9."""

BATCHING = model.Batching(15, 240.0, 13.2, 1e9, 4000.0, 10_000.0)


class Endpoint:
    """Processes one call at a time; at most `MAX_WAITING` calls wait."""

    def __init__(self) -> None:
        self.free_at = 0.0
        self.waiting = 0


class Pool:
    """Planners that share the same endpoints.

    Parameters
    ----------
    planners : int
        Number of hosts that plan, each unaware of the others.
    rate : float
        Requests per second.
    seed : int
        Seed of the arrivals.
    """

    def __init__(self, planners: int, rate: float, seed: int) -> None:
        self.requested = self.started_in_time = self.calls = self.items = (
            self.calls_rejected
        ) = 0
        self._endpoints = [Endpoint() for _ in range(ENDPOINTS)]
        self._planners = [self._make_planner() for _ in range(planners)]
        self._events: list = []
        self._numbers = itertools.count()
        generator = random.Random(seed)
        time_ms = 0.0
        while time_ms < END_MS:
            time_ms += generator.expovariate(rate) * 1000.0
            planner = self._planners[generator.randrange(planners)]
            self._schedule(time_ms, self._arrive, planner)

    def _make_planner(self) -> batchplanner.BatchPlanner:
        planner = batchplanner.BatchPlanner(BATCHING)
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
        """Run until there are no more events."""
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
            for planner in self._planners:
                planner.expire(now)
                for call in planner.plan(now):
                    self._send(planner, call, now)

    def _schedule(self, time_ms: float, action, *arguments) -> None:
        item = (time_ms, next(self._numbers), action, arguments)
        heapq.heappush(self._events, item)

    def _arrive(self, now: float, planner: batchplanner.BatchPlanner) -> None:
        self.requested += 1
        name = str(self.requested)
        planner.add(
            batchjobs.Job(
                name=name,
                request=ids.RequestId(name),
                stage=0,
                count=ITEMS_PER_JOB,
                due=now + MAX_START_DELAY_MS,
                deadline=now + JOB_TIMEOUT_MS,
            )
        )

    def _send(self, planner, call: batchjobs.BatchCall, now: float) -> None:
        endpoint = self._endpoints[int(call.record.endpoint)]
        if endpoint.free_at > now and endpoint.waiting >= MAX_WAITING:
            self.calls_rejected += 1
            planner.fail(call, True, now)
            self._schedule(now + 61.0, lambda _: None)
            return
        starts_at = max(now, endpoint.free_at)
        endpoint.waiting += starts_at > now
        endpoint.free_at = starts_at + BATCHING.expect_ms(call.size)
        self.calls += 1
        self.items += call.size
        self._schedule(starts_at, self._begin, endpoint, starts_at > now)
        self._schedule(endpoint.free_at, self._end, planner, call, starts_at)

    def _begin(self, now: float, endpoint: Endpoint, waited: bool) -> None:
        endpoint.waiting -= waited

    def _end(self, now: float, planner, call, starts_at: float) -> None:
        handles = [f"{now}/{number}" for number in range(call.size)]
        done, _ = planner.finish(call, handles, now)
        self.started_in_time += sum(starts_at <= job.due for job in done)


def main() -> None:
    """Print the results of both variants at several rates."""
    for rate in RATES:
        for planners, label in ((1, "one keeper"), (HOSTS, "each by itself")):
            pools = [Pool(planners, rate, seed) for seed in (1, 2, 3)]
            for pool in pools:
                pool.run()
            requested = sum(pool.requested for pool in pools)
            started_in_time = sum(pool.started_in_time for pool in pools)
            items = sum(pool.items for pool in pools)
            calls = sum(pool.calls for pool in pools)
            calls_rejected = sum(pool.calls_rejected for pool in pools)
            print(
                f"{rate:4.0f} a second, {label}: "
                f"{started_in_time / requested:.0%} begun in time, "
                f"{items / calls:.1f} pieces a call, "
                f"{calls_rejected} calls found the endpoint full"
            )


if __name__ == "__main__":
    main()
