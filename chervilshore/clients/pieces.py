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
    NO_ROOM = "no room"
    ERROR = "error"
    MOVED = "moved"


class PieceCall(msgspec.Struct, frozen=True):
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


class PieceResult(msgspec.Struct, frozen=True, array_like=True):
    """The result's handle, or why there is none."""

    handle: str = ""
    failure: Failure | None = None


class PieceClient(abc.ABC):
    """Makes calls for pieces."""

    @abc.abstractmethod
    async def run(
        self,
        record: records.EndpointRecord,
        asked: list[PieceCall],
        limit_ms: float,
    ) -> list[PieceResult]:
        """Have pieces made in one call.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint.
        asked : list of PieceCall
            The pieces, at most as many as its pool allows.
        limit_ms : float
            Milliseconds to wait at most.

        Returns
        -------
        list of PieceResult
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
        limit_ms: float,
    ) -> None:
        """Let an endpoint forget results; see `run` for what it raises."""
