"""A cluster of hosts that share team limits over an in-memory network."""

import collections
import random

from chervilshore.controllers import configuration
from chervilshore.controllers import directory
from chervilshore.controllers import limits
from chervilshore.decisions import shared_limits
from chervilshore import records
from chervilshore.rules import model

STEP_MS = 20.0
SERVICE_MS = 50.0


class LimitsCluster:
    """Hosts in three failure domains that share the limits of one team."""

    def __init__(self, clock, network, count=9, **limit):
        self.clock = clock
        self.network = network
        self.team = model.Team("vans", **limit)
        self.admitted = collections.Counter()
        self.refused = collections.Counter()
        self.running = collections.Counter()
        self._random = random.Random(5)
        self._request_ends = collections.deque()
        self.records = [
            records.HostRecord(f"h{index}", f"d{index % 3}", f"a{index}", "")
            for index in range(count)
        ]
        rules = configuration.StaticConfiguration(
            model.Rules(generation=1, teams={"vans": self.team})
        )
        self.directories = {}
        self.limits = {}
        self.services = {}
        for record in self.records:
            known = directory.StaticDirectory(
                records.HostList(tuple(self.records))
            )
            shared = shared_limits.SharedLimits(count)
            self.directories[record.host] = known
            self.limits[record.host] = shared
            self.services[record.host] = limits.ClusterLimits(
                record.host,
                clock,
                network.join(record.peer_address),
                known,
                rules,
                shared,
                500.0,
                2000.0,
                random.Random(record.host),
            )

    async def start(self):
        for service in self.services.values():
            await service.start()

    async def stop(self):
        for service in self.services.values():
            await service.stop()

    async def kill(self, host):
        """Stop a host; the others still list it."""
        record = next(one for one in self.records if one.host == host)
        self.network.remove_host(record.peer_address)
        await self.services.pop(host).stop()
        del self.limits[host]

    def set_down_hosts(self, hosts, down):
        """Remove down hosts from the lists of some hosts."""
        remaining = tuple(one for one in self.records if one.host not in down)
        for host in hosts:
            self.directories[host].host_list = records.HostList(remaining)

    async def send(self, rate, millis, hosts=None, hold_ms=SERVICE_MS):
        """Send requests of the team to random hosts for some time.

        Parameters
        ----------
        rate : float
            Requests per second.
        millis : float
            Duration in milliseconds.
        hosts : list of str or None
            The hosts; None sends to all.
        hold_ms : float
            Duration of a request in milliseconds.
        """
        chosen = sorted(hosts or self.limits)
        due = 0.0
        for _ in range(int(millis / STEP_MS)):
            due += rate * STEP_MS / 1000.0
            while due >= 1.0:
                due -= 1.0
                self._send_one(self._random.choice(chosen), hold_ms)
            await self.clock.advance(STEP_MS)
            self._end_requests()

    def _send_one(self, host, hold_ms):
        now = self.clock.now()
        if self.limits[host].admit(self.team, now):
            self.refused[host] += 1
            return
        self.admitted[host] += 1
        self.running[host] += 1
        self._request_ends.append((now + hold_ms, host))

    def _end_requests(self):
        while (
            self._request_ends and self._request_ends[0][0] <= self.clock.now()
        ):
            _, host = self._request_ends.popleft()
            self.running[host] -= 1
            if host in self.limits:
                self.limits[host].release("vans", SERVICE_MS, self.clock.now())
