"""Hosts that send prompts to engines of uneven speed, on simulated time.

An engine reads waiting prompts one after the other and then writes the events
of all its streams side by side. The hosts decide by the product's routers and
exchange reports as its aggregators do, with a delay.
"""

import collections
import math
import random

from chervilshore.decisions import affinity
from chervilshore.decisions.capacity import estimates
from chervilshore.decisions.capacity import observations
from chervilshore.decisions.capacity import router as routers
from chervilshore.decisions import ejection
from chervilshore.decisions import routing
from chervilshore import forwarded
from chervilshore import records

STEP_MS = 10.0
START_MS = 40.0
TOKENS_PER_MS = 100.0
PAUSE_MS = 35.0
SLOWER_PER_STREAM = 0.015
OBJECTIVE_MS = 800.0
LONGEST_PAUSE_MS = 400.0
DOMAINS = ("north", "east", "south", "west")
SESSIONS = 600


class Prompt:
    """A request; ``size`` is its own part, beside one of its session."""

    def __init__(self, number, rng, now, large=True):
        self.requirements = routing.StageRequirements(
            f"r{number}",
            "team",
            0,
            "llm",
            now + 12_000.0,
            parts=(
                forwarded.PromptPart(f"s{rng.randrange(SESSIONS)}", 4000),
                forwarded.PromptPart(
                    f"r{number}",
                    int(min(50_000, rng.lognormvariate(8.2, 1.0)))
                    if large
                    else 600,
                ),
            ),
            tokens_out=500 if large else 100,
            objective=now + OBJECTIVE_MS,
            pause_ms=LONGEST_PAUSE_MS,
        )
        self.is_large = large
        self.sent_at = now
        self.events_left = rng.randrange(10, 60) if large else 10
        self.progress = 0.0
        self.tokens_left = 0.0
        self.host = None
        self.flight = None
        self.seen = 0
        self.first_ms = math.inf
        self.last_at = now
        self.pause_ms = 0.0

    @property
    def is_timely(self):
        return (
            self.first_ms <= OBJECTIVE_MS and self.pause_ms <= LONGEST_PAUSE_MS
        )

    def record_events(self, events, now):
        if not self.seen:
            self.first_ms = now - self.sent_at
        else:
            self.pause_ms = max(self.pause_ms, now - self.last_at)
        self.seen += events
        self.last_at = now
        if self.flight is not None:
            self.flight.record_events(self.seen, now)


class Engine:
    """An endpoint; ``slow`` returns how slow it is at a time with a load."""

    def __init__(self, index, slow, domains, slots=24):
        self.record = records.EndpointRecord(
            f"e{index}", "llm", DOMAINS[index % domains], "a:1", slots=slots
        )
        self.slow = slow
        self.waiting = collections.deque()
        self.running = []
        self.cached = set()
        self.sent = 0
        self.read_again = 0

    def send(self, prompt):
        session, own = prompt.requirements.parts
        prompt.tokens_left = START_MS * TOKENS_PER_MS + own.tokens
        if session.name not in self.cached:
            prompt.tokens_left += session.tokens
            self.read_again += session.tokens
            self.cached.add(session.name)
        self.sent += 1
        self.waiting.append(prompt)

    def step(self, now):
        """Work until a time; return the prompts that have ended."""
        streams = len(self.running)
        factor = self.slow(now, streams + len(self.waiting))
        busy = bool(self.waiting)
        tokens = STEP_MS * TOKENS_PER_MS / factor
        while self.waiting and len(self.running) < self.record.slots:
            first = self.waiting[0]
            used = min(tokens, first.tokens_left)
            first.tokens_left -= used
            tokens -= used
            if first.tokens_left > 0:
                break
            self.running.append(self.waiting.popleft())
            first.progress = 1.0
        pace = PAUSE_MS * factor * (1 + SLOWER_PER_STREAM * streams)
        for prompt in self.running:
            # Prompts are read between the tokens of the streams.
            prompt.progress += STEP_MS / pace / (3.0 if busy else 1.0)
            events = min(int(prompt.progress), prompt.events_left)
            if events:
                prompt.progress -= events
                prompt.events_left -= events
                prompt.record_events(events, now)
        ended = [one for one in self.running if not one.events_left]
        self.running = [one for one in self.running if one.events_left]
        return ended


class Host:
    """A host that decides by itself."""

    def __init__(self, index, domains, hosts, learns):
        self.domain = DOMAINS[index % domains]
        self.flights = observations.Flights()
        self.estimates = estimates.Estimates()
        self.in_flight = collections.Counter()
        self.reported = {}
        eject = ejection.NoEjection()
        rng = random.Random(index)
        self.router = (
            routers.CapacityRouter(
                self.domain,
                rng,
                eject,
                self.estimates,
                self.flights.list_running,
                lambda: hosts,
            )
            if learns
            else affinity.AffinityRouter(self.domain, rng, eject)
        )


class Fleet:
    """Hosts and engines.

    Parameters
    ----------
    slow : callable
        Returns how slow an engine, given by its index, is at a time with a
        number of requests.
    rate : callable
        Returns the prompts a second that come to a domain, given by its
        index, at a time.
    learns : bool
        Whether hosts learn capacity; the earlier way if not.
    report_ms : float
        Milliseconds between reports, which also take as long to arrive.
    is_cut : callable
        Returns whether a domain gets no table at a time.
    """

    def __init__(
        self,
        slow,
        rate,
        learns=True,
        hosts=81,
        engines=45,
        domains=4,
        report_ms=250.0,
        is_cut=lambda domain, now: False,
        large_share=0.4,
        seed=1,
    ):
        self.rng = random.Random(seed)
        self.rate = rate
        self.report_ms = report_ms
        self.is_cut = is_cut
        self.large_share = large_share
        self.learns = learns
        self.domains = domains
        self.engines = {}
        for index in range(engines):
            self.add_engine(
                index, lambda now, load, index=index: slow(index, now, load)
            )
        self.hosts = [
            Host(index, domains, hosts, learns) for index in range(hosts)
        ]
        self.prompts = []
        self.now = 0.0
        self._tables = collections.deque()
        self._next_report = report_ms

    def add_engine(self, index, slow):
        engine = Engine(index, slow, self.domains)
        self.engines[engine.record.endpoint] = engine
        return engine

    def run(self, until_ms, each=lambda fleet: None):
        while self.now < until_ms:
            self.now += STEP_MS
            for domain in range(self.domains):
                expected = self.rate(domain, self.now) * STEP_MS / 1000.0
                while self.rng.random() < expected:
                    expected -= 1.0
                    self._arrive(domain)
            for engine in self.engines.values():
                for prompt in engine.step(self.now):
                    self._end(prompt, engine)
            if self.learns:
                self._exchange()
            each(self)
        return self

    def _arrive(self, domain):
        large = self.rng.random() < self.large_share
        prompt = Prompt(len(self.prompts), self.rng, self.now, large)
        self.prompts.append(prompt)
        near = [one for one in self.hosts if one.domain == DOMAINS[domain]]
        host = prompt.host = self.rng.choice(near or self.hosts)
        candidates = [
            routing.Candidate(
                one.record, in_flight=host.in_flight[one.record.endpoint]
            )
            for one in self.engines.values()
        ]
        chosen = host.router.rank(prompt.requirements, candidates, self.now)[0]
        endpoint = chosen.record.endpoint
        host.in_flight[endpoint] += 1
        if chosen.expected_ms:
            prompt.flight = observations.Flight(
                prompt.requirements.request,
                endpoint,
                chosen.read_tokens,
                chosen.tokens_ahead,
                chosen.expected_ms,
                self.now,
            )
            host.flights.add(prompt.flight)
        self.engines[endpoint].send(prompt)

    def _end(self, prompt, engine):
        prompt.host.in_flight[engine.record.endpoint] -= 1
        if prompt.flight is not None:
            prompt.host.flights.end(prompt.flight)

    def _exchange(self):
        """Sum the reports of all hosts, and hand out earlier sums."""
        while self._tables and self._tables[0][0] <= self.now:
            _, table, mine = self._tables.popleft()
            slots = {
                name: one.record.slots for name, one in self.engines.items()
            }
            for host in self.hosts:
                if not self.is_cut(host.domain, self.now):
                    host.estimates.record(
                        table, mine[host], slots, self.now, self.report_ms
                    )
        if self.now < self._next_report:
            return
        self._next_report += self.report_ms
        reports = observations.Reports(estimates.TABLE_MAX_AGE_MS)
        mine = {}
        for number, host in enumerate(self.hosts):
            seen = host.flights.collect()
            mine[host] = {one.endpoint: one for one in seen}
            reports.record(str(number), seen, self.now)
        table = reports.collect(self.now)
        self._tables.append((self.now + self.report_ms, table, mine))

    def judge(self, large=None, since_ms=2000.0):
        """Return the share of timely prompts, and their p99 in ms."""
        judged = [
            one
            for one in self.prompts
            if since_ms <= one.sent_at <= self.now - 3000.0
            and large in (None, one.is_large)
        ]
        timely = sum(one.is_timely for one in judged) / len(judged)
        firsts = sorted(one.first_ms for one in judged)
        return timely, firsts[int(0.99 * len(firsts))]
