"""The sets of policies that an entry host can use."""

from collections import abc as collections_abc
import enum
import random

import msgspec

from chervilshore.decisions import adaptiveconcurrency
from chervilshore.decisions import completion
from chervilshore.decisions import deadlines
from chervilshore.decisions import ejection
from chervilshore.decisions import fairness
from chervilshore.decisions import limits
from chervilshore.decisions import queues
from chervilshore.decisions import retries
from chervilshore.decisions import routing
from chervilshore.decisions import shared_limits
from chervilshore.decisions import shedding
from chervilshore import ids


class PolicySet(enum.Enum):
    """The sets of policies that the settings can select."""

    FULL = "full"
    BASELINE = "baseline"


class Policies(msgspec.Struct):
    """One set of policies.

    Parameters
    ----------
    deadline_policy : DeadlinePolicy
        Decides whether a request can meet its deadline.
    retry_policy : RetryPolicy
        Limits retries.
    hedging : Hedging or None
        Starts hedged requests; None turns them off.
    load_shedding : Shedding
        Limits the requests that a host admits.
    team_limits : TeamLimits
        Limits the requests of each team.
    make_router, make_queue : callable
        Create the router and the wait queue of a pool.
    routers : list of CompletionRouter
        The routers created so far, if they eject endpoints.
    """

    deadline_policy: deadlines.DeadlinePolicy
    retry_policy: retries.RetryPolicy
    hedging: retries.Hedging | None
    load_shedding: shedding.Shedding
    team_limits: limits.TeamLimits
    make_router: collections_abc.Callable[[], routing.Router]
    make_queue: collections_abc.Callable[[], queues.WaitQueue]
    routers: list[completion.CompletionRouter] = []


def make_policies(
    policy_set: PolicySet,
    domain: ids.DomainId,
    is_out: collections_abc.Callable[[ids.DomainId], bool],
    rng: random.Random,
) -> Policies:
    """Create a set of policies.

    Parameters
    ----------
    policy_set : PolicySet
        The set to create.
    domain : DomainId
        The failure domain of this host.
    is_out : callable
        Returns whether operators have taken a failure domain out of service.
    rng : random.Random
        Breaks ties and chooses the endpoints that are probed.
    """
    if policy_set is PolicySet.BASELINE:
        return _make_baseline(domain)
    return _make_full(domain, is_out, rng)


def _make_full(
    domain: ids.DomainId,
    is_out: collections_abc.Callable[[ids.DomainId], bool],
    rng: random.Random,
) -> Policies:
    stage_times = deadlines.StageTimes()
    retry_budget = retries.RetryBudget()

    routers = []

    def make_router() -> routing.Router:
        router = completion.CompletionRouter(
            domain, rng, ejection.OutlierEjection(), is_out
        )
        routers.append(router)
        return router

    return Policies(
        deadline_policy=stage_times,
        retry_policy=retry_budget,
        hedging=retries.Hedging(stage_times, retry_budget),
        load_shedding=adaptiveconcurrency.AdaptiveConcurrency(),
        team_limits=shared_limits.SharedLimits(),
        make_router=make_router,
        make_queue=fairness.FairQueue,
        routers=routers,
    )


def _make_baseline(domain: ids.DomainId) -> Policies:
    return Policies(
        deadline_policy=deadlines.WholeDeadline(),
        retry_policy=retries.AlwaysRetry(),
        hedging=None,
        load_shedding=shedding.NoShedding(),
        team_limits=limits.EqualSplitLimits(),
        make_router=lambda: routing.LeastInFlightRouter(domain),
        make_queue=queues.FifoQueue,
    )
