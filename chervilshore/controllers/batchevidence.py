"""Counts the items of batch calls for the versions of their endpoints."""

from chervilshore.clients import batches
from chervilshore.controllers import versions
from chervilshore.decisions import batchjobs
from chervilshore import exceptions
from chervilshore import records
from chervilshore.rules import model


class CallEvidence:
    """What one call of a batch endpoint shows of its version.

    Its items are counted as sent at once, each as a request.

    Parameters
    ----------
    version_choice : Versions
        Where the items are counted.
    call : BatchCall
        The call.
    now : float
        The time in milliseconds.
    """

    def __init__(
        self,
        version_choice: versions.Versions,
        call: batchjobs.BatchCall,
        now: float,
    ) -> None:
        self._versions = version_choice
        self._call = call
        items = sum(len(part.item_indexes) for part in call.parts)
        # Calls of about as many items take about as long.
        self._sent = versions.Sent(level=items.bit_length())
        self._outcomes = [records.Outcome.CANCELLED] * items
        self._handles: list[str] = []
        for _ in self._outcomes:
            self._versions.record_sent(call.record, self._sent, now)

    def record_error(self, error: exceptions.EndpointError) -> None:
        """Record that the call failed."""
        outcome = records.Outcome.BROKEN
        if isinstance(error, exceptions.EndpointBusy):
            outcome = records.Outcome.BUSY
        elif isinstance(error, exceptions.EndpointUnreached):
            outcome = records.Outcome.UNREACHED
        self._outcomes = [outcome] * len(self._outcomes)

    def record_results(self, results: list[batches.ItemResult]) -> None:
        """Record what became of each item."""
        self._handles = [one.handle for one in results if one.handle]
        self._outcomes = [_find_outcome(result) for result in results]

    def end(self, now: float, batching: model.Batching) -> None:
        """Count the items as ended; their results may still be needed."""
        for outcome in self._outcomes:
            self._versions.record_end(
                self._call.record,
                self._sent,
                outcome,
                now - self._call.started_at,
                now,
            )
        until = now + batching.result_ttl_ms
        self._versions.hold(self._call.record, self._handles, now, until)


def _find_outcome(result: batches.ItemResult) -> records.Outcome:
    """Return the outcome of an item, as far as its version is to blame."""
    if result.failure is None:
        return records.Outcome.OK
    if result.failure is batches.Failure.ERROR:
        return records.Outcome.REJECTED
    return records.Outcome.CANCELLED
