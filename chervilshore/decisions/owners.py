"""Chooses the owner host of an object that needs exactly one."""

from collections import abc as collections_abc

from chervilshore.decisions import rendezvous
from chervilshore import records

MIN_CAPACITY_FRACTION = 0.5
"""Fraction of the greatest capacity below which a host is not chosen."""


def choose_by_capacity(
    hosts: collections_abc.Sequence[records.HostRecord], key: str
) -> records.HostRecord | None:
    """Choose one of the hosts of high capacity for a key.

    The choice is the same on every host that knows the same hosts.

    Parameters
    ----------
    hosts : sequence of HostRecord
        The hosts that may be chosen.
    key : str
        The name of the object to be owned.

    Returns
    -------
    HostRecord or None
        The host; None if `hosts` is empty.
    """
    eligible = {host.host: host for host in filter_by_capacity(hosts)}
    chosen = rendezvous.choose(eligible, key)
    return None if chosen is None else eligible[chosen]


def filter_by_capacity(
    hosts: collections_abc.Collection[records.HostRecord],
) -> list[records.HostRecord]:
    """Return the hosts whose capacity is not far below the greatest one."""
    greatest = max((host.capacity for host in hosts), default=0.0)
    return [
        host
        for host in hosts
        if host.capacity >= MIN_CAPACITY_FRACTION * greatest
    ]
