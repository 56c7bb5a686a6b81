"""For how long requests are held back, and which host tries one again."""

from collections import abc

from chervilshore.decisions import crashverdicts
from chervilshore.decisions import rendezvous
from chervilshore import ids

FIRST_HOLD_MS = 3000.0
"""Milliseconds until the first trial after endpoints ended at one moment,
which may have another cause; about the time in which they start again."""

HOLD_FACTOR = 10.0
"""Factor on this time for each further moment at which endpoints ended: a
trial costs an endpoint unless what it runs has been mended."""

MAX_HOLD_MS = 3_000_000.0
"""Longest time until a trial in milliseconds."""


def choose_hold_ms(verdict: crashverdicts.Verdict) -> float:
    """Return the milliseconds from the last end until a request is tried."""
    hold_ms = FIRST_HOLD_MS
    for _ in range(verdict.moments - 1):
        hold_ms = min(MAX_HOLD_MS, hold_ms * HOLD_FACTOR)
    return hold_ms


def trial_at(verdict: crashverdicts.Verdict) -> float:
    """Return the time in milliseconds from which a request may be tried."""
    return verdict.last_crash + choose_hold_ms(verdict)


def choose_retry_ms(verdict: crashverdicts.Verdict, now: float) -> float:
    """Return after how many milliseconds a refused caller may return."""
    # While a trial is due, its outcome takes about as long as the first hold.
    return max(FIRST_HOLD_MS, trial_at(verdict) - now)


def choose_trial_host(
    hosts: abc.Iterable[ids.HostId], fingerprint: ids.Fingerprint
) -> ids.HostId | None:
    """Return the only host that makes trials, the same on all hosts."""
    return rendezvous.choose(hosts, fingerprint)
