"""Finds out which requests end the endpoints that run them."""

import logging

from chervilshore.clients import connectionpool
from chervilshore import clock as clocks
from chervilshore import events
from chervilshore.filters import base
from chervilshore import fingerprints
from chervilshore import records

CHECK_MS = 250.0
"""Milliseconds in which an endpoint that listens accepts a connection; less
than a caller notices when a request is sent again."""

_LOGGER = logging.getLogger(__name__)


class Quarantine:
    """Records the requests whose endpoints ended while they ran.

    Parameters
    ----------
    clock : Clock
        The time.
    pool : ConnectionPool
        Opens connections to find out whether an endpoint has ended.
    """

    def __init__(
        self, clock: clocks.Clock, pool: connectionpool.ConnectionPool
    ) -> None:
        self._clock = clock
        self._pool = pool

    async def record_loss(
        self, exchange: base.Exchange, record: records.EndpointRecord
    ) -> None:
        """Record that an endpoint closed the connection of a request.

        Parameters
        ----------
        exchange : Exchange
            The request.
        record : EndpointRecord
            The endpoint, which may have ended or only closed a connection.
        """
        begun_ms = self._begun_ms(exchange)
        ended = await self._pool.is_refused(record.address, CHECK_MS)
        events.log_event(
            _LOGGER,
            events.Event.REQUEST_LOST,
            request=exchange.request,
            endpoint=record.endpoint,
            pool=record.pool,
            ended=ended,
            begun_ms=begun_ms,
            parts=fingerprints.make_part_fingerprints(
                exchange.forwarded_request.parts
            ),
        )

    def _begun_ms(self, exchange: base.Exchange) -> float | None:
        """Return for how long the endpoint has sent events; None if not."""
        relay = exchange.relay
        if relay is None or relay.begun_at is None:
            return None
        return self._clock.now() - relay.begun_at
