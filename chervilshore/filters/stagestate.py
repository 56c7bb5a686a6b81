"""What is known of one stage of a request over all its attempts."""

from chervilshore.decisions import retries
from chervilshore.decisions import retrybudgets
from chervilshore.filters import base
from chervilshore.filters import pools
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model


class StageState:
    """State of one stage of a request over all its attempts.

    Parameters
    ----------
    exchange : Exchange
        The request.
    index : int
        The position of the stage in the pipeline.
    value : dict
        The body of the request and the outputs of the earlier stages.
    find_budget : callable
        Returns the retry budget of a pool.

    Attributes
    ----------
    sends : Sends
        The sends to endpoints, which use the retry budget.
    outcome : Outcome or None
        How the last attempt that has ended failed.
    remaining_pools : tuple of PoolName
        The pools of this stage and of the later ones.
    attempts : int
        Number of attempts started.
    possible_runs : int
        Number of failed attempts that may have run at their endpoint.
    tried_endpoints : frozenset of EndpointId
        Endpoints at which an attempt was started.
    excluded : frozenset of EndpointId
        Endpoints whose attempt at this stage failed.
    text_chunks : list of str
        Generated text that is kept from broken attempts.
    domains : tuple of DomainId
        The only failure domains to use; empty allows all.
    """

    def __init__(
        self,
        exchange: base.Exchange,
        index: int,
        value: dict,
        find_budget: retries.FindBudget,
    ) -> None:
        names = pools.list_pools(exchange)[index:]
        self.exchange = exchange
        self.stage = exchange.pipeline.stages[index]
        self.pool: model.Pool = exchange.rules.pools[names[0]]
        self.remaining_pools = names
        self.value = value
        self.sends = retrybudgets.Sends(find_budget(self.pool.name))
        self.outcome: records.Outcome | None = None
        self.attempts = 0
        self.possible_runs = 0
        self.tried_endpoints: frozenset[ids.EndpointId] = frozenset()
        self.excluded: frozenset[ids.EndpointId] = frozenset()
        self.text_chunks: list[str] = []
        route = exchange.rules.route_for(
            exchange.pipeline, exchange.team, self.stage.name
        )
        self.domains = route.domains if route else ()

    @property
    def is_streamed(self) -> bool:
        """Whether text is sent to the caller while it is generated."""
        engine = self.pool.kind is records.EndpointKind.ENGINE
        return engine and self.exchange.sink is not None
