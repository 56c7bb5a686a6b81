"""Fake slots and endpoints for tests of the request chain."""

import asyncio

from chervilshore.clients import endpoints
from chervilshore.controllers import slots
from chervilshore.decisions import deadlines
from chervilshore.decisions import retries
from chervilshore.decisions import shedding
from chervilshore import exceptions
from chervilshore.filters import attempt
from chervilshore.filters import base
from chervilshore.filters import stage
from chervilshore import ids
from chervilshore import metrics
from chervilshore import records
from chervilshore import results
from chervilshore.rules import model

DOMAIN = ids.DomainId("a")


def make_record(name, pool="pool", address="127.0.0.1:1"):
    return records.EndpointRecord(
        ids.EndpointId(name), ids.PoolName(pool), DOMAIN, address
    )


def make_rules(kind=records.EndpointKind.PLAIN, repeatable=True, resume=False):
    pool = model.Pool(ids.PoolName("pool"), kind, resume=resume)
    stages = (model.Stage(ids.StageName("do"), pool.name),)
    path = "/do" if kind is records.EndpointKind.PLAIN else ""
    pipeline = model.Pipeline(
        ids.PipelineName("work"), stages, repeatable=repeatable, path=path
    )
    team = model.Team(ids.TeamId("team"))
    return model.Rules(
        generation=ids.Generation(1),
        pools={pool.name: pool},
        pipelines={pipeline.name: pipeline},
        teams={team.name: team},
    )


def make_exchange(rules, deadline=1000.0, sink=None):
    exchange = base.Exchange(
        ids.RequestId("r1"), ids.PipelineName("work"), {}, b"{}", 0.0, sink
    )
    exchange.rules = rules
    exchange.pipeline = rules.pipelines[exchange.pipeline_name]
    exchange.team = ids.TeamId("team")
    exchange.body = {"input": "hello"}
    exchange.deadline = deadline
    return exchange


class FakeSlots(slots.Slots):
    """Assigns the first allowed endpoint, without a concurrency limit."""

    def __init__(self, names):
        self.records = [make_record(name) for name in names]
        self.released = []
        self.confirms = []

    async def acquire(self, requirements):
        for record in self.records:
            if requirements.allows(record):
                return slots.Slot(record)
        raise exceptions.RefusalError(results.Code.NO_ENDPOINT)

    def confirm(self, slot):
        return self.confirms.pop(0) if self.confirms else True

    def release(self, slot, attempt):
        self.released.append((slot.record.endpoint, attempt.outcome))


class FakeClient(endpoints.EndpointClient):
    """Answers calls by the plan of each endpoint.

    A plan is an exception to raise, an async function that handles the call,
    or None for an answer with the name of the endpoint.
    """

    def __init__(self, plans):
        super().__init__(endpoints.Sessions())
        self.plans = plans
        self.calls = []

    async def call(self, record, call):
        self.calls.append((record.endpoint, call.skip_tokens))
        plan = self.plans[record.endpoint]
        if callable(plan):
            return await plan(call)
        if isinstance(plan, Exception):
            raise plan
        return endpoints.Reply({"answer": record.endpoint})


def stream(first, last, error=None):
    """Return a plan that streams tokens, then raises the error or ends."""

    async def plan(call):
        for index in range(max(first, call.skip_tokens), last):
            await call.text_sink(f"t{index} ")
            await asyncio.sleep(0)
        if error is not None:
            raise error
        return endpoints.Reply({"text": "", "tokens": last})

    return plan


def make_runner(clock, source, client, hedging=None, budget=None):
    clients = {kind: client for kind in records.EndpointKind}
    runner = attempt.AttemptRunner(
        clock,
        source,
        clients,
        deadlines.WholeDeadline(),
        shedding.NoShedding(),
        metrics.Metrics(),
    )
    budget = budget or retries.AlwaysRetry()
    return stage.StageRunner(clock, runner, lambda pool: budget, hedging)
