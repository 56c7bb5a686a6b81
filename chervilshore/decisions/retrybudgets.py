"""The retry budgets of a host."""

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
