"""Stages of one pool that wait for a slot on this host."""

import asyncio
from collections import abc as collections_abc

import msgspec

from chervilshore.decisions import queues
from chervilshore.decisions import routing
from chervilshore import ids


MOST_REVIEWED = 64
"""Waiting stages of one pool that are looked after again at a time."""


class Waiter(msgspec.Struct, eq=False):
    """One waiting stage.

    Parameters
    ----------
    ticket : Ticket
        Its place in the queue.
    future : asyncio.Future
        Gets the slot.
    asked : list of EndpointId
        Where a slot was asked for on its behalf.
    pending : EndpointId or None
        Whose keeper has yet to answer before another one is asked.
    """

    ticket: queues.Ticket
    future: asyncio.Future
    asked: list[ids.EndpointId] = []
    pending: ids.EndpointId | None = None


class PoolWaiters:
    """The stages that wait for one pool.

    Parameters
    ----------
    queue : WaitQueue
        Decides who is next.
    router : Router
        Decides which endpoint is asked first.

    Attributes
    ----------
    waiters : dict
        The waiting stages by number, the oldest one first.
    last_deadline : float
        The moment by which all that wait will have ended.
    """

    def __init__(
        self, queue: queues.WaitQueue, router: routing.Router
    ) -> None:
        self.router = router
        self.waiters: dict[int, Waiter] = {}
        self.last_deadline = 0.0
        self._queue = queue
        self._wanted: dict[ids.EndpointId, int] = {}
        self._pending: dict[ids.EndpointId, dict[int, Waiter]] = {}
        self._number = 0

    def __len__(self) -> int:
        """Count the waiting stages."""
        return len(self.waiters)

    def add(
        self, requirements: routing.StageRequirements, now: float
    ) -> Waiter:
        """Let a stage wait."""
        self._number += 1
        ticket = queues.Ticket(self._number, requirements, now)
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(ticket, future)
        self.waiters[ticket.number] = waiter
        self._queue.push(ticket, now)
        self.last_deadline = max(self.last_deadline, requirements.latest_end)
        return waiter

    def remove(self, waiter: Waiter) -> list[ids.EndpointId]:
        """Let a stage wait no more.

        Returns
        -------
        list of EndpointId
            Where fewer slots are wanted now.
        """
        if self.waiters.pop(waiter.ticket.number, None) is None:
            return []
        self._queue.remove(waiter.ticket)
        if waiter.pending is not None:
            self._pending[waiter.pending].pop(waiter.ticket.number)
        if not self.waiters:
            self.last_deadline = 0.0
        for endpoint in waiter.asked:
            self._wanted[endpoint] -= 1
        return waiter.asked

    def ask(self, waiter: Waiter, endpoint: ids.EndpointId) -> None:
        """Note that a slot of an endpoint is asked for."""
        waiter.asked.append(endpoint)
        self._wanted[endpoint] = self._wanted.get(endpoint, 0) + 1

    def count_wanted(self, endpoint: ids.EndpointId) -> int:
        """Count the stages that want a slot of an endpoint."""
        return self._wanted.get(endpoint, 0)

    def expect(self, waiter: Waiter, endpoint: ids.EndpointId) -> None:
        """Note that a keeper has to answer before another one is asked."""
        waiter.pending = endpoint
        number = waiter.ticket.number
        self._pending.setdefault(endpoint, {})[number] = waiter

    def pop_pending(self, endpoint: ids.EndpointId) -> list[Waiter]:
        """Take the stages that have waited for one keeper's answer."""
        found = self._pending.pop(endpoint, {})
        for waiter in found.values():
            waiter.pending = None
        return list(found.values())

    def list_idle(self) -> list[Waiter]:
        """List the oldest stages for which no keeper's answer is due."""
        found = []
        for waiter in self.waiters.values():
            if waiter.pending is None and not waiter.future.done():
                found.append(waiter)
            if len(found) >= MOST_REVIEWED:
                break
        return found

    def expire(self, now: float) -> list[Waiter]:
        """Take the stages that cannot make their deadline any more."""
        return [
            self.waiters[ticket.number]
            for ticket in self._queue.expire(now)
            if ticket.number in self.waiters
        ]

    def pop(
        self,
        now: float,
        eligible: collections_abc.Callable[[routing.StageRequirements], bool],
    ) -> Waiter | None:
        """Take the next stage that may use a slot."""
        ticket = self._queue.pop(
            now, lambda found: eligible(found.requirements)
        )
        return self.waiters[ticket.number] if ticket else None
