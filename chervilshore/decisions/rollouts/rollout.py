"""A roll-out as one host carries it out: where requests go, and the status."""

import random

import msgspec

from chervilshore.decisions.rollouts import evidence as evidences
from chervilshore.decisions.rollouts import exposure
from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore.decisions.rollouts import verdict as verdicts
from chervilshore import ids
from chervilshore import records

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
        self.deadline = started + order.duration_ms
        self._host = host
        self._incarnation = incarnation
        self._started = started
        self._rng = rng
        self._budget = exposure.ExposureBudget(limits, hosts, has_memory, rng)
        self._own = evidences.OwnEvidence()
        self._evidence = evidences.Evidence()
        self._judge = verdicts.Judge()
        self._view = rollout_records.RolloutView()
        self._domains: dict[ids.EndpointId, ids.DomainId] = {}
        self._sequence = 0
        self._reported: evidences.HostEvidence | None = None

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
        return self.phase is not Phase.SWITCHED or not self._view.new

    def prefers_new(self, pipeline: ids.PipelineName, now: float) -> bool:
        """Return whether a request should be tried at the new version first.

        Parameters
        ----------
        pipeline : PipelineName
            The route of the request.
        now : float
            The time in milliseconds.
        """
        if self.phase is Phase.CONDEMNED:
            return False
        if self.phase is Phase.CANARY:
            return bool(self._view.new) and self._budget.allows(0.5)
        return True

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
        self._budget.record_sent(is_new, is_first)
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
            How loaded the endpoint was, from 0; attempts are compared with
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
        if evidence.revision != self.order.revision:
            return
        if self._evidence.absorb(evidence, now):
            self._adopt(evidence.phase, evidence.reason)

    def make_evidence(self) -> evidences.HostEvidence | None:
        """Return this host's evidence; None if it has not changed."""
        report = evidences.HostEvidence(
            self.order.revision,
            self._host,
            self._incarnation,
            self._sequence,
            self.phase,
            self._view.old_running,
            self._own.sent,
            self._own.sent_new,
            self._own.list_tallies(),
            self.reason,
        )
        if report == self._reported:
            return None
        self._sequence += 1
        self._reported = msgspec.structs.replace(
            report, sequence=self._sequence
        )
        return self._reported

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
        for record in view.new + view.old:
            self._domains[record.endpoint] = record.domain
        return self.state

    def set_state(self, state: RolloutState, now: float) -> None:
        """Take in the state that is in the store; a final one stays."""
        if self.state is not RolloutState.RUNNING:
            return
        self.state = state
        if state is RolloutState.ROLLED_BACK:
            self._adopt(Phase.CONDEMNED, "rolled back")

    def describe(self, now: float) -> dict[str, object]:
        """Return the state, the evidence and what is waited for."""
        return {
            "pool": self.order.pool,
            "to": self.order.to,
            "state": self.state.value,
            "phase": self.phase.name.lower(),
            "reason": self.reason,
            "deadline_in_ms": self.deadline - now,
        }

    def _adopt(self, phase: Phase, reason: str) -> None:
        if phase > self.phase:
            self.phase = phase
            self.reason = reason
