"""The tree of errors that the package raises."""


class ChervilshoreError(Exception):
    """The root of every error of this package."""


class SettingsError(ChervilshoreError):
    """A setting has a value that is not allowed."""


class RulesError(ChervilshoreError):
    """The operators' rules cannot be used as they are."""


class PlatformError(ChervilshoreError):
    """A call to the platform did not succeed."""


class PlatformUnavailable(PlatformError):
    """The platform did not take the call; nothing has changed."""


class PlatformUnknown(PlatformError):
    """The answer was lost; the change may or may not have taken effect."""


class ObjectMissing(PlatformError):
    """The object does not exist."""


class VersionConflict(PlatformError):
    """The object is not at the expected version."""


class ValueTooLarge(PlatformError):
    """The value is over the platform's limit."""


class PeerError(ChervilshoreError):
    """A peer did not answer, or answered with something unusable."""


class EndpointError(ChervilshoreError):
    """A call to an endpoint did not bring a whole answer."""


class EndpointUnreached(EndpointError):
    """No byte of the call went out; the endpoint has not run it."""


class EndpointBusy(EndpointError):
    """The endpoint refused the call without running it."""


class EndpointRejected(EndpointError):
    """The endpoint ran the call and answered that it failed."""


class EndpointBroken(EndpointError):
    """The call went out, and its answer was lost, short or late."""


class AnswerMismatch(EndpointBroken):
    """The answer belongs to another request, stage or attempt."""


class RefusalError(ChervilshoreError):
    """A request ends with a numbered result code.

    Parameters
    ----------
    code : results.Code
        The result code.
    detail : str
        What the caller should know besides.
    retry_after_ms : float or None
        Milliseconds after which the caller may come back.
    """

    def __init__(self, code, detail="", retry_after_ms=None) -> None:
        super().__init__(f"{code.value.number} {code.name}: {detail}")
        self.code = code
        self.detail = detail
        self.retry_after_ms = retry_after_ms


class LeaseLost(ChervilshoreError):
    """The lease is not, or no longer, held by this host."""
