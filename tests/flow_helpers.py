"""Helpers for the tests of routing, queues, deadlines and limits."""

from chervilshore.decisions import queues
from chervilshore.decisions import routing
from chervilshore.filters import base
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

POOL = ids.PoolName("engines")


def make_exchange(now=0.0, headers=None, pools=(POOL,), **rule):
    """Return a request to a pipeline with one stage for each pool."""
    stages = tuple(model.Stage(ids.StageName(pool), pool) for pool in pools)
    exchange = base.Exchange("r", "assist", headers or {}, b"{}", now)
    exchange.pipeline = model.Pipeline("assist", stages, **rule)
    exchange.team = ids.TeamId("vans")
    return exchange


def make_endpoint(name, domain="north", pool=POOL):
    """Return the record of an endpoint."""
    return records.EndpointRecord(name, pool, domain, f"127.0.0.1:{name}")


async def answer(exchange):
    """Answer a request successfully at the end of the chain."""
    return base.Answer(base.results.Code.OK)


def make_ticket(number, team="vans", priority=0, **fields):
    """Return a ticket that has waited since the time ``since``."""
    since = fields.pop("since", 0.0)
    fields.setdefault("deadline", since + 10_000.0)
    requirements = routing.StageRequirements(
        f"r{number}", team, priority, POOL, **fields
    )
    return queues.Ticket(number, requirements, since)
