"""A deployment under load, and the statistics of its requests."""

import asyncio
import collections
import pathlib
import re

import msgspec

from measure import deployment as deployments
from measure import load as loads
from measure import plans
from measure import rows
from standins import base

LOOKUP_SHAPE = base.Shape(slots=4, service_ms=60.0, cold=2, cold_ms=2000.0)
"""Worker of a plain service: 67 calls per second when warm."""

STAGE_SHAPE = base.Shape(slots=8, service_ms=10.0, cold=2, cold_ms=2000.0)
"""Worker of encoders, retrievers or rerankers."""

ENGINE_SHAPE = base.Shape(
    slots=4, service_ms=40.0, token_ms=10.0, cold=1, cold_ms=2000.0
)
"""Worker of the model pool: 17 answers of 20 tokens per second."""

ANSWER_TOKENS = 20
"""Tokens of each answer of the model pool."""

LOOKUP_SERVICE = "stock-lookup"
LOOKUP_POOL = "stock"

TEAM_LIMITS = "rate=5000 burst=5000 concurrency=5000"
"""Limits of the teams in cases that do not test limits."""


def make_plan() -> plans.Plan:
    """Return the plan of Kelvinside with workers that can be saturated."""
    shapes = {"engine": ENGINE_SHAPE, "plain": LOOKUP_SHAPE}
    pools = tuple(
        msgspec.structs.replace(pool, shape=shapes.get(pool.kind, STAGE_SHAPE))
        for pool in plans.KELVINSIDE.pools
    )
    return msgspec.structs.replace(plans.KELVINSIDE, pools=pools)


def capacity_per_s(pool: str) -> float:
    """Return the calls per second that a pool's warm workers can serve."""
    plan = next(one for one in make_plan().pools if one.name == pool)
    shape = plan.shape
    millis = shape.service_ms
    if plan.kind == "engine":
        millis += ANSWER_TOKENS * shape.token_ms
    return plan.workers * shape.slots / millis * 1000.0


LOOKUP_KIND = loads.RequestKind(
    LOOKUP_SERVICE, team="glasgow", deadline_ms=2000.0
)

REPORT_KIND = loads.RequestKind(
    "service-report",
    team="edinburgh",
    deadline_ms=5000.0,
    tokens=ANSWER_TOKENS,
    is_streamed=True,
    finds_documents=True,
)

BILL_KIND = loads.RequestKind(
    "bill-visit", team="islands", deadline_ms=5000.0, has_key=True
)


class Bench(deployments.Deployment):
    """A deployment with team limits, load generators and call counters.

    Parameters
    ----------
    policies : str
        The policies that the daemons use: ``full`` or ``baseline``.
    limits : str
        The limits of every team, in the syntax of the rules file.
    settings : dict of str to str
        Additional flags of every daemon.
    """

    def __init__(
        self,
        policies: str = "full",
        limits: str = TEAM_LIMITS,
        settings: dict[str, str] | None = None,
    ) -> None:
        flags = {"--policies": policies, "--log-level": "warning"}
        super().__init__(make_plan(), flags | (settings or {}))
        self.policies = policies
        self._limits = limits
        self._removed_hosts: set[str] = set()

    async def apply(self, path: pathlib.Path) -> None:
        """Apply the rules of a file with the limits of this benchmark."""
        text = re.sub(
            r"^(team \S+) rate=\S+ burst=\S+ concurrency=\S+",
            rf"\1 {self._limits}",
            path.read_text(),
            flags=re.MULTILINE,
        )
        changed = self.directory / "measured.rules"
        changed.write_text(text)
        await super().apply(changed)

    def list_addresses(self) -> list[str]:
        """List the HTTP addresses that the load balancer sends to."""
        return [
            host.http_address
            for host in self.hosts
            if host.name not in self._removed_hosts
        ]

    def remove_from_balancer(self, name: str) -> None:
        """Stop sending requests to a host."""
        self._removed_hosts.add(name)

    def return_to_balancer(self, name: str) -> None:
        """Send requests to a host again."""
        self._removed_hosts.discard(name)

    def make_load(
        self, kinds: dict[loads.RequestKind, float], seed: int = 1, resend=True
    ) -> loads.Load:
        """Return a load with a rate per second for each kind of request."""
        mix = [
            msgspec.structs.replace(kind, weight=rate)
            for kind, rate in kinds.items()
        ]
        return loads.Load(
            self.list_addresses, mix, sum(kinds.values()), seed, resend
        )

    async def warm_up(
        self, seconds: float = 5.0, fraction: float = 0.4
    ) -> None:
        """Send a moderate load so that the concurrency limits grow."""
        load = self.make_load(make_mix(fraction), seed=99)
        await load.run(seconds)
        await load.close()

    async def read_counts(self) -> dict[str, dict]:
        """Read the call counters of all endpoints, by name."""
        names = list(self.endpoints)
        counts = await asyncio.gather(*(self.count(name) for name in names))
        return dict(zip(names, counts, strict=True))

    def sum_calls_by_pool(
        self, counts: dict[str, dict]
    ) -> collections.Counter:
        """Return the number of calls of each pool."""
        calls: collections.Counter = collections.Counter()
        for name, count in counts.items():
            calls[self.endpoints[name].pool] += count["calls"]
        return calls


def make_mix(fraction: float) -> dict[loads.RequestKind, float]:
    """Return rates that load lookups and models to a fraction of capacity."""
    return {
        LOOKUP_KIND: fraction * capacity_per_s(LOOKUP_POOL),
        REPORT_KIND: fraction * capacity_per_s("assistant"),
        BILL_KIND: 0.1 * fraction * capacity_per_s("ledger"),
    }


def attained_fraction(outcomes: list[loads.RequestOutcome]) -> float:
    """Return the fraction of requests that were answered in time."""
    return sum(outcome.meets_deadline for outcome in outcomes) / max(
        1, len(outcomes)
    )


def find_quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of some values; 0 when there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def list_wrong_answers(
    outcomes: list[loads.RequestOutcome],
) -> list[loads.RequestOutcome]:
    """List answers that belong to another request or are incomplete."""
    return [outcome for outcome in outcomes if not outcome.matches_request]


def max_calls_per_request(
    before: collections.Counter,
    after: collections.Counter,
    outcomes: list[loads.RequestOutcome],
) -> float:
    """Return the highest ratio of calls to completed requests of any pool."""
    completed: collections.Counter = collections.Counter()
    for outcome in outcomes:
        if not outcome.is_done:
            continue
        for pool in POOLS_BY_PIPELINE[outcome.kind.pipeline]:
            completed[pool] += 1
    ratios = [
        (after[pool] - before[pool]) / count
        for pool, count in completed.items()
    ]
    return max(ratios, default=0.0)


POOLS_BY_PIPELINE = {
    LOOKUP_SERVICE: (LOOKUP_POOL,),
    "bill-visit": ("ledger",),
    "service-report": ("encoders", "retrievers", "rerankers", "assistant"),
}
"""The pools that a request of each pipeline calls."""


def print_rows(results: list[rows.Row]) -> None:
    """Print each row on a line."""
    for cells in rows.list_cells(results):
        print("  ".join(cells), flush=True)
