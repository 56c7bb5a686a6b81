"""Bounds the memory that the responses of all connections take together."""

import asyncio
from collections import abc as collections_abc
import itertools
import weakref

from chervilshore.decisions import receivebudget

ENDPOINTS_BYTES = 48_000_000
"""Bytes of the responses of all endpoints that the process holds at most. With
what is copied as an answer is sent on, and with what the process needs itself,
they fit into 300 MB."""

STORE_BYTES = 24_000_000
"""The same for the store, whose answers must not wait for endpoints."""

MAX_WAIT_SECONDS = 0.25
"""Seconds for which a response waits for others to end, before the largest one
without a known length is cut."""

MAX_LARGEST_SECONDS = 0.1
"""Seconds that a response has to end once it is the largest and others have
waited for so long; nothing but its endpoint holds it up then."""

OnCut = collections_abc.Callable[[str], None]
"""Ends a response, for the reason that is given."""


class Receipt:
    """What the process holds of one response, until it is released.

    Parameters
    ----------
    pool : ReceivePool
        The budget that it counts against.
    limit : int
        Bytes at which it is cut.
    on_cut : OnCut
        Ends the response when it has to make room for others.
    """

    def __init__(self, pool: "ReceivePool", limit: int, on_cut: OnCut) -> None:
        self._pool = pool
        self._holding = pool.budget.open(limit + receivebudget.END_BYTES)
        # A strong reference would hold a connection that nobody reads.
        pool.receipts[self._holding] = weakref.WeakMethod(on_cut)

    def __del__(self) -> None:
        # An answer that is given up on the way is held no more.
        self.release()

    def expect(self, limit: int, is_declared: bool) -> None:
        """Set the length that a response has said, or the bound on it."""
        self._holding.limit = limit + receivebudget.END_BYTES
        self._holding.is_declared = is_declared

    def update(self, held: int) -> None:
        """Set how many bytes are held."""
        freed = self._holding.held - held
        self._pool.budget.update(self._holding, held)
        if freed > 0:
            self._pool.wake(freed)

    def allow(self) -> int:
        """Return how many bytes may be read now."""
        return self._pool.budget.allow(self._holding)

    def reserve(self) -> bool:
        """Reserve room for the next read; return whether there is any."""
        return self._pool.budget.reserve(self._holding)

    async def wait_for_room(self, began: float) -> None:
        """Wait until less is held; cut a response if that takes too long.

        Parameters
        ----------
        began : float
            Time of the event loop at which the caller began to wait.
        """
        await self._pool.wait_for_room(self._holding, began)

    def keep(self, held: int) -> None:
        """Hold a whole response until it has been sent on."""
        self._pool.receipts.pop(self._holding, None)
        freed = self._holding.remaining
        self._pool.budget.complete(self._holding, held)
        self._pool.wake(freed)

    def release(self) -> None:
        """Hold nothing any more."""
        self._pool.receipts.pop(self._holding, None)
        freed = self._holding.limit
        self._pool.budget.close(self._holding)
        self._pool.wake(freed)


class ReceivePool:
    """The responses that share one budget.

    Parameters
    ----------
    total : int
        Bytes that they may hold together.
    """

    def __init__(self, total: int) -> None:
        self.budget = receivebudget.ReceiveBudget(total)
        self.receipts: dict[
            receivebudget.Holding, weakref.WeakMethod[OnCut]
        ] = {}
        self._victim: receivebudget.Holding | None = None
        self._victim_since = 0.0
        # In the order in which they began to wait.
        self._waiting: dict[receivebudget.Holding, asyncio.Future] = {}

    def wake(self, freed: int) -> None:
        """Let as many look again as may read what has become free.

        The largest is among them, as there is always room for it.
        """
        if not self._waiting:
            return
        count = 1 + freed // receivebudget.READ_BYTES
        woken = list(itertools.islice(self._waiting, count))
        largest = self.budget.find_largest()
        if largest in self._waiting:
            woken.insert(0, largest)
        for holding in dict.fromkeys(woken):
            future = self._waiting.pop(holding)
            if not future.done():
                future.set_result(None)

    async def wait_for_room(
        self, holding: receivebudget.Holding, began: float
    ) -> None:
        """Wait until less is held; see `Receipt.wait_for_room`."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._waiting[holding] = future
        look_at = max(
            began + MAX_WAIT_SECONDS, loop.time() + MAX_LARGEST_SECONDS
        )
        try:
            async with asyncio.timeout_at(look_at):
                await future
        except TimeoutError:
            if not self.budget.reserve(holding):
                self._cut_one(loop.time())
        finally:
            if self._waiting.get(holding) is future:
                del self._waiting[holding]

    def _cut_one(self, now: float) -> None:
        """Cut the largest response, unless it is so only since shortly."""
        victim = self.budget.choose_victim()
        if victim is not self._victim:
            self._victim = victim
            self._victim_since = now
            return
        if now < self._victim_since + MAX_LARGEST_SECONDS:
            return
        on_cut = self.receipts[victim]() if victim is not None else None
        if on_cut is None:
            return
        on_cut(
            f"{victim.held} bytes, while all responses hold "
            f"{self.budget.charged} of {self.budget.total}"
        )


ENDPOINTS = ReceivePool(ENDPOINTS_BYTES)
STORE = ReceivePool(STORE_BYTES)
"""The budgets of this process, as memory is what a process has."""
