"""Jobs of batch stages, and the batch calls that carry their items."""

import msgspec

from chervilshore import ids
from chervilshore import records


class Job(msgspec.Struct, eq=False):
    """The items of one batch stage of one request.

    Parameters
    ----------
    name : str
        Unique among all hosts.
    request : RequestId
        The request.
    stage : int
        The position of the batch stage in the pipeline.
    count : int
        The number of items, which are numbered from 0.
    key : str
        What the items work on when they have no inputs.
    inputs : tuple of str
        The handles of the results that each item reads.
    priority : int
        Lower goes first.
    due : float
        The time by which its call must begin to reach the objective.
    deadline : float
        The time by which its call must begin to be of any use.
    result_bytes : int
        Estimated bytes of one result.
    domain : DomainId
        The preferred failure domain; empty for any.
    cross_domain_bytes : int
        Bytes sent between domains when it runs in another one.
    input_bytes : int
        Estimated bytes of all inputs of one item.

    Attributes
    ----------
    handles : list of str
        The handle of each item's result; empty while there is none.
    waiting : set of int
        Items that are in no call.
    unread : set of int
        Items whose inputs have not been read yet.
    inputs_released : bool
        Whether all inputs were read and may be gone by now.
    failed_calls : int
        Calls that returned no result for some of its items.
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
    cross_domain_bytes: int = 0
    input_bytes: int = 0
    handles: list[str] = []
    waiting: set[int] = set()
    unread: set[int] = set()
    inputs_released: bool = False
    failed_calls: int = 0

    def __post_init__(self) -> None:
        self.handles = [""] * self.count
        self.waiting = set(range(self.count))
        self.unread = set(self.waiting)

    @property
    def is_begun(self) -> bool:
        """Whether some of its items are in a call or have their result."""
        return len(self.waiting) < self.count

    @property
    def holds_space(self) -> bool:
        """Whether results of a begun job use space until all are made."""
        return self.is_begun and self.result_bytes > 0

    @property
    def is_done(self) -> bool:
        """Whether every item has its result."""
        return all(self.handles)


class CallPart(msgspec.Struct, frozen=True, eq=False):
    """The items of one job that a call carries."""

    job: Job
    item_indexes: tuple[int, ...]


class BatchCall(msgspec.Struct, eq=False):
    """One call to a batch endpoint, with items of several jobs.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint.
    parts : list of CallPart
        The items by job.
    started_at : float
        The time at which it starts, in milliseconds.
    expected_ms : float
        Milliseconds that it should take.
    overdue : bool
        Whether it takes so long that its items may go to other calls.
    moved_jobs : set of str
        Names of the jobs whose items were put back into the queue when it
        became overdue.
    """

    record: records.EndpointRecord
    parts: list[CallPart]
    started_at: float
    expected_ms: float
    overdue: bool = False
    moved_jobs: set[str] = msgspec.field(default_factory=set)

    @property
    def own_parts(self) -> list[CallPart]:
        """The parts whose items were not put back into the queue."""
        return [
            part for part in self.parts if part.job.name not in self.moved_jobs
        ]

    @property
    def size(self) -> int:
        """The number of items."""
        return sum(len(part.item_indexes) for part in self.parts)
