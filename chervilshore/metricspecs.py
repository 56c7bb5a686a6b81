"""What describes a metric: its name, type, labels and help text."""

import enum

import msgspec


class MetricKind(enum.Enum):
    """The type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class MetricSpec(msgspec.Struct, frozen=True):
    """One row of the table of metrics.

    Parameters
    ----------
    name : str
        The name, with the unit at the end.
    kind : MetricKind
        The type.
    labels : tuple of str
        The names of the labels.
    text : str
        The help text: what is counted or measured.
    """

    name: str
    kind: MetricKind
    labels: tuple[str, ...]
    text: str


def make_counter(name: str, labels: tuple[str, ...], text: str) -> MetricSpec:
    """Describe a counter."""
    return MetricSpec(name, MetricKind.COUNTER, labels, text)


def make_gauge(name: str, labels: tuple[str, ...], text: str) -> MetricSpec:
    """Describe a gauge."""
    return MetricSpec(name, MetricKind.GAUGE, labels, text)


def make_histogram(
    name: str, labels: tuple[str, ...], text: str
) -> MetricSpec:
    """Describe a histogram."""
    return MetricSpec(name, MetricKind.HISTOGRAM, labels, text)
