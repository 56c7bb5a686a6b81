"""How many requests one host may send to a version that is not proven."""

import random

from chervilshore.decisions import retryshares
from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore import ids

USED_FRACTION = 0.9
"""Fraction of the share that the canary may use. The rest is left for the
requests that go to a moved version before it turns out to be bad."""

MAX_RANDOM_STARTS = 400
"""Number of hosts up to which all start at random; of more, the requests
beyond the share could be more than the slack by chance."""

SLACK_FRACTION = 0.6
"""Fraction of the slack that the canary may use."""

MAX_DUE = 2.0
"""Requests that may be due at a time: more would go to the same endpoints at
once, and be slow for that."""

MIN_ANY_DUE = 1.5
"""Due requests from which the canary takes any pipeline, as one that is behind
may have no requests."""


class ExposureBudget:
    """Keeps this host's requests to the new version below its own share.

    Each host counts only its own requests. As each sends its share of these,
    all together send their share of all, however the traffic is divided and
    whichever hosts cannot reach each other. A process begins at a random
    fraction of a request, so that hosts with few requests, and such as start
    often, send their share too: on average the fraction makes up for what is
    lost by rounding down, and there is the slack for the deviation.

    Parameters
    ----------
    limits : ExposureLimits
        The bounds of all hosts together.
    hosts : int
        Number of known hosts.
    has_memory : bool
        Whether this process ran when the order was given.
    rng : random.Random
        Draws that fraction.

    Attributes
    ----------
    requests : int
        Requests to the pool; their further attempts do not count.
    used : int
        Attempts at the new version.
    fraction : float
        Fraction of the share that the canary uses now.
    """

    def __init__(
        self,
        limits: rollout_records.ExposureLimits,
        hosts: int,
        has_memory: bool,
        rng: random.Random,
    ) -> None:
        self.requests = 0
        self.used = 0
        self.fraction = 0.0
        self._share = limits.share
        self._start = 0.0
        if rng.random() * hosts < MAX_RANDOM_STARTS:
            self._start = rng.random()
        if has_memory:
            sharing = max(
                retryshares.MIN_SHARING_HOSTS,
                hosts * retryshares.HOST_COUNT_MARGIN,
            )
            self._start += SLACK_FRACTION * limits.slack / sharing
        self._due = self._start
        self._pipelines: set[ids.PipelineName] = set()
        self._used_of: dict[ids.PipelineName, int] = {}

    def record_sent(
        self, pipeline: ids.PipelineName, is_new: bool, is_first: bool
    ) -> None:
        """Count an attempt.

        Parameters
        ----------
        pipeline : PipelineName
            The route of the request.
        is_new : bool
            Whether it goes to the new version.
        is_first : bool
            Whether it is the first of its request at the pool.
        """
        if is_first:
            self.requests += 1
            self._pipelines.add(pipeline)
            if self._due < MAX_DUE:
                self._due += self._share * self.fraction
        if is_new:
            self.used += 1
            self._due -= 1.0
            self._used_of[pipeline] = self._used_of.get(pipeline, 0) + 1

    def allows(self) -> bool:
        """Return whether one more attempt may go to the new version."""
        earned = self._share * USED_FRACTION * self.requests
        return self.used + 1 <= earned + self._start

    def is_due(self, pipeline: ids.PipelineName) -> bool:
        """Return whether a request should be one of the canary's.

        The requests of the canary are divided evenly by pipelines, as far as
        these have requests, so that a rare one is tried too.

        Parameters
        ----------
        pipeline : PipelineName
            The route of the request.
        """
        if self._due < 1.0 or not self.allows():
            return False
        if self._due >= MIN_ANY_DUE:
            return True
        even = self.used / max(1, len(self._pipelines))
        return self._used_of.get(pipeline, 0) <= even + 1.0
