"""The numbered result codes that callers see."""

import enum

import msgspec


class Family(enum.Enum):
    """What a result code says about the effect of the request."""

    DONE = "DONE"
    NOT_RUN = "NOT RUN"
    FAILED = "FAILED"
    UNKNOWN = "UNKNOWN"


class Result(msgspec.Struct, frozen=True):
    """One row of the table of result codes.

    Parameters
    ----------
    number : int
        The number; its thousands digit stands for the family.
    family : Family
        Whether the request had an effect.
    status : int
        The HTTP status.
    text : str
        The meaning, for callers.
    """

    number: int
    family: Family
    status: int
    text: str


_DONE = Family.DONE
_NOT_RUN = Family.NOT_RUN
_FAILED = Family.FAILED
_UNKNOWN = Family.UNKNOWN


class Code(enum.Enum):
    """All result codes; docs/RESULTS.md lists them."""

    OK = Result(0, _DONE, 200, "The whole answer follows.")

    BAD_JSON = Result(1001, _NOT_RUN, 400, "The body is not a JSON object.")
    BODY_TOO_LARGE = Result(
        1002, _NOT_RUN, 413, "The body is over the allowed size."
    )
    BAD_HEADER = Result(
        1003, _NOT_RUN, 400, "A header has a value that is not allowed."
    )
    UNKNOWN_PIPELINE = Result(
        1004, _NOT_RUN, 404, "No pipeline or service has this name."
    )
    UNKNOWN_TEAM = Result(1005, _NOT_RUN, 403, "No team has this name.")
    KEY_NEEDED = Result(
        1006, _NOT_RUN, 400, "This service needs an idempotency key."
    )
    KEY_REUSED = Result(
        1007, _NOT_RUN, 422, "The key was used with another body."
    )
    KEY_SUPERSEDED = Result(
        1008, _NOT_RUN, 409, "A later send of this key was refused before."
    )
    DEADLINE_HOPELESS = Result(
        1010, _NOT_RUN, 503, "The deadline cannot be met."
    )
    DEADLINE_PASSED = Result(
        1011, _NOT_RUN, 504, "The deadline passed before it was run."
    )
    UNKNOWN_KEY = Result(1013, _NOT_RUN, 401, "No team holds this access key.")
    HEAD_TOO_LARGE = Result(
        1014, _NOT_RUN, 431, "The headers are over the allowed size."
    )
    BODY_LATE = Result(1012, _NOT_RUN, 408, "The body did not come in time.")
    TEAM_LIMIT = Result(1020, _NOT_RUN, 429, "The team is over its limit.")
    OVERLOADED = Result(
        1021, _NOT_RUN, 503, "There is more work than can be carried."
    )
    NO_ENDPOINT = Result(1022, _NOT_RUN, 503, "No endpoint may be used now.")
    REQUEST_HELD = Result(
        1023, _NOT_RUN, 503, "Requests like this one ended endpoints."
    )
    STREAM_UNKNOWN = Result(
        1024, _NOT_RUN, 503, "It is not known what began this stream."
    )
    DRAINING = Result(
        1030, _NOT_RUN, 503, "This host is leaving; use another one."
    )
    NOT_READY = Result(
        1031, _NOT_RUN, 503, "This host has no configuration yet."
    )
    PLATFORM_DOWN = Result(
        1040, _NOT_RUN, 503, "The claim could not be stored."
    )

    STAGE_FAILED = Result(
        2001, _FAILED, 502, "A stage ran and answered with an error."
    )
    STAGE_BROKEN = Result(
        2002, _FAILED, 502, "A repeatable stage broke on every attempt."
    )
    DEADLINE_MISSED = Result(
        2003, _FAILED, 504, "The deadline passed while it was running."
    )
    STREAM_BROKEN = Result(
        2004, _FAILED, 502, "The stream broke and could not be resumed."
    )
    STAGE_UNSERVED = Result(
        2005, _FAILED, 502, "A stage ran; a later one could not be run."
    )
    CALLER_GONE = Result(
        2006, _FAILED, 499, "The caller left before the end of the answer."
    )
    INTERNAL = Result(2090, _FAILED, 500, "The daemon failed.")

    OUTCOME_UNKNOWN = Result(
        3001, _UNKNOWN, 502, "It may have run; its answer was lost."
    )
    CLAIM_OPEN = Result(
        3002, _UNKNOWN, 409, "The key was claimed; no outcome is known."
    )
    CLAIM_UNKNOWN = Result(
        3003, _UNKNOWN, 503, "An earlier use of the key cannot be ruled out."
    )


BY_NUMBER = {code.value.number: code for code in Code}
"""The result codes by their numbers."""
