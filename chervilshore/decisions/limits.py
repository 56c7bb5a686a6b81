"""How much each team may send through this host."""

import abc
import math

from chervilshore import clock as clocks
from chervilshore.decisions import promises
from chervilshore import ids
from chervilshore.rules import model

IDLE_MS = 60_000.0
"""Milliseconds without a request after which a team is forgotten."""

HOSTS_PER_EXTRA_REQUEST = 128
"""Hosts of a fleet for which one more request in flight is allowed."""

MIN_BURST = 3.0
"""Requests at once that a host lets a team have in any case."""

DURATION_WEIGHT = 0.1
"""The part that one request has in a team's mean duration."""

INITIAL_DURATION_MS = 100.0
"""Milliseconds that a request is thought to take before one has ended."""


class TeamLimits(abc.ABC):
    """Admits the requests of teams."""

    @abc.abstractmethod
    def admit(self, team: model.Team, now: float) -> float:
        """Admit a request, or tell when it may come back.

        Parameters
        ----------
        team : Team
            The team's rule.
        now : float
            The time in milliseconds.

        Returns
        -------
        float
            0 when it is admitted, and then `release` must follow; else
            milliseconds after which it may come back.
        """

    @abc.abstractmethod
    def release(self, team: ids.TeamId, millis: float, now: float) -> None:
        """Count the end of an admitted request.

        Parameters
        ----------
        team : TeamId
            The team.
        millis : float
            Milliseconds that it took.
        now : float
            The time in milliseconds.
        """

    @abc.abstractmethod
    def refund(self, team: ids.TeamId) -> None:
        """Undo the admission of a request that was refused elsewhere."""


class Allowance:
    """What a team may send through this host.

    Parameters
    ----------
    rate : float
        Requests a second.
    burst : float
        Requests at once.
    concurrency : int
        Requests in flight.
    """

    __slots__ = ("rate", "burst", "concurrency")

    def __init__(self, rate: float, burst: float, concurrency: int) -> None:
        self.rate = rate
        self.burst = burst
        self.concurrency = concurrency


class TeamState:
    """What a host counts of a team.

    Attributes
    ----------
    tokens : float
        Requests that may come at once.
    filled : float
        The moment to which the tokens have been counted.
    in_flight : int
        Requests that run.
    latest : float
        The moment of the latest request.
    duration_ms : float
        The mean time of its requests.
    promised : Promises
        The moments that refused requests were given.
    began : float
        The moment of the first request.
    arrived, peak, refused : int
        Requests, the most in flight and the refused ones since the latest
        report.
    """

    __slots__ = (
        "began",
        "arrived",
        "peak",
        "refused",
        "tokens",
        "filled",
        "in_flight",
        "latest",
        "duration_ms",
        "promised",
    )

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.filled = now
        self.in_flight = 0
        self.latest = now
        self.duration_ms = INITIAL_DURATION_MS
        self.promised = promises.Promises()
        self.began = now
        self.arrived = 0
        self.peak = 0
        self.refused = 0


class EqualSplitLimits(TeamLimits):
    """The baseline: every host enforces an equal part of each limit.

    A host of a large fleet lets a team have a little more at once than
    its part, as that would be less than one request.

    Parameters
    ----------
    hosts : int
        Entry hosts in the fleet.
    """

    def __init__(self, hosts: int = 1) -> None:
        self.set_host_count(hosts)
        self._teams: dict[ids.TeamId, TeamState] = {}

    def set_host_count(self, hosts: int) -> None:
        """Learn how many entry hosts share the limits."""
        self._hosts = max(1, hosts)
        self._least = 1 + self._hosts // HOSTS_PER_EXTRA_REQUEST

    def admit(self, team: model.Team, now: float) -> float:
        """Admit within the allowance; see `TeamLimits.admit`."""
        allowance = self.allow(team, now)
        state = self._teams.get(team.name)
        if state is None:
            state = TeamState(allowance.burst, now)
            self._teams[team.name] = state
        state.latest = now
        state.arrived += 1
        self._fill(state, allowance, now)
        if state.in_flight >= allowance.concurrency:
            state.refused += 1
            gap = state.duration_ms / max(1, state.in_flight)
            return state.promised.take(gap, gap, now)
        if state.tokens < 1.0:
            state.refused += 1
            return self._promise_token(state, allowance.rate, now)
        state.tokens -= 1.0
        state.in_flight += 1
        state.peak = max(state.peak, state.in_flight)
        return 0.0

    def release(self, team: ids.TeamId, millis: float, now: float) -> None:
        """Count the end of a request; see `TeamLimits.release`."""
        state = self._teams.get(team)
        if state is None:
            return
        state.in_flight -= 1
        state.duration_ms += DURATION_WEIGHT * (millis - state.duration_ms)

    def refund(self, team: ids.TeamId) -> None:
        """Give the place and the token back; see `TeamLimits.refund`."""
        state = self._teams.get(team)
        if state is None:
            return
        state.in_flight -= 1
        state.tokens += 1.0

    def allow(self, team: model.Team, now: float) -> Allowance:
        """Tell what a team may send through this host now."""
        return Allowance(
            team.rate / self._hosts,
            max(min(MIN_BURST, team.burst), team.burst / self._hosts),
            max(self._least, math.floor(team.concurrency / self._hosts)),
        )

    def forget_idle(self, now: float) -> None:
        """Drop what is known of teams that have sent nothing for long."""
        idle = [
            team
            for team, state in self._teams.items()
            if not state.in_flight and now - state.latest > IDLE_MS
        ]
        for team in idle:
            del self._teams[team]

    def _fill(
        self, state: TeamState, allowance: Allowance, now: float
    ) -> None:
        passed = now - state.filled
        earned = passed / clocks.MILLIS_PER_SECOND * allowance.rate
        state.tokens = min(allowance.burst, state.tokens + earned)
        state.filled = now

    def _promise_token(
        self, state: TeamState, rate: float, now: float
    ) -> float:
        if rate <= 0.0:
            return promises.MOST_MS
        gap = clocks.MILLIS_PER_SECOND / rate
        return state.promised.take((1.0 - state.tokens) * gap, gap, now)
