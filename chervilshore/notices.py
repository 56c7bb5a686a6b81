"""What endpoints say of themselves in their responses."""

from collections import abc as collections_abc

import msgspec

from chervilshore import records


class Notice(msgspec.Struct, frozen=True):
    """What one response of an endpoint says about the endpoint itself.

    Parameters
    ----------
    limit_per_s : float or None
        Requests per second that it takes from all hosts together; None for
        no limit.
    leaving : bool
        Whether it leaves and must get nothing new.
    pause_ms : float or None
        Milliseconds for which it wants nothing from this host; None if it
        did not ask for a pause.
    max_rejections_per_s : float or None
        Requests per second that it may reject for want of room, from all
        hosts together, without falling over; None if it is not brittle.
    rejected : bool
        Whether the response rejects a request for want of room.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    pause_ms: float | None = None
    max_rejections_per_s: float | None = None
    rejected: bool = False


NOTHING = Notice()
"""The notice of a response that says nothing of its endpoint."""

REJECTED = Notice(rejected=True)
"""The notice of a rejection that says nothing else."""

Sink = collections_abc.Callable[[records.EndpointRecord, Notice], None]
"""Gets the endpoint and the notice of each of its responses."""
