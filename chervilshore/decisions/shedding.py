"""How many requests this host takes on, and which go first."""

import abc
from collections import abc as collections_abc

from chervilshore import ids

Pools = collections_abc.Sequence[ids.PoolName]
"""The pools that a request will pass."""


class Shedding(abc.ABC):
    """Admits requests while there is capacity for them."""

    @abc.abstractmethod
    def admit(self, pools: Pools, priority: int, now: float) -> float:
        """Admit a request, or tell when it may come back.

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
            0 when it is admitted, and then `release` must follow; else
            milliseconds after which it may come back.
        """

    @abc.abstractmethod
    def release(
        self, pools: Pools, priority: int, millis: float, now: float
    ) -> None:
        """Count the end of an admitted request.

        Parameters
        ----------
        pools : sequence of PoolName
            The pools named on admission.
        priority : int
            The priority named on admission.
        millis : float
            Milliseconds that it took.
        now : float
            The time in milliseconds.
        """

    def note_ask(self, pool: ids.PoolName, now: float) -> None:
        """Learn that a stage asks for a slot.

        Either `note_wait` or `note_drop` must follow, also when the
        request is cancelled.

        Parameters
        ----------
        pool : PoolName
            The pool.
        now : float
            The time in milliseconds.
        """

    def note_wait(self, pool: ids.PoolName, millis: float, now: float) -> None:
        """Learn how long a stage waited for its slot.

        Parameters
        ----------
        pool : PoolName
            The pool.
        millis : float
            Milliseconds from asking to getting it.
        now : float
            The time in milliseconds.
        """

    def note_drop(self, pool: ids.PoolName, now: float) -> None:
        """Learn that a stage got no slot, or was cancelled before."""

    def describe(self) -> dict[str, dict[str, float]]:
        """Tell the limits in force, by pool."""
        return {}


class NoShedding(Shedding):
    """The baseline: everything is taken on."""

    def admit(self, pools: Pools, priority: int, now: float) -> float:
        """Admit; see `Shedding.admit`."""
        return 0.0

    def release(
        self, pools: Pools, priority: int, millis: float, now: float
    ) -> None:
        """Count nothing; see `Shedding.release`."""
