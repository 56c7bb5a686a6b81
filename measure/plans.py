"""The deployments that the demo and the measured cases run."""

import msgspec

from standins import base


class PoolPlan(msgspec.Struct, frozen=True):
    """The workers of one pool.

    Parameters
    ----------
    name : str
        The pool.
    kind : str
        The kind of stand-in.
    workers : int
        How many there are, spread over the domains in turn.
    shape : Shape
        How much each bears.
    """

    name: str
    kind: str
    workers: int
    shape: base.Shape


class Plan(msgspec.Struct, frozen=True):
    """One deployment at its size of today.

    Parameters
    ----------
    name : str
        Its name; its rules are in examples/NAME.rules.
    domains : tuple of str
        Its failure domains.
    hosts : int
        Its entry hosts, spread over the domains in turn.
    pools : tuple of PoolPlan
        Its workers.
    report : str
        The pipeline of four stages.
    instruction : str
        The service that may not be repeated, in `instruction_pool`.
    lookup : str
        A service that may be repeated.
    teams : tuple of str
        Its teams, the largest first.
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


ENGINE = base.Shape(slots=16, service_ms=20.0, token_ms=2.0, cold=1)
SMALL = base.Shape(slots=8, service_ms=5.0, cold=2)
PLAIN = base.Shape(slots=8, service_ms=5.0, cold=2)


def _make_pools(
    engine: tuple[str, int], plain: tuple[str, ...], workers: int
) -> tuple[PoolPlan, ...]:
    pools = [
        PoolPlan(engine[0], "engine", engine[1], ENGINE),
        PoolPlan("encoders", "encoder", 3, SMALL),
        PoolPlan("retrievers", "retriever", 3, SMALL),
        PoolPlan("rerankers", "reranker", 3, SMALL),
    ]
    pools.extend(PoolPlan(name, "plain", workers, PLAIN) for name in plain)
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
"""Deployments by name."""
