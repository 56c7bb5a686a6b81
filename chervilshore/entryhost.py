"""What all kinds of entry hosts share."""

import random

import mode

from chervilshore import clock as clocks
from chervilshore import metrics
from chervilshore import settings


class EntryHost(mode.Service):
    """Base class of entry hosts.

    Parameters
    ----------
    options : Settings
        The validated settings.
    clock : Clock
        The clock of all parts.
    """

    def __init__(
        self, options: settings.Settings, clock: clocks.Clock
    ) -> None:
        super().__init__()
        self._options = options
        self._clock = clock
        self._metrics = metrics.Metrics()
        # Seeded by the system, as the numbers and names that are drawn must
        # differ between hosts and between process runs.
        self._random = random.Random()
        self._settings_refusal = ""
        self._metrics.set(metrics.Metric.SETTINGS_REFUSED, 0.0)

    def reload(self, options: settings.Settings) -> None:
        """Apply the new values of the settings that can change."""
        self._options = options
        self._settings_refusal = ""
        self._metrics.set(metrics.Metric.SETTINGS_REFUSED, 0.0)

    def refuse_settings(self, reason: str) -> None:
        """Show that new settings are invalid, until valid ones are applied.

        The host goes on with the former ones, but its process could not start
        again.
        """
        self._settings_refusal = reason
        self._metrics.set(metrics.Metric.SETTINGS_REFUSED, 1.0)

    def describe_settings(self) -> dict[str, str]:
        """Return the state of the settings as JSON values."""
        return {"refusal": self._settings_refusal}
