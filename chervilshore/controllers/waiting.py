"""Stages of one pool that wait for a slot on this host."""

import asyncio
from collections import abc as collections_abc

import msgspec

from chervilshore.decisions import queues
from chervilshore.decisions import routing
from chervilshore import ids


MAX_RECHECKED = 64
"""Waiting stages of one pool for which slots are requested again per tick."""


class Waiter(msgspec.Struct, eq=False):
    """A stage that waits for a slot.

    Parameters
    ----------
    ticket : Ticket
        Its entry in the queue.
    future : asyncio.Future
        Resolved with the slot, or with the error of a refusal.
    requested : list of EndpointId
        The endpoints at which a slot has been requested for it.
    pending : EndpointId or None
        The endpoint whose owner must reply before a slot is requested at
        another one.
    """

    ticket: queues.Ticket
    future: asyncio.Future
    requested: list[ids.EndpointId] = []
    pending: ids.EndpointId | None = None


class PoolWaiters:
    """The stages that wait for one pool.

    Parameters
    ----------
    queue : WaitQueue
        Decides which stage is next.
    router : Router
        Ranks the endpoints.

    Attributes
    ----------
    waiters : dict
        The waiting stages by number, oldest first.
    last_deadline : float
        The time in milliseconds by which the attempts of all waiting stages
        will have ended.
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
        return len(self.waiters)

    def add(
        self, requirements: routing.StageRequirements, now: float
    ) -> Waiter:
        """Add a stage to the queue."""
        self._number += 1
        ticket = queues.Ticket(self._number, requirements, now)
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(ticket, future)
        self.waiters[ticket.number] = waiter
        self._queue.push(ticket, now)
        self.last_deadline = max(self.last_deadline, requirements.latest_end)
        return waiter

    def remove(self, waiter: Waiter) -> list[ids.EndpointId]:
        """Remove a stage from the queue, if it is still there.

        Returns
        -------
        list of EndpointId
            The endpoints at which fewer slots are wanted now.
        """
        if self.waiters.pop(waiter.ticket.number, None) is None:
            return []
        self._queue.remove(waiter.ticket)
        if waiter.pending is not None:
            self._pending[waiter.pending].pop(waiter.ticket.number)
        if not self.waiters:
            self.last_deadline = 0.0
        for endpoint in waiter.requested:
            self._wanted[endpoint] -= 1
        return waiter.requested

    def add_request(self, waiter: Waiter, endpoint: ids.EndpointId) -> None:
        """Record that a slot of an endpoint is requested for a stage."""
        waiter.requested.append(endpoint)
        self._wanted[endpoint] = self._wanted.get(endpoint, 0) + 1

    def count_wanted(self, endpoint: ids.EndpointId) -> int:
        """Return the number of stages that want a slot of an endpoint."""
        return self._wanted.get(endpoint, 0)

    def set_pending(self, waiter: Waiter, endpoint: ids.EndpointId) -> None:
        """Record that a stage waits for the reply of an endpoint's owner."""
        waiter.pending = endpoint
        number = waiter.ticket.number
        self._pending.setdefault(endpoint, {})[number] = waiter

    def pop_pending(self, endpoint: ids.EndpointId) -> list[Waiter]:
        """Remove and return the stages that wait for one owner's reply."""
        found = self._pending.pop(endpoint, {})
        for waiter in found.values():
            waiter.pending = None
        return list(found.values())

    def list_idle(self) -> list[Waiter]:
        """Return the oldest stages that wait for no owner's reply.

        At most `MAX_RECHECKED` are returned.
        """
        found = []
        for waiter in self.waiters.values():
            if waiter.pending is None and not waiter.future.done():
                found.append(waiter)
            if len(found) >= MAX_RECHECKED:
                break
        return found

    def expire(self, now: float) -> list[Waiter]:
        """Return stages that can no longer meet their deadlines.

        They leave the queue, but not yet `waiters`.
        """
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
        """Return the next eligible stage, or None.

        It leaves the queue, but not yet `waiters`.
        """
        ticket = self._queue.pop(
            now, lambda found: eligible(found.requirements)
        )
        return self.waiters[ticket.number] if ticket else None
