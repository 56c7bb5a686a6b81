"""Pieces of work that go before a request, and calls that carry them."""

import msgspec

from chervilshore import ids
from chervilshore import records


class Job(msgspec.Struct, eq=False):
    """The pieces that one preparation of a request needs.

    Parameters
    ----------
    name : str
        Unique among all hosts.
    request : RequestId
        The request.
    stage : int
        The position of the preparation.
    count : int
        Its pieces.
    key : str
        What the pieces work on, when they have no inputs.
    inputs : tuple of str
        The results that they work on.
    priority : int
        Lower goes first.
    due : float
        The moment by which its call must begin to reach the objective.
    deadline : float
        The moment by which its call must begin to be of use at all.
    result_bytes : int
        Bytes of one result, about.
    domain : DomainId
        Where it is best done; empty when that is open.
    far_bytes : int
        Bytes that go between domains when it is done elsewhere.
    input_bytes : int
        Bytes of all inputs of a piece, about.

    Attributes
    ----------
    handles : list of str
        The results, empty where there is none yet.
    waiting : set of int
        Pieces that are in no call.
    unread : set of int
        Pieces whose inputs are still to be read.
    is_read : bool
        Whether its inputs have been given up as read.
    tries : int
        Calls that brought nothing for it.
    """

    name: str
    request: ids.RequestId
    stage: int
    count: int
    key: str = ""
    inputs: tuple[str, ...] = ()
    priority: int = 5
    due: float = 0.0
    deadline: float = 0.0
    result_bytes: int = 0
    domain: ids.DomainId = ids.DomainId("")
    far_bytes: int = 0
    input_bytes: int = 0
    handles: list[str] = []
    waiting: set[int] = set()
    unread: set[int] = set()
    is_read: bool = False
    tries: int = 0

    def __post_init__(self) -> None:
        self.handles = [""] * self.count
        self.waiting = set(range(self.count))
        self.unread = set(self.waiting)

    @property
    def is_done(self) -> bool:
        """Whether every piece has its result."""
        return all(self.handles)


class Part(msgspec.Struct, frozen=True, eq=False):
    """Some pieces of a job within a call."""

    job: Job
    item_indexes: tuple[int, ...]


class BatchCall(msgspec.Struct, eq=False):
    """A call to an endpoint.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint.
    parts : list of Part
        The pieces.
    began : float
        The moment at which it begins.
    expected_ms : float
        Milliseconds that it should take.
    released : bool
        Whether it takes too long, and no more is expected of it.
    moved : set of str
        Jobs whose pieces wait for another call since then.
    """

    record: records.EndpointRecord
    parts: list[Part]
    began: float
    expected_ms: float
    released: bool = False
    moved: set[str] = msgspec.field(default_factory=set)

    @property
    def own_parts(self) -> list[Part]:
        """The parts that no other call has taken over."""
        return [part for part in self.parts if part.job.name not in self.moved]

    @property
    def size(self) -> int:
        """The number of its pieces."""
        return sum(len(part.item_indexes) for part in self.parts)
