"""Load shedding: which requests a host admits."""

import abc
from collections import abc as collections_abc

from chervilshore import ids

Pools = collections_abc.Sequence[ids.PoolName]
"""The pools that a request will pass."""


class Shedding(abc.ABC):
    """Admits requests while there is capacity for them."""

    @abc.abstractmethod
    def admit(self, pools: Pools, priority: int, now: float) -> float:
        """Admit a request, or return when it may be retried.

        Parameters
        ----------
        pools : sequence of PoolName
            The pools that it will pass.
        priority : int
            The priority of its class; lower goes first.
        now : float
            The time in milliseconds.

        Returns
        -------
        float
            0 when it is admitted, and then `release` must follow; else the
            milliseconds after which it may be retried.
        """

    @abc.abstractmethod
    def release(
        self, pools: Pools, priority: int, millis: float, now: float
    ) -> None:
        """Record the end of an admitted request.

        Parameters
        ----------
        pools : sequence of PoolName
            The pools given on admission.
        priority : int
            The priority given on admission.
        millis : float
            Milliseconds that it took.
        now : float
            The time in milliseconds.
        """

    def record_slot_request(self, pool: ids.PoolName, now: float) -> None:
        """Record that a stage waits for a slot.

        Either `record_slot_acquired` or `record_slot_abandoned` must follow,
        also when the request is cancelled.
        """

    def record_slot_acquired(
        self, pool: ids.PoolName, millis: float, now: float
    ) -> None:
        """Record that a stage got its slot.

        Parameters
        ----------
        pool : PoolName
            The pool.
        millis : float
            Milliseconds that it waited.
        now : float
            The time in milliseconds.
        """

    def record_slot_abandoned(self, pool: ids.PoolName, now: float) -> None:
        """Record that a stage waits no more and got no slot."""

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the current limits by pool, for reports."""
        return {}


class NoShedding(Shedding):
    """The baseline: admits every request."""

    def admit(self, pools: Pools, priority: int, now: float) -> float:
        """Admit; see `Shedding.admit`."""
        return 0.0

    def release(
        self, pools: Pools, priority: int, millis: float, now: float
    ) -> None:
        """Record nothing; see `Shedding.release`."""
