"""What the tests of routing, queues, deadlines and limits share."""

from chervilshore.decisions import queues
from chervilshore.decisions import routing
from chervilshore.filters import base
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

POOL = ids.PoolName("engines")


def make_exchange(now=0.0, headers=None, pools=(POOL,), **rule):
    """Make a request to a pipeline with one stage for each pool."""
    stages = tuple(model.Stage(ids.StageName(pool), pool) for pool in pools)
    exchange = base.Exchange("r", "assist", headers or {}, b"{}", now)
    exchange.pipeline = model.Pipeline("assist", stages, **rule)
    exchange.team = ids.TeamId("vans")
    return exchange


def make_endpoint(name, domain="north", pool=POOL):
    """Make the record of an endpoint."""
    return records.EndpointRecord(name, pool, domain, f"127.0.0.1:{name}")


async def answer(exchange):
    """End the chain with a whole answer."""
    return base.Answer(base.results.Code.OK)


def make_ticket(number, team="vans", priority=0, **fields):
    """Make a ticket that waits since the moment ``since``."""
    since = fields.pop("since", 0.0)
    fields.setdefault("deadline", since + 10_000.0)
    requirements = routing.StageRequirements(
        f"r{number}", team, priority, POOL, **fields
    )
    return queues.Ticket(number, requirements, since)
