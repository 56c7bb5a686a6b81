"""Deployments that the demo and the benchmarks run."""

import msgspec

from standins import base


class PoolPlan(msgspec.Struct, frozen=True):
    """The workers of one pool.

    Parameters
    ----------
    name : str
        The pool.
    kind : str
        The kind of stand-in; see `standins.fleet.KINDS`.
    workers : int
        Number of workers; they are assigned to the domains in turn.
    shape : Shape
        Capacity and service times of each worker.
    """

    name: str
    kind: str
    workers: int
    shape: base.Shape


class Plan(msgspec.Struct, frozen=True):
    """A deployment at its present size.

    Parameters
    ----------
    name : str
        Its name; its rules are in examples/NAME.rules.
    domains : tuple of str
        The failure domains.
    hosts : int
        Number of entry hosts; they are assigned to the domains in turn.
    pools : tuple of PoolPlan
        The pools with their workers.
    report : str
        The pipeline of four stages.
    instruction : str
        A service that is not repeatable.
    instruction_pool : str
        The pool of `instruction`.
    lookup : str
        A repeatable service.
    teams : tuple of str
        The teams, the largest first.
    """

    name: str
    domains: tuple[str, ...]
    hosts: int
    pools: tuple[PoolPlan, ...]
    report: str
    instruction: str
    instruction_pool: str
    lookup: str
    teams: tuple[str, ...]


ENGINE_SHAPE = base.Shape(slots=16, service_ms=20.0, token_ms=2.0, cold=1)
SMALL_MODEL_SHAPE = base.Shape(slots=8, service_ms=5.0, cold=2)
PLAIN_SHAPE = base.Shape(slots=8, service_ms=5.0, cold=2)


def _make_pools(
    engine: tuple[str, int], plain: tuple[str, ...], workers: int
) -> tuple[PoolPlan, ...]:
    """Return the pools of a deployment.

    Parameters
    ----------
    engine : tuple of (str, int)
        Name and workers of the pool of engines.
    plain : tuple of str
        Names of the pools of plain services.
    workers : int
        Workers of each of these.
    """
    pools = [
        PoolPlan(engine[0], "engine", engine[1], ENGINE_SHAPE),
        PoolPlan("encoders", "encoder", 3, SMALL_MODEL_SHAPE),
        PoolPlan("retrievers", "retriever", 3, SMALL_MODEL_SHAPE),
        PoolPlan("rerankers", "reranker", 3, SMALL_MODEL_SHAPE),
    ]
    pools.extend(
        PoolPlan(name, "plain", workers, PLAIN_SHAPE) for name in plain
    )
    return tuple(pools)


KELVINSIDE = Plan(
    name="kelvinside",
    domains=("scot-a", "scot-b", "scot-c"),
    hosts=9,
    pools=_make_pools(
        ("assistant", 5), ("ledger", "stock", "rota", "venues"), 3
    ),
    report="service-report",
    instruction="bill-visit",
    instruction_pool="ledger",
    lookup="visit-status",
    teams=("glasgow", "edinburgh", "islands", "highlands", "borders"),
)

TAAWUNIYAT = Plan(
    name="taawuniyat",
    domains=("casa-a", "casa-b", "casa-c", "casa-d"),
    hosts=8,
    pools=_make_pools(
        ("language-model", 9),
        ("loan-ledger", "member-portal", "dealer-gateway", "savings-book"),
        4,
    ),
    report="dossier-review",
    instruction="disburse-loan",
    instruction_pool="loan-ledger",
    lookup="loan-status",
    teams=("members", "dealers", "reviewers", "branches", "auditors"),
)

PLANS = {plan.name: plan for plan in (KELVINSIDE, TAAWUNIYAT)}
"""All deployments, by name."""
