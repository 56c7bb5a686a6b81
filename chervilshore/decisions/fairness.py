"""A queue with priority classes that age, and fair shares of teams."""

from collections import abc as collections_abc
import heapq

from chervilshore.decisions import queues
from chervilshore import ids

MAX_STALE_ENTRIES = 64
"""Number of stale entries of a heap that do not justify rebuilding it."""

Eligible = collections_abc.Callable[[queues.Ticket], bool]
"""Returns whether a ticket may use the slot that is free."""

MinServiceMs = collections_abc.Callable[[float], float]
"""Takes the time, and returns the milliseconds that any attempt takes at
least."""


def zero_service_ms(now: float) -> float:
    """Assume that an attempt takes no time."""
    return 0.0


class _Heap:
    """Tickets by deadline.

    Tickets are removed lazily: those that are not in `live` are skipped.
    """

    def __init__(self, live: dict[int, queues.Ticket]) -> None:
        self._live = live
        self._entries: list[tuple[float, int, queues.Ticket]] = []

    def push(self, ticket: queues.Ticket) -> None:
        entry = (ticket.requirements.deadline, ticket.number, ticket)
        heapq.heappush(self._entries, entry)

    def peek(self) -> queues.Ticket | None:
        while self._entries:
            ticket = self._entries[0][2]
            if ticket.number in self._live:
                return ticket
            heapq.heappop(self._entries)
        return None

    def pop(self) -> queues.Ticket:
        return heapq.heappop(self._entries)[2]

    def trim(self, live: int) -> None:
        """Rebuild the heap if most of its entries are stale."""
        if len(self._entries) <= 2 * live + MAX_STALE_ENTRIES:
            return
        self._entries = [
            entry for entry in self._entries if entry[1] in self._live
        ]
        heapq.heapify(self._entries)


class _Team:
    """The tickets of a team within a class, and its virtual time."""

    __slots__ = ("name", "tickets", "waiting", "virtual_time")

    def __init__(
        self, name: ids.TeamId, tickets: _Heap, virtual_time: float
    ) -> None:
        self.name = name
        self.tickets = tickets
        self.waiting = 0
        self.virtual_time = virtual_time


class _Class:
    """The tickets of one priority.

    Fair queueing: the team with the lowest virtual time is served next, and
    each served ticket raises its team's virtual time by one. A team that
    comes back keeps its virtual time if that is higher than the current one.
    """

    def __init__(self, live: dict[int, queues.Ticket]) -> None:
        self._live = live
        self._virtual_time = 0.0
        self._teams: dict[ids.TeamId, _Team] = {}
        self._order: list[tuple[float, int, _Team]] = []
        self._pushed = 0

    def push(self, ticket: queues.Ticket) -> None:
        team = self._teams.get(ticket.requirements.team)
        if team is None:
            team = _Team(
                ticket.requirements.team,
                _Heap(self._live),
                self._virtual_time,
            )
            self._teams[team.name] = team
        team.tickets.push(ticket)
        team.waiting += 1
        if team.waiting == 1:
            team.virtual_time = max(team.virtual_time, self._virtual_time)
            self._enqueue(team)

    def find(self, eligible: Eligible) -> queues.Ticket | None:
        """Return the next eligible ticket without removing it."""
        skipped = []
        found = None
        while self._order and found is None:
            entry = self._order[0]
            team = entry[2]
            if not self._is_current(entry):
                heapq.heappop(self._order)
                continue
            found = self._find_of(team, eligible)
            if found is None:
                skipped.append(heapq.heappop(self._order))
        for entry in skipped:
            heapq.heappush(self._order, entry)
        return found

    def record_served(self, ticket: queues.Ticket) -> None:
        """Record that a found ticket was served; it is no longer live."""
        team = self._teams[ticket.requirements.team]
        self._virtual_time = max(self._virtual_time, team.virtual_time)
        team.virtual_time += 1.0
        self.record_removed(ticket)
        if team.waiting:
            self._enqueue(team)

    def record_removed(self, ticket: queues.Ticket) -> None:
        """Record that a ticket was removed; it is no longer live."""
        team = self._teams[ticket.requirements.team]
        team.waiting -= 1
        team.tickets.trim(team.waiting)
        if len(self._teams) > 2 * len(self._live) + MAX_STALE_ENTRIES:
            self._drop_teams()

    def _find_of(
        self, team: _Team, eligible: Eligible
    ) -> queues.Ticket | None:
        """Return the eligible ticket of a team with the earliest deadline."""
        skipped = []
        found = None
        while (ticket := team.tickets.peek()) is not None:
            if eligible(ticket):
                found = ticket
                break
            skipped.append(team.tickets.pop())
        for ticket in skipped:
            team.tickets.push(ticket)
        return found

    def _enqueue(self, team: _Team) -> None:
        self._pushed += 1
        heapq.heappush(self._order, (team.virtual_time, self._pushed, team))

    def _is_current(self, entry: tuple[float, int, _Team]) -> bool:
        virtual_time, _, team = entry
        return team.waiting > 0 and virtual_time == team.virtual_time

    def _drop_teams(self) -> None:
        # A team without tickets whose virtual time has passed would get the
        # current one when it comes back, so its state can be dropped.
        self._teams = {
            name: team
            for name, team in self._teams.items()
            if team.waiting or team.virtual_time > self._virtual_time
        }


class FairQueue(queues.WaitQueue):
    """Serves classes by priority and age, and the teams of a class in turn.

    Each class offers the ticket with the earliest deadline of the team that
    is served next. Between classes, a ticket counts as if it had come later
    by its priority times its aging: a class of low priority waits longer but
    never starves. A ticket that cannot meet its deadline is never served.

    Parameters
    ----------
    min_service_ms : callable
        Takes the time in milliseconds, and returns the milliseconds that any
        attempt takes at least.
    """

    def __init__(self, min_service_ms: MinServiceMs = zero_service_ms) -> None:
        self._min_service_ms = min_service_ms
        self._live: dict[int, queues.Ticket] = {}
        self._classes: dict[int, _Class] = {}
        self._deadlines = _Heap(self._live)
        self._expired: list[queues.Ticket] = []

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._live)

    def push(self, ticket: queues.Ticket, now: float) -> None:
        """Add a ticket; see `WaitQueue.push`."""
        priority = ticket.requirements.priority
        if priority not in self._classes:
            self._classes[priority] = _Class(self._live)
        self._live[ticket.number] = ticket
        self._classes[priority].push(ticket)
        self._deadlines.push(ticket)

    def pop(self, now: float, eligible: Eligible) -> queues.Ticket | None:
        """Remove the next ticket; see `WaitQueue.pop`."""
        self._remove_expired(now)
        offers = [
            offer
            for group in self._classes.values()
            if (offer := group.find(eligible)) is not None
        ]
        if not offers:
            return None
        chosen = min(offers, key=_rank)
        del self._live[chosen.number]
        self._classes[chosen.requirements.priority].record_served(chosen)
        self._deadlines.trim(len(self._live))
        return chosen

    def remove(self, ticket: queues.Ticket) -> None:
        """Remove a ticket; see `WaitQueue.remove`."""
        if self._live.pop(ticket.number, None) is None:
            return
        self._classes[ticket.requirements.priority].record_removed(ticket)
        self._deadlines.trim(len(self._live))

    def expire(self, now: float) -> list[queues.Ticket]:
        """Remove tickets that cannot be served; see `WaitQueue.expire`."""
        self._remove_expired(now)
        expired = self._expired
        self._expired = []
        return expired

    def _remove_expired(self, now: float) -> None:
        earliest_end = now + self._min_service_ms(now)
        while (ticket := self._deadlines.peek()) is not None:
            if ticket.requirements.deadline >= earliest_end:
                return
            self._deadlines.pop()
            del self._live[ticket.number]
            self._classes[ticket.requirements.priority].record_removed(ticket)
            self._expired.append(ticket)


def _rank(ticket: queues.Ticket) -> tuple[float, int]:
    """Return the sort key of a ticket among those of other classes."""
    handicap_ms = ticket.requirements.priority * ticket.requirements.aging_ms
    return ticket.since + handicap_ms, ticket.number
