"""Classifies how calls to endpoints failed."""

from chervilshore import exceptions
from chervilshore import records

_OUTCOMES = (
    (exceptions.EndpointUnreached, records.Outcome.UNREACHED),
    (exceptions.InputsGone, records.Outcome.STALE),
    (exceptions.EndpointBusy, records.Outcome.BUSY),
    (exceptions.EndpointRejected, records.Outcome.REJECTED),
    (exceptions.EndpointBroken, records.Outcome.BROKEN),
)


def classify(error: exceptions.EndpointError) -> records.Outcome:
    """Return the outcome of an attempt that failed with an error."""
    for kind, outcome in _OUTCOMES:
        if isinstance(error, kind):
            return outcome
    return records.Outcome.BROKEN
