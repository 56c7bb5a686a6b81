"""Exchanges the evidence of roll-outs with the other hosts."""

import asyncio
import random

import mode

from chervilshore.clients import peers as peer_types
from chervilshore import clock as clocks
from chervilshore.controllers import directory as directories
from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore.decisions.rollouts import rollout
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import rolloutmessages

ROUND_MS = 100.0
"""Milliseconds between two looks for something urgent to report."""

REPORT_PER_HOST_MS = 8.0
"""Milliseconds between two reports for each known host: as all report to all,
what a host receives then grows no faster than with the number of hosts."""

MIN_REPORT_MS = 300.0
"""Milliseconds between two reports that are not urgent, at least."""

SYNC_REPORTS = 2.0
"""Intervals of reports between two comparisons with a peer, which replace
what was lost on the way or sent before this host was known."""

SYNC_TIMEOUT_MS = 500.0
"""Milliseconds to wait for the reply of a peer."""


class RolloutSpread(mode.Service):
    """Reports this host's evidence to all others while orders run.

    Each host sends its totals itself, as reports that pass through other
    hosts would arrive several times. What a host has learnt of a version's
    faults is sent at once.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    directory : Directory
        Lists the hosts.
    peers : PeerTransport
        Sends and receives the messages.
    rng : random.Random
        Chooses peers.

    Attributes
    ----------
    rollouts : dict of int to Rollout
        The orders by number, also those that have ended; see `add`.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        directory: directories.Directory,
        peers: peer_types.PeerTransport,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.rollouts: dict[int, rollout.Rollout] = {}
        self._host = host
        self._clock = clock
        self._directory = directory
        self._peers = peers
        self._rng = rng
        self._urgent = False
        self._has_running = asyncio.Event()

    async def on_start(self) -> None:
        """Register the message handlers."""
        self._peers.handle(rolloutmessages.RolloutReport, self._handle_report)
        self._peers.handle(
            rolloutmessages.RolloutReportRequest, self._handle_request
        )

    def add(self, number: int, known: rollout.Rollout) -> None:
        """Report on an order until it has ended."""
        self.rollouts[number] = known
        self._has_running.set()

    def _list_running(self) -> dict[int, rollout.Rollout]:
        return {
            number: known
            for number, known in self.rollouts.items()
            if known.state is rollout_records.RolloutState.RUNNING
        }

    def hurry(self) -> None:
        """Report in the next round."""
        self._urgent = True

    def _handle_report(
        self, sender: ids.Address, report: rolloutmessages.RolloutReport
    ) -> None:
        now = self._clock.now()
        for evidence in report.reports:
            known = self.rollouts.get(evidence.revision)
            if known is None:
                continue
            phase = known.phase
            known.absorb(evidence, now)
            if known.phase is not phase:
                self.hurry()

    def _handle_request(
        self,
        sender: ids.Address,
        request: rolloutmessages.RolloutReportRequest,
    ) -> rolloutmessages.RolloutReport:
        found = []
        for revision in request.revisions:
            known = self.rollouts.get(revision)
            if known is not None:
                found += known.list_evidence()
        return rolloutmessages.RolloutReport(tuple(found))

    def _list_peers(self) -> list[ids.Address]:
        return [
            one.peer_address
            for one in self._directory.hosts()
            if one.host != self._host
        ]

    def _choose_interval_ms(self) -> float:
        hosts = len(self._directory.hosts())
        return max(MIN_REPORT_MS, hosts * REPORT_PER_HOST_MS)

    @mode.Service.task
    async def _report(self) -> None:
        """Send what has changed to all other hosts."""
        due = 0.0
        while not self.should_stop:
            await self._has_running.wait()
            await self._clock.sleep(ROUND_MS)
            now = self._clock.now()
            has_ended = not self._list_running()
            if has_ended:
                self._has_running.clear()
            if has_ended or self._urgent or now >= due:
                due = now + self._choose_interval_ms()
                self._urgent = False
                self._send_reports(now)

    def _send_reports(self, now: float) -> None:
        made = []
        for known in self.rollouts.values():
            report = known.make_evidence()
            if report is not None:
                known.absorb(report, now)
                made.append(report)
        if not made:
            return
        message = rolloutmessages.RolloutReport(tuple(made))
        for address in self._list_peers():
            self._peers.send(address, message)

    @mode.Service.task
    async def _synchronize(self) -> None:
        """Compare what is known with a random peer, again and again."""
        while not self.should_stop:
            await self._has_running.wait()
            others = self._list_peers()
            if others:
                await self._pull(self._rng.choice(others))
            await self._clock.sleep(SYNC_REPORTS * self._choose_interval_ms())

    async def _pull(self, address: ids.Address) -> None:
        numbers = tuple(self._list_running())
        request = rolloutmessages.RolloutReportRequest(numbers)
        try:
            reply = await self._peers.send_request(
                address, request, SYNC_TIMEOUT_MS
            )
        except exceptions.PeerError:
            # Membership logs peers that do not answer; the next one may.
            return
        if isinstance(reply, rolloutmessages.RolloutReport):
            self._handle_report(address, reply)
