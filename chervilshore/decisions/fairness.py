"""A queue with classes that age, earliest deadlines and fair teams."""

from collections import abc as collections_abc
import heapq

from chervilshore.decisions import queues
from chervilshore import ids

SPARE_ENTRIES = 64
"""Stale entries of a heap that are not worth rebuilding it."""

Eligible = collections_abc.Callable[[queues.Ticket], bool]
"""Tells whether a ticket may use the slot at hand."""

LeastService = collections_abc.Callable[[float], float]
"""Takes the time, and tells the milliseconds an attempt takes at least."""


def expect_nothing(now: float) -> float:
    """Expect that an attempt takes no time."""
    return 0.0


class _Heap:
    """Tickets by deadline; those that were removed are skipped later."""

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
        if len(self._entries) <= 2 * live + SPARE_ENTRIES:
            return
        self._entries = [
            entry for entry in self._entries if entry[1] in self._live
        ]
        heapq.heapify(self._entries)


class _Team:
    """The tickets of a team within a class, and its turn."""

    __slots__ = ("name", "tickets", "waiting", "turn")

    def __init__(self, name: ids.TeamId, tickets: _Heap, turn: float) -> None:
        self.name = name
        self.tickets = tickets
        self.waiting = 0
        self.turn = turn


class _Class:
    """The tickets of one priority.

    Teams take turns by virtual time: each ticket served puts its team
    one step behind, and a team that comes back keeps its place.
    """

    def __init__(self, live: dict[int, queues.Ticket]) -> None:
        self._live = live
        self._turn = 0.0
        self._teams: dict[ids.TeamId, _Team] = {}
        self._order: list[tuple[float, int, _Team]] = []
        self._pushed = 0

    def push(self, ticket: queues.Ticket) -> None:
        team = self._teams.get(ticket.requirements.team)
        if team is None:
            team = _Team(
                ticket.requirements.team, _Heap(self._live), self._turn
            )
            self._teams[team.name] = team
        team.tickets.push(ticket)
        team.waiting += 1
        if team.waiting == 1:
            team.turn = max(team.turn, self._turn)
            self._line_up(team)

    def find(self, eligible: Eligible) -> queues.Ticket | None:
        """Find the ticket to serve, without taking it out."""
        passed = []
        found = None
        while self._order and found is None:
            entry = self._order[0]
            team = entry[2]
            if not self._is_current(entry):
                heapq.heappop(self._order)
                continue
            found = self._find_of(team, eligible)
            if found is None:
                passed.append(heapq.heappop(self._order))
        for entry in passed:
            heapq.heappush(self._order, entry)
        return found

    def serve(self, ticket: queues.Ticket) -> None:
        """Count a found ticket as served; it is no longer live."""
        team = self._teams[ticket.requirements.team]
        self._turn = max(self._turn, team.turn)
        team.turn += 1.0
        self.forget(ticket)
        if team.waiting:
            self._line_up(team)

    def forget(self, ticket: queues.Ticket) -> None:
        """Count a ticket as gone; it is no longer live."""
        team = self._teams[ticket.requirements.team]
        team.waiting -= 1
        team.tickets.trim(team.waiting)
        if len(self._teams) > 2 * len(self._live) + SPARE_ENTRIES:
            self._drop_teams()

    def _find_of(
        self, team: _Team, eligible: Eligible
    ) -> queues.Ticket | None:
        passed = []
        found = None
        while (ticket := team.tickets.peek()) is not None:
            if eligible(ticket):
                found = ticket
                break
            passed.append(team.tickets.pop())
        for ticket in passed:
            team.tickets.push(ticket)
        return found

    def _line_up(self, team: _Team) -> None:
        self._pushed += 1
        heapq.heappush(self._order, (team.turn, self._pushed, team))

    def _is_current(self, entry: tuple[float, int, _Team]) -> bool:
        turn, _, team = entry
        return team.waiting > 0 and turn == team.turn

    def _drop_teams(self) -> None:
        # A team without tickets that is not behind would join anew with
        # the same turn, so nothing is lost with it.
        self._teams = {
            name: team
            for name, team in self._teams.items()
            if team.waiting or team.turn > self._turn
        }


class FairQueue(queues.WaitQueue):
    """Serves classes by age and priority, and teams of a class in turn.

    Of each class the team whose turn it is offers its ticket with the
    earliest deadline. Between classes a ticket counts as if it had come
    later by its priority times its aging, so a low class waits longer
    but never starves. A ticket that cannot make its deadline any more is
    never served.

    Parameters
    ----------
    least_service : callable
        Takes the time in milliseconds, and tells the milliseconds that an
        attempt takes at least.
    """

    def __init__(self, least_service: LeastService = expect_nothing) -> None:
        self._least_service = least_service
        self._live: dict[int, queues.Ticket] = {}
        self._classes: dict[int, _Class] = {}
        self._deadlines = _Heap(self._live)
        self._dropped: list[queues.Ticket] = []

    def __len__(self) -> int:
        """Count the waiting tickets."""
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
        """Take the next ticket; see `WaitQueue.pop`."""
        self._sweep(now)
        offers = [
            offer
            for group in self._classes.values()
            if (offer := group.find(eligible)) is not None
        ]
        if not offers:
            return None
        chosen = min(offers, key=_rank)
        del self._live[chosen.number]
        self._classes[chosen.requirements.priority].serve(chosen)
        self._deadlines.trim(len(self._live))
        return chosen

    def remove(self, ticket: queues.Ticket) -> None:
        """Drop a ticket; see `WaitQueue.remove`."""
        if self._live.pop(ticket.number, None) is None:
            return
        self._classes[ticket.requirements.priority].forget(ticket)
        self._deadlines.trim(len(self._live))

    def expire(self, now: float) -> list[queues.Ticket]:
        """Drop what cannot make its deadline; see `WaitQueue.expire`."""
        self._sweep(now)
        dropped = self._dropped
        self._dropped = []
        return dropped

    def _sweep(self, now: float) -> None:
        earliest = now + self._least_service(now)
        while (ticket := self._deadlines.peek()) is not None:
            if ticket.requirements.deadline >= earliest:
                return
            self._deadlines.pop()
            del self._live[ticket.number]
            self._classes[ticket.requirements.priority].forget(ticket)
            self._dropped.append(ticket)


def _rank(ticket: queues.Ticket) -> tuple[float, int]:
    handicap = ticket.requirements.priority * ticket.requirements.aging_ms
    return ticket.since + handicap, ticket.number
