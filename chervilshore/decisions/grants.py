"""All grants of one host: as keeper of some endpoints and holder of others.

Nothing here does input or output: what is to be sent stands in the outbox,
and what has changed for waiting stages stands in `changed`.
"""

import collections


from chervilshore.decisions import concurrency
from chervilshore.decisions import holders
from chervilshore.decisions import outlook
from chervilshore.decisions import tenures
from chervilshore import events
from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import messages

PAUSE_MS = 500.0
"""Milliseconds without a tick after which a keeper begins anew.

Others take over no sooner than membership can find a host down.
"""

YIELD_MS = 2000.0
"""Milliseconds for which a host follows a keeper against its own view."""

ASK_MS = 250.0
"""Milliseconds after which an answer of a keeper counts as lost."""

MOST_MISSES = 2
"""Lost answers in a row after which a keeper counts as out of reach."""


class Grants:
    """The grants of one host.

    Parameters
    ----------
    host : HostId
        This host.
    life : int
        This process; a restart brings a higher number.
    longest_ms : float
        Milliseconds that an attempt may take at most.
    started : float
        The moment in milliseconds at which this process began.

    Attributes
    ----------
    outlook : Outlook
        What this host believes.
    tenures : Tenures
        The endpoints that it keeps.
    holders : dict
        The endpoints of which it has heard or wanted anything.
    changed : set of EndpointId
        Where slots came, went or were denied since it was last emptied.
    """

    def __init__(
        self,
        host: ids.HostId,
        life: int,
        longest_ms: float,
        started: float,
    ) -> None:
        self.host = host
        self.life = life
        self.outlook = outlook.Outlook(longest_ms)
        self.holders: dict[ids.EndpointId, holders.Holder] = {}
        self.changed: set[ids.EndpointId] = set()
        self._horizons: dict[ids.EndpointId, float] = {}
        self._busy: set[ids.EndpointId] = set()
        self._ticked: float | None = None
        self._inbox: collections.deque = collections.deque()
        self._outbox: list[tuple[ids.HostId, messages.Message]] = []
        self.tenures = tenures.Tenures(
            host,
            life,
            longest_ms,
            started,
            self.outlook,
            self._send,
            self._report,
        )

    # What the host believes.

    def set_view(self, view: outlook.View, now: float) -> None:
        """Take a new view of the hosts and endpoints."""
        former = self.outlook.change(view, now)
        self.tenures.take_view(former, now)
        self._begin_tenures(now)

    def choose_keeper(
        self, endpoint: ids.EndpointId, now: float
    ) -> ids.HostId | None:
        """Tell which host to ask for slots of an endpoint."""
        chosen = self.outlook.chosen.get(endpoint)
        holder = self.holders.get(endpoint)
        if holder is None or holder.keeper in ("", chosen):
            return chosen
        is_there = holder.keeper in self.outlook.view.hosts
        if is_there and now < holder.promised_at + YIELD_MS:
            # That host may see further than this one.
            return holder.keeper
        return chosen

    def _begin_tenures(self, now: float) -> None:
        for endpoint in self.tenures.list_due():
            if self.choose_keeper(endpoint, now) == self.host:
                floor = self._find_holder(endpoint).promised
                self.tenures.begin(endpoint, floor, now)
        self.tenures.recall(now)

    def retire(self, now: float) -> None:
        """Give up all tenures, once nothing of this host is in flight."""
        self.tenures.retire(now)

    def _note_time(self, now: float) -> None:
        ticked, self._ticked = self._ticked, now
        if ticked is not None and now >= ticked + PAUSE_MS:
            self.tenures.begin_anew(now)

    # Slots.

    def _find_holder(self, endpoint: ids.EndpointId) -> holders.Holder:
        holder = self.holders.get(endpoint)
        if holder is None:
            holder = holders.Holder(endpoint, self.host, self.life)
            self.holders[endpoint] = holder
        return holder

    def want(
        self, endpoint: ids.EndpointId, count: int, ends: float, now: float
    ) -> None:
        """Say how many waiting stages want a slot of an endpoint.

        Parameters
        ----------
        endpoint : EndpointId
            The endpoint.
        count : int
            The stages that wait for it; the rest is returned.
        ends : float
            The moment by which the last of them has ended.
        now : float
            The time in milliseconds.
        """
        self._note_time(now)
        holder = self._find_holder(endpoint)
        holder.wanted = count
        self._horizons[endpoint] = ends
        if count:
            self._busy.add(endpoint)
        is_due = holder.wants_more(now) or holder.has_unwanted(now)
        if is_due and holder.may_ask():
            self._ask(holder, now)

    def take(
        self, endpoint: ids.EndpointId, ends: float, now: float
    ) -> ids.GrantId | None:
        """Use a free slot; see `Holder.take`."""
        self._note_time(now)
        holder = self.holders.get(endpoint)
        if holder is None:
            return None
        self._busy.add(endpoint)
        return holder.take(ends, now)

    def confirm(
        self, endpoint: ids.EndpointId, grant: ids.GrantId, now: float
    ) -> bool:
        """Check a taken slot; see `Holder.confirm`."""
        self._note_time(now)
        holder = self.holders.get(endpoint)
        return holder is not None and holder.confirm(grant, now)

    def release(
        self,
        endpoint: ids.EndpointId,
        grant: ids.GrantId,
        sample: concurrency.Sample,
        now: float,
    ) -> None:
        """Give a taken slot back; see `Holder.release`."""
        self._note_time(now)
        holder = self.holders.get(endpoint)
        if holder is None:
            return
        is_sign = holder.release(grant, sample)
        self._busy.add(endpoint)
        self.changed.add(endpoint)
        is_due = holder.needs_message(now) and holder.may_ask()
        if is_sign or is_due:
            self._ask(holder, now)

    def suits(self, endpoint: ids.EndpointId, ends: float, now: float) -> bool:
        """Tell whether a free slot lasts until a moment."""
        holder = self.holders.get(endpoint)
        return holder is not None and holder.suits(ends, now)

    def count_free(self, endpoint: ids.EndpointId, now: float) -> int:
        """Count the slots of an endpoint that may be used at once."""
        holder = self.holders.get(endpoint)
        return holder.count_free(now) if holder else 0

    def is_reachable(self, endpoint: ids.EndpointId, now: float) -> bool:
        """Tell whether an endpoint has a keeper that answers."""
        if self.choose_keeper(endpoint, now) is None:
            return False
        holder = self.holders.get(endpoint)
        return holder is None or holder.misses < MOST_MISSES

    def _ask(self, holder: holders.Holder, now: float) -> None:
        keeper = self.choose_keeper(holder.endpoint, now)
        if keeper is None:
            return
        horizon = self._horizons.get(holder.endpoint, now) - now
        self._busy.add(holder.endpoint)
        self._send(keeper, holder.ask(keeper, horizon, now))

    # Messages.

    def _send(self, to: ids.HostId, message: messages.Message) -> None:
        if to == self.host:
            self._inbox.append(message)
        else:
            self._outbox.append((to, message))

    def drain(self, now: float) -> list[tuple[ids.HostId, messages.Message]]:
        """Handle what goes to this host itself, and take the outbox."""
        while self._inbox:
            self._handle(self.host, self._inbox.popleft(), now)
        outbox, self._outbox = self._outbox, []
        return outbox

    def receive(
        self, sender: ids.HostId, message: messages.Message, now: float
    ) -> None:
        """Take a message of another host."""
        self._note_time(now)
        self._handle(sender, message, now)

    def _handle(
        self, sender: ids.HostId, message: messages.Message, now: float
    ) -> None:
        if isinstance(message, grantmessages.GrantAsk):
            self._note_follower(message, now)
            self.tenures.take_ask(message, now)
        elif isinstance(message, grantmessages.GrantReply):
            self._take_reply(message, now)
        elif isinstance(message, grantmessages.GrantRecall):
            self._take_recall(message, now)
        elif isinstance(message, grantmessages.GrantReport):
            self.tenures.take_report(message, now)
        elif isinstance(message, grantmessages.GrantRetire):
            for holder in self.holders.values():
                holder.forget_keeper(message.keeper)

    def _note_follower(self, ask: grantmessages.GrantAsk, now: float) -> None:
        """Begin a tenure when the keeper that this host follows asks it."""
        holder = self.holders.get(ask.endpoint)
        if holder is None or holder.keeper != ask.holder:
            return
        if ask.holder != self.host:
            holder.promised_at = float("-inf")
            self._begin_tenures(now)

    def _take_reply(self, reply: grantmessages.GrantReply, now: float) -> None:
        holder = self.holders.get(reply.endpoint)
        if holder is None or not holder.take_reply(reply, now):
            return
        self.changed.add(reply.endpoint)
        if holder.needs_message(now) or holder.wants_more(now):
            self._ask(holder, now)

    def _take_recall(
        self, recall: grantmessages.GrantRecall, now: float
    ) -> None:
        holdings = tuple(
            self._report(endpoint, recall, now)
            for endpoint in recall.endpoints
        )
        others = set(self.outlook.lost)
        if recall.known != self.outlook.known:
            others.update(self.outlook.view.hosts)
        report = grantmessages.GrantReport(
            self.host,
            self.life,
            recall.epoch,
            holdings,
            tuple(sorted(others)),
        )
        self._send(recall.keeper, report)

    def _report(
        self,
        endpoint: ids.EndpointId,
        recall: grantmessages.GrantRecall,
        now: float,
    ) -> grantmessages.Holding:
        self.tenures.give_way(endpoint, recall.epoch, now)
        holder = self._find_holder(endpoint)
        self._busy.add(endpoint)
        holding = holder.take_recall(recall.keeper, recall.epoch, now)
        return self.tenures.add_unsettled(holding, now)

    # Time.

    def tick(self, now: float) -> None:
        """Do what is due; call it every tenth of a second."""
        self._note_time(now)
        self._begin_tenures(now)
        self.tenures.tick(now)
        for endpoint in sorted(self._busy):
            self._tend(endpoint, now)

    def _tend(self, endpoint: ids.EndpointId, now: float) -> None:
        holder = self.holders[endpoint]
        if holder.is_asking and now >= holder.asked_at + ASK_MS:
            holder.lose_reply()
            self.changed.add(endpoint)
            if holder.misses == MOST_MISSES:
                news = (events.Event.KEEPER_UNREACHED, endpoint)
                self.tenures.news.append(news)
        if holder.needs_message(now):
            self._ask(holder, now)
        elif holder.is_idle(now):
            self._busy.discard(endpoint)

    def describe(self, now: float) -> dict[str, object]:
        """Write a summary for operators."""
        return {
            "kept": {
                endpoint: keeper.describe(now)
                for endpoint, keeper in self.tenures.keepers.items()
            },
            "held": {
                endpoint: holder.describe(now)
                for endpoint, holder in self.holders.items()
                if not holder.is_idle(now)
            },
        }
