"""When an attempt may be repeated, and when a second one runs beside it."""

import abc

from chervilshore import clock as clocks
from chervilshore.decisions import deadlines
from chervilshore import ids

RETRY_RATIO = 0.1
"""Retries that each first attempt earns."""

HEDGE_RATIO = 0.01
"""Hedges that each first attempt earns."""

RETRY_FLOOR = 0.2
"""Retries a second that a host may make however little it does."""

MOST_HEDGES = 3.0
"""Hedges that may be saved up."""

MOST_TOKENS = 20.0
"""Retries that may be saved up."""

HEDGE_FACTOR = 3.0
"""Times the pool's median after which a hedge begins."""

HEDGE_SAMPLES = 20
"""Attempts that must be known of a pool before it is hedged."""


class RetryPolicy(abc.ABC):
    """Tells whether there may be one more attempt."""

    @abc.abstractmethod
    def note_first(self) -> None:
        """Count the first attempt of a stage."""

    @abc.abstractmethod
    def may_retry(self, now: float) -> bool:
        """Tell whether one may be made now, and count it if so."""


class AlwaysRetry(RetryPolicy):
    """The baseline: every attempt may be repeated."""

    def note_first(self) -> None:
        """Count nothing; see `RetryPolicy.note_first`."""

    def may_retry(self, now: float) -> bool:
        """Allow it; see `RetryPolicy.may_retry`."""
        return True


class RetryBudget(RetryPolicy):
    """Allows retries in proportion to first attempts.

    Each host keeps its own; as each is a part of the host's own first
    attempts, their sum is the same part of the fleet's.

    Parameters
    ----------
    ratio : float
        What a first attempt earns.
    floor : float
        What a second earns.
    most : float
        What may be saved up; the budget begins with it.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        floor: float = RETRY_FLOOR,
        most: float = MOST_TOKENS,
    ) -> None:
        self._ratio = ratio
        self._floor = floor
        self._most = most
        self._tokens = most
        self._filled: float | None = None
        self._allowed = 0
        self._denied = 0

    def change(self, ratio: float, floor: float, most: float) -> None:
        """Go by other numbers from now on."""
        self._ratio = ratio
        self._floor = floor
        self._most = most
        self._tokens = min(self._tokens, most)

    def note_first(self) -> None:
        """Earn a part of a retry; see `RetryPolicy.note_first`."""
        self._tokens = min(self._most, self._tokens + self._ratio)

    def may_retry(self, now: float) -> bool:
        """Take one from the budget; see `RetryPolicy.may_retry`."""
        self._fill(now)
        if self._tokens < 1.0:
            self._denied += 1
            return False
        self._tokens -= 1.0
        self._allowed += 1
        return True

    def describe(self) -> dict[str, float]:
        """Tell what is left and what was asked."""
        return {
            "left": self._tokens,
            "allowed": self._allowed,
            "denied": self._denied,
        }

    def _fill(self, now: float) -> None:
        if self._filled is not None:
            earned = (
                (now - self._filled) / clocks.MILLIS_PER_SECOND * self._floor
            )
            self._tokens = min(self._most, self._tokens + earned)
        self._filled = now


class Hedging:
    """Starts a second attempt when the first one takes unusually long.

    Only what may be repeated is hedged; the caller sees to that. A hedge
    is paid from its own budget, which is small, and from that of all
    retries, so a pool that is slow as a whole does not double its load.

    Parameters
    ----------
    times : StageTimes
        The times of recent attempts.
    budget : RetryPolicy
        The budget of all retries.
    own : RetryPolicy or None
        The budget of hedges.
    factor : float
        Times the pool's median after which a hedge begins.
    """

    def __init__(
        self,
        times: deadlines.StageTimes,
        budget: RetryPolicy,
        own: RetryPolicy | None = None,
        factor: float = HEDGE_FACTOR,
    ) -> None:
        self._times = times
        self._budget = budget
        self._factor = factor
        self._own = own or RetryBudget(HEDGE_RATIO, 0.0, MOST_HEDGES)

    def note_first(self) -> None:
        """Count the first attempt of a stage that may be hedged."""
        self._own.note_first()

    def delay(self, pool: ids.PoolName, now: float) -> float | None:
        """Tell how long to wait for the first attempt.

        Returns
        -------
        float or None
            Milliseconds; nothing when too little is known of the pool.
        """
        if self._times.count(pool, now) < HEDGE_SAMPLES:
            return None
        return self._times.quantile(pool, 0.5, now) * self._factor

    def may_hedge(self, now: float) -> bool:
        """Tell whether one may be made now, and count it if so."""
        return self._own.may_retry(now) and self._budget.may_retry(now)
