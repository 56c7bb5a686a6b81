"""Messages by which hosts tell each other which endpoints have ended."""

from chervilshore.decisions import crashevidence
from chervilshore import messages


class CrashReport(messages.Message, frozen=True, tag="qr"):
    """Reports endpoints that ended, and what requests held that ran there."""

    findings: tuple[crashevidence.Finding, ...] = ()


class CrashReportRequest(messages.Message, frozen=True, tag="qa"):
    """Asks for a report, which is empty if both hosts know the same.

    Parameters
    ----------
    digest : int
        The hash of what the sender knows.
    """

    digest: int = 0
