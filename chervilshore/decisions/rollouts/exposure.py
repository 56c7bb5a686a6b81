"""How many requests one host may send to a version that is not proven."""

import random

from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore import ids

USED_FRACTION = 0.8
"""Fraction of the share that the canary may use. The rest is left for the
requests that go to a moved version before it turns out to be bad."""

MAX_RANDOM_STARTS = 400
"""Number of hosts up to which all start at random; of more, the requests
beyond the share could be more than the slack by chance."""

RESTART_CREDIT = -0.5
"""Requests that a process is given which does not know what it sent before,
so that hosts that start often stay below their share."""

SLACK_FRACTION = 0.5
"""Fraction of the slack that the canary may use."""

HOST_COUNT_MARGIN = 1.3
"""Factor on the number of known hosts, as new hosts may not be known yet."""

MIN_SHARING_HOSTS = 10
"""Minimum number of hosts among which the slack is divided."""

MAX_BACKLOG = 2.0
"""Unused requests from which the canary takes any pipeline, as one that is
behind may have no requests."""


class ExposureBudget:
    """Keeps this host's requests to the new version below its own share.

    Each host counts only its own requests. As each sends its share of these,
    all together send their share of all, however the traffic is divided and
    whichever hosts cannot reach each other. A host begins at a random
    fraction of a request, so that hosts with few requests send their share
    too: over all hosts the fractions cancel out, up to a few requests for
    which there is the slack.

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
        self._share = limits.share
        self._start = 0.0
        if rng.random() * hosts < MAX_RANDOM_STARTS:
            self._start = rng.random()
        if has_memory:
            sharing = max(MIN_SHARING_HOSTS, hosts * HOST_COUNT_MARGIN)
            self._start += SLACK_FRACTION * limits.slack / sharing
        else:
            self._start += RESTART_CREDIT
        self._requests_of: dict[ids.PipelineName, int] = {}
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
            known = self._requests_of.get(pipeline, 0)
            self._requests_of[pipeline] = known + 1
        if is_new:
            self.used += 1
            self._used_of[pipeline] = self._used_of.get(pipeline, 0) + 1

    def allows(self) -> bool:
        """Return whether one more attempt may go to the new version."""
        return self._find_unused(USED_FRACTION) >= 1.0

    def is_due(self, pipeline: ids.PipelineName, fraction: float) -> bool:
        """Return whether a request should be one of the canary's.

        The requests of the canary are divided by pipelines half by their
        traffic and half evenly, so that a rare one is tried too.

        Parameters
        ----------
        pipeline : PipelineName
            The route of the request.
        fraction : float
            The fraction of the share to use.
        """
        unused = self._find_unused(min(fraction, USED_FRACTION))
        if unused < 1.0:
            return False
        if unused >= MAX_BACKLOG:
            return True
        requests = self._requests_of.get(pipeline, 0) + 1
        pipelines = len(self._requests_of.keys() | {pipeline})
        weight = 0.5 * requests / (self.requests + 1) + 0.5 / pipelines
        return self._used_of.get(pipeline, 0) <= weight * self.used + 1.0

    def _find_unused(self, fraction: float) -> float:
        earned = self._share * fraction * (self.requests + 1)
        return earned + self._start - self.used
