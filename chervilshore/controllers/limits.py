"""Keeps the shares of team limits in step with other hosts."""

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

URGENT_PART = 4
"""Checks for teams that were refused without a share, for each report."""

Demands = dict[ids.TeamId, messages.Demand]
"""What a host could use, by team."""


class FleetLimits(mode.Service):
    """Reports demand to the teams' keepers, and is a keeper itself.

    Only active teams are reported, all of one keeper in one message.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    peers : PeerTransport
        The other hosts.
    directory : Directory
        Which hosts there are.
    configuration : Configuration
        The rules in force.
    limits : SharedLimits
        What admission uses.
    report_ms : float
        Milliseconds between two reports.
    share_ms : float
        Milliseconds that a share lasts.
    generator : random.Random
        Spreads the reports of several hosts.
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
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._host = host
        self._clock = clock
        self._peers = peers
        self._directory = directory
        self._configuration = configuration
        self._limits = limits
        self._report_ms = report_ms
        self._generator = generator
        self._fleet = shares.Fleet()
        self._keeper = shares.ShareKeeper(share_ms)
        peers.handle(messages.DemandReport, self._take_report)
        peers.handle(messages.ShareReply, self._take_shares)

    @mode.Service.task
    async def _report_always(self) -> None:
        part = self._report_ms / URGENT_PART
        await self._clock.sleep(self._generator.random() * part)
        while not self.should_stop:
            for _ in range(URGENT_PART):
                await self._clock.sleep(part)
                self._observe()
                now = self._clock.now()
                self._report(self._limits.collect_refused(now))
            self._report(self._limits.collect(self._clock.now()))
            self._limits.forget_idle(self._clock.now())
            self._keeper.forget_idle(self._clock.now())

    def describe(self) -> dict:
        """Tell the shares held and given, for the operators."""
        return {
            "held": self._limits.describe(self._clock.now()),
            "given": self._keeper.describe(),
            "hosts": len(self._fleet.live),
            "hosts_counted": self._fleet.seen,
        }

    def _observe(self) -> None:
        self._fleet.observe(self._directory.hosts(), self._clock.now())
        self._limits.count_hosts(self._fleet.seen)

    def _report(self, demands: Demands) -> None:
        if not demands:
            return
        batches: dict[ids.HostId, Demands] = collections.defaultdict(dict)
        for team, demand in demands.items():
            keeper = rendezvous.choose(self._fleet.keepers, team)
            if keeper is not None:
                batches[keeper][team] = demand
        addresses = {
            host.host: host.peer_address for host in self._directory.hosts()
        }
        now = self._clock.now()
        for keeper, batch in batches.items():
            if keeper == self._host:
                given = self._divide(self._host, batch)
                self._limits.put(given, now, self._keeper.lifetime_ms)
            elif keeper in addresses:
                report = messages.DemandReport(self._host, now, batch)
                self._peers.send(addresses[keeper], report)

    def _divide(
        self, holder: ids.HostId, demands: Demands
    ) -> dict[ids.TeamId, messages.Share]:
        """Divide what this host keeps; teams of other keepers are left."""
        kept = {
            team: demand
            for team, demand in demands.items()
            if rendezvous.choose(self._fleet.keepers, team) == self._host
        }
        return self._keeper.report(
            holder, kept, self._find_team, self._fleet, self._clock.now()
        )

    def _find_team(self, team: ids.TeamId) -> model.Team | None:
        return self._configuration.rules.teams.get(team)

    def _take_report(
        self, sender: ids.Address, report: messages.DemandReport
    ) -> None:
        given = self._divide(report.holder, report.demands)
        if given:
            lifetime = self._keeper.lifetime_ms
            reply = messages.ShareReply(report.sent, given, lifetime)
            self._peers.send(sender, reply)

    def _take_shares(
        self, sender: ids.Address, reply: messages.ShareReply
    ) -> None:
        self._limits.put(reply.shares, reply.sent, reply.lifetime_ms)
