"""The decisions that an entry host goes by, chosen together."""

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


class Choice(enum.Enum):
    """Which set of decisions is used."""

    FULL = "full"
    BASELINE = "baseline"


class Policies(msgspec.Struct):
    """One set of decisions.

    Parameters
    ----------
    times : DeadlinePolicy
        Judges deadlines.
    budget : RetryPolicy
        Bounds retries.
    hedging : Hedging or None
        Starts second attempts.
    shed : Shedding
        Bounds what a host takes on.
    team_limits : TeamLimits
        Bounds what each team sends.
    make_router, make_queue : callable
        Make the router and the wait queue of one pool.
    routers : list of CompletionRouter
        The routers made so far that leave endpoints out.
    """

    times: deadlines.DeadlinePolicy
    budget: retries.RetryPolicy
    hedging: retries.Hedging | None
    shed: shedding.Shedding
    team_limits: limits.TeamLimits
    make_router: collections_abc.Callable[[], routing.Router]
    make_queue: collections_abc.Callable[[], queues.WaitQueue]
    routers: list[completion.CompletionRouter] = []


def make(
    choice: Choice,
    domain: ids.DomainId,
    is_out: collections_abc.Callable[[ids.DomainId], bool],
    generator: random.Random,
) -> Policies:
    """Make a set of decisions.

    Parameters
    ----------
    choice : Choice
        Which set.
    domain : DomainId
        The failure domain of this host.
    is_out : callable
        Tells whether operators have taken a failure domain out.
    generator : random.Random
        Breaks ties and chooses what is probed.
    """
    if choice is Choice.BASELINE:
        return _make_baseline(domain)
    return _make_full(domain, is_out, generator)


def _make_full(
    domain: ids.DomainId,
    is_out: collections_abc.Callable[[ids.DomainId], bool],
    generator: random.Random,
) -> Policies:
    times = deadlines.StageTimes()
    budget = retries.RetryBudget()

    routers = []

    def make_router() -> routing.Router:
        router = completion.CompletionRouter(
            domain, generator, ejection.OutlierEjection(), is_out
        )
        routers.append(router)
        return router

    return Policies(
        times=times,
        budget=budget,
        hedging=retries.Hedging(times, budget),
        shed=adaptiveconcurrency.AdaptiveConcurrency(),
        team_limits=shared_limits.SharedLimits(),
        make_router=make_router,
        make_queue=fairness.FairQueue,
        routers=routers,
    )


def _make_baseline(domain: ids.DomainId) -> Policies:
    return Policies(
        times=deadlines.WholeDeadline(),
        budget=retries.AlwaysRetry(),
        hedging=None,
        shed=shedding.NoShedding(),
        team_limits=limits.EqualSplitLimits(),
        make_router=lambda: routing.LeastInFlightRouter(domain),
        make_queue=queues.FifoQueue,
    )
