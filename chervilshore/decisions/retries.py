"""When an attempt may be retried or hedged."""

import abc
from collections import abc as collections_abc

from chervilshore import clock as clocks
from chervilshore.decisions import deadlines
from chervilshore import ids

RETRIES_PER_REQUEST = 0.1
"""Retry tokens that each request earns."""

HEDGES_PER_ATTEMPT = 0.01
"""Hedge tokens that each first attempt earns."""

MIN_RETRIES_PER_SECOND = 0.2
"""Retry tokens that a host earns each second, even without attempts."""

MAX_HEDGE_TOKENS = 3.0
"""Most hedge tokens that a host can save up."""

MAX_RETRY_TOKENS = 20.0
"""Most retry tokens that a host can save up."""

HEDGE_DELAY_FACTOR = 3.0
"""Multiple of a pool's median latency after which a hedge starts."""

MIN_HEDGE_SAMPLES = 20
"""Recent attempts that a pool must have before its requests are hedged."""


class RetryPolicy(abc.ABC):
    """Decides whether one more attempt may be made."""

    @abc.abstractmethod
    def record_request(self) -> None:
        """Record a request of a caller."""

    @abc.abstractmethod
    def acquire_retry(self, now: float) -> bool:
        """Return whether a retry may be made now, and count it if so."""

    @abc.abstractmethod
    def reserve_retry(self, now: float) -> bool:
        """Return whether a retry may follow, and set a token aside if so."""

    @abc.abstractmethod
    def use_retry(self) -> None:
        """Use a reserved token: the retry is sent now."""

    @abc.abstractmethod
    def withdraw_retry(self) -> None:
        """Reserve a used token again: its retry reached no endpoint."""

    @abc.abstractmethod
    def release_retry(self) -> None:
        """Return a reserved token: no retry follows."""


FindBudget = collections_abc.Callable[[ids.PoolName], RetryPolicy]
"""Returns the retry budget of a pool."""


class AlwaysRetry(RetryPolicy):
    """The baseline: allows every retry."""

    def record_request(self) -> None:
        """Record nothing; see `RetryPolicy.record_request`."""

    def acquire_retry(self, now: float) -> bool:
        """Allow it; see `RetryPolicy.acquire_retry`."""
        return True

    def reserve_retry(self, now: float) -> bool:
        """Allow it; see `RetryPolicy.reserve_retry`."""
        return True

    def use_retry(self) -> None:
        """Do nothing; see `RetryPolicy.use_retry`."""

    def withdraw_retry(self) -> None:
        """Do nothing; see `RetryPolicy.withdraw_retry`."""

    def release_retry(self) -> None:
        """Do nothing; see `RetryPolicy.release_retry`."""


class RetryBudget(RetryPolicy):
    """A token bucket that allows retries in proportion to requests.

    Each host has its own. As each bounds retries to a fraction of the host's
    requests, all together are bound to that fraction of the cluster's.

    A reserved token takes space in the bucket until it is used. So in any
    window retries are at most those that fit into the bucket and those that
    were earned in the window, however long a reservation lasts.

    Parameters
    ----------
    tokens_per_request : float
        Tokens that a request earns.
    tokens_per_second : float
        Tokens that each second earns.
    max_tokens : float
        Most tokens that can be saved up; the bucket starts full.
    """

    def __init__(
        self,
        tokens_per_request: float = RETRIES_PER_REQUEST,
        tokens_per_second: float = MIN_RETRIES_PER_SECOND,
        max_tokens: float = MAX_RETRY_TOKENS,
    ) -> None:
        self._tokens_per_request = tokens_per_request
        self._tokens_per_second = tokens_per_second
        self._max_tokens = max_tokens
        self._tokens = max_tokens
        self._reserved = 0
        self._filled_at: float | None = None
        self._allowed = 0
        self._denied = 0

    def reconfigure(
        self,
        tokens_per_request: float,
        tokens_per_second: float,
        max_tokens: float,
    ) -> None:
        """Change the rates and the size; surplus tokens are dropped."""
        self._tokens_per_request = tokens_per_request
        self._tokens_per_second = tokens_per_second
        self._max_tokens = max_tokens
        self._add_tokens(0.0)

    def drop_tokens(self, now: float) -> None:
        """Drop all tokens, as an earlier process may have used them."""
        self._tokens = 0.0
        self._filled_at = now

    def record_request(self) -> None:
        """Add tokens; see `RetryPolicy.record_request`."""
        self._add_tokens(self._tokens_per_request)

    def acquire_retry(self, now: float) -> bool:
        """Use a token if there is one; see `RetryPolicy.acquire_retry`."""
        self._refill(now)
        if self._tokens < 1.0:
            self._denied += 1
            return False
        self._tokens -= 1.0
        self._allowed += 1
        return True

    def reserve_retry(self, now: float) -> bool:
        """Reserve a token if any; see `RetryPolicy.reserve_retry`."""
        if not self.acquire_retry(now):
            return False
        self._reserved += 1
        return True

    def use_retry(self) -> None:
        """Make space for another token; see `RetryPolicy.use_retry`."""
        self._reserved -= 1

    def withdraw_retry(self) -> None:
        """Reserve the token again; see `RetryPolicy.withdraw_retry`."""
        self._reserved += 1
        self._add_tokens(0.0)

    def release_retry(self) -> None:
        """Return the token; see `RetryPolicy.release_retry`."""
        self._reserved -= 1
        self._allowed -= 1
        self._add_tokens(1.0)

    def describe(self) -> dict[str, float]:
        """Return the tokens and the retries allowed and denied."""
        return {
            "left": self._tokens,
            "reserved": self._reserved,
            "allowed": self._allowed,
            "denied": self._denied,
        }

    def _refill(self, now: float) -> None:
        if self._filled_at is not None:
            earned = (
                (now - self._filled_at)
                / clocks.MILLIS_PER_SECOND
                * self._tokens_per_second
            )
            self._add_tokens(earned)
        self._filled_at = now

    def _add_tokens(self, count: float) -> None:
        space = max(0.0, self._max_tokens - self._reserved)
        self._tokens = min(space, self._tokens + count)


class Hedging:
    """Starts a second attempt when the first one takes unusually long.

    The caller must only hedge what may be repeated. A hedge uses a token of
    its own small budget and one of the retry budget, so that a pool that is
    slow as a whole does not get twice the load.

    Parameters
    ----------
    times : StageTimes
        The durations of recent attempts.
    retry_budget : RetryPolicy
        The budget of all retries.
    hedge_budget : RetryPolicy or None
        The budget of hedges.
    delay_factor : float
        Multiple of the pool's median latency after which a hedge starts.
    """

    def __init__(
        self,
        times: deadlines.StageTimes,
        retry_budget: RetryPolicy,
        hedge_budget: RetryPolicy | None = None,
        delay_factor: float = HEDGE_DELAY_FACTOR,
    ) -> None:
        self._times = times
        self._retry_budget = retry_budget
        self._delay_factor = delay_factor
        self._hedge_budget = hedge_budget or RetryBudget(
            HEDGES_PER_ATTEMPT, 0.0, MAX_HEDGE_TOKENS
        )

    def record_first_attempt(self) -> None:
        """Record the first attempt of a stage that may be hedged."""
        self._hedge_budget.record_request()

    def hedge_delay_ms(self, pool: ids.PoolName, now: float) -> float | None:
        """Return how long to wait for the first attempt, in milliseconds.

        None when the pool has too few recent attempts for a hedge.
        """
        if self._times.count(pool, now) < MIN_HEDGE_SAMPLES:
            return None
        return self._times.quantile(pool, 0.5, now) * self._delay_factor

    def acquire_hedge(self, now: float) -> bool:
        """Return whether a hedge may be made now, and count it if so."""
        return self._hedge_budget.acquire_retry(
            now
        ) and self._retry_budget.acquire_retry(now)
