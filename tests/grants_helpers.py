"""A fleet of grant decisions on a faulty network, in one process.

It counts what is in flight at each endpoint, as the endpoint would see it.
"""

import heapq
import itertools

from chervilshore.decisions import concurrency
from chervilshore.decisions import grants
from chervilshore.decisions import outlook
from chervilshore import records

TICK_MS = 100.0
LONGEST_MS = 1500.0


class Host:
    """One entry host; `node` is replaced when it is restarted."""

    def __init__(self, name, domain):
        self.name = name
        self.domain = domain
        self.node = None
        self.life = 0
        self.is_paused = False
        self.held_back = []
        self.waiting = {}


class Fleet:
    """Hosts, endpoints, a network and what goes wrong."""

    def __init__(self, rng, homes, places, is_cold=True):
        self.rng = rng
        self.now = 0.0
        self.places = places
        self.is_cold = is_cold
        # At first all processes have run for long.
        self.ago = 10_000.0
        self.loss = 0.0
        self.double = 0.0
        self.late = 0.0
        self.cut = set()
        self.doubted = {}
        self.states = {}
        self.in_flight = {endpoint: {} for endpoint in places}
        self.worst = dict.fromkeys(places, 0)
        self.done = dict.fromkeys(places, 0)
        self.sent = 0
        self.least_ms = 0.0
        self.instances = dict.fromkeys(places, "one")
        self.millis = lambda endpoint: self.rng.uniform(5, 600)
        self._events = []
        self._order = itertools.count()
        self.hosts = {name: Host(name, home) for name, home in homes.items()}
        for name in homes:
            self.start(name)
        self.ago = 0.0

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
        host.life += 1
        host.waiting = {}
        host.is_paused = False
        host.held_back = []
        # The wall clock sets a process's number; it need not run evenly.
        life = host.life * 1_000_000 + self.rng.randrange(1000)
        host.node = grants.Grants(name, life, LONGEST_MS, self.now - self.ago)
        self.states[name] = records.HostState.ALIVE
        self.doubted = {
            pair: until
            for pair, until in self.doubted.items()
            if name not in pair
        }
        host.node.set_view(self.look(name), self.now)
        self.spread(1500.0)
        self._tick(name, host.life)

    def kill(self, name):
        host = self.hosts[name]
        host.node = None
        host.is_paused = False
        self.states[name] = None
        for attempts in self.in_flight.values():
            for key in [key for key in attempts if key[0] == name]:
                del attempts[key]
        self.spread()

    def leave(self, name):
        self.states[name] = records.HostState.LEAVING
        self.spread()

    def pause(self, name, millis):
        host = self.hosts[name]
        if host.node is None or host.is_paused:
            return
        host.is_paused = True
        self.after(millis, self._wake, name, host.life)
        if millis > 500:
            self.after(500, self._doubt, name)

    def _doubt(self, name):
        for other in self.hosts:
            if self.rng.random() < 0.8:
                self.doubt(other, name, self.rng.uniform(100, 3000))

    def doubt(self, other, name, millis):
        """Let one host believe for a while that another one is down."""
        if other != name:
            until = self.doubted.get((other, name), 0.0)
            self.doubted[other, name] = max(until, self.now + millis)
            self.after(0, self._see, other, self.hosts[other].life)
            self.after(millis + 1, self._see, other, self.hosts[other].life)

    def _wake(self, name, life):
        host = self.hosts[name]
        if host.node is None or host.life != life:
            return
        host.is_paused = False
        held, host.held_back = host.held_back, []
        # A process that wakes may see its timers before its sockets.
        self.rng.shuffle(held)
        for function, args in held:
            function(*args)

    def _do(self, name, life, function, *args):
        """Run something in a host's process, later if it is paused."""
        host = self.hosts[name]
        if host.node is None or host.life != life:
            return
        if host.is_paused:
            host.held_back.append((self._do, (name, life, function, *args)))
            return
        function(host, *args)
        self._flush(host)

    def _tick(self, name, life):
        self._do(name, life, self._tick_now)

    def _tick_now(self, host):
        host.node.tick(self.now)
        self._match(host, list(host.waiting))
        self.after(TICK_MS, self._tick, host.name, host.life)

    # Views: each host sees changes after a time of its own.

    def look(self, name):
        home = self.hosts[name].domain
        hosts = {}
        for other, host in self.hosts.items():
            state = self.states.get(other)
            if state is None or self._is_cut(home, host.domain):
                continue
            if self.now < self.doubted.get((name, other), 0.0):
                continue
            hosts[other] = (host.domain, state)
        return outlook.View(hosts, self.places)

    def spread(self, most=2000.0):
        for name, host in self.hosts.items():
            late = self.rng.uniform(50, most)
            self.after(late, self._see, name, host.life)

    def _see(self, name, life):
        def see(host):
            host.node.set_view(self.look(name), self.now)

        self._do(name, life, see)

    def _is_cut(self, one, two):
        return one != two and (one in self.cut or two in self.cut)

    # The network.

    def _flush(self, host):
        for to, message in host.node.drain(self.now):
            self.sent += 1
            self._carry(host, to, message)
        changed, host.node.changed = host.node.changed, set()
        if changed:
            self._match(host, sorted(changed))

    def _carry(self, host, to, message):
        copies = 2 if self.rng.random() < self.double else 1
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            millis = self.rng.uniform(0.3, 1.5)
            if self.rng.random() < self.late:
                millis = self.rng.uniform(1, 1200)
            self.after(millis, self._deliver, host.name, to, message)

    def _deliver(self, sender, to, message):
        receiver = self.hosts[to]
        if self._is_cut(self.hosts[sender].domain, receiver.domain):
            return

        def take(host):
            host.node.receive(sender, message, self.now)

        self._do(to, receiver.life, take)

    # Work.

    def request(self, name, endpoint, budget):
        host = self.hosts[name]
        ends = self.now + budget
        self._do(name, host.life, self._want, endpoint, ends)

    def _want(self, host, endpoint, ends):
        host.waiting.setdefault(endpoint, []).append(ends)
        self._match(host, [endpoint])

    def _match(self, host, endpoints):
        for endpoint in endpoints:
            waiting = [
                ends
                for ends in host.waiting.get(endpoint, [])
                if ends > self.now + self.least_ms
            ]
            while waiting:
                grant = host.node.take(endpoint, waiting[0], self.now)
                if grant is None:
                    break
                ends = waiting.pop(0)
                self.after(
                    self.rng.choice((0, 0, 2, 20)),
                    self._send,
                    (host.name, host.life),
                    endpoint,
                    grant,
                    ends,
                )
            host.waiting[endpoint] = waiting
            longest = max(waiting, default=self.now)
            host.node.want(endpoint, len(waiting), longest, self.now)
        for to, message in host.node.drain(self.now):
            self.sent += 1
            self._carry(host, to, message)

    def _send(self, owner, endpoint, grant, ends):
        def send(host):
            if not host.node.confirm(endpoint, grant, self.now):
                self._finish(host, endpoint, grant, None)
                return
            key = (host.name, host.life, grant)
            attempts = self.in_flight[endpoint]
            attempts[key] = True
            self.worst[endpoint] = max(self.worst[endpoint], len(attempts))
            millis = min(self.millis(endpoint), ends - self.now)
            self.after(millis, self._answer, key, endpoint, millis)

        self._do(*owner, send)

    def _answer(self, key, endpoint, millis):
        self.in_flight[endpoint].pop(key, None)
        self._do(*key[:2], self._finish, endpoint, key[2], millis)

    def _finish(self, host, endpoint, grant, millis):
        outcomes = ()
        if millis is not None:
            self.done[endpoint] += 1
            outcomes = ((records.Outcome.OK, millis),)
        sample = concurrency.Sample(
            outcomes, self.instances[endpoint], self.is_cold
        )
        host.node.release(endpoint, grant, sample, self.now)
