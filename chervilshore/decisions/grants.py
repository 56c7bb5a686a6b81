"""All grants of one host: as owner of some endpoints and holder of others.

Nothing here does input or output.  Messages to send are collected in the
outbox, and endpoints whose slots have changed in `changed`.
"""

import collections

from chervilshore.decisions import clusterview
from chervilshore.decisions import concurrency
from chervilshore.decisions import holders
from chervilshore.decisions import ownerships
from chervilshore import events
from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import messages

MAX_PAUSE_MS = 500.0
"""Milliseconds between two calls after which an owner begins new epochs.

Another host may have taken over during a longer pause: that happens no
sooner than membership can find a host down.
"""

FOLLOW_MS = 2000.0
"""Milliseconds for which a host follows an owner against its own view."""

REPLY_TIMEOUT_MS = 250.0
"""Milliseconds after which a reply of an owner counts as missed."""

MAX_MISSED_REPLIES = 2
"""Missed replies in a row after which an owner counts as unreachable."""


class Grants:
    """The grants of one host.

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

    Attributes
    ----------
    cluster_view : ClusterView
        The hosts and endpoints, as this host knows them.
    ownerships : Ownerships
        The endpoints that this host owns.
    holders : dict
        The slots of each endpoint that this host has used or wanted.
    changed : set of EndpointId
        Endpoints whose slots were granted, released or denied; the caller
        empties the set.
    """

    def __init__(
        self,
        host: ids.HostId,
        run_id: int,
        max_attempt_ms: float,
        started: float,
    ) -> None:
        self.host = host
        self.run_id = run_id
        self.cluster_view = clusterview.ClusterView(max_attempt_ms)
        self.holders: dict[ids.EndpointId, holders.Holder] = {}
        self.changed: set[ids.EndpointId] = set()
        self._last_deadlines: dict[ids.EndpointId, float] = {}
        self._active: set[ids.EndpointId] = set()
        self._last_call: float | None = None
        self._inbox: collections.deque = collections.deque()
        self._outbox: list[tuple[ids.HostId, messages.Message]] = []
        self.ownerships = ownerships.Ownerships(
            host,
            run_id,
            max_attempt_ms,
            started,
            self.cluster_view,
            self._send,
            self._report,
        )

    # Hosts, endpoints and owners.

    def set_topology(self, topology: clusterview.Topology, now: float) -> None:
        """Replace the hosts and endpoints, and adjust ownerships."""
        previous = self.cluster_view.update(topology, now)
        self.ownerships.update_topology(previous, now)
        self._begin_ownerships(now)

    def choose_owner(
        self, endpoint: ids.EndpointId, now: float
    ) -> ids.HostId | None:
        """Return the host to request slots of an endpoint from, or None.

        It is the owner in this host's cluster view, or for `FOLLOW_MS` the
        one that this host has promised itself to.
        """
        assigned = self.cluster_view.owners.get(endpoint)
        holder = self.holders.get(endpoint)
        if holder is None or holder.owner in ("", assigned):
            return assigned
        is_present = holder.owner in self.cluster_view.topology.hosts
        if is_present and now < holder.promised_at + FOLLOW_MS:
            # That host's cluster view may be newer than this host's.
            return holder.owner
        return assigned

    def _begin_ownerships(self, now: float) -> None:
        for endpoint in self.ownerships.list_pending():
            if self.choose_owner(endpoint, now) == self.host:
                highest_epoch = self._get_holder(endpoint).promised_epoch
                self.ownerships.begin(endpoint, highest_epoch, now)
        self.ownerships.send_recalls(now)

    def retire(self, now: float) -> None:
        """Give up all ownerships; see `Ownerships.retire`."""
        self.ownerships.retire(now)

    def _check_pause(self, now: float) -> None:
        previous, self._last_call = self._last_call, now
        if previous is not None and now >= previous + MAX_PAUSE_MS:
            self.ownerships.restart_all(now)

    # Slots.

    def _get_holder(self, endpoint: ids.EndpointId) -> holders.Holder:
        holder = self.holders.get(endpoint)
        if holder is None:
            holder = holders.Holder(endpoint, self.host, self.run_id)
            self.holders[endpoint] = holder
        return holder

    def set_wanted(
        self, endpoint: ids.EndpointId, count: int, ends_at: float, now: float
    ) -> None:
        """Set how many waiting stages want a slot of an endpoint.

        Parameters
        ----------
        endpoint : EndpointId
            The endpoint.
        count : int
            The number of waiting stages; free slots beyond it are returned.
        ends_at : float
            The time in milliseconds by which the last of them has ended.
        now : float
            The time in milliseconds.
        """
        self._check_pause(now)
        holder = self._get_holder(endpoint)
        holder.wanted = count
        self._last_deadlines[endpoint] = ends_at
        if count:
            self._active.add(endpoint)
        is_due = holder.wants_more(now) or holder.has_unneeded(now)
        if is_due and holder.may_request():
            self._send_request(holder, now)

    def acquire(
        self, endpoint: ids.EndpointId, ends_at: float, now: float
    ) -> ids.GrantId | None:
        """Acquire a free slot; see `Holder.acquire`."""
        self._check_pause(now)
        holder = self.holders.get(endpoint)
        if holder is None:
            return None
        self._active.add(endpoint)
        return holder.acquire(ends_at, now)

    def confirm(
        self, endpoint: ids.EndpointId, grant: ids.GrantId, now: float
    ) -> bool:
        """Check a slot before it is used; see `Holder.confirm`."""
        self._check_pause(now)
        holder = self.holders.get(endpoint)
        return holder is not None and holder.confirm(grant, now)

    def release(
        self,
        endpoint: ids.EndpointId,
        grant: ids.GrantId,
        sample: concurrency.Sample,
        now: float,
    ) -> None:
        """Return a slot after its attempt; see `Holder.release`."""
        self._check_pause(now)
        holder = self.holders.get(endpoint)
        if holder is None:
            return
        may_be_cold = holder.release(grant, sample)
        self._active.add(endpoint)
        self.changed.add(endpoint)
        is_due = holder.is_request_due(now) and holder.may_request()
        if may_be_cold or is_due:
            self._send_request(holder, now)

    def has_slot_until(
        self, endpoint: ids.EndpointId, ends_at: float, now: float
    ) -> bool:
        """Return whether a free slot may be used until a time."""
        holder = self.holders.get(endpoint)
        return holder is not None and holder.has_slot_until(ends_at, now)

    def count_free(self, endpoint: ids.EndpointId, now: float) -> int:
        """Return the number of slots that may be used immediately."""
        holder = self.holders.get(endpoint)
        return holder.count_free(now) if holder else 0

    def is_reachable(self, endpoint: ids.EndpointId, now: float) -> bool:
        """Return whether an endpoint has an owner that replies."""
        if self.choose_owner(endpoint, now) is None:
            return False
        holder = self.holders.get(endpoint)
        return holder is None or holder.missed_replies < MAX_MISSED_REPLIES

    def _send_request(self, holder: holders.Holder, now: float) -> None:
        owner = self.choose_owner(holder.endpoint, now)
        if owner is None:
            return
        waiting_ms = self._last_deadlines.get(holder.endpoint, now) - now
        self._active.add(holder.endpoint)
        self._send(owner, holder.make_request(owner, waiting_ms, now))

    # Messages.

    def _send(self, to: ids.HostId, message: messages.Message) -> None:
        if to == self.host:
            self._inbox.append(message)
        else:
            self._outbox.append((to, message))

    def drain(self, now: float) -> list[tuple[ids.HostId, messages.Message]]:
        """Handle messages to this host itself, then empty the outbox.

        Returns
        -------
        list of (HostId, Message)
            The messages to send to other hosts.
        """
        while self._inbox:
            self._handle(self.host, self._inbox.popleft(), now)
        outbox, self._outbox = self._outbox, []
        return outbox

    def receive(
        self, sender: ids.HostId, message: messages.Message, now: float
    ) -> None:
        """Handle a message from another host."""
        self._check_pause(now)
        self._handle(sender, message, now)

    def _handle(
        self, sender: ids.HostId, message: messages.Message, now: float
    ) -> None:
        if isinstance(message, grantmessages.GrantAsk):
            self._stop_following(message, now)
            self.ownerships.handle_request(message, now)
        elif isinstance(message, grantmessages.GrantReply):
            self._handle_reply(message, now)
        elif isinstance(message, grantmessages.GrantRecall):
            self._handle_recall(message, now)
        elif isinstance(message, grantmessages.GrantReport):
            self.ownerships.handle_report(message, now)
        elif isinstance(message, grantmessages.GrantRetire):
            for holder in self.holders.values():
                holder.forget_owner(message.owner)

    def _stop_following(
        self, request: grantmessages.GrantAsk, now: float
    ) -> None:
        """Stop following a host that itself considers this host the owner."""
        holder = self.holders.get(request.endpoint)
        if holder is None or holder.owner != request.holder:
            return
        if request.holder != self.host:
            holder.promised_at = float("-inf")
            self._begin_ownerships(now)

    def _handle_reply(
        self, reply: grantmessages.GrantReply, now: float
    ) -> None:
        holder = self.holders.get(reply.endpoint)
        if holder is None or not holder.handle_reply(reply, now):
            return
        self.changed.add(reply.endpoint)
        if holder.is_request_due(now) or holder.wants_more(now):
            self._send_request(holder, now)

    def _handle_recall(
        self, recall: grantmessages.GrantRecall, now: float
    ) -> None:
        holdings = tuple(
            self._report(endpoint, recall, now)
            for endpoint in recall.endpoints
        )
        other_hosts = set(self.cluster_view.lost)
        if recall.hosts_digest != self.cluster_view.hosts_digest:
            other_hosts.update(self.cluster_view.topology.hosts)
        report = grantmessages.GrantReport(
            self.host,
            self.run_id,
            recall.epoch,
            holdings,
            tuple(sorted(other_hosts)),
        )
        self._send(recall.owner, report)

    def _report(
        self,
        endpoint: ids.EndpointId,
        recall: grantmessages.GrantRecall,
        now: float,
    ) -> grantmessages.Holding:
        self.ownerships.step_down(endpoint, recall.epoch, now)
        holder = self._get_holder(endpoint)
        self._active.add(endpoint)
        holding = holder.handle_recall(recall.owner, recall.epoch, now)
        return self.ownerships.add_recovery_state(holding, now)

    # Time.

    def tick(self, now: float) -> None:
        """Run periodic work; call it every 100 ms."""
        self._check_pause(now)
        self._begin_ownerships(now)
        self.ownerships.tick(now)
        for endpoint in sorted(self._active):
            self._maintain_holder(endpoint, now)

    def _maintain_holder(self, endpoint: ids.EndpointId, now: float) -> None:
        holder = self.holders[endpoint]
        if (
            holder.awaits_reply
            and now >= holder.requested_at + REPLY_TIMEOUT_MS
        ):
            holder.handle_reply_timeout()
            self.changed.add(endpoint)
            if holder.missed_replies == MAX_MISSED_REPLIES:
                event = (events.Event.OWNER_UNREACHABLE, endpoint)
                self.ownerships.pending_events.append(event)
        if holder.is_request_due(now):
            self._send_request(holder, now)
        elif holder.is_idle(now):
            self._active.discard(endpoint)

    def describe(self, now: float) -> dict[str, object]:
        """Return a summary for operators."""
        return {
            "kept": {
                endpoint: allocator.describe(now)
                for endpoint, allocator in self.ownerships.allocators.items()
            },
            "held": {
                endpoint: holder.describe(now)
                for endpoint, holder in self.holders.items()
                if not holder.is_idle(now)
            },
        }
