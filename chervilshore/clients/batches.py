"""Interface of the client that runs batch items at endpoints."""

import abc
import enum

import msgspec

from chervilshore import ids
from chervilshore import records


class Failure(enum.Enum):
    """Why a batch item or a job has no result.

    MOVED comes from an owner that drains and hands back its waiting jobs;
    the submitter offers the job to another owner.
    """

    LATE = "late"
    INPUT_GONE = "input gone"
    OUT_OF_SPACE = "no room"
    ERROR = "error"
    MOVED = "moved"


class ItemCall(msgspec.Struct, frozen=True):
    """One batch item as it is sent to an endpoint.

    Parameters
    ----------
    request : RequestId
        The request to which it belongs.
    stage, item_index : int
        The position of the batch stage in the pipeline, and of the item in
        the stage.
    left_ms : float
        Milliseconds within which the endpoint must start the item.
    key : str
        What the item works on when it has no inputs.
    inputs : tuple of str
        Handles of the results that it reads.
    """

    request: ids.RequestId
    stage: int
    item_index: int
    left_ms: float
    key: str = ""
    inputs: tuple[str, ...] = ()


class ItemResult(msgspec.Struct, frozen=True, array_like=True):
    """The handle of an item's result, or why there is none."""

    handle: str = ""
    failure: Failure | None = None


class BatchClient(abc.ABC):
    """Runs batch items at endpoints and frees their results."""

    @abc.abstractmethod
    async def run(
        self,
        record: records.EndpointRecord,
        item_calls: list[ItemCall],
        timeout_ms: float,
    ) -> list[ItemResult]:
        """Run items in one call.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint.
        item_calls : list of ItemCall
            The items, at most as many as the pool allows in one call.
        timeout_ms : float
            Milliseconds to wait for the response.

        Returns
        -------
        list of ItemResult
            One for each item, in the same order.

        Raises
        ------
        exceptions.EndpointUnreached, exceptions.EndpointBusy
            No item has run.
        exceptions.EndpointBroken
            The response was lost, incomplete or too late.
        """

    @abc.abstractmethod
    async def free(
        self,
        record: records.EndpointRecord,
        handles: list[str],
        timeout_ms: float,
    ) -> None:
        """Delete results at an endpoint; raises what `run` raises."""
