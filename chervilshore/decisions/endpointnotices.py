"""When this host may send to endpoints that ask for restraint."""

from collections import abc as collections_abc
import enum
import math
import random

import msgspec

from chervilshore import clock as clocks
from chervilshore.decisions import rendezvous
from chervilshore import ids
from chervilshore import notices
from chervilshore import records

LIMIT_FRACTION = 0.5
"""Fraction of an endpoint's limit that the known hosts use together.

The rest absorbs that hosts which do not coordinate sometimes send at the same
time, and that a host which has just started knows only some of the others.
"""

REJECTION_FRACTION = 0.5
"""Fraction of the rejections that a brittle endpoint bears which the known
hosts cause together."""

MAX_REJECTION_PAUSE_MS = 5000.0
"""Longest pause after a brittle endpoint has rejected a request."""

MIN_LIMIT_PER_S = 0.001
"""Lower bound of a limit; a lower one is taken for this."""

MAX_PAUSE_MS = 600_000.0
"""Upper bound of a pause; a longer one is taken for this."""

MAX_ENDPOINTS = 4096
"""Endpoints whose notices are kept; more than any site runs."""


class Change(enum.Enum):
    """What a response says that earlier ones did not."""

    LIMIT = "limit"
    LEAVING = "leaving"
    PAUSE = "pause"
    BRITTLE = "brittle"


class _State(msgspec.Struct):
    instance: ids.InstanceId
    limit_per_s: float | None = None
    last_send: float = 0.0
    leaving: bool = False
    paused_until: float = 0.0
    rejected_at: float = -math.inf


class EndpointNotices:
    """Keeps what endpoints last said of themselves, by their instance.

    Each host takes an equal share of an endpoint's limit, without messages:
    it spaces its own requests as if all known hosts sent equally often.

    Parameters
    ----------
    rng : random.Random
        Desynchronizes the hosts that learn of a limit at the same time.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._states: dict[ids.EndpointId, _State] = {}
        self._brittle_pools: dict[ids.PoolName, float] = {}
        self._max_senders = 1

    def record(
        self,
        record: records.EndpointRecord,
        notice: notices.Notice,
        now: float,
    ) -> list[Change]:
        """Record a response; return what has changed by it.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint that responded.
        notice : Notice
            What its response says; an earlier limit that it does not repeat
            has ended, while a pause goes on and an instance that leaves
            never stays.
        now : float
            The time in milliseconds.
        """
        changed = []
        if self._set_brittle(record.pool, notice.max_rejections_per_s):
            changed.append(Change.BRITTLE)
        state = self._find(record)
        if state is None:
            if notice in (notices.NOTHING, notices.REJECTED):
                return changed
            state = self._add(record)
        if notice.leaving and not state.leaving:
            state.leaving = True
            changed.append(Change.LEAVING)
        if notice.pause_ms is not None:
            end = now + min(MAX_PAUSE_MS, notice.pause_ms)
            state.paused_until = max(state.paused_until, end)
            changed.append(Change.PAUSE)
        if self._set_limit(state, notice.limit_per_s, now):
            changed.append(Change.LIMIT)
        if notice.rejected:
            state.rejected_at = now
        return changed

    def _add(self, record: records.EndpointRecord) -> _State:
        self._states.pop(record.endpoint, None)
        if len(self._states) >= MAX_ENDPOINTS:
            del self._states[next(iter(self._states))]
        state = _State(record.instance)
        self._states[record.endpoint] = state
        return state

    def _set_limit(
        self, state: _State, limit_per_s: float | None, now: float
    ) -> bool:
        if limit_per_s is not None:
            limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
        before = state.limit_per_s
        state.limit_per_s = limit_per_s
        if before is None and limit_per_s is not None:
            interval_ms = self._interval_ms(limit_per_s, self._max_senders)
            state.last_send = now - self._rng.random() * interval_ms
        return before != limit_per_s

    def _set_brittle(
        self, pool: ids.PoolName, max_rejections_per_s: float | None
    ) -> bool:
        """Record whether a pool is brittle, by its latest response.

        All endpoints of a pool are brittle together, so that one which has
        not responded since is known to be, too.
        """
        before = self._brittle_pools.get(pool)
        if max_rejections_per_s is None:
            self._brittle_pools.pop(pool, None)
        else:
            self._brittle_pools[pool] = max_rejections_per_s
        return before != max_rejections_per_s

    def record_hosts(self, count: int) -> None:
        """Record how many hosts share the limits, including this one.

        The highest number counts, as hosts that seem down may only be
        partitioned and still send.
        """
        self._max_senders = max(self._max_senders, count)

    def is_leaving(self, record: records.EndpointRecord) -> bool:
        """Return whether an endpoint has said that it leaves."""
        state = self._find(record)
        return state is not None and state.leaving

    def next_send(
        self, record: records.EndpointRecord, sole_sender: bool = False
    ) -> float:
        """Return the time in milliseconds from which a request may be sent.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint.
        sole_sender : bool
            Whether only this host sends to it, so that it need not share.
        """
        state = self._find(record)
        if state is None:
            return 0.0
        senders = 1 if sole_sender else self._max_senders
        allowed_at = max(
            state.paused_until, self._rejection_ends(record, state, senders)
        )
        if state.limit_per_s is None:
            return allowed_at
        interval_ms = self._interval_ms(state.limit_per_s, senders)
        return max(allowed_at, state.last_send + interval_ms)

    def is_brittle(self, record: records.EndpointRecord) -> bool:
        """Return whether an endpoint falls over if it rejects too much."""
        return record.pool in self._brittle_pools

    def share_slots(
        self,
        record: records.EndpointRecord,
        host: ids.HostId,
        hosts: collections_abc.Iterable[ids.HostId],
    ) -> int:
        """Return how many of a brittle endpoint's slots a host may use.

        What the hosts send then never waits there, and never finds no room
        to wait.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint, whose slots are known.
        host : HostId
            The host.
        hosts : iterable of HostId
            The known hosts.
        """
        ranked = rendezvous.rank({host, *hosts}, record.endpoint)
        # Hosts that are not known now may still send.
        each, left = divmod(record.slots, max(len(ranked), self._max_senders))
        return each + (ranked.index(host) < left)

    def _rejection_ends(
        self, record: records.EndpointRecord, state: _State, senders: int
    ) -> float:
        """Return until when nothing follows a rejection."""
        max_rejections_per_s = self._brittle_pools.get(record.pool)
        if max_rejections_per_s is None:
            return -math.inf
        rate = max_rejections_per_s * REJECTION_FRACTION
        pause_ms = MAX_REJECTION_PAUSE_MS
        if rate > 0:
            pause_ms = min(pause_ms, senders * clocks.MILLIS_PER_SECOND / rate)
        return state.rejected_at + pause_ms

    def paused_until(self, record: records.EndpointRecord) -> float:
        """Return until when an endpoint wants nothing; 0 for no pause."""
        state = self._find(record)
        return 0.0 if state is None else state.paused_until

    def count(self, record: records.EndpointRecord, now: float) -> None:
        """Record that a request is sent now."""
        state = self._find(record)
        if state is not None:
            state.last_send = now

    def _find(self, record: records.EndpointRecord) -> _State | None:
        """Return what is known of this very instance."""
        state = self._states.get(record.endpoint)
        if state is None or state.instance != record.instance:
            return None
        return state

    def _interval_ms(self, limit_per_s: float, senders: int) -> float:
        rate = limit_per_s * LIMIT_FRACTION
        return senders * clocks.MILLIS_PER_SECOND / rate
