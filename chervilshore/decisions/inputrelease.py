"""When the inputs of a batch call have been read and may be freed.

An endpoint reads the inputs of a call when the call begins, and sends no sign
of it. Kept until the call ends, they would use space for twice as long as
they are needed.
"""

from collections import abc as collections_abc

from chervilshore.decisions import batchjobs
from chervilshore.rules import model

READ_SLACK_MS = 60.0
"""Time from the start of a call until it has read small inputs, including
the network latency and one retransmitted packet."""

READ_LINKS = 2.0
"""Links that inputs pass one after the other in the worst case: that of the
endpoint which has the result and that of the reader."""


def estimate_read_ms(
    call: batchjobs.BatchCall, batching: model.Batching
) -> float:
    """Return the milliseconds from its start until a call has read its inputs.

    Parameters
    ----------
    call : BatchCall
        The call.
    batching : Batching
        Gives the bandwidth of an endpoint's link.
    """
    size = sum(
        len(part.item_indexes) * part.job.input_bytes for part in call.parts
    )
    return READ_SLACK_MS + READ_LINKS * size / batching.link_bytes_per_ms


def began_at_once(
    call: batchjobs.BatchCall,
    handles: collections_abc.Iterable[str],
    now: float,
) -> bool:
    """Return whether a finished call seems to have begun when it was sent.

    A call that had to wait has taken longer than expected. One without some
    results may have ended early instead, as its inputs were gone by then.
    """
    elapsed_ms = now - call.started_at
    return all(handles) and elapsed_ms < call.expected_ms + READ_SLACK_MS


def mark_read(
    call: batchjobs.BatchCall,
    jobs: collections_abc.Mapping[str, batchjobs.Job],
) -> list[batchjobs.Job]:
    """Mark the inputs of a call as read.

    Parameters
    ----------
    call : BatchCall
        The call.
    jobs : mapping of str to Job
        The unfinished jobs by name.

    Returns
    -------
    list of Job
        The jobs of which all inputs are read now; they may be freed.
    """
    read = []
    for part in call.parts:
        job = part.job
        if call.overdue or jobs.get(job.name) is not job:
            continue
        job.unread.difference_update(part.item_indexes)
        if job.inputs and not job.unread:
            job.inputs_released = True
            read.append(job)
    return read
