"""A roll-out as one host carries it out: where requests go, and the status."""

import random

import msgspec

from chervilshore.decisions.rollouts import evidence as evidences
from chervilshore.decisions.rollouts import exposure
from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore.decisions.rollouts import schedule as schedules
from chervilshore.decisions.rollouts import verdict as verdicts
from chervilshore import ids
from chervilshore import records

MIN_MOVED_COMPARED = 10
"""Compared responses without which a version is not moved to: fewer would not
show even one that fails half of its requests."""

CANARY_FRACTIONS = (0.6, 0.9)
"""Fractions of the share that the canary uses, before and after the evidence
suffices for a verdict."""

Phase = rollout_records.Phase
RolloutState = rollout_records.RolloutState


class Rollout:
    """One order on one host.

    Any host may decide, by the same evidence. A host adopts the furthest phase
    that it has heard of, so that the hosts follow each other.

    Parameters
    ----------
    order : RolloutOrder
        The order; a new revision needs a new object.
    host : HostId
        This host.
    incarnation : Incarnation
        The process run of this host.
    limits : ExposureLimits
        The bounds of all hosts together.
    started : float
        The time of the order in milliseconds, on this host's clock.
    rng : random.Random
        Spreads the requests to the new version.
    hosts : int
        Number of known hosts.
    has_memory : bool
        Whether this process ran when the order was given; if not, it may
        have sent requests to the version that it does not know of.

    Attributes
    ----------
    phase : Phase
        How far the requests of this host have moved.
    state : RolloutState
        The state in the store, as far as it is known.
    reason : str
        Why the version is condemned.
    """

    def __init__(
        self,
        order: rollout_records.RolloutOrder,
        host: ids.HostId,
        incarnation: ids.Incarnation,
        limits: rollout_records.ExposureLimits,
        started: float,
        rng: random.Random,
        hosts: int = 1,
        has_memory: bool = True,
    ) -> None:
        self.order = order
        self.phase = Phase.CANARY
        self.state = RolloutState.RUNNING
        self.reason = ""
        self._host = host
        self._incarnation = incarnation
        self._rng = rng
        self._schedule = schedules.Schedule(started, order.duration_ms)
        self._budget = exposure.ExposureBudget(limits, hosts, has_memory, rng)
        self._budget.fraction = CANARY_FRACTIONS[False]
        self._own = evidences.OwnEvidence()
        self._evidence = evidences.Evidence()
        self._judge = verdicts.Judge()
        self._verdict = verdicts.Verdict()
        self._view = rollout_records.RolloutView()
        self._domains: dict[ids.EndpointId, ids.DomainId] = {}
        self._reported: evidences.HostEvidence | None = None
        self._sent_sequence = 0

    def allows(
        self,
        version: ids.SoftwareVersion,
        pipeline: ids.PipelineName,
        now: float,
    ) -> bool:
        """Return whether a request may be sent to an endpoint of a version.

        Parameters
        ----------
        version : SoftwareVersion
            The version of the endpoint.
        pipeline : PipelineName
            The route of the request.
        now : float
            The time in milliseconds.
        """
        is_new = version == self.order.to
        if self.state is RolloutState.COMPLETED:
            return is_new
        if self.phase is Phase.CONDEMNED:
            return not is_new
        if is_new:
            return self.phase is not Phase.CANARY or self._budget.allows()
        # Without an endpoint of the new version the others are still there.
        return self.phase is not Phase.SWITCHED or not self._view.new

    def prefers_new(self, pipeline: ids.PipelineName, now: float) -> bool:
        """Return whether a request should be tried at the new version first.

        If not, it should be tried at the other versions first, which are the
        controls.

        Parameters
        ----------
        pipeline : PipelineName
            The route of the request.
        now : float
            The time in milliseconds.
        """
        if self.state is RolloutState.COMPLETED:
            return True
        if self.phase is Phase.CONDEMNED or not self._view.new:
            return False
        if self.phase is Phase.CANARY:
            return self._budget.is_due(pipeline)
        if self.phase is Phase.MOVING:
            return self._rng.random() < self._schedule.find_share(now)
        return True

    def choose_canaries(self, now: float) -> frozenset[ids.EndpointId]:
        """Choose the endpoints that should get the canary's requests.

        They are so few that each is loaded like one of another version, as
        some versions are bad under load only. They change from time to time.
        After the canary all endpoints are used.

        Parameters
        ----------
        now : float
            The time in milliseconds.
        """
        new = [record.endpoint for record in self._view.new]
        if self.phase is Phase.CANARY:
            old = len(self._view.old)
            return self._schedule.choose_canaries(new, old, now)
        return frozenset(new)

    def record_sent(
        self,
        version: ids.SoftwareVersion,
        pipeline: ids.PipelineName,
        endpoint: ids.EndpointId,
        now: float,
        is_first: bool = True,
    ) -> None:
        """Record an attempt that is sent to an endpoint of the pool.

        Every one has to be recorded: retries, hedges, probes, streams that
        are resumed, calls of batch stages.

        Parameters
        ----------
        version : SoftwareVersion
            The version of the endpoint.
        pipeline : PipelineName
            The route of the request.
        endpoint : EndpointId
            The endpoint.
        now : float
            The time in milliseconds.
        is_first : bool
            Whether it is the request's first attempt at the pool.
        """
        is_new = version == self.order.to
        self._budget.record_sent(pipeline, is_new, is_first)
        self._own.record_sent(is_new)

    def record_end(
        self,
        version: ids.SoftwareVersion,
        pipeline: ids.PipelineName,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        millis: float,
        now: float,
        level: int = 0,
        is_comparable: bool = True,
    ) -> None:
        """Record how an attempt ended.

        Parameters
        ----------
        version : SoftwareVersion
            The version of the endpoint.
        pipeline : PipelineName
            The route of the request.
        endpoint : EndpointId
            The endpoint.
        outcome : Outcome
            How the attempt ended.
        millis : float
            Milliseconds that it took.
        now : float
            The time in milliseconds.
        level : int
            How loaded the endpoint was, from 0; latencies are compared with
            those at the same level.
        is_comparable : bool
            Whether its latency tells something of the version; that of a
            cold endpoint does not.
        """
        is_new = version == self.order.to
        key = evidences.Key(
            pipeline,
            self._domains.get(endpoint, ids.DomainId("")),
            level,
            evidences.find_cell(endpoint) if is_new else evidences.OLD_CELL,
        )
        self._own.record_end(key, outcome, millis if is_comparable else None)

    def absorb(self, evidence: evidences.HostEvidence, now: float) -> None:
        """Take in the evidence of a peer; that of other orders is ignored."""
        sender = (evidence.host, evidence.incarnation)
        is_own = sender == (self._host, self._incarnation)
        if is_own or evidence.revision != self.order.revision:
            return
        added = self._evidence.absorb(evidence)
        if added is None:
            return
        self._judge.add(added, now)
        self._adopt(evidence.phase, evidence.reason, now)

    def make_evidence(self) -> evidences.HostEvidence | None:
        """Return this host's evidence; None if it has not changed."""
        report = self._report()
        if report.sequence == self._sent_sequence:
            return None
        self._sent_sequence = report.sequence
        return report

    def list_evidence(self) -> tuple[evidences.HostEvidence, ...]:
        """Return all that is known, for a host that has just started."""
        return self._evidence.list_reports()

    def decide(
        self, view: rollout_records.RolloutView, now: float
    ) -> RolloutState:
        """Return the status that this host would write.

        Parameters
        ----------
        view : RolloutView
            What is known of the pool and of the other hosts.
        now : float
            The time in milliseconds.
        """
        self._view = view
        # Attempts at endpoints that have left since are still counted.
        for record in view.new + view.old:
            self._domains[record.endpoint] = record.domain
        added = self._evidence.absorb(self._report())
        if added:
            self._judge.add(added, now)
        if self.state is not RolloutState.RUNNING:
            return self.state
        self._verdict = self._judge.judge(self.phase, now)
        suffices = self._verdict.finding is verdicts.Finding.GOOD
        self._budget.fraction = CANARY_FRACTIONS[suffices]
        self._advance(now)
        if self.phase is Phase.CONDEMNED:
            return RolloutState.ROLLED_BACK
        may_complete = (
            self.phase is Phase.SWITCHED and self._schedule.may_complete(now)
        )
        if may_complete and not self._list_waits(now):
            return RolloutState.COMPLETED
        return RolloutState.RUNNING

    def set_state(self, state: RolloutState, now: float) -> None:
        """Take in the state that is in the store; a final one stays."""
        if self.state is not RolloutState.RUNNING:
            return
        self.state = state
        if state is RolloutState.ROLLED_BACK:
            self._adopt(Phase.CONDEMNED, "the status says so", now)

    def describe(self, now: float) -> dict[str, object]:
        """Return the state, the evidence and what is waited for."""
        sent, sent_new = self._evidence.sum_sent()
        return {
            "pool": self.order.pool,
            "to": self.order.to,
            "state": self.state.value,
            "phase": self.phase.name.lower(),
            "reason": self.reason or self._verdict.reason,
            "finding": self._verdict.finding.value,
            "compared": self._judge.compared,
            "sent": sent,
            "sent_new": sent_new,
            "deadline_in_ms": self._schedule.deadline - now,
            "waits_for": self._list_waits(now),
        }

    def _report(self) -> evidences.HostEvidence:
        """Return this host's totals, with a new sequence if they changed."""
        known = self._reported
        report = evidences.HostEvidence(
            self.order.revision,
            self._host,
            self._incarnation,
            known.sequence if known is not None else 0,
            self.phase,
            self._view.old_running,
            self._own.sent,
            self._own.sent_new,
            self._own.list_tallies(),
            self.reason,
        )
        if report != known:
            self._reported = msgspec.structs.replace(
                report, sequence=report.sequence + 1
            )
        return self._reported

    def _adopt(self, phase: Phase, reason: str, now: float) -> None:
        if phase > self.phase:
            self.phase, self.reason = phase, reason
            self._schedule.record_phase(phase, now)

    def _advance(self, now: float) -> None:
        """Go to the next phase if its time has come and nothing forbids it."""
        verdict = self._verdict
        if verdict.finding is verdicts.Finding.BAD:
            self._adopt(Phase.CONDEMNED, verdict.reason, now)
            return
        is_ready = not verdict.is_suspect and schedules.has_capacity(
            self._view.new, self._view.old
        )
        if self.phase is Phase.CANARY:
            is_ready = is_ready and self._judge.compared >= MIN_MOVED_COMPARED
            if is_ready and self._schedule.may_move(
                self._view.longest_ms, now
            ):
                self._adopt(Phase.MOVING, "", now)
        elif self.phase is Phase.MOVING:
            if is_ready and self._schedule.may_switch(now):
                self._adopt(Phase.SWITCHED, "", now)
        if is_ready or self.phase is Phase.SWITCHED:
            return
        # A host that hears of few others must not decide for them.
        if self._schedule.is_overdue(now) and self._hears_most():
            reason = verdict.reason or "not proven at the deadline"
            self._adopt(Phase.CONDEMNED, reason, now)

    def _hears_most(self) -> bool:
        others = self._view.hosts - {self._host}
        heard = sum(
            self._evidence.find_latest(host) is not None for host in others
        )
        return 2 * heard >= len(others)

    def _list_waits(self, now: float) -> list[str]:
        """List what has to end before the other versions may be stopped."""
        if self.phase is not Phase.SWITCHED:
            return [f"phase {self.phase.name.lower()}"]
        waits = []
        if not self._schedule.may_complete(now):
            waits.append("the last seconds before the deadline")
        if not schedules.has_capacity(self._view.new, self._view.old):
            waits.append("endpoints of the new version")
        running = self._view.old_running
        silent = []
        others = sorted(self._view.hosts - {self._host})
        for host in others:
            report = self._evidence.find_latest(host)
            if report is None or report.phase < Phase.SWITCHED:
                silent.append(host)
            else:
                running += report.old_running
        if running:
            waits.append(f"{running} attempts at other versions")
        may_miss = self._schedule.may_miss_hosts(now)
        if 2 * len(silent) > len(others) or not may_miss:
            waits.extend(silent)
        return waits
