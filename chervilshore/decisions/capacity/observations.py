"""What the callers of a host see of endpoints, and how it is summed."""

from collections import abc as collections_abc
import math

import msgspec

from chervilshore import ids


class Observation(msgspec.Struct, frozen=True, array_like=True):
    """What was seen of one endpoint in an interval.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    running : int
        Attempts there that have brought their first event.
    waiting : int
        Attempts there that have not.
    waiting_tokens : int
        Prompt tokens of those that it has presumably not cached.
    pauses : int
        Pauses between events that ended in the interval.
    pauses_ms : int
        Their sum in milliseconds.
    firsts : int
        First events that came in the interval.
    firsts_ms : int
        The sum of the milliseconds that they took.
    firsts_tokens : int
        Prompt tokens that were read meanwhile, with those ahead of them.
    rejections : int
        Attempts that the endpoint rejected for want of room.
    """

    endpoint: ids.EndpointId
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    pauses: int = 0
    pauses_ms: int = 0
    firsts: int = 0
    firsts_ms: int = 0
    firsts_tokens: int = 0
    rejections: int = 0

    @property
    def in_flight(self) -> int:
        """All attempts that run there."""
        return self.running + self.waiting


def merge(
    first: Observation, second: Observation, sign: int = 1
) -> Observation:
    """Return the sum of two observations of an endpoint.

    Parameters
    ----------
    first, second : Observation
        What two sources saw.
    sign : int
        -1 subtracts the second one, down to 0 in each field.
    """
    names = Observation.__struct_fields__[1:]
    return Observation(
        first.endpoint,
        *(
            max(0, getattr(first, name) + sign * getattr(second, name))
            for name in names
        ),
    )


class Flight:
    """An attempt at an endpoint, as the host that makes it sees it.

    Parameters
    ----------
    request : RequestId
        The request.
    endpoint : EndpointId
        The endpoint.
    read_tokens : int
        Prompt tokens that the endpoint has presumably not cached.
    tokens_ahead : int
        Prompt tokens that were known to wait there when it was sent.
    expected_ms : float
        Milliseconds in which its first event was expected.
    sent_at : float
        The time in milliseconds.

    Attributes
    ----------
    first_at, last_at : float or None
        Times of the first and the latest event.
    events : int
        Events that have come.
    longest_pause_ms : float
        The longest time between two arrivals of events.
    """

    def __init__(
        self,
        request: ids.RequestId,
        endpoint: ids.EndpointId,
        read_tokens: int,
        tokens_ahead: int,
        expected_ms: float,
        sent_at: float,
    ) -> None:
        self.request = request
        self.endpoint = endpoint
        self.expected_ms = expected_ms
        self.read_tokens = read_tokens
        self.tokens_ahead = tokens_ahead
        self.sent_at = sent_at
        self.first_at: float | None = None
        self.last_at: float | None = None
        self.events = 0
        self.longest_pause_ms = 0.0
        self._counted_events = 0
        self._counted_at = sent_at

    def record_events(self, events: int, now: float) -> None:
        """Record that so many events of the attempt have come by now."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause_ms = max(
                self.longest_pause_ms, now - self.last_at
            )
        self.last_at = now
        self.events = events

    def observe(self, ended: bool = False) -> Observation:
        """Return what was not returned before; see `Observation`."""
        waiting = self.first_at is None
        if waiting:
            return Observation(
                self.endpoint,
                waiting=int(not ended),
                waiting_tokens=0 if ended else self.read_tokens,
            )
        firsts = int(not self._counted_events)
        pauses = self.events - self._counted_events - firsts
        since = self.first_at if firsts else self._counted_at
        self._counted_events = self.events
        self._counted_at = self.last_at
        return Observation(
            self.endpoint,
            running=int(not ended),
            pauses=pauses,
            pauses_ms=round(self.last_at - since),
            firsts=firsts,
            firsts_ms=round(firsts * (self.first_at - self.sent_at)),
            firsts_tokens=firsts * (self.read_tokens + self.tokens_ahead),
        )


class Flights:
    """The attempts of this host and what has not been reported of them."""

    def __init__(self) -> None:
        self._flights: set[Flight] = set()
        self._unreported: dict[ids.EndpointId, Observation] = {}

    def add(self, flight: Flight) -> None:
        """Add an attempt that begins."""
        self._flights.add(flight)

    def end(self, flight: Flight, rejected: bool = False) -> None:
        """Remove an attempt that has ended."""
        self._flights.discard(flight)
        seen = flight.observe(ended=True)
        if rejected:
            seen = merge(seen, Observation(flight.endpoint, rejections=1))
        self._add(seen)

    def _add(self, seen: Observation) -> None:
        earlier = self._unreported.get(seen.endpoint)
        self._unreported[seen.endpoint] = (
            seen if earlier is None else merge(earlier, seen)
        )

    def list_running(self) -> dict[ids.EndpointId, Observation]:
        """Return the attempts in flight now, by endpoint."""
        running: dict[ids.EndpointId, Observation] = {}
        for flight in self._flights:
            waits = flight.first_at is None
            seen = Observation(
                flight.endpoint,
                running=int(not waits),
                waiting=int(waits),
                waiting_tokens=flight.read_tokens * waits,
            )
            earlier = running.get(flight.endpoint)
            running[flight.endpoint] = (
                seen if earlier is None else merge(earlier, seen)
            )
        return running

    def collect(self) -> tuple[Observation, ...]:
        """Return what was seen since the last call, by endpoint."""
        for flight in self._flights:
            self._add(flight.observe())
        collected, self._unreported = self._unreported, {}
        return tuple(collected.values())


class Reports:
    """The latest reports of several sources, and their sums.

    Parameters
    ----------
    max_age_ms : float
        Milliseconds after which attempts that a source has in flight count
        no more.
    """

    def __init__(self, max_age_ms: float) -> None:
        self._max_age_ms = max_age_ms
        self._latest: dict[
            str, tuple[float, dict[ids.EndpointId, Observation]]
        ] = {}
        self._sums: dict[ids.EndpointId, Observation] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no source has reported of late."""
        return not self._latest

    def record(
        self,
        source: str,
        seen: collections_abc.Iterable[Observation],
        now: float,
        age_ms: float = 0.0,
    ) -> None:
        """Record the report of a source, which replaces its earlier one.

        Parameters
        ----------
        source : str
            The name of the source.
        seen : iterable of Observation
            What it saw.
        now : float
            The time in milliseconds.
        age_ms : float
            Milliseconds since the source saw it, as far as is known.
        """
        by_endpoint = {one.endpoint: one for one in seen}
        self._latest[source] = (now - age_ms, by_endpoint)
        for one in by_endpoint.values():
            counts = msgspec.structs.replace(
                one, running=0, waiting=0, waiting_tokens=0
            )
            earlier = self._sums.get(one.endpoint)
            self._sums[one.endpoint] = (
                counts if earlier is None else merge(earlier, counts)
            )

    def mean_age_ms(self, now: float) -> float:
        """Return the mean age of the latest reports in milliseconds."""
        ages = [now - seen_at for seen_at, _ in self._latest.values()]
        return sum(ages) / max(1, len(ages))

    def collect(self, now: float) -> tuple[Observation, ...]:
        """Return what all sources saw since the last call, by endpoint."""
        total, self._sums = self._sums, {}
        for source, (seen_at, by_endpoint) in tuple(self._latest.items()):
            if now - seen_at > self._max_age_ms:
                del self._latest[source]
                continue
            for one in by_endpoint.values():
                in_flight = Observation(
                    one.endpoint,
                    running=one.running,
                    waiting=one.waiting,
                    waiting_tokens=one.waiting_tokens,
                )
                earlier = total.get(one.endpoint)
                total[one.endpoint] = (
                    in_flight if earlier is None else merge(earlier, in_flight)
                )
        return tuple(total.values())


class DecayingSum:
    """Sums of values that lose half of their weight in a fixed time.

    Parameters
    ----------
    half_life_ms : float
        That time.
    size : int
        The number of values that are summed side by side.
    """

    __slots__ = ("values", "_half_life_ms", "_at")

    def __init__(self, half_life_ms: float, size: int) -> None:
        self.values = [0.0] * size
        self._half_life_ms = half_life_ms
        self._at = -math.inf

    def advance(self, now: float) -> list[float]:
        """Return the sums at a time, which is not before the last one."""
        if now > self._at:
            factor = 0.5 ** ((now - self._at) / self._half_life_ms)
            self.values = [value * factor for value in self.values]
            self._at = now
        return self.values

    def add(self, values: collections_abc.Sequence[float], now: float) -> None:
        """Add a value to each sum."""
        sums = self.advance(now)
        for index, value in enumerate(values):
            sums[index] += value
