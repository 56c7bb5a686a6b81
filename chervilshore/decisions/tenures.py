"""The endpoints that one host keeps, and how it becomes their keeper."""

from collections import abc as collections_abc

import msgspec

from chervilshore.decisions import census
from chervilshore.decisions import concurrency
from chervilshore.decisions import keepers
from chervilshore.decisions import outlook
from chervilshore.decisions import sessions
from chervilshore import events
from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import messages
from chervilshore import records

RECALL_MS = 100.0
"""Milliseconds after which a host that has not reported is asked again."""

LOST_RECALL_MS = 1000.0
"""Milliseconds after which a host that seems down is asked again."""

JOIN_MS = 2000.0
"""Milliseconds after its start in which a host may not know all others."""

HOST_BITS = 20
"""Low bits of an epoch that tell its host."""

Send = collections_abc.Callable[[ids.HostId, messages.Message], None]
"""Sends a message to a host, maybe this one."""

Report = collections_abc.Callable[
    [ids.EndpointId, grantmessages.GrantRecall, float], grantmessages.Holding
]
"""Turns this host, as a holder, to a keeper, and tells what it has."""


class Tenures:
    """The endpoints that one host keeps.

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
    seen : Outlook
        What this host believes.
    send : callable
        Sends a message.
    report : callable
        Reports as a holder.

    Attributes
    ----------
    keepers : dict
        The endpoints that it keeps.
    news : list of (Event, EndpointId)
        What operators may want to know since it was last emptied.
    """

    def __init__(
        self,
        host: ids.HostId,
        life: int,
        longest_ms: float,
        started: float,
        seen: outlook.Outlook,
        send: Send,
        report: Report,
    ) -> None:
        self.keepers: dict[ids.EndpointId, keepers.Keeper] = {}
        self.news: list[tuple[events.Event, ids.EndpointId]] = []
        self._host = host
        self._life = life
        self._longest_ms = longest_ms
        self._started = started
        self._outlook = seen
        self._send = send
        self._report = report
        self._dropped: dict[ids.EndpointId, census.Census] = {}
        self._recalled: dict[ids.HostId, float] = {}

    def take_view(self, former: outlook.View, now: float) -> None:
        """Give up and adjust tenures after a change of view."""
        for endpoint, keeper in list(self.keepers.items()):
            if self._outlook.chosen.get(endpoint) != self._host:
                self.drop(endpoint, now)
                continue
            place = self._outlook.view.places[endpoint]
            self._bound(keeper, place, former.places.get(endpoint), now)
            self._show_hosts(keeper, now)

    def list_due(self) -> list[ids.EndpointId]:
        """List what this host should keep, by its own view, and does not."""
        return [
            endpoint
            for endpoint, chosen in self._outlook.chosen.items()
            if chosen == self._host and endpoint not in self.keepers
        ]

    def _show_hosts(self, keeper: keepers.Keeper, now: float) -> None:
        seen = self._outlook
        keeper.set_hosts(seen.alive, seen.lost, seen.left, now)

    def _bound(
        self,
        keeper: keepers.Keeper,
        place: outlook.Place,
        former: outlook.Place | None,
        now: float,
    ) -> None:
        if former == place:
            return
        keeper.limit.bound(place.cold, place.most)
        if place.is_out or (former is not None and former.is_out):
            keeper.limit.chill(now)

    def begin(
        self, endpoint: ids.EndpointId, floor: ids.Epoch, now: float
    ) -> None:
        """Become keeper of an endpoint, in an epoch of its own.

        Parameters
        ----------
        endpoint : EndpointId
            The endpoint.
        floor : Epoch
            The highest epoch that this host has heard of there.
        now : float
            The time in milliseconds.
        """
        place = self._outlook.view.places[endpoint]
        former = self.keepers.get(endpoint)
        if former is not None:
            floor = max(floor, former.floor)
            self.drop(endpoint, now)
        keeper = keepers.Keeper(
            endpoint,
            self._host,
            self._next_epoch(floor),
            concurrency.Limit(place.cold, place.most, now),
            self._make_census(now),
        )
        self._report_to_self(keeper, now)
        self._show_hosts(keeper, now)
        self.keepers[endpoint] = keeper
        self.news.append((events.Event.TENURE_BEGUN, endpoint))
        self._recalled.clear()

    def _make_census(self, now: float) -> census.Census:
        longest = self._longest_ms + sessions.LIFETIME_MS
        return census.Census(
            self._outlook.alive | self._outlook.lost,
            self._started + JOIN_MS,
            now + longest + sessions.MARGIN_MS,
        )

    def _report_to_self(self, keeper: keepers.Keeper, now: float) -> None:
        recall = grantmessages.GrantRecall(
            self._host, keeper.epoch, (keeper.endpoint,)
        )
        holding = self._report(keeper.endpoint, recall, now)
        keeper.take_report(self._host, self._life, holding, (), now)

    def _next_epoch(self, floor: ids.Epoch) -> ids.Epoch:
        # The low bits keep the epochs of two hosts apart; the high ones
        # only have to rise, and a host that has heard of a higher epoch
        # goes above it.
        number = max(self._life, (floor >> HOST_BITS) + 1)
        own = outlook.digest(self._host) & ((1 << HOST_BITS) - 1)
        return ids.Epoch(number << HOST_BITS | own)

    def drop(self, endpoint: ids.EndpointId, now: float) -> None:
        """Give up a tenure."""
        keeper = self.keepers.pop(endpoint)
        if not keeper.is_settled(now):
            self._dropped[endpoint] = keeper.census

    def give_way(
        self, endpoint: ids.EndpointId, epoch: ids.Epoch, now: float
    ) -> None:
        """Give up a tenure if another host has begun a later one."""
        keeper = self.keepers.get(endpoint)
        if keeper is not None and keeper.epoch < epoch:
            self.drop(endpoint, now)

    def add_unsettled(
        self, holding: grantmessages.Holding, now: float
    ) -> grantmessages.Holding:
        """Tell what a former tenure had yet to wait for.

        The hosts that it waited for are named, so that the next keeper
        asks them itself; only a host that nobody hears of has to be waited
        out.

        Parameters
        ----------
        holding : Holding
            What this host has as a holder.
        now : float
            The time in milliseconds.
        """
        account = self._dropped.get(holding.endpoint)
        if account is None:
            return holding
        if account.is_settled(now):
            del self._dropped[holding.endpoint]
            return holding
        return msgspec.structs.replace(
            holding,
            unsettled_ms=account.count_unsettled_ms(now),
            unheard=tuple(sorted(account.unheard)),
        )

    def retire(self, now: float) -> None:
        """Give up all tenures, once nothing of this host is in flight."""
        for endpoint in list(self.keepers):
            self.drop(endpoint, now)
        self._outlook.chosen = {}
        for host in self._outlook.view.hosts:
            if host != self._host:
                self._send(host, grantmessages.GrantRetire(self._host))

    def begin_anew(self, now: float) -> None:
        """Begin all tenures again, as others may have taken over."""
        for endpoint, keeper in list(self.keepers.items()):
            self.begin(endpoint, keeper.floor, now)

    # Messages.

    def take_ask(self, ask: grantmessages.GrantAsk, now: float) -> None:
        """Answer a holder."""
        keeper = self.keepers.get(ask.endpoint)
        if keeper is None:
            return
        was_warm = keeper.limit.warmth is not records.Warmth.COLD
        self._send_replies(keeper.take_ask(ask, now))
        if was_warm and keeper.limit.warmth is records.Warmth.COLD:
            self.news.append((events.Event.ENDPOINT_COLD, ask.endpoint))
        self._rise(keeper, now)

    def take_report(
        self, report: grantmessages.GrantReport, now: float
    ) -> None:
        """Learn what a host still has."""
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
            self.begin(keeper.endpoint, keeper.floor, now)

    def _send_replies(self, replies: keepers.Replies) -> None:
        for host, reply in replies.items():
            self._send(host, reply)

    def tick(self, now: float) -> None:
        """Do what is due."""
        for keeper in self.keepers.values():
            if keeper.sessions:
                self._send_replies(keeper.tick(now))
        self.recall(now)

    def recall(self, now: float) -> None:
        """Ask the hosts that have not reported, if it is time."""
        wanted: dict[tuple[ids.HostId, ids.Epoch], list[ids.EndpointId]] = {}
        for endpoint, keeper in self.keepers.items():
            if keeper.is_settled(now):
                continue
            for host in sorted(keeper.census.unheard):
                wanted.setdefault((host, keeper.epoch), []).append(endpoint)
        due = {host for host, _ in wanted if self._is_recall_due(host, now)}
        for (host, epoch), endpoints in wanted.items():
            if host in due:
                self._recalled[host] = now
                recall = grantmessages.GrantRecall(
                    self._host, epoch, tuple(endpoints), self._outlook.known
                )
                self._send(host, recall)

    def _is_recall_due(self, host: ids.HostId, now: float) -> bool:
        pause = (
            RECALL_MS if host in self._outlook.view.hosts else LOST_RECALL_MS
        )
        return now >= self._recalled.get(host, float("-inf")) + pause
