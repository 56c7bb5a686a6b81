"""The order for a roll-out, its states and the limits that bind it."""

import enum

import msgspec

from chervilshore import ids
from chervilshore import records


class RolloutState(enum.Enum):
    """What the status of an order says."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Phase(enum.IntEnum):
    """How far a host has moved its requests; a higher one replaces a lower.

    Attributes
    ----------
    CANARY
        A small share of the requests goes to the new version.
    MOVING
        The new version is proven; its share rises in steps.
    SWITCHED
        No new request goes to the other versions.
    CONDEMNED
        No new request goes to the new version.
    """

    CANARY = 0
    MOVING = 1
    SWITCHED = 2
    CONDEMNED = 3


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order to move a pool's requests to a version.

    Parameters
    ----------
    pool : PoolName
        The pool.
    to : SoftwareVersion
        The version.
    duration_ms : float
        Milliseconds from the order to its deadline.
    revision : int
        The position of the order in the store, which identifies it.
    """

    pool: ids.PoolName
    to: ids.SoftwareVersion
    duration_ms: float
    revision: int


class ExposureLimits(msgspec.Struct, frozen=True):
    """How many requests a version may get before it is proven.

    Parameters
    ----------
    share : float
        Fraction of the pool's requests between the order and its deadline,
        of all hosts together.
    slack : float
        Requests beyond that fraction.
    rollback_ms : float
        Milliseconds after which no host may send to a version that is shown
        to be bad.
    """

    share: float = 0.1
    slack: float = 50.0
    rollback_ms: float = 5000.0


class RolloutView(msgspec.Struct, frozen=True):
    """What a host knows of the pool and of the other hosts.

    Parameters
    ----------
    new, old : tuple of EndpointRecord
        The ready endpoints of the order's version and of all others.
    hosts : frozenset of HostId
        The hosts that may still send requests, with this one.
    old_running : int
        This host's attempts that run at endpoints of the other versions,
        also those that began before the order was known.
    longest_ms : float
        Milliseconds that an attempt at the pool lasts at most.
    """

    new: tuple[records.EndpointRecord, ...] = ()
    old: tuple[records.EndpointRecord, ...] = ()
    hosts: frozenset[ids.HostId] = frozenset()
    old_running: int = 0
    longest_ms: float = 20_000.0
