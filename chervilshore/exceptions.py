"""The exceptions that the package raises."""

from chervilshore import objects


class ChervilshoreError(Exception):
    """Base class of all exceptions of this package."""


class SettingsError(ChervilshoreError):
    """A setting is missing or has an invalid value."""


class RulesError(ChervilshoreError):
    """The operators' rules cannot be read or used."""


class RulesInvalid(RulesError):
    """A rules file has problems.

    Parameters
    ----------
    problems : tuple of lines.Problem
        All problems of the file.
    """

    def __init__(self, problems) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class ChangeRefused(ChervilshoreError):
    """A change to the configuration was not accepted."""


class GuardRefused(ChangeRefused):
    """A guard refuses a change that looks like a mistake.

    Parameters
    ----------
    dangers : tuple of guards.Danger
        The findings of the guards that are not overridden.
    """

    def __init__(self, dangers) -> None:
        super().__init__("\n".join(str(danger) for danger in dangers))
        self.dangers = dangers


class ChangeConflict(ChangeRefused):
    """Another change was accepted since the edited generation.

    Parameters
    ----------
    text : str
        The message.
    conflicts : tuple of differences.Conflict
        The rules that both changes differ in.
    """

    def __init__(self, text, conflicts=()) -> None:
        super().__init__("\n".join([text, *map(str, conflicts)]))
        self.conflicts = conflicts


class ChangeUnknown(ChervilshoreError):
    """A change may or may not have been accepted.

    Parameters
    ----------
    generation : ids.Generation
        The generation that the change would become.
    change : ids.ChangeId
        The id of the change.
    """

    def __init__(self, generation, change) -> None:
        super().__init__(
            f"change {change} may or may not have become generation "
            f"{generation}; ask again: chervilshore settle {generation} "
            f"{change}"
        )
        self.generation = generation
        self.change = change


class ContentInvalid(ChervilshoreError):
    """What another program has written cannot be read or used."""


class PlatformError(ChervilshoreError):
    """A call to the platform failed."""


class PlatformUnavailable(PlatformError):
    """The platform did not accept the call; nothing was changed."""


class PlatformUnknown(PlatformError):
    """The response was lost; the call may or may not have had an effect."""


class ObjectMissing(PlatformError):
    """The object does not exist."""


class VersionConflict(PlatformError):
    """The object is not at the expected version."""


class ObjectChanged(PlatformError):
    """An object of the store has changed since it was read.

    Parameters
    ----------
    path : str
        Where the object is.
    present : StoredObject or None
        The object as it is now; None if it is gone.
    """

    def __init__(
        self, path: str, present: objects.StoredObject | None = None
    ) -> None:
        super().__init__(f"{path} has changed")
        self.present = present


class ValueTooLarge(PlatformError):
    """The value is larger than the platform's limit."""


class PeerError(ChervilshoreError):
    """A peer did not answer, or its answer is invalid."""


class EndpointError(ChervilshoreError):
    """A call to an endpoint failed or its response is incomplete."""


class EndpointUnreached(EndpointError):
    """No byte of the call was sent; the endpoint did not run it."""


class RelayUnavailable(EndpointUnreached):
    """A peer could not be asked to reach an endpoint."""


class EndpointBusy(EndpointError):
    """The endpoint refused the call without running it."""


class InputsGone(EndpointBusy):
    """The endpoint did not run the call: a result it needs is gone."""


class EndpointRejected(EndpointError):
    """The endpoint ran the call and responded with an error.

    Parameters
    ----------
    text : str
        The error message of the endpoint.
    response : forwarded.Response or None
        The response, if it can be passed on to the caller.
    """

    def __init__(self, text="", response=None) -> None:
        super().__init__(text)
        self.response = response


class EndpointBroken(EndpointError):
    """The call was sent; its response was lost, incomplete or late."""


class EndpointLost(EndpointBroken):
    """The endpoint closed the connection before its response was complete."""


class ResponseTooLarge(EndpointBroken):
    """The response exceeds a bound; its end was not awaited."""


class AnswerMismatch(EndpointBroken):
    """The response belongs to another request, stage or attempt.

    Attributes
    ----------
    reason : str
        The reason in the metric of dropped answers.
    """

    reason = "mismatch"


class StreamMismatch(AnswerMismatch):
    """The response does not go on with the stream that the caller has."""

    reason = "stream"


class CallerGone(ChervilshoreError):
    """The caller closed the connection before the end of the answer."""


class RefusalError(ChervilshoreError):
    """A request ends with a numbered result code.

    Parameters
    ----------
    code : results.Code
        The result code.
    detail : str
        Additional message for the caller.
    retry_after_ms : float or None
        Milliseconds after which the caller may retry.
    """

    def __init__(self, code, detail="", retry_after_ms=None) -> None:
        super().__init__(f"{code.value.number} {code.name}: {detail}")
        self.code = code
        self.detail = detail
        self.retry_after_ms = retry_after_ms


class LeaseLost(ChervilshoreError):
    """This host does not hold the lease, or has lost it."""


class HistoryGone(PlatformError):
    """The store no longer has the changes since a position."""


class StoreRestored(HistoryGone):
    """The store was restored from a copy since a position was read."""
