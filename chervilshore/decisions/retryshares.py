"""How the retry budget of all hosts is divided among them."""

from chervilshore import clock as clocks
from chervilshore import settings

MIN_SHARING_HOSTS = 10
"""Minimum number of hosts among which the retry slack is divided."""

HOST_COUNT_MARGIN = 1.3
"""Factor on the number of known hosts, as new hosts may not be known yet."""

RETRY_RATIO_FRACTION = 0.7
"""Fraction of the retry ratio that a host uses, as a retry may fall into a
later window than its request."""


def split_retry_budget(
    options: settings.Settings, hosts: int
) -> tuple[float, float, float]:
    """Return this host's share of the retry budget, without coordination.

    Parameters
    ----------
    options : Settings
        Contains the budget of all hosts together.
    hosts : int
        Number of known hosts.

    Returns
    -------
    tuple of float
        Retries per request, retries per second and maximum burst.
    """
    sharing_hosts = max(MIN_SHARING_HOSTS, hosts * HOST_COUNT_MARGIN)
    retries_per_window = options.retry_slack / sharing_hosts
    window_seconds = options.retry_window_ms / clocks.MILLIS_PER_SECOND
    ratio = options.retry_ratio * RETRY_RATIO_FRACTION
    # A token bucket allows its burst plus its refill within one window, so
    # each of them gets half of the retries per window, but a bucket that
    # cannot hold one token allows none at all.
    burst = max(1.0, retries_per_window / 2.0)
    refill = max(0.0, retries_per_window - burst)
    return ratio, refill / window_seconds, burst
