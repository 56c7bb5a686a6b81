"""How a team's limits are shared between hosts by their keeper."""

from collections import abc as collections_abc
import math

import msgspec

from chervilshore import ids
from chervilshore import messages
from chervilshore import records
from chervilshore.rules import model

REFRESH_MS = 1000.0
"""Milliseconds after which an unchanged list of hosts is noted again."""

MEMORY_MS = 300_000.0
"""Milliseconds for which a host that has vanished counts as cut off."""

SILENT_MS = 10_000.0
"""Milliseconds for which a lapsed share is left to a listed host."""

LEVEL_MS = 100.0
"""Milliseconds for which a division by demand is used again."""

ROUNDING = 1e-9
"""What a sum of parts may lack of a whole number."""

GROWTH = 2.0
"""Times a share that the next one may be."""

FindTeam = collections_abc.Callable[[ids.TeamId], model.Team | None]
"""Finds the rule of a team."""


class HostTracker:
    """The hosts between which limits are divided.

    A host that vanishes may be dead, or cut off and still serving. Until
    it has been gone for long its part of each limit is left to it, so
    that the two sides of a cut do not both use the whole.
    """

    def __init__(self) -> None:
        self.live: frozenset[ids.HostId] = frozenset()
        self.owner_candidates: frozenset[ids.HostId] = frozenset()
        self.host_count = 1
        self.changed = -math.inf
        self._latest: dict[ids.HostId, float] = {}
        self._shown: collections_abc.Iterable[records.HostRecord] | None = None
        self._observed = -math.inf

    def observe(
        self, hosts: collections_abc.Iterable[records.HostRecord], now: float
    ) -> None:
        """Learn which hosts are listed as not down.

        Parameters
        ----------
        hosts : iterable of HostRecord
            The hosts, this one among them.
        now : float
            The time in milliseconds.
        """
        # A directory shows the same tuple until something has changed.
        same = isinstance(hosts, tuple) and hosts is self._shown
        if same and now - self._observed < REFRESH_MS:
            return
        self._shown = hosts
        self._observed = now
        live = set()
        owner_candidates = set()
        for host in hosts:
            live.add(host.host)
            self._latest[host.host] = now
            if host.state is records.HostState.LEAVING:
                # A host that leaves in order takes nothing with it.
                self._latest[host.host] = now - MEMORY_MS
            else:
                owner_candidates.add(host.host)
        for host in list(self._latest):
            if now - self._latest[host] > MEMORY_MS:
                del self._latest[host]
        if owner_candidates != self.owner_candidates:
            self.changed = now
        self.live = frozenset(live)
        self.owner_candidates = frozenset(owner_candidates)
        self.host_count = max(1, len(self._latest))

    @property
    def part(self) -> float:
        """The part of each limit that belongs to the listed hosts."""
        return min(1.0, max(1, len(self.live)) / self.host_count)


class _Holding(msgspec.Struct):
    """What one host has of one quantity."""

    wanted: float
    share: float
    until: float


class Division:
    """Divides one quantity between hosts.

    The sum of unexpired shares stays within the total, but for what a
    host that is new beside others needs until these have renewed theirs.

    Attributes
    ----------
    holders : dict
        The holdings by host.
    """

    def __init__(self) -> None:
        self.holders: dict[ids.HostId, _Holding] = {}
        self._given = 0.0
        self._level = math.inf
        self._scale = 1.0
        self._levelled = -math.inf

    def drop(self, host: ids.HostId) -> None:
        """Take a host's share back."""
        holding = self.holders.pop(host, None)
        if holding is not None:
            self._given -= holding.share

    def keep(
        self, host: ids.HostId, wanted: float, share: float, until: float
    ) -> None:
        """Take over a share that an earlier keeper gave."""
        self.drop(host)
        self.holders[host] = _Holding(wanted, share, until)
        self._given += share

    def give(
        self,
        host: ids.HostId,
        wanted: float,
        total: float,
        fleet: HostTracker,
        until: float,
        now: float,
        growth: float = GROWTH,
    ) -> float:
        """Renew a host's share.

        Parameters
        ----------
        host : HostId
            The host.
        wanted : float
            What it could use.
        total : float
            What there is for the whole fleet.
        fleet : HostTracker
            The hosts.
        until : float
            The moment in milliseconds at which the share expires.
        now : float
            The time in milliseconds.
        growth : float
            Times the share before that it may be.

        Returns
        -------
        float
            The share.
        """
        before = self.holders.get(host)
        own = total / fleet.host_count
        if before is None:
            before = self.holders[host] = _Holding(wanted, 0.0, until)
        before.wanted = wanted
        if now - self._levelled >= LEVEL_MS:
            self._set_level(total, fleet, now)
        target = min(wanted, self._level) * self._scale
        others = self._given - before.share
        spare = total * fleet.part - others
        most = max(own, growth * before.share)
        share = max(min(target, spare, most), min(target, own), 0.0)
        self._given = others + share
        before.share = share
        before.until = until
        return share

    def _set_level(self, total: float, fleet: HostTracker, now: float) -> None:
        self._levelled = now
        self._expire(total / fleet.host_count, fleet, now)
        self._given = sum(one.share for one in self.holders.values())
        wanted = sorted(one.wanted for one in self.holders.values())
        left = total * fleet.part
        demand = sum(wanted)
        if demand <= left:
            self._level = math.inf
            self._scale = left / demand if demand else 1.0
            return
        self._scale = 1.0
        for index, want in enumerate(wanted):
            self._level = left / (len(wanted) - index)
            if want > self._level:
                return
            left -= want

    def _expire(self, own: float, fleet: HostTracker, now: float) -> None:
        for host, holding in list(self.holders.items()):
            if holding.until > now:
                continue
            silent = now - holding.until
            if host not in fleet.live or silent > SILENT_MS:
                del self.holders[host]
                continue
            # It is listed but does not renew, so it may be cut off and
            # using the part that it has without a keeper.
            holding.share = min(holding.share, own)
            holding.wanted = holding.share


class _TeamShares:
    """The shares of one team's limits."""

    __slots__ = ("rate", "concurrency", "created", "reported")

    def __init__(self, now: float) -> None:
        self.rate = Division()
        self.concurrency = Division()
        self.created = now
        self.reported = now


class ShareAllocator:
    """Gives shares of the limits of the teams that this host keeps.

    Parameters
    ----------
    lifetime_ms : float
        Milliseconds for which a share lasts.
    """

    def __init__(self, lifetime_ms: float) -> None:
        self.lifetime_ms = lifetime_ms
        self._teams: dict[ids.TeamId, _TeamShares] = {}

    def report(
        self,
        holder: ids.HostId,
        demands: dict[ids.TeamId, messages.Demand],
        find_team: FindTeam,
        fleet: HostTracker,
        now: float,
    ) -> dict[ids.TeamId, messages.Share]:
        """Take a host's demand for teams of this keeper.

        Parameters
        ----------
        holder : HostId
            The host that reports.
        demands : dict
            Its demand by team; one without any gives its share back.
        find_team : callable
            Finds the rule of a team.
        fleet : HostTracker
            The hosts.
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
            share = self._share(holder, team, demand, fleet, now)
            if share is not None:
                shares[name] = share
        return shares

    def forget_idle(self, now: float) -> None:
        """Drop the teams of which nothing has been heard for long."""
        oldest = now - 2.0 * self.lifetime_ms
        self._teams = {
            name: team
            for name, team in self._teams.items()
            if team.reported >= oldest
        }

    def describe(self) -> dict[str, dict[str, messages.Share]]:
        """Tell the shares by team and host."""
        return {
            name: {
                host: messages.Share(
                    holding.share,
                    int(team.concurrency.holders[host].share),
                )
                for host, holding in team.rate.holders.items()
            }
            for name, team in self._teams.items()
        }

    def _share(
        self,
        holder: ids.HostId,
        team: model.Team,
        demand: messages.Demand,
        fleet: HostTracker,
        now: float,
    ) -> messages.Share | None:
        found = self._teams.get(team.name)
        if found is None:
            found = self._teams[team.name] = _TeamShares(now)
        found.reported = now
        if not demand.rate and not demand.concurrency:
            found.rate.drop(holder)
            found.concurrency.drop(holder)
            return None
        until = now + self.lifetime_ms
        growth = GROWTH
        if self._follows(found, fleet, now):
            # Shares that an earlier keeper gave may not all be known yet.
            growth = 1.0
            self._take_over(found, holder, demand, until)
        rate = found.rate.give(
            holder, demand.rate, team.rate, fleet, until, now, growth
        )
        places = found.concurrency.give(
            holder,
            demand.concurrency,
            team.concurrency,
            fleet,
            until,
            now,
            growth,
        )
        return messages.Share(rate, math.floor(places + ROUNDING))

    def _follows(
        self, found: _TeamShares, fleet: HostTracker, now: float
    ) -> bool:
        recent = now < fleet.changed + self.lifetime_ms
        return recent and found.created >= fleet.changed

    def _take_over(
        self,
        found: _TeamShares,
        holder: ids.HostId,
        demand: messages.Demand,
        until: float,
    ) -> None:
        """Learn what an earlier keeper gave to a host that is new here."""
        if holder in found.rate.holders:
            return
        found.rate.keep(holder, demand.rate, demand.held_rate, until)
        found.concurrency.keep(
            holder, demand.concurrency, demand.held_concurrency, until
        )
