"""Messages about batch jobs between hosts and the owner of a batch pool."""

from chervilshore.clients import batches
from chervilshore.decisions import backlog
from chervilshore.decisions import batchjobs
from chervilshore import ids
from chervilshore import messages


class BatchJobRequest(messages.Message, frozen=True, tag="wa"):
    """Requests the results of a job from the owner of its pool.

    It may be sent again: the owner recognizes the job by its name.

    Parameters
    ----------
    job : str
        The name of the job, unique among all hosts.
    pool : PoolName
        The pool.
    request : RequestId
        The request.
    stage, count : int
        The position of the batch stage, and the number of its items.
    key : str
        What the items work on when they have no inputs.
    inputs : tuple of str
        The handles of the results that each item reads.
    priority : int
        Lower goes first.
    due_ms, left_ms : float
        Milliseconds until the latest start with which the request meets its
        latency objective, and until the latest one at which the results are
        still of use.
    result_bytes : int
        Estimated bytes of one result.
    domain : DomainId
        The preferred failure domain; empty for any.
    cross_domain_bytes : int
        Bytes sent between domains when it runs in another one.
    input_bytes : int
        Estimated bytes of all inputs of one item.
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
    cross_domain_bytes: int = 0
    input_bytes: int = 0

    def make_job(self, now: float) -> batchjobs.Job:
        """Make the job of a request that arrives at a time in milliseconds."""
        return batchjobs.Job(
            name=self.job,
            request=self.request,
            stage=self.stage,
            count=self.count,
            key=self.key,
            inputs=self.inputs,
            priority=self.priority,
            due=now + self.due_ms,
            deadline=now + self.left_ms,
            result_bytes=self.result_bytes,
            domain=self.domain,
            cross_domain_bytes=self.cross_domain_bytes,
            input_bytes=self.input_bytes,
        )


class BatchJobAccepted(messages.Message, frozen=True, tag="wt"):
    """Reports that the owner has accepted a job.

    Parameters
    ----------
    waits : WaitEstimate
        How long new items wait in the queue of the pool.
    """

    waits: backlog.WaitEstimate


class BatchJobResult(messages.Message, frozen=True, tag="wm"):
    """Carries the results of a job, or the reason why it has none.

    Parameters
    ----------
    job : str
        The name of the job.
    handles : tuple of str
        The handles of the results, in the order of the items; empty when the
        job failed.
    failure : Failure or None
        Why it failed.
    """

    job: str
    handles: tuple[str, ...]
    failure: batches.Failure | None = None


class BatchInputsRead(messages.Message, frozen=True, tag="wr"):
    """Reports that all calls of a job have read its inputs."""

    job: str


class BatchJobCancelled(messages.Message, frozen=True, tag="wd"):
    """Cancels a job that is not needed any more."""

    job: str


class BatchResultsReleased(messages.Message, frozen=True, tag="wf"):
    """Releases results of a pool that are not needed any more."""

    pool: ids.PoolName
    handles: tuple[str, ...]
