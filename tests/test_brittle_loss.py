"""Brittle endpoints after all hosts have ended at once and started again."""

import os

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import endpointnotices
from tests import test_brittle

SCHEDULES = int(os.environ.get("SCHEDULES", "60"))
LOST_AT_MS = 9000.0
AWAY_MS = 1000.0


class Day(test_brittle.Day):
    """A day on which all hosts lose what they know."""

    def run(self, load):
        self.away = False
        self.epoch = 0
        self.schedule(LOST_AT_MS, self.lose)
        super().run(load)

    def lose(self):
        self.away = True
        self.epoch += 1
        self.in_flight.clear()
        for host in self.hosts:
            self.known[host] = endpointnotices.EndpointNotices(self.rng)
            self.known[host].record_hosts(len(self.hosts))
        for endpoint in self.endpoints:
            # Endpoints drop the requests of closed connections.
            endpoint.waiting.clear()
            endpoint.running = 0
        self.schedule(AWAY_MS, self.come_back)

    def come_back(self):
        self.away = False

    def may_send(self, host, endpoint):
        return not self.away and super().may_send(host, endpoint)

    def schedule(self, delay_ms, function, *arguments):
        if function in (self.reach, self.end, self.answer):
            epoch = self.epoch

            def run_if_current(*given):
                if epoch == self.epoch:
                    function(*given)

            super().schedule(delay_ms, run_if_current, *arguments)
        else:
            super().schedule(delay_ms, function, *arguments)


def test_brittle_endpoints_do_not_fall_over_after_all_hosts_start():
    falls = {}
    for seed in range(SCHEDULES):
        day = Day(seed, 3 + seed % 7)
        day.run((0.5, 1.0, 2.0, 3.0)[seed % 4])
        count = sum(one.falls for one in day.endpoints)
        if count:
            falls[seed] = (count, day.max_rejections)
    assertions.assert_that(falls, matchers.Equals({}))
