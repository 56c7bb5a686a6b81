"""The retry budgets of a host, and what one request uses of them."""

from chervilshore.decisions import retries
from chervilshore import ids


class RetryBudgets:
    """The retry budgets of a host, one for each pool.

    All hosts together are bound at each pool by the requests for that pool:
    those for another one must not pay for its retries.

    Parameters
    ----------
    share : tuple of float
        Tokens per request, tokens per second and maximum tokens of each
        budget; see `RetryBudget`.
    """

    def __init__(self, share: tuple[float, float, float]) -> None:
        self._share = share
        self._dropped_at: float | None = None
        self._by_pool: dict[ids.PoolName, retries.RetryBudget] = {}

    def find(self, pool: ids.PoolName) -> retries.RetryBudget:
        """Return the budget of a pool."""
        if pool not in self._by_pool:
            budget = retries.RetryBudget(*self._share)
            if self._dropped_at is not None:
                budget.drop_tokens(self._dropped_at)
            self._by_pool[pool] = budget
        return self._by_pool[pool]

    def reconfigure(self, share: tuple[float, float, float]) -> None:
        """Change all budgets; see `RetryBudget.reconfigure`."""
        self._share = share
        for budget in self._by_pool.values():
            budget.reconfigure(*share)

    def drop_tokens(self, now: float) -> None:
        """Drop all tokens, also those of pools that have not been used."""
        self._dropped_at = now
        for budget in self._by_pool.values():
            budget.drop_tokens(now)

    def describe(self) -> dict[ids.PoolName, dict[str, float]]:
        """Return the state of each pool's budget."""
        return {
            pool: budget.describe() for pool, budget in self._by_pool.items()
        }


class Sends:
    """The sends of one request to the endpoints of a pool.

    Each send after the first that reached an endpoint uses a token of the
    pool's retry budget, whatever the reason for it. The token is reserved
    when it is decided that another send follows, and used by that send.

    Parameters
    ----------
    budget : RetryPolicy
        The budget of the pool.

    Attributes
    ----------
    arrivals : int
        Sends that reached an endpoint, or may have done so.
    """

    def __init__(self, budget: retries.RetryPolicy) -> None:
        self._budget = budget
        self.arrivals = 0
        self._paid = 0
        self._is_reserved = False
        budget.record_request()

    def reserve(self, now: float) -> bool:
        """Return whether the request may be sent once more."""
        if self.arrivals > self._paid and not self._is_reserved:
            self._is_reserved = self._budget.reserve_retry(now)
            return self._is_reserved
        return True

    def begin(self, is_hedge: bool = False) -> bool:
        """Record that the request is sent now.

        Parameters
        ----------
        is_hedge : bool
            Whether it is a hedge, for which a token has been acquired.

        Returns
        -------
        bool
            Whether the reserved token was used.

        Raises
        ------
        ValueError
            The send needs a token, and none is reserved.
        """
        uses_token = not is_hedge and self.arrivals > self._paid
        if uses_token and not self._is_reserved:
            raise ValueError("no token is reserved for another send")
        if uses_token:
            self._budget.use_retry()
            self._is_reserved = False
        self.arrivals += 1
        self._paid += uses_token or is_hedge
        return uses_token

    def withdraw(self, is_paid: bool) -> None:
        """Record that a send reached no endpoint.

        Parameters
        ----------
        is_paid : bool
            What `begin` returned for this send.
        """
        self.arrivals -= 1
        if is_paid:
            self._paid -= 1
            self._budget.withdraw_retry()
            self._is_reserved = True

    def end(self) -> None:
        """Return a reserved token, as no send follows."""
        if self._is_reserved:
            self._budget.release_retry()
            self._is_reserved = False
