"""Messages by which hosts tell each other what began streams."""

from chervilshore.decisions import streamorigins
from chervilshore import forwarded
from chervilshore import ids
from chervilshore import messages


class StreamReport(messages.Message, frozen=True, tag="sr"):
    """Tells an owner of streams what began them."""

    starts: tuple[streamorigins.StreamStart, ...]


class StreamRequest(messages.Message, frozen=True, tag="sq"):
    """Asks what began a stream.

    Parameters
    ----------
    stream : RequestId
        The request that brought its first event.
    pool : PoolName
        The pool at which the stream is to go on.
    window_ms : float or None
        Milliseconds in which the stream can have begun; None if it is not
        known.
    """

    stream: ids.RequestId
    pool: ids.PoolName
    window_ms: float | None


class StreamReply(messages.Message, frozen=True, tag="sa"):
    """Says what began a stream.

    Parameters
    ----------
    origin : StreamOrigin or None
        What the sender was told; None if it was told nothing.
    only_version : SoftwareVersion or None
        The only version that can have begun it, by the listings of endpoints.
    """

    origin: forwarded.StreamOrigin | None = None
    only_version: ids.SoftwareVersion | None = None
