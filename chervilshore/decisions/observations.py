"""What a holder has observed at an endpoint and not yet reported."""

from chervilshore.decisions import concurrency
from chervilshore import ids
from chervilshore import records

MAX_OUTCOMES = 64
"""Maximum of outcomes in one request."""


class Observations:
    """Outcomes and signs of a cold start, until the owner has received them.

    Observations in a request without a reply are reported again.  The owner
    may receive them twice, which does no harm.
    """

    def __init__(self) -> None:
        self._outcomes: list[tuple[records.Outcome, float]] = []
        self._instance = ids.InstanceId("")
        self._cold = False
        self._sent = concurrency.Sample()

    def has_pending(self) -> bool:
        """Return whether there are observations to report."""
        return bool(self._outcomes) or self._cold

    def record(self, sample: concurrency.Sample) -> bool:
        """Add the observations of one attempt.

        Returns
        -------
        bool
            Whether they suggest that the endpoint is cold.
        """
        self._outcomes.extend(sample.outcomes)
        self._cold = self._cold or sample.cold
        previous = self._instance
        self._instance = sample.instance or previous
        has_restarted = previous not in ("", self._instance)
        has_failed = any(
            outcome in concurrency.COLD_START_OUTCOMES
            for outcome, _ in sample.outcomes
        )
        return sample.cold or has_restarted or has_failed

    def take_pending(self) -> concurrency.Sample:
        """Return the observations to report, and mark them as sent."""
        outcomes = tuple(self._outcomes[-MAX_OUTCOMES:])
        self._sent = concurrency.Sample(outcomes, self._instance, self._cold)
        self._outcomes = []
        self._cold = False
        return self._sent

    def requeue_sent(self) -> None:
        """Mark the sent observations as pending, as no reply arrived."""
        self._outcomes = [*self._sent.outcomes, *self._outcomes]
        self._cold = self._cold or self._sent.cold
        self.confirm_sent()

    def confirm_sent(self) -> None:
        """Drop the sent observations, as the owner has received them."""
        self._sent = concurrency.Sample()
