"""Simulates the grant decisions of several hosts over a faulty network.

The simulation counts the attempts in flight at each endpoint, as the
endpoint would see them.
"""

import heapq
import itertools

from chervilshore.decisions import clusterview
from chervilshore.decisions import concurrency
from chervilshore.decisions import grants
from chervilshore import records

TICK_MS = 100.0
MAX_ATTEMPT_MS = 1500.0


class Host:
    """One entry host; `node` is replaced when the host restarts."""

    def __init__(self, name, domain):
        self.name = name
        self.domain = domain
        self.node = None
        self.starts = 0
        self.is_paused = False
        self.deferred = []
        self.waiting = {}


class Cluster:
    """Hosts and endpoints on a network, with injected faults.

    `worst` is the highest number of attempts in flight at each endpoint, and
    `done` the number of completed ones.
    """

    def __init__(self, rng, homes, placements, is_cold=True):
        self.rng = rng
        self.now = 0.0
        self.placements = placements
        self.is_cold = is_cold
        # The first processes started long ago, so they know all hosts.
        self.uptime_ms = 10_000.0
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.delay_rate = 0.0
        self.partitioned = set()
        self.suspected_until = {}
        self.states = {}
        self.in_flight = {endpoint: {} for endpoint in placements}
        self.worst = dict.fromkeys(placements, 0)
        self.done = dict.fromkeys(placements, 0)
        self.sent = 0
        self.min_budget_ms = 0.0
        self.instances = dict.fromkeys(placements, "one")
        self.millis = lambda endpoint: self.rng.uniform(5, 600)
        self._events = []
        self._order = itertools.count()
        self.hosts = {name: Host(name, home) for name, home in homes.items()}
        for name in homes:
            self.start(name)
        self.uptime_ms = 0.0

    def after(self, millis, function, *args):
        entry = (self.now + millis, next(self._order), function, args)
        heapq.heappush(self._events, entry)

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)
        self.now = until

    # Hosts.

    def start(self, name):
        host = self.hosts[name]
        if host.node is not None:
            self.kill(name)
        host.starts += 1
        host.waiting = {}
        host.is_paused = False
        host.deferred = []
        # Run IDs come from the wall clock, so they rise unevenly.
        run_id = host.starts * 1_000_000 + self.rng.randrange(1000)
        host.node = grants.Grants(
            name, run_id, MAX_ATTEMPT_MS, self.now - self.uptime_ms
        )
        self.states[name] = records.HostState.ALIVE
        self.suspected_until = {
            pair: until
            for pair, until in self.suspected_until.items()
            if name not in pair
        }
        host.node.set_topology(self.observe(name), self.now)
        self.announce(1500.0)
        self._tick(name, host.starts)

    def kill(self, name):
        host = self.hosts[name]
        host.node = None
        host.is_paused = False
        self.states[name] = None
        for attempts in self.in_flight.values():
            for key in [key for key in attempts if key[0] == name]:
                del attempts[key]
        self.announce()

    def leave(self, name):
        self.states[name] = records.HostState.LEAVING
        self.announce()

    def pause(self, name, millis):
        host = self.hosts[name]
        if host.node is None or host.is_paused:
            return
        host.is_paused = True
        self.after(millis, self._resume, name, host.starts)
        if millis > 500:
            self.after(500, self._suspect_paused, name)

    def _suspect_paused(self, name):
        for other in self.hosts:
            if self.rng.random() < 0.8:
                self.suspect(other, name, self.rng.uniform(100, 3000))

    def suspect(self, other, name, millis):
        """Make one host consider another one down for some milliseconds."""
        if other != name:
            until = self.suspected_until.get((other, name), 0.0)
            self.suspected_until[other, name] = max(until, self.now + millis)
            self.after(0, self._update_view, other, self.hosts[other].starts)
            self.after(
                millis + 1, self._update_view, other, self.hosts[other].starts
            )

    def _resume(self, name, starts):
        host = self.hosts[name]
        if host.node is None or host.starts != starts:
            return
        host.is_paused = False
        deferred_calls, host.deferred = host.deferred, []
        # A resumed process may run its timers before it reads its sockets.
        self.rng.shuffle(deferred_calls)
        for function, args in deferred_calls:
            function(*args)

    def _call(self, name, starts, function, *args):
        """Call a function in a host's process run, later if it is paused."""
        host = self.hosts[name]
        if host.node is None or host.starts != starts:
            return
        if host.is_paused:
            host.deferred.append((self._call, (name, starts, function, *args)))
            return
        function(host, *args)
        self._flush(host)

    def _tick(self, name, starts):
        self._call(name, starts, self._run_tick)

    def _run_tick(self, host):
        host.node.tick(self.now)
        self._serve_waiting(host, list(host.waiting))
        self.after(TICK_MS, self._tick, host.name, host.starts)

    # Topologies: each host sees a change after a random delay.

    def observe(self, name):
        home = self.hosts[name].domain
        hosts = {}
        for other, host in self.hosts.items():
            state = self.states.get(other)
            if state is None or self._is_partitioned(home, host.domain):
                continue
            if self.now < self.suspected_until.get((name, other), 0.0):
                continue
            hosts[other] = (host.domain, state)
        return clusterview.Topology(hosts, self.placements)

    def announce(self, max_delay_ms=2000.0):
        for name, host in self.hosts.items():
            delay_ms = self.rng.uniform(50, max_delay_ms)
            self.after(delay_ms, self._update_view, name, host.starts)

    def _update_view(self, name, starts):
        def update(host):
            host.node.set_topology(self.observe(name), self.now)

        self._call(name, starts, update)

    def _is_partitioned(self, domain, other):
        return domain != other and (
            domain in self.partitioned or other in self.partitioned
        )

    # The network.

    def _flush(self, host):
        for to, message in host.node.drain(self.now):
            self.sent += 1
            self._transmit(host, to, message)
        changed, host.node.changed = host.node.changed, set()
        if changed:
            self._serve_waiting(host, sorted(changed))

    def _transmit(self, host, to, message):
        copies = 2 if self.rng.random() < self.duplicate_rate else 1
        for _ in range(copies):
            if self.rng.random() < self.loss_rate:
                continue
            millis = self.rng.uniform(0.3, 1.5)
            if self.rng.random() < self.delay_rate:
                millis = self.rng.uniform(1, 1200)
            self.after(millis, self._deliver, host.name, to, message)

    def _deliver(self, sender, to, message):
        receiver = self.hosts[to]
        if self._is_partitioned(self.hosts[sender].domain, receiver.domain):
            return

        def receive(host):
            host.node.receive(sender, message, self.now)

        self._call(to, receiver.starts, receive)

    # Requests and attempts.

    def request(self, name, endpoint, budget_ms):
        host = self.hosts[name]
        ends_at = self.now + budget_ms
        self._call(name, host.starts, self._add_waiting, endpoint, ends_at)

    def _add_waiting(self, host, endpoint, ends_at):
        host.waiting.setdefault(endpoint, []).append(ends_at)
        self._serve_waiting(host, [endpoint])

    def _serve_waiting(self, host, endpoints):
        for endpoint in endpoints:
            waiting = [
                ends_at
                for ends_at in host.waiting.get(endpoint, [])
                if ends_at > self.now + self.min_budget_ms
            ]
            while waiting:
                grant = host.node.acquire(endpoint, waiting[0], self.now)
                if grant is None:
                    break
                ends_at = waiting.pop(0)
                self.after(
                    self.rng.choice((0, 0, 2, 20)),
                    self._send,
                    (host.name, host.starts),
                    endpoint,
                    grant,
                    ends_at,
                )
            host.waiting[endpoint] = waiting
            last_end = max(waiting, default=self.now)
            host.node.set_wanted(endpoint, len(waiting), last_end, self.now)
        for to, message in host.node.drain(self.now):
            self.sent += 1
            self._transmit(host, to, message)

    def _send(self, process, endpoint, grant, ends_at):
        def send(host):
            if not host.node.confirm(endpoint, grant, self.now):
                self._finish(host, endpoint, grant, None)
                return
            key = (host.name, host.starts, grant)
            attempts = self.in_flight[endpoint]
            attempts[key] = True
            self.worst[endpoint] = max(self.worst[endpoint], len(attempts))
            millis = min(self.millis(endpoint), ends_at - self.now)
            self.after(millis, self._complete, key, endpoint, millis)

        self._call(*process, send)

    def _complete(self, key, endpoint, millis):
        self.in_flight[endpoint].pop(key, None)
        self._call(*key[:2], self._finish, endpoint, key[2], millis)

    def _finish(self, host, endpoint, grant, millis):
        outcomes = ()
        if millis is not None:
            self.done[endpoint] += 1
            outcomes = ((records.Outcome.OK, millis),)
        sample = concurrency.Sample(
            outcomes, self.instances[endpoint], self.is_cold
        )
        host.node.release(endpoint, grant, sample, self.now)
