"""The pools that serve the stages of a request."""

from chervilshore.filters import base
from chervilshore import ids


def list_pools(exchange: base.Exchange) -> tuple[ids.PoolName, ...]:
    """List the pools of a request's stages, with routing rules applied.

    Parameters
    ----------
    exchange : Exchange
        The request, with its rules, pipeline and team.
    """
    pools = []
    for stage in exchange.pipeline.stages:
        route = exchange.rules.route_for(
            exchange.pipeline, exchange.team, stage.name
        )
        pools.append(route.pool if route and route.pool else stage.pool)
    return tuple(pools)
