"""Finds out which requests end endpoints, and holds them back on all hosts."""

import asyncio
from collections import abc as collections_abc
import contextlib
import functools
import logging
import math
import random

import mode

from chervilshore.clients import connectionpool
from chervilshore.clients import peers as peer_types
from chervilshore import clock as clocks
from chervilshore.controllers import directory as directories
from chervilshore.controllers import endpointchecks
from chervilshore.controllers import holdstore
from chervilshore.controllers import versions
from chervilshore.decisions import crashevidence
from chervilshore.decisions import crashverdicts
from chervilshore.decisions import holds
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import ids
from chervilshore import metrics as metric_types
from chervilshore import quarantinemessages
from chervilshore import records
from chervilshore import results

SPREAD_MS = 100.0
"""Milliseconds between two rounds in which news are sent to peers."""

SPREAD_PEERS = 3
"""Peers that get the news in each round."""

MAX_FINDINGS = 200
"""Facts in one message of a round."""

MAX_SYNC_FINDINGS = 1000
"""Facts in one reply to a host that knows other ones, the newest first."""

SYNC_MS = 2000.0
"""Milliseconds between two comparisons with a peer, so that a host that has
started or was cut off knows what the others know."""

SYNC_TIMEOUT_MS = 500.0
"""Milliseconds to wait for the reply of a peer."""

_LOGGER = logging.getLogger(__name__)


def count_rounds(peers: int) -> int:
    """Return in how many rounds a host sends a fact to a few of its peers.

    Each host that gets a fact sends it on, so that a number of sends by the
    logarithm of the hosts reaches nearly all; comparisons do the rest.
    """
    return 1 + math.ceil(math.log2(peers + 2) / SPREAD_PEERS)


class Quarantine(mode.Service):
    """Holds back the requests under which endpoints ended.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    pool : ConnectionPool
        Opens connections to find out whether an endpoint has ended.
    directory : Directory
        Lists the hosts.
    peers : PeerTransport
        Sends and receives the messages.
    rng : random.Random
        Chooses peers.
    metrics : Metrics
        Counts what is lost and held back.
    version_choice : Versions or None
        Which versions may themselves be at fault; None if none are.
    hold_store : HoldStore or None
        Keeps what is held back while no host runs; None for nothing.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        pool: connectionpool.ConnectionPool,
        directory: directories.Directory,
        peers: peer_types.PeerTransport,
        rng: random.Random,
        metrics: metric_types.Metrics,
        version_choice: versions.Versions | None = None,
        hold_store: holdstore.HoldStore | None = None,
    ) -> None:
        super().__init__()
        self._host = host
        self._clock = clock
        self._checks = endpointchecks.EndpointChecks(clock, pool, directory)
        self._directory = directory
        self._peers = peers
        self._rng = rng
        self._metrics = metrics
        self._versions = version_choice or versions.AnyVersion()
        self._hold_store = hold_store
        self._evidence = crashevidence.CrashEvidence()
        self._has_news = asyncio.Event()
        self._held: set[ids.Fingerprint] = set()
        self._written: dict[ids.Fingerprint, crashverdicts.Verdict] = {}
        self._trials: dict[ids.Fingerprint, ids.RequestId] = {}
        self._tried_at: dict[ids.Fingerprint, float] = {}

    async def on_start(self) -> None:
        """Register the message handlers."""
        await self.add_runtime_dependency(self._checks)
        if self._hold_store is not None:
            self._hold_store.on_read = self._merge
            await self.add_runtime_dependency(self._hold_store)
        self._peers.handle(quarantinemessages.CrashReport, self._handle_report)
        self._peers.handle(
            quarantinemessages.CrashReportRequest, self._handle_request
        )

    @contextlib.contextmanager
    def admit(self, exchange: base.Exchange) -> collections_abc.Iterator[None]:
        """Let a request pass unless it is held back.

        Raises
        ------
        exceptions.RefusalError
            Endpoints ended under requests like this one.
        """
        self._start_trial(exchange)
        try:
            self.check(exchange)
            yield
        finally:
            for fingerprint in exchange.fingerprints:
                if self._trials.get(fingerprint) == exchange.request:
                    del self._trials[fingerprint]

    def check(self, exchange: base.Exchange) -> None:
        """Refuse a request that is held back; see `admit`."""
        verdicts = self._evidence.verdicts
        if not verdicts:
            return
        now = self._clock.now()
        for fingerprint in exchange.fingerprints:
            verdict = verdicts.get(fingerprint)
            is_trial = self._trials.get(fingerprint) == exchange.request
            if verdict is not None and not is_trial:
                raise exceptions.RefusalError(
                    results.Code.REQUEST_HELD,
                    f"{verdict.crashes} endpoints ended under {fingerprint}",
                    holds.choose_retry_ms(verdict, now),
                )

    def _start_trial(self, exchange: base.Exchange) -> None:
        """Make a request a trial if one is due here."""
        now = self._clock.now()
        for fingerprint in exchange.fingerprints:
            verdict = self._evidence.verdicts.get(fingerprint)
            if verdict is None or fingerprint in self._trials:
                continue
            tried_at = self._tried_at.get(fingerprint, float("-inf"))
            # A trial without a result, such as one at a full endpoint, must
            # not be followed by the next one at once.
            if now < max(
                holds.trial_at(verdict),
                tried_at + holds.choose_hold_ms(verdict),
            ):
                continue
            hosts = [one.host for one in self._directory.hosts()]
            if holds.choose_trial_host(hosts, fingerprint) == self._host:
                self._trials[fingerprint] = exchange.request
                self._tried_at[fingerprint] = now
                events.log_event(
                    _LOGGER,
                    events.Event.HOLD_TRIED,
                    request=exchange.request,
                    fingerprint=fingerprint,
                )

    def may_retry(self, exchange: base.Exchange) -> bool:
        """Return whether a failed request may go to another endpoint."""
        return not self._evidence.is_suspect(exchange.fingerprints)

    async def record_loss(
        self, exchange: base.Exchange, record: records.EndpointRecord
    ) -> None:
        """Record that an endpoint closed the connection of a request.

        Parameters
        ----------
        exchange : Exchange
            The request.
        record : EndpointRecord
            The endpoint, which may have ended or only closed a connection.
        """
        relay = exchange.relay
        lost_at = self._clock.now()
        found = await self._checks.look(record)
        ended = found is connectionpool.Presence.REFUSED
        self._metrics.count(
            metric_types.Metric.REQUESTS_LOST, record.pool, str(ended).lower()
        )
        events.log_event(
            _LOGGER,
            events.Event.REQUEST_LOST,
            request=exchange.request,
            endpoint=record.endpoint,
            instance=record.instance,
            pool=record.pool,
            ended=ended,
            found=found.value,
            after_event=relay.last_event_id if relay else None,
            fingerprints=exchange.fingerprints,
        )
        if self._versions.is_suspect(record) and self.may_retry(exchange):
            # Its version may be what fails, and is judged by it.
            return
        if ended:
            self._record_crash(exchange.fingerprints, record, lost_at)
        else:
            record_crash = functools.partial(
                self._record_crash, exchange.fingerprints
            )
            self._checks.follow(record, lost_at, record_crash)

    def _record_crash(
        self,
        fingerprints: tuple[ids.Fingerprint, ...],
        record: records.EndpointRecord,
        at: float,
    ) -> None:
        """Record that an endpoint ended at a time under a request."""
        process = records.name_process(record)
        self._evidence.record_crash(
            process, fingerprints, at, self._clock.now()
        )
        self._report_changes()

    def record_answer(self, exchange: base.Exchange) -> None:
        """Record that an endpoint runs on after a complete answer."""
        cleared = self._evidence.record_answer(
            exchange.fingerprints, self._clock.now()
        )
        for fingerprint, ends in cleared.items():
            self._metrics.count(metric_types.Metric.SUSPECTS_CLEARED)
            if ends > 1:
                events.log_event(
                    _LOGGER,
                    events.Event.SUSPECT_CLEARED,
                    request=exchange.request,
                    fingerprint=fingerprint,
                    endpoints=ends,
                )
        self._report_changes()

    def _report_changes(self) -> None:
        """Log what is held back anew or no more, and spread the news."""
        if self._evidence.has_news():
            self._has_news.set()
        self._report_dropped()
        verdicts = self._evidence.verdicts
        if self._hold_store is not None and verdicts != self._written:
            self._written = verdicts
            self._hold_store.update(self._evidence.list_held())
        if verdicts.keys() == self._held:
            return
        for fingerprint in verdicts.keys() - self._held:
            self._log_hold(fingerprint, verdicts[fingerprint])
        for fingerprint in self._held - verdicts.keys():
            self._tried_at.pop(fingerprint, None)
            events.log_event(
                _LOGGER, events.Event.HOLD_ENDED, fingerprint=fingerprint
            )
        self._held = set(verdicts)
        self._metrics.set(metric_types.Metric.HELD, len(verdicts))

    def _report_dropped(self) -> None:
        dropped = self._evidence.take_dropped()
        if dropped:
            self._metrics.count(metric_types.Metric.CRASH_FACTS_DROPPED)
            events.log_event(
                _LOGGER, events.Event.CRASH_FACTS_DROPPED, facts=dropped
            )

    def _log_hold(
        self, fingerprint: ids.Fingerprint, verdict: crashverdicts.Verdict
    ) -> None:
        events.log_event(
            _LOGGER,
            events.Event.HOLD_STARTED,
            fingerprint=fingerprint,
            endpoints=self._evidence.list_crashes(fingerprint),
            age_ms=round(self._clock.now() - verdict.last_crash),
        )

    def describe(self) -> dict[str, object]:
        """Return what is held back, for operators."""
        now = self._clock.now()
        return {
            fingerprint: {
                "endpoints": self._evidence.list_crashes(fingerprint),
                "trial_in_ms": round(holds.trial_at(verdict) - now),
            }
            for fingerprint, verdict in self._evidence.verdicts.items()
        }

    @mode.Service.task
    async def _spread(self) -> None:
        """Send news to a few peers at a time until they have spread."""
        while not self.should_stop:
            await self._has_news.wait()
            self._has_news.clear()
            while self._evidence.has_news():
                self._send_news()
                await self._clock.sleep(SPREAD_MS)

    def _send_news(self) -> None:
        others = self._list_peers()
        findings = self._evidence.select_news(
            MAX_FINDINGS, count_rounds(len(others)), self._clock.now()
        )
        report = quarantinemessages.CrashReport(findings)
        for address in others[:SPREAD_PEERS]:
            self._peers.send(address, report)

    def _list_peers(self) -> list[ids.Address]:
        """Return the addresses of the other hosts, in random order."""
        others = [
            one.peer_address
            for one in self._directory.hosts()
            if one.host != self._host
        ]
        self._rng.shuffle(others)
        return others

    @mode.Service.task
    async def _synchronize(self) -> None:
        """Compare what is known with a random peer, again and again."""
        while not self.should_stop:
            others = self._list_peers()
            if others:
                await self._pull(others[0])
            await self._clock.sleep(SYNC_MS)

    async def _pull(self, address: ids.Address) -> None:
        request = quarantinemessages.CrashReportRequest(self._evidence.digest)
        try:
            report = await self._peers.send_request(
                address, request, SYNC_TIMEOUT_MS
            )
        except exceptions.PeerError:
            # Membership logs peers that do not answer; the next one may.
            return
        if isinstance(report, quarantinemessages.CrashReport):
            self._handle_report(address, report)

    def _handle_report(
        self, sender: ids.Address, report: quarantinemessages.CrashReport
    ) -> None:
        self._merge(report.findings)

    def _merge(
        self, findings: collections_abc.Iterable[crashevidence.Finding]
    ) -> None:
        self._evidence.merge(findings, self._clock.now())
        self._report_changes()

    def _handle_request(
        self,
        sender: ids.Address,
        request: quarantinemessages.CrashReportRequest,
    ) -> quarantinemessages.CrashReport:
        if request.digest == self._evidence.digest:
            return quarantinemessages.CrashReport()
        findings = self._evidence.list_all(self._clock.now())
        return quarantinemessages.CrashReport(findings[:MAX_SYNC_FINDINGS])
