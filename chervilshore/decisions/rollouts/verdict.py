"""Whether a version is good or bad, by what the hosts have seen."""

import enum

import msgspec

from chervilshore.decisions.rollouts import evidence as evidences


class Finding(enum.Enum):
    """What the evidence shows of a version."""

    PENDING = "pending"
    GOOD = "good"
    BAD = "bad"


class Verdict(msgspec.Struct, frozen=True):
    """The result of a judgement.

    Parameters
    ----------
    finding : Finding
        What the evidence shows.
    reason : str
        Why a version is bad.
    """

    finding: Finding = Finding.PENDING
    reason: str = ""


PENDING = Verdict()


class Judge:
    """Compares the new version with the others at the same time."""

    def judge(self, evidence: evidences.Evidence, now: float) -> Verdict:
        """Return what the evidence shows at a time in milliseconds."""
        return PENDING
