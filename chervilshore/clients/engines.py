"""Client for the orders that a model engine runs."""

import abc
from collections import abc as collections_abc

import aiohttp
import msgspec

from chervilshore.clients import bodies
from chervilshore import clock as clocks
from chervilshore import contents
from chervilshore.decisions import orders
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records

STATE_PATH = "/admin/engine"
"""Path at which an engine reports its state."""

ORDER_PATH = "/admin/engine/orders"
"""Path at which an engine accepts orders."""

_STATE_DECODER = msgspec.json.Decoder(orders.EngineState)

Guard = collections_abc.Callable[[], bool]
"""Returns, right before an order is sent, whether it may still be sent."""


class OrderCall(msgspec.Struct, frozen=True):
    """Body of the request that sends an order to an engine.

    Parameters
    ----------
    order : OrderId
        Id of the order.
    kind : OrderKind
        The action.
    argument : str
        Argument of the action.
    fence : FencingToken
        Fencing token of the lease under which the order is sent.
    """

    order: ids.OrderId
    kind: orders.OrderKind
    argument: str
    fence: ids.FencingToken


class EngineClient(abc.ABC):
    """Reads the state of engines and sends them orders."""

    @abc.abstractmethod
    async def read(
        self, record: records.EndpointRecord, timeout_ms: float
    ) -> orders.EngineState:
        """Read an engine's state.

        Raises
        ------
        exceptions.EndpointError
            There was no complete response in time.
        """

    @abc.abstractmethod
    async def send(
        self,
        record: records.EndpointRecord,
        call: OrderCall,
        guard: Guard,
        timeout_ms: float,
    ) -> None:
        """Send an order; it cannot take effect after the timeout.

        Parameters
        ----------
        record : EndpointRecord
            The engine.
        call : OrderCall
            The order.
        guard : Guard
            Called once the connection is open, right before the order
            itself is sent.
        timeout_ms : float
            Milliseconds until the engine must have responded.

        Raises
        ------
        exceptions.LeaseLost
            The guard or the engine refused the order; it has not run.
        exceptions.EndpointUnreached
            No byte of the order was sent.
        exceptions.EndpointRejected
            The engine responded that the order failed.
        exceptions.EndpointBroken
            The order may or may not have run.
        """


class HttpEngineClient(EngineClient):
    """Client for engines over HTTP."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def read(
        self, record: records.EndpointRecord, timeout_ms: float
    ) -> orders.EngineState:
        """See `EngineClient.read`."""
        url = f"http://{record.address}{STATE_PATH}"
        try:
            async with self._session.get(
                url,
                timeout=_make_timeout(timeout_ms),
                allow_redirects=False,
            ) as response:
                body = await bodies.read_body(response)
                if response.status != 200:
                    raise exceptions.EndpointBroken(f"{response.status}")
            return contents.decode(_STATE_DECODER, body)
        except (
            aiohttp.ClientError,
            TimeoutError,
            exceptions.ContentInvalid,
        ) as error:
            raise exceptions.EndpointBroken(repr(error)) from error

    async def send(
        self,
        record: records.EndpointRecord,
        call: OrderCall,
        guard: Guard,
        timeout_ms: float,
    ) -> None:
        """See `EngineClient.send`."""
        url = f"http://{record.address}{ORDER_PATH}"
        body = _GuardedBody(msgspec.json.encode(call), guard)
        try:
            async with self._session.post(
                url,
                data=body.generate(),
                headers={"Content-Type": "application/json"},
                timeout=_make_timeout(timeout_ms),
                allow_redirects=False,
            ) as response:
                text = await bodies.read_text(response)
                status = response.status
        except aiohttp.ClientConnectorError as error:
            raise exceptions.EndpointUnreached(repr(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            if body.refused:
                raise exceptions.LeaseLost(call.order) from error
            raise exceptions.EndpointBroken(repr(error)) from error
        except exceptions.LeaseLost:
            raise
        _check_status(status, text)


class _GuardedBody:
    """Request body that calls the guard right before it is written."""

    def __init__(self, data: bytes, guard: Guard) -> None:
        self.refused = False
        self._data = data
        self._guard = guard

    async def generate(self) -> collections_abc.AsyncIterator[bytes]:
        """Yield the body, unless the guard refuses it."""
        if not self._guard():
            self.refused = True
            raise exceptions.LeaseLost("lease ended before the order was sent")
        yield self._data


def _make_timeout(millis: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=millis / clocks.MILLIS_PER_SECOND)


def _check_status(status: int, text: str) -> None:
    if status == 409:
        raise exceptions.LeaseLost(text)
    if 400 <= status < 500:
        raise exceptions.EndpointRejected(f"{status} {text}")
    if status >= 300:
        raise exceptions.EndpointBroken(f"{status} {text}")
