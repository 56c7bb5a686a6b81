"""Slots that a host assigns by itself, immediately or not at all.

The hosts exchange no messages about slots: each one only limits its own rate
of requests to cold endpoints. What routers know of other hosts' requests comes
from `capacities`.
"""

from collections import abc as collections_abc
import logging

from chervilshore import clock as clocks
from chervilshore.controllers import capacities
from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import directory as directories
from chervilshore.controllers import slots
from chervilshore.controllers import versions
from chervilshore.decisions import coldrate
from chervilshore.decisions import endpointnotices
from chervilshore.decisions import routing
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records
from chervilshore import results
from chervilshore.rules import model

RETRY_AFTER_MS = 300.0
"""Milliseconds after which a refused caller may retry: by then a cold endpoint
takes another request, or one that has just left is replaced."""

MAX_LEVEL = 2
"""Highest level of load at which the requests of versions are compared: this
host has four or more requests at the endpoint."""

_LOGGER = logging.getLogger(__name__)


class ImmediateSlots(slots.Slots):
    """Assigns a slot immediately or refuses the request.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    directory : Directory
        The endpoints and hosts.
    configuration : Configuration
        The active rules.
    make_router : callable
        Returns a new router for a pool.
    notices : EndpointNotices
        When endpoints that ask for restraint may be used.
    learnt : Capacities
        Learns the capacity of endpoints from the attempts.
    version_choice : Versions or None
        Which versions get requests; None if all do.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        directory: directories.Directory,
        configuration: configurations.Configuration,
        make_router: collections_abc.Callable[[ids.PoolName], routing.Router],
        notices: endpointnotices.EndpointNotices,
        learnt: capacities.Capacities,
        version_choice: versions.Versions | None = None,
    ) -> None:
        self._host = host
        self._clock = clock
        self._directory = directory
        self._configuration = configuration
        self._make_router = make_router
        self._notices = notices
        self._versions = version_choice or versions.AnyVersion()
        self._capacities = learnt
        self._routers: dict[ids.PoolName, routing.Router] = {}
        self._in_flight: dict[ids.EndpointId, int] = {}
        self._cold_rate = coldrate.ColdRate(host)

    async def acquire(
        self, requirements: routing.StageRequirements
    ) -> slots.Slot:
        """Choose an endpoint without waiting; see `Slots.acquire`."""
        now = self._clock.now()
        pool = self._configuration.rules.pools.get(requirements.pool)
        if pool is None:
            raise exceptions.RefusalError(results.Code.NO_ENDPOINT)
        open_records = [
            record
            for record in self._directory.endpoints(requirements.pool)
            if self._is_open(record)
        ]
        usable = [
            routing.Candidate(
                record,
                in_flight=self._in_flight.get(record.endpoint, 0),
            )
            for record in open_records
            if now >= self._notices.next_send(record)
        ]
        ranked_count = 0
        for group in self._versions.divide(requirements, usable, now):
            ranked = self._find_router(requirements.pool).rank(
                requirements, group, now
            )
            ranked_count += len(ranked)
            for candidate in ranked:
                if self._may_send(pool, candidate.record, now):
                    return self._assign(requirements, candidate)
        raise exceptions.RefusalError(
            results.Code.NO_ENDPOINT,
            _describe_choice(requirements, len(usable), ranked_count),
            self._choose_retry_ms(open_records, now),
        )

    def _choose_retry_ms(
        self, open_records: list[records.EndpointRecord], now: float
    ) -> float:
        """Return after how many milliseconds a refused caller may return.

        If all endpoints asked for a pause, that is when the first one ends.
        """
        soonest = min(map(self._notices.paused_until, open_records), default=0)
        return max(RETRY_AFTER_MS, soonest - now)

    def _may_send(
        self, pool: model.Pool, record: records.EndpointRecord, now: float
    ) -> bool:
        """Return whether this host may send to an endpoint now.

        A request that is admitted is counted.
        """
        if not self._has_room(record):
            return False
        if not self._may_send_cold(pool, record, now):
            return False
        self._notices.count(record, now)
        return True

    def _has_room(self, record: records.EndpointRecord) -> bool:
        """Return whether an endpoint is not brittle, or has a slot free."""
        if not record.slots or not self._notices.is_brittle(record):
            return True
        in_flight = self._in_flight.get(record.endpoint, 0)
        return in_flight < self._notices.share_slots(
            record, self._host, self._list_hosts()
        )

    def _list_hosts(self) -> list[ids.HostId]:
        return [one.host for one in self._directory.senders()]

    def _may_send_cold(
        self, pool: model.Pool, record: records.EndpointRecord, now: float
    ) -> bool:
        """Return whether an endpoint is warm, or takes a request now."""
        if not pool.cold_rate:
            return True
        cold_until = self._directory.cold_until(record.endpoint)
        if now >= cold_until:
            return True
        return self._cold_rate.admit(
            record.endpoint, pool.cold_rate, self._list_hosts(), now
        )

    def _assign(
        self,
        requirements: routing.StageRequirements,
        candidate: routing.Candidate,
    ) -> slots.Slot:
        record = candidate.record
        endpoint = record.endpoint
        self._in_flight[endpoint] = self._in_flight.get(endpoint, 0) + 1
        events.log_event(
            _LOGGER,
            events.Event.ENDPOINT_CHOSEN,
            request=requirements.request,
            endpoint=endpoint,
            pool=requirements.pool,
            version=record.version,
            in_flight=self._in_flight[endpoint],
            **capacities.describe_choice(candidate),
        )
        sent = self._describe_sent(requirements, record)
        self._versions.record_sent(record, sent, self._clock.now())
        flight = self._capacities.begin(requirements, candidate)
        return slots.Slot(record, sent=sent, flight=flight)

    def _describe_sent(
        self,
        requirements: routing.StageRequirements,
        record: records.EndpointRecord,
    ) -> versions.Sent:
        is_first = not requirements.excluded
        is_cold = self._clock.now() < self._directory.cold_until(
            record.endpoint
        )
        in_flight = self._in_flight[record.endpoint]
        return versions.Sent(
            requirements.pipeline,
            level=min(MAX_LEVEL, in_flight.bit_length() - 1),
            is_first=is_first,
            # A stream that goes on is shorter than others.
            is_comparable=is_first
            and not is_cold
            and requirements.version is None,
        )

    def confirm(self, slot: slots.Slot) -> bool:
        """Check that the endpoint is still usable; see `Slots.confirm`."""
        record = self._directory.endpoint(slot.record.endpoint)
        return record is not None and self._is_open(record)

    def release(self, slot: slots.Slot, attempt: slots.AttemptResult) -> None:
        """Record the end of an attempt; see `Slots.release`."""
        endpoint = slot.record.endpoint
        self._in_flight[endpoint] -= 1
        if not self._in_flight[endpoint]:
            del self._in_flight[endpoint]
        if slot.flight is not None:
            self._capacities.end(slot.flight, attempt.outcome)
        pool = self._configuration.rules.pools.get(slot.record.pool)
        millis = attempt.millis
        now = self._clock.now()
        self._versions.record_end(
            slot.record, slot.sent, attempt.outcome, millis, now
        )
        if pool is not None and pool.kind is records.EndpointKind.ENGINE:
            # The duration of a stream depends on the length of its text and
            # says nothing about the endpoint.
            millis = 0.0
        router = self._find_router(slot.record.pool)
        router.record_attempt(endpoint, attempt.outcome, millis, now)

    def describe(self) -> dict[str, object]:
        """Return the attempts in flight by endpoint, for operators."""
        return {"in_flight": dict(self._in_flight)}

    def _is_open(self, record: records.EndpointRecord) -> bool:
        return self._configuration.rules.accepts_requests(
            record
        ) and not self._notices.is_leaving(record)

    def _find_router(self, pool: ids.PoolName) -> routing.Router:
        if pool not in self._routers:
            self._routers[pool] = self._make_router(pool)
        return self._routers[pool]


def _describe_choice(
    requirements: routing.StageRequirements, usable: int, ranked: int
) -> str:
    text = f"{usable} endpoints of pool {requirements.pool} may be used"
    if requirements.version is None:
        return text
    return f"{text}, {ranked} of them at version {requirements.version!r}"
