"""Faults of the stand-ins of workers."""

import msgspec

from standins import repeats


class WorkerFaults(msgspec.Struct):
    """Faults that a worker injects; the counts are of further requests.

    Parameters
    ----------
    shed : int
        Requests that are refused with 503 as not run.
    fail : int
        Requests that run and are answered_id with 500.
    reset : int
        Requests that run, after which the connection is aborted without an
        answer.
    cut_after : int
        Events after which the next stream is aborted; negative for never.
    cut_new : int
        Events after which streams are aborted that begin with their first
        event; 0 for never.
    mute : bool
        Whether requests run and are never answered_id.
    cross : bool
        Whether answers carry another request's id.
    extra : bool
        Whether extra bytes follow a complete answer.
    cut_body : bool
        Whether the connection is closed before the end of a body.
    body_bytes : int
        Bytes to which plain answers are filled up.
    gone : int
        Requests and batch calls that fail as if their inputs were no longer
        stored.
    limit : str
        Value of the limit that answers name; empty for none.
    brittle : str
        Value of the header by which answers say that the worker is brittle;
        empty for none.
    leaving : bool
        Whether answers say that the worker leaves.
    retry_after : str
        Value of Retry-After on refusals; empty for none.
    crash_body : bytes
        Body of requests that end the worker when they begin; empty for none.
    crash_part : str
        Part of a prompt, other than its last one, that ends the worker when
        it begins to answer; empty for none.
    crash_after : int
        Events that it writes before that part ends it.
    crash_linger_s : float
        Seconds for which its address still accepts connections then.
    silent_reports : bool
        Whether it does not answer questions for its report.
    unmarked : int
        Requests that run and are answered with 408, 429 or 503, without the
        statement that they have not run.
    fail_resumed : int
        Requests to go on with a stream that are answered with an error.
    repeat : Repeat or None
        Which earlier responses are written once more, while it is set.
    """

    shed: int = 0
    fail: int = 0
    reset: int = 0
    cut_after: int = -1
    cut_new: int = 0
    mute: bool = False
    cross: bool = False
    extra: bool = False
    cut_body: bool = False
    body_bytes: int = 0
    gone: int = 0
    limit: str = ""
    brittle: str = ""
    leaving: bool = False
    retry_after: str = ""
    crash_body: bytes = b""
    crash_part: str = ""
    crash_after: int = 0
    crash_linger_s: float = 0.0
    silent_reports: bool = False
    unmarked: int = 0
    fail_resumed: int = 0
    repeat: repeats.Repeat | None = None

    def is_crash(self, headers: dict[str, str], number: int) -> bool:
        """Return whether a prompt ends the worker at its event of a number."""
        prefix = headers.get("chervilshore-prompt-prefix", "")
        names = [part.partition(":")[0] for part in prefix.split(",")]
        return number > self.crash_after and self.crash_part in names[:-1]


class VersionFaults(msgspec.Struct):
    """Faults of a bad software version.

    Parameters
    ----------
    fail_share : float
        Share of the requests that are answered with 500.
    slow_share : float
        Share of the requests that take longer.
    slow_factor : float
        Factor on the time that these take.
    since : float
        Seconds of the event loop from which there are faults.
    load : int
        Requests in progress from which there are faults.
    path : str
        Start of the paths of the requests that are concerned.
    """

    fail_share: float = 0.0
    slow_share: float = 0.0
    slow_factor: float = 1.0
    since: float = 0.0
    load: int = 0
    path: str = ""

    def concern(self, path: str, active: int, now: float) -> bool:
        """Return whether there are faults for a request.

        Parameters
        ----------
        path : str
            The path of the request.
        active : int
            Requests in progress, with this one.
        now : float
            Seconds of the event loop.
        """
        return (
            now >= self.since
            and active >= self.load
            and path.startswith(self.path)
        )
