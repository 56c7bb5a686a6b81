"""Messages about pieces of work, between hosts and a pool's keeper."""

from chervilshore.clients import batches
from chervilshore.decisions import backlog
from chervilshore import ids
from chervilshore import messages


class PiecesAsk(messages.Message, frozen=True, tag="wa"):
    """Asks the keeper of a pool to have pieces made.

    It may be sent again; the keeper knows the job by its name.

    Parameters
    ----------
    job : str
        Unique among all hosts.
    pool : PoolName
        The pool.
    request : RequestId
        The request.
    stage, count : int
        The position of the preparation, and its pieces.
    key : str
        What the pieces work on, when they have no inputs.
    inputs : tuple of str
        The results that they work on.
    priority : int
        Lower goes first.
    due_ms, left_ms : float
        Milliseconds within which the call must begin to reach the
        objective, and to be of use at all.
    result_bytes, input_bytes : int
        Bytes of one result and of all inputs of a piece, about.
    domain : DomainId
        Where it is best done; empty when that is open.
    far_bytes : int
        Bytes that go between domains when it is done elsewhere.
    """

    job: str
    pool: ids.PoolName
    request: ids.RequestId
    stage: int
    count: int
    key: str
    inputs: tuple[str, ...]
    priority: int
    due_ms: float
    left_ms: float
    result_bytes: int
    domain: ids.DomainId
    far_bytes: int = 0
    input_bytes: int = 0


class PiecesTaken(messages.Message, frozen=True, tag="wt"):
    """Says that the keeper has the job, and how long its queue is.

    Parameters
    ----------
    waits : Waits
        How long new pieces wait.
    """

    waits: backlog.Waits


class PiecesMade(messages.Message, frozen=True, tag="wm"):
    """Brings the results of a job, or why it has none.

    Parameters
    ----------
    job : str
        The job.
    handles : tuple of str
        The results in order; empty when it failed.
    failure : Failure or None
        Why it failed.
    """

    job: str
    handles: tuple[str, ...]
    failure: batches.Failure | None = None


class PiecesRead(messages.Message, frozen=True, tag="wr"):
    """Says that the inputs of a job have been read by all its calls.

    Parameters
    ----------
    job : str
        The job.
    """

    job: str


class PiecesDrop(messages.Message, frozen=True, tag="wd"):
    """Says that a job is not needed any more."""

    job: str


class PiecesFree(messages.Message, frozen=True, tag="wf"):
    """Says that results of a pool are not needed any more."""

    pool: ids.PoolName
    handles: tuple[str, ...]
