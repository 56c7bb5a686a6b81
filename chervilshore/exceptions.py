"""The tree of errors that the package raises."""


class ChervilshoreError(Exception):
    """The root of every error of this package."""


class SettingsError(ChervilshoreError):
    """A setting has a value that is not allowed."""


class RulesError(ChervilshoreError):
    """The operators' rules cannot be used as they are."""


class RulesInvalid(RulesError):
    """A rules file has problems.

    Parameters
    ----------
    problems : tuple of lines.Problem
        All of them.
    """

    def __init__(self, problems) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class ChangeRefused(ChervilshoreError):
    """A change to the configuration was not accepted."""


class GuardRefused(ChangeRefused):
    """A change looks like a mistake, and nobody has said that it is not.

    Parameters
    ----------
    dangers : tuple of guards.Danger
        What looks like a mistake.
    """

    def __init__(self, dangers) -> None:
        super().__init__("\n".join(str(danger) for danger in dangers))
        self.dangers = dangers


class ChangeConflict(ChangeRefused):
    """Another change was accepted since the edited generation.

    Parameters
    ----------
    text : str
        What has happened.
    conflicts : tuple of differences.Conflict
        The rules that both have changed.
    """

    def __init__(self, text, conflicts=()) -> None:
        super().__init__("\n".join([text, *map(str, conflicts)]))
        self.conflicts = conflicts


class ChangeUnknown(ChervilshoreError):
    """A change may or may not have been accepted.

    Parameters
    ----------
    generation : ids.Generation
        The generation that it would be.
    change : ids.ChangeId
        Its id.
    """

    def __init__(self, generation, change) -> None:
        super().__init__(
            f"change {change} may or may not have become generation "
            f"{generation}; ask again: chervilshore settle {generation} "
            f"{change}"
        )
        self.generation = generation
        self.change = change


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


class InputsGone(EndpointBusy):
    """The call was not run, as a result that it needs is gone."""


class EndpointRejected(EndpointError):
    """The endpoint ran the call and answered that it failed.

    Parameters
    ----------
    text : str
        What it said.
    response : passages.Response or None
        Its answer, when that can be passed on.
    """

    def __init__(self, text="", response=None) -> None:
        super().__init__(text)
        self.response = response


class EndpointBroken(EndpointError):
    """The call went out, and its answer was lost, short or late."""


class AnswerMismatch(EndpointBroken):
    """The answer belongs to another request, stage or attempt."""


class CallerGone(ChervilshoreError):
    """The caller's connection has closed before the end of its answer."""


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


class HistoryGone(PlatformError):
    """The store no longer keeps the changes since a revision."""
