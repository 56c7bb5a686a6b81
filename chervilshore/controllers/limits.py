"""Exchanges demand and shares of team limits with the other hosts."""

import collections
import random

import mode

from chervilshore.clients import peers
from chervilshore import clock as clocks
from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import directory as directories
from chervilshore.decisions import rendezvous
from chervilshore.decisions import shared_limits
from chervilshore.decisions import shares
from chervilshore import ids
from chervilshore import messages
from chervilshore.rules import model

CHECKS_PER_REPORT = 4
"""Checks per report interval for refused teams that have no share yet, or
whose share may still grow."""

Demands = dict[ids.TeamId, messages.Demand]
"""What a host could use of each team's limits."""


class ClusterLimits(mode.Service):
    """Reports demand to the owners of teams; allocates shares as an owner.

    Each team has one owner host, which divides the team's limits. Only active
    teams are reported, and those with the same owner in one message.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    peers : PeerTransport
        Carries messages to and from the other hosts.
    directory : Directory
        The hosts.
    configuration : Configuration
        The active rules.
    limits : SharedLimits
        The shares of this host, which admission uses.
    report_ms : float
        Milliseconds between two reports of demand.
    share_ms : float
        Milliseconds for which a share is valid.
    rng : random.Random
        Chooses the time of the first check, to spread the hosts' reports.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        peers: peers.PeerTransport,
        directory: directories.Directory,
        configuration: configurations.Configuration,
        limits: shared_limits.SharedLimits,
        report_ms: float,
        share_ms: float,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._host = host
        self._clock = clock
        self._peers = peers
        self._directory = directory
        self._configuration = configuration
        self._limits = limits
        self._report_ms = report_ms
        self._rng = rng
        self._host_tracker = shares.HostTracker()
        self._allocator = shares.ShareAllocator(share_ms)
        peers.handle(messages.DemandReport, self._handle_report)
        peers.handle(messages.ShareReply, self._handle_shares)

    @mode.Service.task
    async def _report_periodically(self) -> None:
        check_ms = self._report_ms / CHECKS_PER_REPORT
        await self._clock.sleep(self._rng.random() * check_ms)
        while not self.should_stop:
            for _ in range(CHECKS_PER_REPORT):
                await self._clock.sleep(check_ms)
                self._update_hosts()
                now = self._clock.now()
                self._report(self._limits.collect_refused_demands(now))
            self._report(self._limits.collect_demands(self._clock.now()))
            self._limits.forget_idle(self._clock.now())
            self._allocator.forget_idle(self._clock.now())

    def describe(self) -> dict:
        """Return the shares held and granted, for operators."""
        return {
            "held": self._limits.describe(self._clock.now()),
            "given": self._allocator.describe(),
            "hosts": len(self._host_tracker.live),
            "hosts_counted": self._host_tracker.host_count,
        }

    def _update_hosts(self) -> None:
        self._host_tracker.observe(self._directory.hosts(), self._clock.now())
        self._limits.set_host_count(self._host_tracker.host_count)

    def _report(self, demands: Demands) -> None:
        if not demands:
            return
        by_owner: dict[ids.HostId, Demands] = collections.defaultdict(dict)
        for team, demand in demands.items():
            owner = rendezvous.choose(
                self._host_tracker.owner_candidates, team
            )
            if owner is not None:
                by_owner[owner][team] = demand
        addresses = {
            host.host: host.peer_address for host in self._directory.hosts()
        }
        now = self._clock.now()
        for owner, owner_demands in by_owner.items():
            if owner == self._host:
                granted = self._allocate(self._host, owner_demands)
                self._limits.update_shares(
                    granted, now, self._allocator.lifetime_ms
                )
            elif owner in addresses:
                report = messages.DemandReport(self._host, now, owner_demands)
                self._peers.send(addresses[owner], report)

    def _allocate(
        self, holder: ids.HostId, demands: Demands
    ) -> dict[ids.TeamId, messages.Share]:
        """Return a holder's shares of the teams that this host owns."""
        owned = {
            team: demand
            for team, demand in demands.items()
            if rendezvous.choose(self._host_tracker.owner_candidates, team)
            == self._host
        }
        return self._allocator.report(
            holder,
            owned,
            self._find_team,
            self._host_tracker,
            self._clock.now(),
        )

    def _find_team(self, team: ids.TeamId) -> model.Team | None:
        return self._configuration.rules.teams.get(team)

    def _handle_report(
        self, sender: ids.Address, report: messages.DemandReport
    ) -> None:
        granted = self._allocate(report.holder, report.demands)
        if granted:
            lifetime_ms = self._allocator.lifetime_ms
            reply = messages.ShareReply(report.sent, granted, lifetime_ms)
            self._peers.send(sender, reply)

    def _handle_shares(
        self, sender: ids.Address, reply: messages.ShareReply
    ) -> None:
        self._limits.update_shares(reply.shares, reply.sent, reply.lifetime_ms)
