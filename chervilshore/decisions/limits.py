"""Team limits: admission of requests by rate and concurrency."""

import abc
import math

from chervilshore import clock as clocks
from chervilshore.decisions import retrytimes
from chervilshore import ids
from chervilshore.rules import model

IDLE_MS = 60_000.0
"""Milliseconds without a request after which a team's state is dropped."""

HOSTS_PER_EXTRA_REQUEST = 128
"""Hosts in the cluster per additional request in flight at each host."""

MIN_BURST = 3.0
"""Minimum burst of a team at a host, if the team's own burst allows it."""

DURATION_WEIGHT = 0.1
"""Weight of one request in the moving average of a team's duration."""

INITIAL_DURATION_MS = 100.0
"""Assumed milliseconds of a request before the first one has ended."""


class TeamLimits(abc.ABC):
    """Admits the requests of teams."""

    @abc.abstractmethod
    def admit(self, team: model.Team, now: float) -> float:
        """Admit a request, or return when it may be retried.

        Parameters
        ----------
        team : Team
            The team's rule.
        now : float
            The time in milliseconds.

        Returns
        -------
        float
            0 if it is admitted; `release` or `refund` must follow. Otherwise
            milliseconds after which it may be retried.
        """

    @abc.abstractmethod
    def release(self, team: ids.TeamId, millis: float, now: float) -> None:
        """Record the end of an admitted request.

        Parameters
        ----------
        team : TeamId
            The team.
        millis : float
            Duration of the request in milliseconds.
        now : float
            The time in milliseconds.
        """

    @abc.abstractmethod
    def refund(self, team: ids.TeamId) -> None:
        """Undo the admission of a request that was then refused elsewhere."""


class Allowance:
    """What a team may send through this host.

    Parameters
    ----------
    rate : float
        Requests per second.
    burst : float
        Capacity of the token bucket in requests.
    concurrency : int
        Maximum requests in flight.
    """

    __slots__ = ("rate", "burst", "concurrency")

    def __init__(self, rate: float, burst: float, concurrency: int) -> None:
        self.rate = rate
        self.burst = burst
        self.concurrency = concurrency


class TeamState:
    """A host's token bucket and counts of one team; times in milliseconds.

    Attributes
    ----------
    tokens : float
        Tokens in the bucket; a request takes one.
    refilled_at : float
        Time of the last refill.
    in_flight : int
        Admitted requests that have not ended.
    last_request_at : float
        Time of the last request.
    duration_ms : float
        Moving average of the duration of its requests.
    retry_times : RetryTimes
        Times at which refused requests may be retried.
    first_request_at : float
        Time of the first request.
    arrived, peak, refused : int
        Requests, maximum in flight and refused requests since the last
        report.
    """

    __slots__ = (
        "first_request_at",
        "arrived",
        "peak",
        "refused",
        "tokens",
        "refilled_at",
        "in_flight",
        "last_request_at",
        "duration_ms",
        "retry_times",
    )

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.refilled_at = now
        self.in_flight = 0
        self.last_request_at = now
        self.duration_ms = INITIAL_DURATION_MS
        self.retry_times = retrytimes.RetryTimes()
        self.first_request_at = now
        self.arrived = 0
        self.peak = 0
        self.refused = 0


class EqualSplitLimits(TeamLimits):
    """Baseline: every host enforces an equal share of each limit.

    In a large cluster a host admits slightly more concurrent requests than
    its share, as that would be less than one request.

    Parameters
    ----------
    hosts : int
        Entry hosts in the cluster.
    """

    def __init__(self, hosts: int = 1) -> None:
        self.set_host_count(hosts)
        self._teams: dict[ids.TeamId, TeamState] = {}

    def set_host_count(self, hosts: int) -> None:
        """Set the number of entry hosts that share the limits."""
        self._hosts = max(1, hosts)
        self._min_requests = 1 + self._hosts // HOSTS_PER_EXTRA_REQUEST

    def admit(self, team: model.Team, now: float) -> float:
        """Admit within the allowance; see `TeamLimits.admit`."""
        allowance = self.compute_allowance(team, now)
        state = self._teams.get(team.name)
        if state is None:
            state = TeamState(allowance.burst, now)
            self._teams[team.name] = state
        state.last_request_at = now
        state.arrived += 1
        self._refill(state, allowance, now)
        if state.in_flight >= allowance.concurrency:
            state.refused += 1
            interval_ms = state.duration_ms / max(1, state.in_flight)
            return state.retry_times.reserve_delay_ms(
                interval_ms, interval_ms, now
            )
        if state.tokens < 1.0:
            state.refused += 1
            return self._token_delay_ms(state, allowance.rate, now)
        state.tokens -= 1.0
        state.in_flight += 1
        state.peak = max(state.peak, state.in_flight)
        return 0.0

    def release(self, team: ids.TeamId, millis: float, now: float) -> None:
        """Record the end of a request; see `TeamLimits.release`."""
        state = self._teams.get(team)
        if state is None:
            return
        state.in_flight -= 1
        state.duration_ms += DURATION_WEIGHT * (millis - state.duration_ms)

    def refund(self, team: ids.TeamId) -> None:
        """Undo an admission; see `TeamLimits.refund`."""
        state = self._teams.get(team)
        if state is None:
            return
        state.in_flight -= 1
        state.tokens += 1.0

    def compute_allowance(self, team: model.Team, now: float) -> Allowance:
        """Return what a team may send through this host now."""
        return Allowance(
            team.rate / self._hosts,
            max(min(MIN_BURST, team.burst), team.burst / self._hosts),
            max(
                self._min_requests, math.floor(team.concurrency / self._hosts)
            ),
        )

    def forget_idle(self, now: float) -> None:
        """Drop the state of teams without requests for `IDLE_MS`."""
        idle = [
            team
            for team, state in self._teams.items()
            if not state.in_flight and now - state.last_request_at > IDLE_MS
        ]
        for team in idle:
            del self._teams[team]

    def _refill(
        self, state: TeamState, allowance: Allowance, now: float
    ) -> None:
        elapsed_ms = now - state.refilled_at
        refill = elapsed_ms / clocks.MILLIS_PER_SECOND * allowance.rate
        state.tokens = min(allowance.burst, state.tokens + refill)
        state.refilled_at = now

    def _token_delay_ms(
        self, state: TeamState, rate: float, now: float
    ) -> float:
        if rate <= 0.0:
            return retrytimes.MAX_DELAY_MS
        interval_ms = clocks.MILLIS_PER_SECOND / rate
        return state.retry_times.reserve_delay_ms(
            (1.0 - state.tokens) * interval_ms, interval_ms, now
        )
