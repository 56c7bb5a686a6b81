"""All grants of one host: as keeper of some endpoints and holder of others.

Nothing here does input or output: what is to be sent stands in the outbox,
and what has changed for waiting stages stands in `changed`.
"""

import collections

import msgspec
import xxhash

from chervilshore.decisions import concurrency
from chervilshore.decisions import holders
from chervilshore.decisions import keepers
from chervilshore.decisions import rendezvous
from chervilshore import events
from chervilshore import ids
from chervilshore import messages
from chervilshore import records

PAUSE_MS = 500.0
"""Milliseconds without a tick after which a keeper begins anew.

Others take over no sooner than membership can find a host down.
"""

YIELD_MS = 2000.0
"""Milliseconds for which a host follows a keeper against its own view."""

RECALL_MS = 100.0
"""Milliseconds after which a host that has not reported is asked again."""

LOST_RECALL_MS = 1000.0
"""Milliseconds after which a host that seems down is asked again."""

ASK_MS = 250.0
"""Milliseconds after which an answer of a keeper counts as lost."""

MOST_MISSES = 2
"""Lost answers in a row after which a keeper counts as out of reach."""

JOIN_MS = 2000.0
"""Milliseconds after its start in which a host may not know all others."""

HOST_BITS = 20
"""Low bits of an epoch that tell its host."""


def _digest(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode()) >> 1


class Place(msgspec.Struct, frozen=True):
    """An endpoint as far as grants go.

    Parameters
    ----------
    domain : DomainId
        Its failure domain after assignments.
    cold : int
        Attempts at once that it bears when it is cold.
    most : int
        Attempts at once that it is given at most.
    is_out : bool
        Whether its failure domain is out.
    """

    domain: ids.DomainId
    cold: int
    most: int
    is_out: bool = False


class View(msgspec.Struct, frozen=True):
    """What a host believes of the others and of the endpoints.

    Parameters
    ----------
    hosts : dict
        The failure domain and state of each host that is not down.
    places : dict
        The endpoints.
    """

    hosts: dict[ids.HostId, tuple[ids.DomainId, records.HostState]] = {}
    places: dict[ids.EndpointId, Place] = {}

    def list_keepers(self, domain: ids.DomainId) -> frozenset[ids.HostId]:
        """List the hosts that may keep a domain's endpoints."""
        return frozenset(
            host
            for host, (home, state) in self.hosts.items()
            if home == domain and state is not records.HostState.LEAVING
        )


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
    view : View
        What this host believes.
    keepers : dict
        The endpoints that it keeps.
    holders : dict
        The endpoints of which it has heard or wanted anything.
    changed : set of EndpointId
        Where slots came, went or were denied since it was last emptied.
    news : list of (Event, EndpointId)
        What operators may want to know since it was last emptied.
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
        self.view = View()
        self.keepers: dict[ids.EndpointId, keepers.Keeper] = {}
        self.holders: dict[ids.EndpointId, holders.Holder] = {}
        self.changed: set[ids.EndpointId] = set()
        self.news: list[tuple[events.Event, ids.EndpointId]] = []
        self._longest_ms = longest_ms
        self._chosen: dict[ids.EndpointId, ids.HostId | None] = {}
        self._domains: dict[ids.DomainId, frozenset[ids.HostId]] = {}
        self._lost: dict[ids.HostId, float] = {}
        self._left: dict[ids.HostId, float] = {}
        self._unsettled: dict[ids.EndpointId, float] = {}
        self._recalled: dict[ids.HostId, float] = {}
        self._horizons: dict[ids.EndpointId, float] = {}
        self._busy: set[ids.EndpointId] = set()
        self._known = 0
        self._started = started
        self._ticked: float | None = None
        self._inbox: collections.deque = collections.deque()
        self._outbox: list[tuple[ids.HostId, messages.Message]] = []

    # What the host believes.

    def set_view(self, view: View, now: float) -> None:
        """Take a new view of the hosts and endpoints."""
        former, self.view = self.view, view
        self._known = _digest("\x00".join(sorted(view.hosts)))
        self._note_lost(former, now)
        self._choose_keepers(former)
        for endpoint, place in view.places.items():
            keeper = self.keepers.get(endpoint)
            if keeper is not None:
                self._bound(keeper, place, former.places.get(endpoint), now)
        for endpoint in list(self.keepers):
            if self._chosen.get(endpoint) != self.host:
                self._drop_keeper(endpoint, now)
        self._begin_tenures(now)
        alive = frozenset(view.hosts)
        down = frozenset(self._lost)
        left = frozenset(self._left)
        for keeper in self.keepers.values():
            keeper.set_hosts(alive, down, left, now)

    def _note_lost(self, former: View, now: float) -> None:
        for host, (_, state) in former.hosts.items():
            if host not in self.view.hosts:
                left = state is records.HostState.LEAVING
                gone = self._left if left else self._lost
                gone[host] = now
        self._lost = self._keep_recent(self._lost, now)
        self._left = self._keep_recent(self._left, now)

    def _keep_recent(
        self, gone: dict[ids.HostId, float], now: float
    ) -> dict[ids.HostId, float]:
        return {
            host: since
            for host, since in gone.items()
            if host not in self.view.hosts and now < since + self._longest_ms
        }

    def _choose_keepers(self, former: View) -> None:
        domains = {place.domain for place in self.view.places.values()}
        homes = {domain: self.view.list_keepers(domain) for domain in domains}
        for endpoint, place in self.view.places.items():
            before = former.places.get(endpoint)
            same = before is not None and before.domain == place.domain
            home = homes[place.domain]
            if same and self._domains.get(place.domain) == home:
                continue
            self._chosen[endpoint] = rendezvous.choose(home, endpoint)
        self._domains = homes
        for endpoint in former.places.keys() - self.view.places.keys():
            del self._chosen[endpoint]

    def _bound(
        self,
        keeper: keepers.Keeper,
        place: Place,
        former: Place | None,
        now: float,
    ) -> None:
        if former == place:
            return
        keeper.limit.bound(place.cold, place.most)
        if place.is_out or (former is not None and former.is_out):
            keeper.limit.chill(now)

    def choose_keeper(
        self, endpoint: ids.EndpointId, now: float
    ) -> ids.HostId | None:
        """Tell which host to ask for slots of an endpoint."""
        chosen = self._chosen.get(endpoint)
        holder = self.holders.get(endpoint)
        if holder is None or holder.keeper in ("", chosen):
            return chosen
        is_there = holder.keeper in self.view.hosts
        if is_there and now < holder.promised_at + YIELD_MS:
            # That host may see further than this one.
            return holder.keeper
        return chosen

    # Tenures.

    def _begin_tenures(self, now: float) -> None:
        for endpoint, chosen in self._chosen.items():
            if chosen != self.host or endpoint in self.keepers:
                continue
            if self.choose_keeper(endpoint, now) == self.host:
                self._begin_tenure(endpoint, now)

    def _begin_tenure(self, endpoint: ids.EndpointId, now: float) -> None:
        place = self.view.places[endpoint]
        former = self.keepers.get(endpoint)
        floor = self._find_holder(endpoint).promised
        if former is not None:
            floor = max(floor, former.floor)
            self._drop_keeper(endpoint, now)
        keeper = keepers.Keeper(
            endpoint,
            self.host,
            self._next_epoch(floor),
            concurrency.Limit(place.cold, place.most, now),
            self.view.hosts.keys() | self._lost.keys(),
            self._longest_ms,
            now,
            self._started + JOIN_MS,
        )
        self._report_to_self(keeper, now)
        keeper.set_hosts(
            frozenset(self.view.hosts),
            frozenset(self._lost),
            frozenset(self._left),
            now,
        )
        self.keepers[endpoint] = keeper
        self.news.append((events.Event.TENURE_BEGUN, endpoint))
        self._recalled.clear()

    def _report_to_self(self, keeper: keepers.Keeper, now: float) -> None:
        recall = messages.GrantRecall(
            self.host, keeper.epoch, (keeper.endpoint,)
        )
        holding = self._report(keeper.endpoint, recall, now)
        keeper.take_report(self.host, self.life, holding, (), now)

    def _next_epoch(self, floor: ids.Epoch) -> ids.Epoch:
        # The low bits keep the epochs of two hosts apart; the high ones
        # only have to rise, and a host that has heard of a higher epoch
        # goes above it.
        number = max(self.life, (floor >> HOST_BITS) + 1)
        own = _digest(self.host) & ((1 << HOST_BITS) - 1)
        return ids.Epoch(number << HOST_BITS | own)

    def _drop_keeper(self, endpoint: ids.EndpointId, now: float) -> None:
        keeper = self.keepers.pop(endpoint)
        unsettled = keeper.count_unsettled_ms(now)
        self._unsettled[endpoint] = now + unsettled

    def retire(self, now: float) -> None:
        """Give up all tenures, once nothing of this host is in flight."""
        for endpoint in list(self.keepers):
            self._drop_keeper(endpoint, now)
        self._chosen = {}
        for host in self.view.hosts:
            if host != self.host:
                self._send(host, messages.GrantRetire(self.host))

    def _note_time(self, now: float) -> None:
        """Begin all tenures anew after a pause of this process."""
        ticked, self._ticked = self._ticked, now
        if ticked is None or now < ticked + PAUSE_MS:
            return
        for endpoint in list(self.keepers):
            self._begin_tenure(endpoint, now)

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
        is_due = holder.wants_more() or holder.has_unwanted(now)
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

    def _send_replies(self, replies: keepers.Replies) -> None:
        for host, reply in replies.items():
            self._send(host, reply)

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
        if isinstance(message, messages.GrantAsk):
            self._take_ask(message, now)
        elif isinstance(message, messages.GrantReply):
            self._take_reply(message, now)
        elif isinstance(message, messages.GrantRecall):
            self._take_recall(message, now)
        elif isinstance(message, messages.GrantReport):
            self._take_report(message, now)
        elif isinstance(message, messages.GrantRetire):
            for holder in self.holders.values():
                holder.forget_keeper(message.keeper)

    def _take_ask(self, ask: messages.GrantAsk, now: float) -> None:
        keeper = self.keepers.get(ask.endpoint)
        if keeper is None:
            return
        was_warm = keeper.limit.warmth is not records.Warmth.COLD
        self._send_replies(keeper.take_ask(ask, now))
        if was_warm and keeper.limit.warmth is records.Warmth.COLD:
            self.news.append((events.Event.ENDPOINT_COLD, ask.endpoint))
        self._rise(keeper, now)

    def _take_reply(self, reply: messages.GrantReply, now: float) -> None:
        holder = self.holders.get(reply.endpoint)
        if holder is None or not holder.take_reply(reply, now):
            return
        self.changed.add(reply.endpoint)
        if holder.needs_message(now) or holder.wants_more():
            self._ask(holder, now)

    def _take_recall(self, recall: messages.GrantRecall, now: float) -> None:
        holdings = tuple(
            self._report(endpoint, recall, now)
            for endpoint in recall.endpoints
        )
        others = set(self._lost)
        if recall.known != self._known:
            others.update(self.view.hosts)
        report = messages.GrantReport(
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
        recall: messages.GrantRecall,
        now: float,
    ) -> messages.Holding:
        keeper = self.keepers.get(endpoint)
        if keeper is not None and keeper.epoch < recall.epoch:
            self._drop_keeper(endpoint, now)
        holder = self._find_holder(endpoint)
        self._busy.add(endpoint)
        holding = holder.take_recall(recall.keeper, recall.epoch, now)
        unsettled = self._unsettled.get(endpoint, now) - now
        if unsettled <= 0:
            self._unsettled.pop(endpoint, None)
            return holding
        return msgspec.structs.replace(holding, unsettled_ms=unsettled)

    def _take_report(self, report: messages.GrantReport, now: float) -> None:
        for holding in report.holdings:
            keeper = self.keepers.get(holding.endpoint)
            if keeper is None:
                continue
            keeper.take_report(
                report.holder, report.life, holding, report.others, now
            )
            self._rise(keeper, now)

    def _rise(self, keeper: keepers.Keeper, now: float) -> None:
        if keeper.floor > keeper.epoch:
            # Some host has promised itself to a later keeper.
            self._begin_tenure(keeper.endpoint, now)

    # Time.

    def tick(self, now: float) -> None:
        """Do what is due; call it every tenth of a second."""
        self._note_time(now)
        self._begin_tenures(now)
        for keeper in self.keepers.values():
            if keeper.sessions:
                self._send_replies(keeper.tick(now))
        self._recall(now)
        for endpoint in sorted(self._busy):
            self._tend(endpoint, now)

    def _tend(self, endpoint: ids.EndpointId, now: float) -> None:
        holder = self.holders[endpoint]
        if holder.is_asking and now >= holder.asked_at + ASK_MS:
            holder.lose_reply()
            self.changed.add(endpoint)
        if holder.needs_message(now):
            self._ask(holder, now)
        elif holder.is_idle(now):
            self._busy.discard(endpoint)

    def _recall(self, now: float) -> None:
        wanted: dict[tuple[ids.HostId, ids.Epoch], list[ids.EndpointId]] = {}
        for endpoint, keeper in self.keepers.items():
            if keeper.is_settled(now):
                continue
            for host in sorted(keeper.unheard):
                wanted.setdefault((host, keeper.epoch), []).append(endpoint)
        due = {host for host, _ in wanted if self._is_recall_due(host, now)}
        for (host, epoch), endpoints in wanted.items():
            if host in due:
                self._recalled[host] = now
                recall = messages.GrantRecall(
                    self.host, epoch, tuple(endpoints), self._known
                )
                self._send(host, recall)

    def _is_recall_due(self, host: ids.HostId, now: float) -> bool:
        pause = RECALL_MS if host in self.view.hosts else LOST_RECALL_MS
        return now >= self._recalled.get(host, float("-inf")) + pause

    def describe(self, now: float) -> dict[str, object]:
        """Write a summary for operators."""
        return {
            "kept": {
                endpoint: keeper.describe(now)
                for endpoint, keeper in self.keepers.items()
            },
            "held": {
                endpoint: holder.describe(now)
                for endpoint, holder in self.holders.items()
                if not holder.is_idle(now)
            },
        }
