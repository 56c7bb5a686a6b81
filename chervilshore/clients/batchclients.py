"""Calls for pieces of work at the endpoints of preparing pools."""

import abc
import enum

import msgspec

from chervilshore import ids
from chervilshore import records


class Failure(enum.Enum):
    """Why a piece has no result."""

    LATE = "late"
    INPUT_GONE = "input gone"
    OUT_OF_SPACE = "no room"
    ERROR = "error"
    MOVED = "moved"


class ItemCall(msgspec.Struct, frozen=True):
    """A piece as an endpoint is asked for it.

    Parameters
    ----------
    request : RequestId
        The request to which it belongs.
    stage, piece : int
        The position of the preparation, and of the piece in it.
    left_ms : float
        Milliseconds within which its turn must have come.
    key : str
        What it works on, when it has no inputs.
    inputs : tuple of str
        The results that it works on.
    """

    request: ids.RequestId
    stage: int
    piece: int
    left_ms: float
    key: str = ""
    inputs: tuple[str, ...] = ()


class ItemResult(msgspec.Struct, frozen=True, array_like=True):
    """The result's handle, or why there is none."""

    handle: str = ""
    failure: Failure | None = None


class BatchClient(abc.ABC):
    """Makes calls for pieces."""

    @abc.abstractmethod
    async def run(
        self,
        record: records.EndpointRecord,
        item_calls: list[ItemCall],
        timeout_ms: float,
    ) -> list[ItemResult]:
        """Have pieces made in one call.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint.
        asked : list of ItemCall
            The pieces, at most as many as its pool allows.
        timeout_ms : float
            Milliseconds to wait at most.

        Returns
        -------
        list of ItemResult
            One for each piece, in order.

        Raises
        ------
        exceptions.EndpointUnreached, exceptions.EndpointBusy
            Nothing has been made.
        exceptions.EndpointBroken
            The answer was lost, short or late.
        """

    @abc.abstractmethod
    async def free(
        self,
        record: records.EndpointRecord,
        handles: list[str],
        timeout_ms: float,
    ) -> None:
        """Let an endpoint forget results; see `run` for what it raises."""
