"""Team limits that follow shares given by each team's keeper."""

import math

import msgspec

from chervilshore import clock as clocks
from chervilshore.decisions import limits
from chervilshore import ids
from chervilshore import messages
from chervilshore.rules import model

HEADROOM = 1.2
"""Times the requests in flight, which a host asks for."""

DEVIATIONS = 2.0
"""Standard deviations of its count by which a host asks for more."""

COUNTED_MS = 1000.0
"""Milliseconds over which the demand is counted, as a rule."""

SMOOTHING = 0.5
"""The part that the newest count has in a falling demand."""

DEPTH_MS = 2000.0
"""Milliseconds of its rate that a share lets through at once at least."""

GROWING = 1.5
"""Times the share before from which a share is still growing."""

MIN_COUNT_MS = 250.0
"""Milliseconds over which a first count is taken at least."""

MIN_RATE = 0.1
"""Requests a second below which a team counts as idle."""


class _Share(msgspec.Struct):
    """A share that a keeper gave, and the demand behind it."""

    rate: float = 0.0
    concurrency: int = 0
    sent: float = 0.0
    until: float = 0.0
    demand: float = 0.0
    counted: float = 0.0
    growing: bool = False


class SharedLimits(limits.EqualSplitLimits):
    """Admits under shares that follow demand.

    Without a share that holds, as when a team's keeper can't be reached,
    this host admits its equal part.

    Parameters
    ----------
    hosts : int
        Entry hosts in the fleet.
    """

    def __init__(self, hosts: int = 1) -> None:
        super().__init__(hosts)
        self._shares: dict[ids.TeamId, _Share] = {}

    def allow(self, team: model.Team, now: float) -> limits.Allowance:
        """Tell what a team may send; see `EqualSplitLimits.allow`."""
        share = self._shares.get(team.name)
        if share is None or share.until <= now:
            return super().allow(team, now)
        part = share.rate / team.rate if team.rate else 0.0
        depth = share.rate * DEPTH_MS / clocks.MILLIS_PER_SECOND
        return limits.Allowance(
            share.rate,
            max(limits.MIN_BURST, depth, team.burst * part),
            min(share.concurrency, team.concurrency),
        )

    def collect_demands(self, now: float) -> dict[ids.TeamId, messages.Demand]:
        """Tell the demand of all teams that need or have a share.

        A team that has become idle is told once with no demand, so that
        its keeper can give the share to others.

        Parameters
        ----------
        now : float
            The time in milliseconds.
        """
        demands = {}
        for team, state in self._teams.items():
            share = self._shares.get(team)
            if share is None:
                if state.arrived < self._least:
                    continue
                share = self._shares[team] = _Share(counted=state.began)
            demands[team] = self._count(state, share, now)
        for team, demand in demands.items():
            if not demand.rate:
                del self._shares[team]
        return demands

    def collect_refused_demands(
        self, now: float
    ) -> dict[ids.TeamId, messages.Demand]:
        """Tell the demand of refused teams whose share may grow at once.

        These are the teams without a share, and those whose share has
        just grown as far as it may in one step.

        Parameters
        ----------
        now : float
            The time in milliseconds.
        """
        demands = {}
        for team, state in self._teams.items():
            if not state.refused:
                continue
            share = self._shares.get(team)
            if share is None:
                share = self._shares[team] = _Share(counted=state.began)
            elif not share.growing:
                continue
            demands[team] = self._count(state, share, now)
        return demands

    def update_shares(
        self,
        shares: dict[ids.TeamId, messages.Share],
        sent: float,
        lifetime_ms: float,
    ) -> None:
        """Use shares that a keeper gave.

        Parameters
        ----------
        shares : dict
            The shares by team.
        sent : float
            The moment in milliseconds at which they were asked for.
        lifetime_ms : float
            Milliseconds that they last from then.
        """
        for team, share in shares.items():
            held = self._shares.get(team)
            # An answer that was overtaken by a newer one says nothing.
            if held is None or sent <= held.sent:
                continue
            held.growing = share.rate > GROWING * held.rate
            held.rate = share.rate
            held.concurrency = share.concurrency
            held.sent = sent
            held.until = sent + lifetime_ms

    def count_shares(self) -> int:
        """Count the teams of which a share is held or asked for."""
        return len(self._shares)

    def describe(self, now: float) -> dict[str, dict[str, float]]:
        """Tell the shares that hold now, by team."""
        return {
            team: {
                "rate": share.rate,
                "concurrency": share.concurrency,
                "demand": share.demand,
            }
            for team, share in self._shares.items()
            if share.until > now
        }

    def _count(
        self, state: limits.TeamState, share: _Share, now: float
    ) -> messages.Demand:
        passed = max(MIN_COUNT_MS, now - share.counted)
        rate = state.arrived * clocks.MILLIS_PER_SECOND / passed
        kept = share.demand * (1.0 - SMOOTHING) + rate * SMOOTHING
        share.demand = max(rate, kept)
        share.counted = now
        busy = share.demand >= MIN_RATE or state.in_flight
        wanted = state.peak + state.refused
        state.arrived = 0
        state.refused = 0
        state.peak = state.in_flight
        held = share.until > now
        return messages.Demand(
            max(MIN_RATE, _add_spread(share.demand)) if busy else 0.0,
            max(1, round(wanted * HEADROOM)) if busy else 0,
            share.rate if held else 0.0,
            share.concurrency if held else 0,
        )


def _add_spread(rate: float) -> float:
    """Ask for what a host may get by chance when its mean is as counted."""
    seconds = COUNTED_MS / clocks.MILLIS_PER_SECOND
    return rate + DEVIATIONS * math.sqrt(rate / seconds)
