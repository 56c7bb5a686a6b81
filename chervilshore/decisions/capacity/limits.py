"""Estimates how many requests an endpoint bears before it slows down.

The limit follows the ratio of an endpoint's best pause between events to the
recent one, as gradient limits do for whole requests: while the pause stays
near its best, the limit grows with what runs there, and falls when the pause
becomes longer. Rejections cut it at once.
"""

import math

from chervilshore.decisions.capacity import observations

FIRST_LIMIT = 4.0
"""Limit of an endpoint of which nothing is known."""

MIN_LIMIT = 1.0

TOLERANCE = 1.5
"""Multiple of the best pause that is no reason to lower the limit: batches
slow each request a little."""

MIN_GRADIENT = 0.5
"""Lowest factor by which one observation lowers the limit."""

SMOOTHING = 0.2
"""Weight of the newest value of the limit."""

REJECTION_FACTOR = 0.7
"""Factor of the limit after a rejection."""

USED_FRACTION = 0.5
"""Fraction of the limit that must be in use for it to grow."""

PAUSE_HALF_LIFE_MS = 300.0
"""Half-life of the recent pause."""

USUAL_HALF_LIFE_MS = 2000.0
"""Half-life of the pause whose lowest value is the best one: prompts that are
read lengthen pauses for a moment at any load."""

MIN_PAUSES = 4.0
"""Recent pauses from which they are judged."""

BEST_DRIFT_PER_S = 0.02
"""Fraction by which the best pause is forgotten in a second, so that it
follows an endpoint that has become slower for good."""


class EndpointLimit:
    """The limit of one endpoint over all hosts.

    Attributes
    ----------
    limit : float
        Requests that it may run at a time before others are preferred.
    """

    def __init__(self) -> None:
        self.limit = FIRST_LIMIT
        self._recent = observations.DecayingSum(PAUSE_HALF_LIFE_MS, 2)
        self._usual = observations.DecayingSum(USUAL_HALF_LIFE_MS, 2)
        self._best_ms = math.inf
        self._has_fallen = False
        self._seen_at: float | None = None

    def record(
        self, seen: observations.Observation, slots: int, now: float
    ) -> None:
        """Adapt the limit to what was seen in an interval.

        Parameters
        ----------
        seen : Observation
            What all hosts saw.
        slots : int
            Requests that the endpoint runs at a time; bounds the limit.
        now : float
            The time in milliseconds.
        """
        if seen.rejections:
            self._has_fallen = True
            self.limit *= REJECTION_FACTOR
        self._recent.add((seen.pauses, seen.pauses_ms), now)
        self._usual.add((seen.pauses, seen.pauses_ms), now)
        pauses, pauses_ms = self._recent.values
        if pauses >= MIN_PAUSES and pauses_ms > 0.0:
            self._adapt(pauses_ms / pauses, seen.in_flight, now)
        self.limit = min(float(slots), max(MIN_LIMIT, self.limit))

    def _adapt(self, pause_ms: float, in_flight: int, now: float) -> None:
        elapsed_s = 0.0
        if self._seen_at is not None:
            elapsed_s = (now - self._seen_at) / 1000.0
        self._seen_at = now
        pauses, pauses_ms = self._usual.values
        self._best_ms = min(
            pauses_ms / pauses,
            self._best_ms * (1.0 + BEST_DRIFT_PER_S * elapsed_s),
        )
        gradient = min(1.0, TOLERANCE * self._best_ms / pause_ms)
        if gradient < 1.0:
            self._has_fallen = True
            # What runs there is what it does not bear, not the limit.
            base = min(self.limit, max(1.0, in_flight))
            target = base * max(MIN_GRADIENT, gradient)
            self.limit += SMOOTHING * (target - self.limit)
        elif in_flight >= USED_FRACTION * self.limit:
            if self._has_fallen:
                self.limit += SMOOTHING * math.sqrt(self.limit)
            else:
                self.limit *= 1.0 + SMOOTHING
