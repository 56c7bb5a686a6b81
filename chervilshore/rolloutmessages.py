"""Messages by which hosts exchange the evidence of roll-outs."""

from chervilshore.decisions.rollouts import evidence
from chervilshore import messages


class RolloutReport(messages.Message, frozen=True, tag="pr"):
    """Reports what hosts have seen of the versions of a pool.

    Parameters
    ----------
    reports : tuple of HostEvidence
        Totals of hosts; each one names the order that it belongs to.
    """

    reports: tuple[evidence.HostEvidence, ...] = ()


class RolloutReportRequest(messages.Message, frozen=True, tag="pq"):
    """Asks a host for all that it knows of the orders with these numbers."""

    revisions: tuple[int, ...]
