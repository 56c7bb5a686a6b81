"""Division of a team's limits between the hosts, by the team's owner."""

from collections import abc as collections_abc
import math

import msgspec

from chervilshore import ids
from chervilshore import messages
from chervilshore import records
from chervilshore.rules import model

HOSTS_REFRESH_MS = 1000.0
"""Milliseconds after which an unchanged list of hosts is processed again."""

VANISHED_HOST_MS = 300_000.0
"""Milliseconds for which a vanished host's share stays reserved.

The host may be cut off and still serving.
"""

UNRENEWED_SHARE_MS = 10_000.0
"""Milliseconds for which an expired share stays reserved for a listed host."""

LEVEL_REUSE_MS = 100.0
"""Milliseconds for which the fair level of a division is reused.

The level is the most that a host gets while not all demand can be met.
"""

ROUNDING_TOLERANCE = 1e-9
"""Tolerance for a sum of floats that should be a whole number."""

MAX_GROWTH = 2.0
"""Maximum ratio of a share to the previous one."""

FindTeam = collections_abc.Callable[[ids.TeamId], model.Team | None]
"""Returns the rule of a team; None if there is none."""


class HostTracker:
    """The hosts between which limits are divided.

    A host that vanishes may be dead, or cut off and still serving. So its
    share of each limit stays reserved for `VANISHED_HOST_MS`; otherwise both
    sides of a network partition would use the whole limit.

    Attributes
    ----------
    live : frozenset of HostId
        The hosts that are listed as not down.
    owner_candidates : frozenset of HostId
        Those of them that are not leaving; owners are chosen among them.
    host_count : int
        Number of the listed hosts and of those that vanished recently.
    candidates_changed_at : float
        Time of the last change of the owner candidates in milliseconds.
    """

    def __init__(self) -> None:
        self.live: frozenset[ids.HostId] = frozenset()
        self.owner_candidates: frozenset[ids.HostId] = frozenset()
        self.host_count = 1
        self.candidates_changed_at = -math.inf
        self._last_listed: dict[ids.HostId, float] = {}
        self._last_hosts: (
            collections_abc.Iterable[records.HostRecord] | None
        ) = None
        self._observed_at = -math.inf

    def observe(
        self, hosts: collections_abc.Iterable[records.HostRecord], now: float
    ) -> None:
        """Update the hosts from the current list.

        Parameters
        ----------
        hosts : iterable of HostRecord
            The hosts that are not down, including this one.
        now : float
            The time in milliseconds.
        """
        # A directory returns the same tuple until a host changes.
        same = isinstance(hosts, tuple) and hosts is self._last_hosts
        if same and now - self._observed_at < HOSTS_REFRESH_MS:
            return
        self._last_hosts = hosts
        self._observed_at = now
        live = set()
        owner_candidates = set()
        for host in hosts:
            live.add(host.host)
            self._last_listed[host.host] = now
            if host.state is records.HostState.LEAVING:
                # A host that leaves in an orderly way needs no reserved share.
                self._last_listed[host.host] = now - VANISHED_HOST_MS
            else:
                owner_candidates.add(host.host)
        for host in list(self._last_listed):
            if now - self._last_listed[host] > VANISHED_HOST_MS:
                del self._last_listed[host]
        if owner_candidates != self.owner_candidates:
            self.candidates_changed_at = now
        self.live = frozenset(live)
        self.owner_candidates = frozenset(owner_candidates)
        self.host_count = max(1, len(self._last_listed))

    @property
    def listed_fraction(self) -> float:
        """Fraction of each limit that belongs to the listed hosts."""
        return min(1.0, max(1, len(self.live)) / self.host_count)


class _HeldShare(msgspec.Struct):
    """One host's share of one quantity."""

    wanted: float
    share: float
    expires_at: float


class FairDivision:
    """Divides one quantity between hosts by demand (max-min fairness).

    The sum of unexpired shares stays within the total, except that a new host
    may get up to an equal share before the others have renewed theirs.

    Attributes
    ----------
    held_shares : dict
        The shares by host.
    """

    def __init__(self) -> None:
        self.held_shares: dict[ids.HostId, _HeldShare] = {}
        self._allocated = 0.0
        self._level = math.inf
        self._scale = 1.0
        self._level_set_at = -math.inf

    def remove(self, host: ids.HostId) -> None:
        """Remove a host's share."""
        held = self.held_shares.pop(host, None)
        if held is not None:
            self._allocated -= held.share

    def adopt(
        self, host: ids.HostId, wanted: float, share: float, expires_at: float
    ) -> None:
        """Adopt a share that an earlier owner allocated."""
        self.remove(host)
        self.held_shares[host] = _HeldShare(wanted, share, expires_at)
        self._allocated += share

    def renew(
        self,
        host: ids.HostId,
        wanted: float,
        total: float,
        hosts: HostTracker,
        expires_at: float,
        now: float,
        max_growth: float = MAX_GROWTH,
    ) -> float:
        """Renew a host's share.

        Parameters
        ----------
        host : HostId
            The host.
        wanted : float
            The amount that it could use.
        total : float
            The amount for the whole cluster.
        hosts : HostTracker
            The hosts between which it is divided.
        expires_at : float
            Time in milliseconds at which the share expires.
        now : float
            The time in milliseconds.
        max_growth : float
            Maximum ratio of the share to the previous one; a share up to an
            equal one is always possible.

        Returns
        -------
        float
            The new share.
        """
        held = self.held_shares.get(host)
        equal_share = total / hosts.host_count
        if held is None:
            held = self.held_shares[host] = _HeldShare(wanted, 0.0, expires_at)
        held.wanted = wanted
        if now - self._level_set_at >= LEVEL_REUSE_MS:
            self._set_level(total, hosts, now)
        target = min(wanted, self._level) * self._scale
        allocated_to_others = self._allocated - held.share
        spare = total * hosts.listed_fraction - allocated_to_others
        max_share = max(equal_share, max_growth * held.share)
        share = max(
            min(target, spare, max_share), min(target, equal_share), 0.0
        )
        self._allocated = allocated_to_others + share
        held.share = share
        held.expires_at = expires_at
        return share

    def _set_level(self, total: float, hosts: HostTracker, now: float) -> None:
        self._level_set_at = now
        self._expire_shares(total / hosts.host_count, hosts, now)
        self._allocated = sum(one.share for one in self.held_shares.values())
        wanted = sorted(one.wanted for one in self.held_shares.values())
        remaining = total * hosts.listed_fraction
        demand = sum(wanted)
        if demand <= remaining:
            self._level = math.inf
            self._scale = remaining / demand if demand else 1.0
            return
        self._scale = 1.0
        for index, one_wanted in enumerate(wanted):
            self._level = remaining / (len(wanted) - index)
            if one_wanted > self._level:
                return
            remaining -= one_wanted

    def _expire_shares(
        self, equal_share: float, hosts: HostTracker, now: float
    ) -> None:
        for host, held in list(self.held_shares.items()):
            if held.expires_at > now:
                continue
            overdue_ms = now - held.expires_at
            if host not in hosts.live or overdue_ms > UNRENEWED_SHARE_MS:
                del self.held_shares[host]
                continue
            # It is listed but does not renew, so it may be cut off from the
            # owner and use the equal share that a host has without one.
            held.share = min(held.share, equal_share)
            held.wanted = held.share


class _TeamShares:
    """The shares of one team's limits."""

    __slots__ = ("rate", "concurrency", "created_at", "reported_at")

    def __init__(self, now: float) -> None:
        self.rate = FairDivision()
        self.concurrency = FairDivision()
        self.created_at = now
        self.reported_at = now


class ShareAllocator:
    """Allocates shares of the limits of the teams that this host owns.

    Parameters
    ----------
    lifetime_ms : float
        Milliseconds for which a share is valid.
    """

    def __init__(self, lifetime_ms: float) -> None:
        self.lifetime_ms = lifetime_ms
        self._teams: dict[ids.TeamId, _TeamShares] = {}

    def report(
        self,
        holder: ids.HostId,
        demands: dict[ids.TeamId, messages.Demand],
        find_team: FindTeam,
        hosts: HostTracker,
        now: float,
    ) -> dict[ids.TeamId, messages.Share]:
        """Record a host's demand for teams of this owner; renew its shares.

        Parameters
        ----------
        holder : HostId
            The host that reports.
        demands : dict
            Its demand by team; an empty demand releases its share.
        find_team : callable
            Returns the rule of a team.
        hosts : HostTracker
            The hosts between which the limits are divided.
        now : float
            The time in milliseconds.

        Returns
        -------
        dict
            The host's shares by team.
        """
        shares = {}
        for name, demand in demands.items():
            team = find_team(name)
            if team is None:
                self._teams.pop(name, None)
                continue
            share = self._renew_share(holder, team, demand, hosts, now)
            if share is not None:
                shares[name] = share
        return shares

    def forget_idle(self, now: float) -> None:
        """Drop the teams without a report for two share lifetimes."""
        oldest_report = now - 2.0 * self.lifetime_ms
        self._teams = {
            name: team
            for name, team in self._teams.items()
            if team.reported_at >= oldest_report
        }

    def describe(self) -> dict[str, dict[str, messages.Share]]:
        """Return the shares by team and host."""
        return {
            name: {
                host: messages.Share(
                    held.share,
                    int(team.concurrency.held_shares[host].share),
                )
                for host, held in team.rate.held_shares.items()
            }
            for name, team in self._teams.items()
        }

    def _renew_share(
        self,
        holder: ids.HostId,
        team: model.Team,
        demand: messages.Demand,
        hosts: HostTracker,
        now: float,
    ) -> messages.Share | None:
        team_shares = self._teams.get(team.name)
        if team_shares is None:
            team_shares = self._teams[team.name] = _TeamShares(now)
        team_shares.reported_at = now
        if not demand.rate and not demand.concurrency:
            team_shares.rate.remove(holder)
            team_shares.concurrency.remove(holder)
            return None
        expires_at = now + self.lifetime_ms
        max_growth = MAX_GROWTH
        if self._may_miss_shares(team_shares, hosts, now):
            # Not all shares of an earlier owner may be known yet.
            max_growth = 1.0
            self._adopt_share(team_shares, holder, demand, expires_at)
        rate = team_shares.rate.renew(
            holder, demand.rate, team.rate, hosts, expires_at, now, max_growth
        )
        concurrency = team_shares.concurrency.renew(
            holder,
            demand.concurrency,
            team.concurrency,
            hosts,
            expires_at,
            now,
            max_growth,
        )
        return messages.Share(
            rate, math.floor(concurrency + ROUNDING_TOLERANCE)
        )

    def _may_miss_shares(
        self, team_shares: _TeamShares, hosts: HostTracker, now: float
    ) -> bool:
        changed_recently = now < hosts.candidates_changed_at + self.lifetime_ms
        return (
            changed_recently
            and team_shares.created_at >= hosts.candidates_changed_at
        )

    def _adopt_share(
        self,
        team_shares: _TeamShares,
        holder: ids.HostId,
        demand: messages.Demand,
        expires_at: float,
    ) -> None:
        """Adopt the shares that an earlier owner allocated to a new holder."""
        if holder in team_shares.rate.held_shares:
            return
        team_shares.rate.adopt(
            holder, demand.rate, demand.held_rate, expires_at
        )
        team_shares.concurrency.adopt(
            holder, demand.concurrency, demand.held_concurrency, expires_at
        )
