"""What a holder has seen of an endpoint and its keeper may not know."""

from chervilshore.decisions import concurrency
from chervilshore import ids
from chervilshore import records

MOST_OUTCOMES = 64
"""Outcomes that one message tells at most."""


class Observations:
    """Outcomes and signs of one endpoint, until its keeper has them.

    What was sent without an answer is told again: the keeper bears
    hearing it twice.
    """

    def __init__(self) -> None:
        self._outcomes: list[tuple[records.Outcome, float]] = []
        self._instance = ids.InstanceId("")
        self._cold = False
        self._sent = concurrency.Sample()

    def is_any(self) -> bool:
        """Tell whether there is anything to tell."""
        return bool(self._outcomes) or self._cold

    def note(self, sample: concurrency.Sample) -> bool:
        """Add what one attempt showed.

        Returns
        -------
        bool
            Whether it may be a sign that the endpoint is cold.
        """
        self._outcomes.extend(sample.outcomes)
        self._cold = self._cold or sample.cold
        former = self._instance
        self._instance = sample.instance or former
        has_restarted = former not in ("", self._instance)
        has_failed = any(
            outcome in concurrency.SIGNS for outcome, _ in sample.outcomes
        )
        return sample.cold or has_restarted or has_failed

    def send(self) -> concurrency.Sample:
        """Take all that is to be told."""
        outcomes = tuple(self._outcomes[-MOST_OUTCOMES:])
        self._sent = concurrency.Sample(outcomes, self._instance, self._cold)
        self._outcomes = []
        self._cold = False
        return self._sent

    def take_back(self) -> None:
        """Learn that what was sent may not have come."""
        self._outcomes = [*self._sent.outcomes, *self._outcomes]
        self._cold = self._cold or self._sent.cold
        self.forget_sent()

    def forget_sent(self) -> None:
        """Learn that what was sent has come."""
        self._sent = concurrency.Sample()
