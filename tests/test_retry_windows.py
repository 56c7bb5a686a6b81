"""Sends beyond the first of all hosts together, in every sliding window."""

import bisect
import heapq
import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import retrybudgets
from chervilshore.decisions import retryshares
from tests import gateway_helpers

SEEDS = range(60)
END_MS = 60_000.0
MAX_SENDS = 4
NETWORK_MS = 5.0
CONNECT_MS = 500.0

LATE_SHARE = 0.2
LATE_MS = 3700.0
"""The longest time in which a send arrives, with a new connection and lost
segments, and the share of the sends that may take so long."""

BATCH_STAGES_MS = (200.0, 8000.0)
REGISTRATION_MS = 30.0
"""Milliseconds in which a host that has started learns of another one."""

POOLS = {"model": True, "ledger": False}
"""Whether the requests for each pool have batch stages."""


class Host:
    """One host: its budgets, and when it runs."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.run = 0
        self.stalled_until = 0.0
        self.start()

    def start(self):
        """Start a new process, which knows of no other host."""
        self.run += 1
        self._known = 1
        self.budgets = retrybudgets.RetryBudgets(
            retryshares.split_retry_budget(self._cluster.options, 1)
        )

    def learn_hosts(self, known, now):
        """Share with the other hosts, as `Gateway` does."""
        if self._known == 1:
            self.budgets.drop_tokens(now)
        self._known = known
        self.budgets.reconfigure(
            retryshares.split_retry_budget(self._cluster.options, known)
        )


class Cluster:
    """Hosts, callers and endpoints of which most refuse their requests.

    Attributes
    ----------
    requests, repeats : dict of str to list of float
        For each pool, the times at which callers sent requests, and those at
        which endpoints got requests that they or others had got before.
    """

    def __init__(self, seed):
        self._rng = random.Random(seed)
        count = self._rng.choice([3, 9, 27, 76])
        slack = max(52, 2.6 * count)
        self.options = gateway_helpers.make_retry_options(slack)
        self.requests = {pool: [] for pool in POOLS}
        self.repeats = {pool: [] for pool in POOLS}
        self._per_second = self._rng.choice([4.0, 12.0, 40.0, 200.0])
        self._model_share = self._rng.choice([0.9, 0.75, 0.25])
        self._failing_pools = self._rng.choice([["ledger"], list(POOLS)])
        self._ok_weight = self._rng.choice([0, 2])
        self._now = 0.0
        self._order = 0
        self._events = []
        self.hosts = [Host(self) for _ in range(count)]
        unevenness = self._rng.choice([0.0, 2.0])
        self._weights = [
            self._rng.random() ** unevenness + 0.02 for _ in self.hosts
        ]
        for host in self.hosts:
            host.learn_hosts(count, 0.0)
        self._failing_from = self._rng.uniform(12_000.0, 20_000.0)
        self._backlog_until = self._failing_from + self._rng.uniform(
            0.0, 20_000.0
        )

    def play(self):
        """Play the whole schedule."""
        self._at(0.0, self._send_next)
        for _ in range(self._rng.choice([0, 2, 8])):
            host = self._rng.choice(self.hosts)
            moment = self._failing_from + self._rng.uniform(0.0, 30_000.0)
            self._at(moment, self._restart, host)
        for _ in range(self._rng.choice([0, 2, 8])):
            host = self._rng.choice(self.hosts)
            moment = self._failing_from + self._rng.uniform(0.0, 30_000.0)
            self._at(moment, self._stall, [host])
        # All hosts restart or stand still at the same moment.
        moment = self._failing_from + self._rng.uniform(0.0, 12_000.0)
        if self._rng.random() < 0.4:
            for host in self.hosts:
                self._at(moment, self._restart, host)
        elif self._rng.random() < 0.5:
            self._at(moment, self._stall, self.hosts)
        while self._events:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _at(self, moment, action, *arguments):
        self._order += 1
        heapq.heappush(self._events, (moment, self._order, action, arguments))

    def _on_host(self, host, delay_ms, action, *arguments):
        """Run an action on a host, unless its process has ended by then."""
        run = host.run

        def act():
            if host.run != run:
                return
            if self._now < host.stalled_until:
                self._at(host.stalled_until, act)
                return
            action(host, *arguments)

        self._at(self._now + delay_ms, act)

    def _restart(self, host):
        host.start()
        # It meets one other host, then some more, and at last all.
        met = self._rng.randint(2, len(self.hosts))
        for known in sorted({2, met, len(self.hosts)}):
            self._on_host(host, REGISTRATION_MS * known, self._learn, known)

    def _learn(self, host, known):
        host.learn_hosts(known, self._now)

    def _stall(self, hosts):
        end = self._now + self._rng.uniform(100.0, 4000.0)
        for host in hosts:
            host.stalled_until = max(host.stalled_until, end)

    def _send_next(self):
        if self._now > END_MS:
            return
        is_model = self._rng.random() < self._model_share
        pool = "model" if is_model else "ledger"
        host = self._rng.choices(self.hosts, self._weights)[0]
        self.requests[pool].append(self._now)
        self._on_host(host, NETWORK_MS, self._arrive, pool)
        gap_ms = self._rng.expovariate(self._per_second / 1000.0)
        self._at(self._now + gap_ms, self._send_next)

    def _arrive(self, host, pool):
        sends = retrybudgets.Sends(host.budgets.find(pool))
        self._on_host(
            host, self._choose_batch_ms(pool), self._send, pool, sends
        )

    def _choose_batch_ms(self, pool):
        if not POOLS[pool]:
            return 0.0
        if self._failing_from <= self._now < self._backlog_until:
            # The batch pools are behind; then all are released at once.
            return self._backlog_until - self._now
        return self._rng.uniform(*BATCH_STAGES_MS)

    def _send(self, host, pool, sends, attempts=1):
        is_paid = sends.begin()
        failing = (
            self._now >= self._failing_from and pool in self._failing_pools
        )
        kind = self._rng.choices(
            ["ok", "unreached", "busy", "gone"],
            [self._ok_weight, 2, 6, 6 * POOLS[pool]]
            if failing
            else [1, 0, 0, 0],
        )[0]
        if kind == "unreached":
            sends.withdraw(is_paid)
        else:
            is_late = self._rng.random() < LATE_SHARE
            longest_ms = LATE_MS if is_late else NETWORK_MS
            arrived_at = self._now + self._rng.uniform(0.0, longest_ms)
            if sends.arrivals > 1:
                self.repeats[pool].append(arrived_at)
        if (
            kind == "ok"
            or attempts == MAX_SENDS
            or not sends.reserve(self._now)
        ):
            sends.end()
            return
        delay_ms = self._rng.uniform(0.0, CONNECT_MS)
        if kind == "gone":
            delay_ms += self._choose_batch_ms(pool)
        if self._rng.random() < 0.1:
            # The caller leaves, or the batch stages fail.
            self._on_host(host, delay_ms, lambda host: sends.end())
            return
        self._on_host(host, delay_ms, self._send, pool, sends, attempts + 1)


def find_excess(cluster, pool):
    """Return the most by which a window exceeds what is allowed."""
    window = cluster.options.retry_window_ms
    requests = cluster.requests[pool]
    repeats = sorted(cluster.repeats[pool])

    def count(times, begin, end):
        return bisect.bisect_right(times, end) - bisect.bisect_right(
            times, begin
        )

    worst = -cluster.options.retry_slack
    for end in repeats:
        most = max(
            count(requests, end - window - shift, end - shift)
            for shift in (0.0, window / 2.0, window)
        )
        allowed = (
            cluster.options.retry_ratio * most + cluster.options.retry_slack
        )
        worst = max(worst, count(repeats, end - window, end) - allowed)
    return worst


# Guards against sends beyond the first that exceed the budget of all hosts:
# pools that pay for each other, tokens earned late, kept over a restart or
# used after the time of their reservation.
@pytest.mark.parametrize("seed", SEEDS)
def test_repeats_stay_within_the_budget_in_every_window(seed):
    cluster = Cluster(seed)
    cluster.play()
    for pool in POOLS:
        assertions.assert_that(
            find_excess(cluster, pool),
            matchers.Not(matchers.GreaterThan(0.0)),
            f"pool {pool}",
        )
    # The schedule uses the budget up.
    denied = sum(
        budget["denied"]
        for host in cluster.hosts
        for budget in host.budgets.describe().values()
    )
    assertions.assert_that(denied, matchers.GreaterThan(0))
