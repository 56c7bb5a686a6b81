"""Messages by which hosts learn the capacity of endpoints together."""

from chervilshore.decisions.capacity import observations
from chervilshore import messages


class CapacityReport(messages.Message, frozen=True, tag="cp"):
    """Tells an aggregator what a host, or the hosts of a domain, saw.

    Parameters
    ----------
    source : str
        The name of the host, or of the domain.
    seen : tuple of Observation
        What was seen since the source's last report; endpoints that are
        missing are not in use.
    is_domain : bool
        Whether it is a report of a whole domain.
    age_ms : int
        Milliseconds since it was seen, in the mean.
    """

    source: str
    seen: tuple[observations.Observation, ...]
    is_domain: bool = False
    age_ms: int = 0


class CapacityTable(messages.Message, frozen=True, tag="cx"):
    """Tells the hosts of a domain what all hosts saw.

    Parameters
    ----------
    seen : tuple of Observation
        The sum over all hosts.
    age_ms : int
        Milliseconds since it was seen, in the mean.
    """

    seen: tuple[observations.Observation, ...]
    age_ms: int = 0
