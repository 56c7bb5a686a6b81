"""How many requests one host may send to a version that is not proven."""

import random

from chervilshore.decisions.rollouts import records as rollout_records

FIRST_SEND_FRACTION = 0.8
"""Fraction of the share that is used, as the attempts of a request at the
pool may be several and count each."""

HOST_COUNT_MARGIN = 1.3
"""Factor on the number of known hosts, as new hosts may not be known yet."""

MIN_SHARING_HOSTS = 10
"""Minimum number of hosts among which the slack is divided."""


class ExposureBudget:
    """Keeps this host's requests to the new version below its own share.

    Each host counts only its own requests. As each stays below the share of
    these, all together stay below the share of all, however the traffic is
    divided and whichever hosts cannot reach each other. The slack lets a host
    send a first request early; a process that does not know what it sent
    before has none.

    Parameters
    ----------
    limits : ExposureLimits
        The bounds of all hosts together.
    hosts : int
        Number of known hosts.
    has_memory : bool
        Whether this process ran when the order was given.
    rng : random.Random
        Spreads the first requests of the hosts over time.
    """

    def __init__(
        self,
        limits: rollout_records.ExposureLimits,
        hosts: int,
        has_memory: bool,
        rng: random.Random,
    ) -> None:
        self._share = limits.share * FIRST_SEND_FRACTION
        sharing = max(MIN_SHARING_HOSTS, hosts * HOST_COUNT_MARGIN)
        self._slack = limits.slack / sharing if has_memory else 0.0
        self._start = min(1.0, self._slack) * rng.random()
        self._requests = 0
        self._used = 0

    @property
    def used(self) -> int:
        """Requests that were sent to the new version."""
        return self._used

    def record_sent(self, is_new: bool, is_first: bool) -> None:
        """Count an attempt.

        Parameters
        ----------
        is_new : bool
            Whether it goes to the new version.
        is_first : bool
            Whether it is the first of its request at the pool.
        """
        self._requests += is_first
        self._used += is_new

    def allows(self, fraction: float = 1.0) -> bool:
        """Return whether one more request may go to the new version.

        Parameters
        ----------
        fraction : float
            The fraction of the share to use, from 0 to 1.
        """
        earned = self._share * fraction * (self._requests + 1)
        return self._used + 1 <= earned + self._start
