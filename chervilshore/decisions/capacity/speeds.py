"""Estimates how fast each endpoint of a pool is, from what callers see.

An endpoint that serves requests in batches makes its callers wait for three
things: the start of a request, the reading of its prompt and of those ahead
of it, and then the pause before each event. All three grow by the same
factor on a slow machine. A pool's usual times are fitted to what all callers
see; an endpoint's slowness is the time that its callers waited, divided by
what they would have waited at a usual one.
"""

import statistics

from chervilshore.decisions.capacity import observations
from chervilshore import ids

RECENT_HALF_LIFE_MS = 1000.0
"""Half-life of what was seen, for an estimate that follows changes within two
seconds."""

STEADY_HALF_LIFE_MS = 8000.0
"""Half-life for the estimate that holds when little was seen of late."""

RECENT_PRIOR_MS = 600.0
"""Usual milliseconds that must have been seen lately for a recent estimate to
weigh as much as the steady one."""

STEADY_PRIOR_MS = 400.0
"""Usual milliseconds that must have been seen for a steady estimate to weigh
as much as that of a usual endpoint."""

FIT_HALF_LIFE_MS = 20_000.0
"""Half-life of the pool's usual times."""

DEFAULT_START_MS = 50.0
"""Milliseconds to a first event without a prompt, until some were seen."""

DEFAULT_TOKEN_MS = 0.02
"""Milliseconds to read a prompt's token, until some were read."""

DEFAULT_PAUSE_MS = 50.0
"""Milliseconds between events, until some were seen."""

FIT_PRIOR_FIRSTS = 10.0
"""First events from which what was seen of them weighs as much as those."""

FIT_PRIOR_TOKENS = 2000.0
"""Tokens that each of these stands for."""

MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0
"""Bounds of an estimate; beyond them an ejection is due."""


class PoolTimes:
    """The usual times of a pool, fitted to what all callers see.

    Attributes
    ----------
    start_ms : float
        Milliseconds to the first event without a prompt.
    token_ms : float
        Additional milliseconds for each token of prompts that is read.
    pause_ms : float
        Milliseconds between two events.
    stream_ms : float
        Milliseconds from the first event of a stream to its last one.
    """

    def __init__(self) -> None:
        self.start_ms = DEFAULT_START_MS
        self.token_ms = DEFAULT_TOKEN_MS
        self.pause_ms = DEFAULT_PAUSE_MS
        self.stream_ms = 0.0
        self._sums = observations.DecayingSum(FIT_HALF_LIFE_MS, 5)
        self._counts = observations.DecayingSum(FIT_HALF_LIFE_MS, 3)

    def record(self, seen: observations.Observation, now: float) -> None:
        """Add what was seen of an endpoint; see `Observation`."""
        if seen.firsts:
            count, tokens = seen.firsts, seen.firsts_tokens
            millis = seen.firsts_ms
            # Several first events count as that many equal ones.
            self._sums.add(
                (
                    count,
                    tokens,
                    tokens * tokens / count,
                    millis,
                    millis * tokens / count,
                ),
                now,
            )
        if seen.pauses or seen.firsts:
            self._counts.add((seen.pauses, seen.pauses_ms, seen.firsts), now)

    def fit(self, now: float) -> None:
        """Fit the times by least squares to what was seen by now."""
        count, tokens, squares, millis, products = self._sums.advance(now)
        # A prior keeps the fit sound while few sizes were seen.
        weight, size = FIT_PRIOR_FIRSTS, FIT_PRIOR_TOKENS
        usual_ms = DEFAULT_START_MS + size * DEFAULT_TOKEN_MS
        large_ms = DEFAULT_START_MS + 2 * size * DEFAULT_TOKEN_MS
        count += 3 * weight
        tokens += 3 * weight * size
        squares += 5 * weight * size * size
        millis += weight * (DEFAULT_START_MS + usual_ms + large_ms)
        products += weight * size * (usual_ms + 2 * large_ms)
        spread = count * squares - tokens * tokens
        slope = (count * products - tokens * millis) / spread
        self.token_ms = max(0.0, slope)
        self.start_ms = max(1.0, (millis - self.token_ms * tokens) / count)
        pauses, pauses_ms, firsts = self._counts.advance(now)
        self.pause_ms = (pauses_ms + 5 * DEFAULT_PAUSE_MS) / (pauses + 5)
        self.stream_ms = pauses_ms / max(1.0, firsts)

    def expect_first_ms(self, tokens: float) -> float:
        """Return the usual milliseconds to a first event."""
        return self.start_ms + self.token_ms * tokens


class EndpointSpeed:
    """How slow one endpoint is, compared with a usual one of its pool."""

    def __init__(self) -> None:
        self._recent = observations.DecayingSum(RECENT_HALF_LIFE_MS, 2)
        self._steady = observations.DecayingSum(STEADY_HALF_LIFE_MS, 2)

    def record(
        self, seen: observations.Observation, times: PoolTimes, now: float
    ) -> None:
        """Compare what was seen with the pool's usual times."""
        usual_ms = seen.pauses * times.pause_ms
        usual_ms += seen.firsts * times.start_ms
        usual_ms += seen.firsts_tokens * times.token_ms
        if usual_ms > 0.0:
            values = (seen.pauses_ms + seen.firsts_ms, usual_ms)
            self._recent.add(values, now)
            self._steady.add(values, now)

    def steady(self, now: float) -> float:
        """Return the slowness over many seconds; 1 is usual."""
        millis, usual_ms = self._steady.advance(now)
        return _bound(
            (millis + STEADY_PRIOR_MS) / (usual_ms + STEADY_PRIOR_MS)
        )

    def recent(self, now: float) -> float:
        """Return the slowness of about the last second; 1 is usual."""
        millis, usual_ms = self._recent.advance(now)
        prior_ms = RECENT_PRIOR_MS * self.steady(now)
        return _bound((millis + prior_ms) / (usual_ms + RECENT_PRIOR_MS))


def _bound(slowness: float) -> float:
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))


class Speeds:
    """The speeds of all endpoints of a pool.

    Attributes
    ----------
    times : PoolTimes
        The pool's usual times.
    """

    def __init__(self) -> None:
        self.times = PoolTimes()
        self._speeds: dict[ids.EndpointId, EndpointSpeed] = {}

    def record(
        self, seen: tuple[observations.Observation, ...], now: float
    ) -> None:
        """Record what all callers saw in an interval."""
        for one in seen:
            self.times.record(one, now)
        self.times.fit(now)
        for one in seen:
            speed = self._speeds.setdefault(one.endpoint, EndpointSpeed())
            speed.record(one, self.times, now)

    def recent(self, endpoint: ids.EndpointId, now: float) -> float:
        """Return an endpoint's slowness now; see `EndpointSpeed.recent`."""
        speed = self._speeds.get(endpoint)
        return 1.0 if speed is None else speed.recent(now)

    def steady(self, endpoint: ids.EndpointId, now: float) -> float:
        """Return its slowness over seconds; see `EndpointSpeed.steady`."""
        speed = self._speeds.get(endpoint)
        return 1.0 if speed is None else speed.steady(now)

    def median(self, now: float) -> float:
        """Return the median of the steady slowness of all endpoints."""
        return statistics.median(
            [speed.steady(now) for speed in self._speeds.values()] or [1.0]
        )

    def keep(self, endpoints: frozenset[ids.EndpointId]) -> None:
        """Forget all other endpoints."""
        for endpoint in self._speeds.keys() - endpoints:
            del self._speeds[endpoint]
