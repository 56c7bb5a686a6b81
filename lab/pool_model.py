"""A queueing model of one pool behind several entry hosts.

It simulates neither messages nor host failures. Every host knows the exact
number of free slots, so that only the compared algorithm matters.
"""

from collections import abc as collections_abc
import heapq
import itertools
import random

import msgspec

from chervilshore.decisions import queues
from chervilshore.decisions import retries
from chervilshore.decisions import routing
from chervilshore.decisions import shedding as load_shedding
from chervilshore import records

POOL = "pool"
DOMAINS = ("north", "south", "west")
CROSS_DOMAIN_MS = 1.5
"""Additional latency of an attempt in another failure domain."""


class RequestKind(msgspec.Struct, frozen=True):
    """A kind of request and its fraction of the load."""

    team: str
    priority: int = 0
    load_fraction: float = 1.0
    deadline_ms: float = 7000.0
    aging_ms: int = 1000


class ModelSettings(msgspec.Struct, frozen=True):
    """Sizes of the pool and of the load.

    ``load`` returns the arrival rate at a time in milliseconds as a fraction
    of capacity; ``slow`` returns the factor by which the calls of an
    endpoint, given by its index, take longer at a time.
    """

    load: collections_abc.Callable[[float], float]
    kinds: tuple[RequestKind, ...] = (RequestKind("team"),)
    slow: collections_abc.Callable[[int, float], float] = lambda index, now: (
        1.0
    )
    endpoints: int = 9
    hosts: int = 9
    slots: int = 8
    service_ms: float = 400.0
    end_ms: float = 40_000.0
    seed: int = 1


class Job:
    """A request of the model."""

    def __init__(self, number, host, kind, now, work) -> None:
        self.number = number
        self.host = host
        self.kind = kind
        self.arrived = now
        self.deadline = now + kind.deadline_ms
        self.work = work
        self.running: dict[int, float] = {}
        self.ticket = None
        self.ended: float | None = None
        self.refused: float | None = None
        self.attempts = 0
        self.waited = 0.0


class Host:
    """The algorithms and counters of one entry host."""

    def __init__(
        self,
        router: routing.Router,
        queue: queues.WaitQueue,
        shedding: load_shedding.Shedding,
        hedging: retries.Hedging | None = None,
    ) -> None:
        self.router = router
        self.queue = queue
        self.shedding = shedding
        self.hedging = hedging
        self.in_flight: dict[int, int] = {}


MakeHost = collections_abc.Callable[[str, random.Random], Host]
"""Makes a host from its failure domain and a random generator."""


class Model:
    """Simulates a load on a pool."""

    def __init__(
        self, settings: ModelSettings, make_host: MakeHost, times=None
    ) -> None:
        self.settings = settings
        self.now = 0.0
        self.jobs: list[Job] = []
        self.used = [0] * settings.endpoints
        self.cross_domain_attempts = 0
        self.times = times
        self._random = random.Random(settings.seed)
        self._events: list = []
        self._order = itertools.count()
        self._records = [
            records.EndpointRecord(
                f"e{index}", POOL, DOMAINS[index % 3], f"a{index}"
            )
            for index in range(settings.endpoints)
        ]
        self._hosts = [
            make_host(DOMAINS[index % 3], random.Random(index))
            for index in range(settings.hosts)
        ]

    @property
    def capacity(self) -> float:
        """Requests per millisecond that all endpoints serve when healthy."""
        settings = self.settings
        return settings.endpoints * settings.slots / settings.service_ms

    def run(self) -> "Model":
        """Run until all requests of the load have ended."""
        self._schedule_arrival()
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def _schedule(self, time_ms, action, *arguments) -> None:
        entry = (time_ms, next(self._order), action, arguments)
        heapq.heappush(self._events, entry)

    def _schedule_arrival(self) -> None:
        rate = self.capacity * max(1e-6, self.settings.load(self.now))
        time_ms = self.now + self._random.expovariate(rate)
        if time_ms < self.settings.end_ms:
            self._schedule(time_ms, self._arrive)

    def _arrive(self) -> None:
        self._schedule_arrival()
        kinds = self.settings.kinds
        kind = self._random.choices(
            kinds, [one.load_fraction for one in kinds]
        )[0]
        host = self._random.choice(self._hosts)
        mean = self.settings.service_ms
        # Half of the service time is constant; the rest is exponential.
        work = mean / 2 + self._random.expovariate(2 / mean)
        job = Job(len(self.jobs), host, kind, self.now, work)
        self.jobs.append(job)
        wait = host.shedding.admit((POOL,), kind.priority, self.now)
        if wait:
            job.refused = wait
            return
        self._schedule(job.deadline, self._end_at_deadline, job)
        self._begin(job)

    def _begin(self, job: Job) -> None:
        host = job.host
        requirements = self._make_requirements(job)
        host.shedding.record_slot_request(POOL, self.now)
        for candidate in host.router.rank(
            requirements, self._candidates(host, requirements), self.now
        ):
            if candidate.free_slots:
                self._start(job, int(candidate.record.endpoint[1:]))
                return
        job.ticket = queues.Ticket(job.number, requirements, self.now)
        host.queue.push(job.ticket, self.now)

    def _make_requirements(
        self, job: Job, excluded=frozenset()
    ) -> routing.StageRequirements:
        kind = job.kind
        return routing.StageRequirements(
            f"r{job.number}",
            kind.team,
            kind.priority,
            POOL,
            job.deadline,
            kind.aging_ms,
            excluded=excluded,
        )

    def _candidates(
        self, host: Host, requirements: routing.StageRequirements
    ) -> list:
        slots = self.settings.slots
        return [
            routing.Candidate(
                record,
                max(0, slots - self.used[index]),
                host.in_flight.get(index, 0),
                slots,
                records.Warmth.WARM,
            )
            for index, record in enumerate(self._records)
            if requirements.allows(record)
        ]

    def _start(self, job: Job, index: int) -> None:
        host = job.host
        first = not job.attempts
        job.attempts += 1
        job.running[index] = self.now
        self.used[index] += 1
        host.in_flight[index] = host.in_flight.get(index, 0) + 1
        is_cross_domain = (
            self._records[index].domain != DOMAINS[self._hosts.index(host) % 3]
        )
        self.cross_domain_attempts += is_cross_domain
        duration_ms = (
            job.work * self.settings.slow(index, self.now)
            + CROSS_DOMAIN_MS * is_cross_domain
        )
        self._schedule(self.now + duration_ms, self._finish, job, index)
        if first:
            job.waited = self.now - job.arrived
            host.shedding.record_slot_acquired(POOL, job.waited, self.now)
            self._schedule_hedge(job)

    def _schedule_hedge(self, job: Job) -> None:
        hedging = job.host.hedging
        if hedging is None:
            return
        hedging.record_first_attempt()
        hedge_delay_ms = hedging.hedge_delay_ms(POOL, self.now)
        if hedge_delay_ms is not None:
            self._schedule(self.now + hedge_delay_ms, self._hedge, job)

    def _hedge(self, job: Job) -> None:
        if job.ended is not None or not job.running:
            return
        host = job.host
        requirements = self._make_requirements(
            job, frozenset(f"e{one}" for one in job.running)
        )
        ranked = host.router.rank(
            requirements, self._candidates(host, requirements), self.now
        )
        for candidate in ranked:
            if candidate.free_slots and host.hedging.acquire_hedge(self.now):
                self._start(job, int(candidate.record.endpoint[1:]))
                return

    def _finish(self, job: Job, index: int) -> None:
        if index not in job.running:
            return
        job.ended = self.now
        self._release(job, index, records.Outcome.OK)
        for other in list(job.running):
            self._release(job, other, records.Outcome.CANCELLED)
        self._release_admission(job)

    def _end_at_deadline(self, job: Job) -> None:
        if job.ended is not None:
            return
        if job.ticket is not None and not job.attempts:
            job.host.queue.remove(job.ticket)
            job.host.shedding.record_slot_abandoned(POOL, self.now)
        for index in list(job.running):
            self._release(job, index, records.Outcome.CANCELLED)
        self._release_admission(job)

    def _release_admission(self, job: Job) -> None:
        job.host.shedding.release(
            (POOL,), job.kind.priority, self.now - job.arrived, self.now
        )

    def _release(self, job: Job, index: int, outcome) -> None:
        millis = self.now - job.running.pop(index)
        host = job.host
        host.in_flight[index] -= 1
        self.used[index] -= 1
        host.router.record_attempt(f"e{index}", outcome, millis, self.now)
        if self.times is not None:
            self.times.record_attempt(POOL, millis, self.now)
        self._serve_waiting(index)

    def _serve_waiting(self, index: int) -> None:
        hosts = self._hosts[:]
        self._random.shuffle(hosts)
        for host in hosts:
            if self.used[index] >= self.settings.slots:
                return
            if not len(host.queue):
                continue
            ticket = host.queue.pop(
                self.now,
                lambda one, host=host: self._would_route_to(host, one, index),
            )
            if ticket is not None:
                self._start(self.jobs[ticket.number], index)

    def _would_route_to(self, host: Host, ticket, index: int) -> bool:
        requirements = ticket.requirements
        ranked = host.router.rank(
            requirements, self._candidates(host, requirements), self.now
        )
        return any(one.record.endpoint == f"e{index}" for one in ranked)
