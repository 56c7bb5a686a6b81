"""Which host looks after a thing that needs one place."""

from collections import abc as collections_abc

from chervilshore.decisions import rendezvous
from chervilshore import records

STRONG_PART = 0.5
"""The part of the greatest capacity from which a host counts as strong."""


def choose_strong(
    hosts: collections_abc.Sequence[records.HostRecord], key: str
) -> records.HostRecord | None:
    """Choose one of the strongest hosts for a key, alike on every host.

    Parameters
    ----------
    hosts : sequence of HostRecord
        The hosts that may be chosen.
    key : str
        What is to be looked after.

    Returns
    -------
    HostRecord or None
        The host; nothing when there is none.
    """
    if not hosts:
        return None
    least = STRONG_PART * max(host.capacity for host in hosts)
    strong = {host.host: host for host in hosts if host.capacity >= least}
    return strong[rendezvous.choose(strong, key)]
