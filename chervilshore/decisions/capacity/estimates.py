"""What a host knows of the load and the capacity of a pool's endpoints."""

import math

import msgspec

from chervilshore.decisions.capacity import limits
from chervilshore.decisions.capacity import observations
from chervilshore.decisions.capacity import speeds
from chervilshore import ids
from chervilshore import records

TABLE_MAX_AGE_MS = 2000.0
"""Age from which what other hosts had in flight counts no more: most of their
streams have ended by then."""

WAITING_HALF_LIFE_MS = 400.0
"""Age at which half of what is known of waiting prompts still holds; the rest
is taken for the mean of the pool."""

RUNNING_HALF_LIFE_MS = 1500.0
"""The same for streams, which last longer."""

KEEP_MS = 5000.0
"""Milliseconds between two removals of what is known of lost endpoints."""


class Estimate(msgspec.Struct, frozen=True):
    """What is known of an endpoint at a time.

    Parameters
    ----------
    slowness : float
        How slow it is now, compared with a usual one of its pool.
    steady_slowness : float
        The same over many seconds.
    running : int
        Requests of all hosts there that have brought their first event, as
        far as is known.
    in_flight : int
        All requests there.
    waiting_tokens : int
        Prompt tokens that it still has to read for them.
    limit : float
        Requests that it bears before it slows down.
    """

    slowness: float = 1.0
    steady_slowness: float = 1.0
    running: int = 0
    in_flight: int = 0
    waiting_tokens: int = 0
    limit: float = limits.FIRST_LIMIT

    @property
    def is_full(self) -> bool:
        """Whether one more request would slow the others down."""
        return self.in_flight >= self.limit


class Estimates:
    """Joins what this host sees itself with what the others report.

    Attributes
    ----------
    speeds : Speeds
        The speeds of the endpoints.
    """

    def __init__(self) -> None:
        self.speeds = speeds.Speeds()
        self._limits: dict[ids.EndpointId, limits.EndpointLimit] = {}
        self._table: dict[ids.EndpointId, observations.Observation] = {}
        self._mine: dict[ids.EndpointId, observations.Observation] = {}
        self._table_at = -math.inf
        self._mean_running = 0.0
        self._mean_tokens = 0.0
        self._kept_at = -math.inf

    def record(
        self,
        seen: tuple[observations.Observation, ...],
        mine: dict[ids.EndpointId, observations.Observation],
        slots: dict[ids.EndpointId, int],
        now: float,
        age_ms: float = 0.0,
    ) -> None:
        """Record what all hosts saw in an interval.

        Parameters
        ----------
        seen : tuple of Observation
            Their sum.
        mine : dict
            What of it this host has in flight, by endpoint.
        slots : dict
            The slots of the endpoints that are listed.
        now : float
            The time in milliseconds.
        age_ms : float
            Milliseconds since they saw it, as far as is known.
        """
        seen = tuple(one for one in seen if one.endpoint in slots)
        self.speeds.record(seen, now)
        for one in seen:
            limit = self._limits.setdefault(
                one.endpoint, limits.EndpointLimit()
            )
            limit.record(one, slots[one.endpoint], now)
        self._table = {one.endpoint: one for one in seen}
        self._mine = mine
        self._table_at = now - age_ms
        count = max(1, len(slots))
        self._mean_running = sum(one.running for one in seen) / count
        self._mean_tokens = sum(one.waiting_tokens for one in seen) / count
        if now - self._kept_at > KEEP_MS:
            self._kept_at = now
            self.speeds.keep(frozenset(slots))
            for endpoint in self._limits.keys() - slots.keys():
                del self._limits[endpoint]

    def age_ms(self, now: float) -> float:
        """Return the age of what other hosts reported."""
        return now - self._table_at

    def find(
        self,
        record: records.EndpointRecord,
        mine: observations.Observation | None,
        now: float,
    ) -> Estimate:
        """Return what is known of an endpoint.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint.
        mine : Observation or None
            What this host has in flight there now; None for nothing.
        now : float
            The time in milliseconds.
        """
        endpoint = record.endpoint
        total = mine or observations.Observation(endpoint)
        if self.age_ms(now) > TABLE_MAX_AGE_MS:
            return self._estimate(total, now)
        others = self._table.get(endpoint, observations.Observation(endpoint))
        if endpoint in self._mine:
            others = observations.merge(others, self._mine[endpoint], sign=-1)
        return self._estimate(
            observations.merge(total, self._predict(others, now)), now
        )

    def _predict(
        self, others: observations.Observation, now: float
    ) -> observations.Observation:
        """Return what is likely left of what other hosts reported."""
        age_ms = max(0.0, self.age_ms(now))
        holds = 0.5 ** (age_ms / WAITING_HALF_LIFE_MS)
        tokens = self._mean_tokens * (1.0 - holds)
        tokens += holds * others.waiting_tokens
        holds = 0.5 ** (age_ms / RUNNING_HALF_LIFE_MS)
        running = self._mean_running * (1.0 - holds) + holds * others.running
        return msgspec.structs.replace(
            others, running=round(running), waiting_tokens=round(tokens)
        )

    def _estimate(
        self, total: observations.Observation, now: float
    ) -> Estimate:
        endpoint = total.endpoint
        limit = self._limits.get(endpoint)
        return Estimate(
            slowness=self.speeds.recent(endpoint, now),
            steady_slowness=self.speeds.steady(endpoint, now),
            running=total.running,
            in_flight=total.in_flight,
            waiting_tokens=total.waiting_tokens,
            limit=limits.FIRST_LIMIT if limit is None else limit.limit,
        )

    def expect_first_ms(self, estimate: Estimate, tokens: int) -> float:
        """Return the expected milliseconds to a request's first event.

        Parameters
        ----------
        estimate : Estimate
            What is known of the endpoint.
        tokens : int
            Prompt tokens that it would have to read for the request.
        """
        times = self.speeds.times
        ahead = estimate.waiting_tokens
        return estimate.slowness * times.expect_first_ms(ahead + tokens)

    def expect_pause_ms(self, estimate: Estimate, tokens: int) -> float:
        """Return the expected longest pause of the streams there.

        An endpoint reads prompts between the tokens of its streams.
        """
        times = self.speeds.times
        read_ms = times.token_ms * (estimate.waiting_tokens + tokens)
        return estimate.slowness * (times.pause_ms + read_ms)

    @property
    def has_table(self) -> bool:
        """Whether other hosts have reported anything."""
        return not math.isinf(self._table_at)

    def list_known(self, now: float) -> dict[ids.EndpointId, Estimate]:
        """Return what is known of all endpoints that were in use."""
        return {
            endpoint: self._estimate(
                self._table.get(endpoint, observations.Observation(endpoint)),
                now,
            )
            for endpoint in self._limits
        }

    def describe(self, now: float) -> dict[str, object]:
        """Return what is known of all endpoints, for operators."""
        times = self.speeds.times
        return {
            "start_ms": round(times.start_ms, 1),
            "token_us": round(1000.0 * times.token_ms, 1),
            "pause_ms": round(times.pause_ms, 1),
            "age_ms": None
            if math.isinf(self._table_at)
            else round(self.age_ms(now)),
            "endpoints": {
                endpoint: {
                    "slowness": round(known.slowness, 2),
                    "steady_slowness": round(known.steady_slowness, 2),
                    "limit": round(known.limit, 1),
                    "in_flight": known.in_flight,
                    "waiting_tokens": known.waiting_tokens,
                }
                for endpoint, known in self.list_known(now).items()
            },
        }
