"""The endpoints that one host owns, and how it becomes their owner.

A new owner sends recalls (`GrantRecall`) to the hosts that may have attempts
at the endpoint. A host that gets one follows the new owner, unless it follows
an owner of a higher epoch, and reports the attempts that it still has.
"""

from collections import abc as collections_abc

import msgspec

from chervilshore.decisions import allocators
from chervilshore.decisions import clusterview
from chervilshore.decisions import concurrency
from chervilshore.decisions import holderstates
from chervilshore.decisions import recovery
from chervilshore import events
from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import messages
from chervilshore import records

RECALL_RETRY_MS = 100.0
"""Milliseconds between recalls to a host that has not reported."""

DOWN_RECALL_RETRY_MS = 1000.0
"""Milliseconds between recalls to a host that seems down."""

JOIN_MS = 2000.0
"""Milliseconds after its start in which a host may not know all others."""

EPOCH_HOST_BITS = 20
"""Number of low bits of an epoch that identify its host."""

Send = collections_abc.Callable[[ids.HostId, messages.Message], None]
"""Sends a message to a host, which may be this one."""

Report = collections_abc.Callable[
    [ids.EndpointId, grantmessages.GrantRecall, float], grantmessages.Holding
]
"""Makes this host, as a holder, follow an owner; returns what it holds."""


class Ownerships:
    """The endpoints that one host owns.

    Parameters
    ----------
    host : HostId
        This host.
    run_id : int
        This process run; it rises with each restart.
    max_attempt_ms : float
        Maximum duration of an attempt in milliseconds.
    started : float
        The time in milliseconds at which this process started.
    cluster_view : ClusterView
        The hosts and endpoints, as this host knows them.
    send : callable
        Sends a message.
    report : callable
        Reports what this host holds.

    Attributes
    ----------
    allocators : dict
        The slot allocator of each endpoint that this host owns.
    pending_events : list of (Event, EndpointId)
        Events to log; the caller empties the list.
    """

    def __init__(
        self,
        host: ids.HostId,
        run_id: int,
        max_attempt_ms: float,
        started: float,
        cluster_view: clusterview.ClusterView,
        send: Send,
        report: Report,
    ) -> None:
        self.allocators: dict[ids.EndpointId, allocators.SlotAllocator] = {}
        self.pending_events: list[tuple[events.Event, ids.EndpointId]] = []
        self._host = host
        self._run_id = run_id
        self._max_attempt_ms = max_attempt_ms
        self._started = started
        self._cluster_view = cluster_view
        self._send = send
        self._report = report
        self._unfinished: dict[ids.EndpointId, recovery.Recovery] = {}
        self._recalled: dict[ids.HostId, float] = {}

    def update_topology(
        self, previous: clusterview.Topology, now: float
    ) -> None:
        """Drop and adjust ownerships after the topology has changed."""
        for endpoint, allocator in list(self.allocators.items()):
            if self._cluster_view.owners.get(endpoint) != self._host:
                self.drop(endpoint, now)
                continue
            placement = self._cluster_view.topology.placements[endpoint]
            self._update_bounds(
                allocator, placement, previous.placements.get(endpoint), now
            )
            self._update_hosts(allocator, now)

    def list_pending(self) -> list[ids.EndpointId]:
        """List the endpoints assigned to this host that it does not own yet.

        The assignment is the one in this host's own cluster view.
        """
        return [
            endpoint
            for endpoint, owner in self._cluster_view.owners.items()
            if owner == self._host and endpoint not in self.allocators
        ]

    def _update_hosts(
        self, allocator: allocators.SlotAllocator, now: float
    ) -> None:
        view = self._cluster_view
        allocator.set_hosts(view.alive, view.lost, view.left, now)

    def _update_bounds(
        self,
        allocator: allocators.SlotAllocator,
        placement: clusterview.EndpointPlacement,
        previous: clusterview.EndpointPlacement | None,
        now: float,
    ) -> None:
        if previous == placement:
            return
        allocator.limit.set_bounds(placement.cold_bound, placement.max_bound)
        if placement.is_domain_out or (
            previous is not None and previous.is_domain_out
        ):
            allocator.limit.reset_to_cold(now)

    def begin(
        self, endpoint: ids.EndpointId, highest_epoch: ids.Epoch, now: float
    ) -> None:
        """Become owner of an endpoint, in a new epoch.

        Parameters
        ----------
        endpoint : EndpointId
            The endpoint.
        highest_epoch : Epoch
            The highest epoch of the endpoint that this host knows.
        now : float
            The time in milliseconds.
        """
        placement = self._cluster_view.topology.placements[endpoint]
        previous = self.allocators.get(endpoint)
        if previous is not None:
            highest_epoch = max(highest_epoch, previous.highest_epoch)
            self.drop(endpoint, now)
        allocator = allocators.SlotAllocator(
            endpoint,
            self._host,
            self._next_epoch(highest_epoch),
            concurrency.Limit(placement.cold_bound, placement.max_bound, now),
            self._start_recovery(now),
        )
        self._report_to_self(allocator, now)
        self._update_hosts(allocator, now)
        self.allocators[endpoint] = allocator
        self.pending_events.append((events.Event.OWNERSHIP_STARTED, endpoint))
        self._recalled.clear()

    def _start_recovery(self, now: float) -> recovery.Recovery:
        longest = self._max_attempt_ms + holderstates.GRANT_LIFETIME_MS
        return recovery.Recovery(
            self._cluster_view.alive | self._cluster_view.lost,
            self._started + JOIN_MS,
            now + longest + holderstates.END_MARGIN_MS,
        )

    def _report_to_self(
        self, allocator: allocators.SlotAllocator, now: float
    ) -> None:
        recall = grantmessages.GrantRecall(
            self._host, allocator.epoch, (allocator.endpoint,)
        )
        holding = self._report(allocator.endpoint, recall, now)
        allocator.handle_report(self._host, self._run_id, holding, (), now)

    def _next_epoch(self, highest_epoch: ids.Epoch) -> ids.Epoch:
        # The low bits keep the epochs of two hosts distinct.  The high bits
        # only have to rise: they start at the run ID, and a host that knows
        # a higher epoch goes above it.
        number = max(self._run_id, (highest_epoch >> EPOCH_HOST_BITS) + 1)
        host_bits = clusterview.digest(self._host) & (
            (1 << EPOCH_HOST_BITS) - 1
        )
        return ids.Epoch(number << EPOCH_HOST_BITS | host_bits)

    def drop(self, endpoint: ids.EndpointId, now: float) -> None:
        """Give up an ownership."""
        allocator = self.allocators.pop(endpoint)
        if not allocator.is_recovered(now):
            self._unfinished[endpoint] = allocator.recovery

    def step_down(
        self, endpoint: ids.EndpointId, epoch: ids.Epoch, now: float
    ) -> None:
        """Give up an ownership if another host owns it in a higher epoch."""
        allocator = self.allocators.get(endpoint)
        if allocator is not None and allocator.epoch < epoch:
            self.drop(endpoint, now)

    def add_recovery_state(
        self, holding: grantmessages.Holding, now: float
    ) -> grantmessages.Holding:
        """Add what this host's former ownership had yet to recover.

        The hosts that had not reported are named, so that the next owner
        sends them recalls itself.  Only a host that none can reach delays
        the next owner until its attempts must have ended.

        Parameters
        ----------
        holding : Holding
            What this host holds as a holder.
        now : float
            The time in milliseconds.
        """
        unfinished = self._unfinished.get(holding.endpoint)
        if unfinished is None:
            return holding
        if unfinished.is_complete(now):
            del self._unfinished[holding.endpoint]
            return holding
        return msgspec.structs.replace(
            holding,
            discovery_ms=unfinished.discovery_remaining_ms(now),
            missing=tuple(sorted(unfinished.missing)),
        )

    def retire(self, now: float) -> None:
        """Give up all ownerships, and announce it to all hosts.

        Must be called only when this host has nothing in flight.
        """
        for endpoint in list(self.allocators):
            self.drop(endpoint, now)
        self._cluster_view.owners = {}
        for host in self._cluster_view.topology.hosts:
            if host != self._host:
                self._send(host, grantmessages.GrantRetire(self._host))

    def restart_all(self, now: float) -> None:
        """Begin all ownerships again, as other hosts may have taken over."""
        for endpoint, allocator in list(self.allocators.items()):
            self.begin(endpoint, allocator.highest_epoch, now)

    # Messages.

    def handle_request(
        self, request: grantmessages.GrantAsk, now: float
    ) -> None:
        """Reply to a holder, if this host owns the endpoint."""
        allocator = self.allocators.get(request.endpoint)
        if allocator is None:
            return
        was_warm = allocator.limit.warmth is not records.Warmth.COLD
        self._send_replies(allocator.handle_request(request, now))
        if was_warm and allocator.limit.warmth is records.Warmth.COLD:
            self.pending_events.append(
                (events.Event.ENDPOINT_COLD, request.endpoint)
            )
        self._restart_if_outdated(allocator, now)

    def handle_report(
        self, report: grantmessages.GrantReport, now: float
    ) -> None:
        """Record what a host still has in flight."""
        for holding in report.holdings:
            allocator = self.allocators.get(holding.endpoint)
            if allocator is None:
                continue
            allocator.handle_report(
                report.holder, report.run_id, holding, report.other_hosts, now
            )
            self._restart_if_outdated(allocator, now)

    def _restart_if_outdated(
        self, allocator: allocators.SlotAllocator, now: float
    ) -> None:
        if allocator.highest_epoch > allocator.epoch:
            # Some host has promised itself to an owner of a higher epoch.
            self.begin(allocator.endpoint, allocator.highest_epoch, now)

    def _send_replies(self, replies: allocators.Replies) -> None:
        for host, reply in replies.items():
            self._send(host, reply)

    def tick(self, now: float) -> None:
        """Send due replies and recalls; call it periodically."""
        for allocator in self.allocators.values():
            if allocator.holders:
                self._send_replies(allocator.tick(now))
        self.send_recalls(now)

    def send_recalls(self, now: float) -> None:
        """Send recalls to hosts that have not reported, where due."""
        wanted: dict[tuple[ids.HostId, ids.Epoch], list[ids.EndpointId]] = {}
        for endpoint, allocator in self.allocators.items():
            if allocator.is_recovered(now):
                continue
            for host in sorted(allocator.recovery.missing):
                wanted.setdefault((host, allocator.epoch), []).append(endpoint)
        due = {host for host, _ in wanted if self._is_recall_due(host, now)}
        for (host, epoch), endpoints in wanted.items():
            if host in due:
                self._recalled[host] = now
                recall = grantmessages.GrantRecall(
                    self._host,
                    epoch,
                    tuple(endpoints),
                    self._cluster_view.hosts_digest,
                )
                self._send(host, recall)

    def _is_recall_due(self, host: ids.HostId, now: float) -> bool:
        interval = (
            RECALL_RETRY_MS
            if host in self._cluster_view.topology.hosts
            else DOWN_RECALL_RETRY_MS
        )
        return now >= self._recalled.get(host, float("-inf")) + interval
