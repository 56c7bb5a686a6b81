"""Team limits by shares that each team's owner allocates by demand."""

import math

import msgspec

from chervilshore import clock as clocks
from chervilshore.decisions import limits
from chervilshore import ids
from chervilshore import messages
from chervilshore.rules import model

CONCURRENCY_HEADROOM = 1.2
"""Ratio of the concurrency that a host requests to what it measured."""

RATE_DEVIATIONS = 2.0
"""Standard deviations of its measured rate that a host requests on top."""

COUNT_INTERVAL_MS = 1000.0
"""Usual milliseconds over which the demand is measured."""

FALLING_DEMAND_WEIGHT = 0.5
"""Weight of the latest measurement in the moving average of a falling rate.

A rising rate is used immediately.
"""

MIN_BURST_MS = 2000.0
"""Milliseconds of a share's rate that its burst covers at least."""

GROWING_RATIO = 1.5
"""Ratio of a share to the previous one above which it is still growing."""

MIN_COUNT_MS = 250.0
"""Minimum milliseconds over which a rate is measured."""

MIN_RATE = 0.1
"""Requests per second below which a team is idle."""


class _HeldShare(msgspec.Struct):
    """A share that this host holds, and the demand that it reported."""

    rate: float = 0.0
    concurrency: int = 0
    requested_at: float = 0.0
    expires_at: float = 0.0
    demand_rate: float = 0.0
    counted_at: float = 0.0
    still_growing: bool = False


class SharedLimits(limits.EqualSplitLimits):
    """Admits requests under shares that follow demand.

    Without a valid share, as when a team's owner cannot be reached, this
    host admits its equal share.

    Parameters
    ----------
    hosts : int
        Entry hosts in the cluster.
    """

    def __init__(self, hosts: int = 1) -> None:
        super().__init__(hosts)
        self._shares: dict[ids.TeamId, _HeldShare] = {}

    def compute_allowance(
        self, team: model.Team, now: float
    ) -> limits.Allowance:
        """Return what a team may send under its share, if it has one."""
        share = self._shares.get(team.name)
        if share is None or share.expires_at <= now:
            return super().compute_allowance(team, now)
        fraction = share.rate / team.rate if team.rate else 0.0
        min_burst = share.rate * MIN_BURST_MS / clocks.MILLIS_PER_SECOND
        return limits.Allowance(
            share.rate,
            max(limits.MIN_BURST, min_burst, team.burst * fraction),
            min(share.concurrency, team.concurrency),
        )

    def collect_demands(self, now: float) -> dict[ids.TeamId, messages.Demand]:
        """Return the demand of all teams that need or hold a share.

        A team that has become idle is reported once without demand, so that
        its owner can allocate the share to other hosts.

        Parameters
        ----------
        now : float
            The time in milliseconds.
        """
        demands = {}
        for team, state in self._teams.items():
            share = self._shares.get(team)
            if share is None:
                if state.arrived < self._min_requests:
                    continue
                share = self._shares[team] = _HeldShare(
                    counted_at=state.first_request_at
                )
            demands[team] = self._measure_demand(state, share, now)
        for team, demand in demands.items():
            if not demand.rate:
                del self._shares[team]
        return demands

    def collect_refused_demands(
        self, now: float
    ) -> dict[ids.TeamId, messages.Demand]:
        """Return the demand of refused teams whose share may grow now.

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
                share = self._shares[team] = _HeldShare(
                    counted_at=state.first_request_at
                )
            elif not share.still_growing:
                continue
            demands[team] = self._measure_demand(state, share, now)
        return demands

    def update_shares(
        self,
        shares: dict[ids.TeamId, messages.Share],
        requested_at: float,
        lifetime_ms: float,
    ) -> None:
        """Apply shares that an owner allocated.

        Parameters
        ----------
        shares : dict
            The shares by team.
        requested_at : float
            Time in milliseconds at which this host reported its demand.
        lifetime_ms : float
            Milliseconds from then for which the shares are valid.
        """
        for team, share in shares.items():
            held = self._shares.get(team)
            # Ignore a reply that arrives after the reply to a later report.
            if held is None or requested_at <= held.requested_at:
                continue
            held.still_growing = share.rate > GROWING_RATIO * held.rate
            held.rate = share.rate
            held.concurrency = share.concurrency
            held.requested_at = requested_at
            held.expires_at = requested_at + lifetime_ms

    def count_shares(self) -> int:
        """Return the number of teams with a share held or requested."""
        return len(self._shares)

    def describe(self, now: float) -> dict[str, dict[str, float]]:
        """Return the shares that are valid now, by team."""
        return {
            team: {
                "rate": share.rate,
                "concurrency": share.concurrency,
                "demand": share.demand_rate,
            }
            for team, share in self._shares.items()
            if share.expires_at > now
        }

    def _measure_demand(
        self, state: limits.TeamState, share: _HeldShare, now: float
    ) -> messages.Demand:
        elapsed_ms = max(MIN_COUNT_MS, now - share.counted_at)
        rate = state.arrived * clocks.MILLIS_PER_SECOND / elapsed_ms
        smoothed = (
            share.demand_rate * (1.0 - FALLING_DEMAND_WEIGHT)
            + rate * FALLING_DEMAND_WEIGHT
        )
        share.demand_rate = max(rate, smoothed)
        share.counted_at = now
        busy = share.demand_rate >= MIN_RATE or state.in_flight
        wanted = state.peak + state.refused
        state.arrived = 0
        state.refused = 0
        state.peak = state.in_flight
        held = share.expires_at > now
        return messages.Demand(
            max(MIN_RATE, _add_variation(share.demand_rate)) if busy else 0.0,
            max(1, round(wanted * CONCURRENCY_HEADROOM)) if busy else 0,
            share.rate if held else 0.0,
            share.concurrency if held else 0,
        )


def _add_variation(rate: float) -> float:
    """Add the random variation that a Poisson process of this rate has."""
    seconds = COUNT_INTERVAL_MS / clocks.MILLIS_PER_SECOND
    return rate + RATE_DEVIATIONS * math.sqrt(rate / seconds)
