"""Lets callers resume streams that broke in an earlier request."""

import logging

from chervilshore.controllers import streams as stream_types
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import results
from chervilshore.rules import model

UNKNOWN_RETRY_MS = 1000.0
"""Milliseconds after which a caller may try again to resume a stream whose
origin no host could tell."""

_LOGGER = logging.getLogger(__name__)


class ResumptionFilter(base.Filter):
    """Makes resumed streams go on at what began them.

    Parameters
    ----------
    streams : Streams
        Knows what began them.
    """

    def __init__(self, streams: stream_types.Streams) -> None:
        self._streams = streams

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Find the origin of a resumed stream; see `Filter.handle`."""
        if exchange.pipeline.streams and exchange.pipeline.repeatable:
            self._streams.follow(exchange)
            if exchange.forwarded_request.last_event_id is not None:
                await self._set_origin(exchange)
        return await proceed(exchange)

    async def _set_origin(self, exchange: base.Exchange) -> None:
        forwarded_request = exchange.forwarded_request
        origin = await self._streams.find(exchange)
        events.log_event(
            _LOGGER,
            events.Event.STREAM_RESUMED,
            request=exchange.request,
            resumes=forwarded_request.resumes,
            after_event=forwarded_request.last_event_id,
            pool=origin.pool if origin else "",
            version=origin.version if origin else "",
        )
        if origin is None or not origin.version:
            raise exceptions.RefusalError(
                results.Code.STREAM_UNKNOWN,
                f"request {forwarded_request.resumes!r}",
                UNKNOWN_RETRY_MS,
            )
        targets = {target.pool for target in exchange.pipeline.targets}
        if origin.pool not in targets:
            raise exceptions.RefusalError(
                results.Code.STREAM_UNKNOWN,
                f"pool {origin.pool} began it and is no longer used",
                UNKNOWN_RETRY_MS,
            )
        exchange.relay.origin = origin
        exchange.pipeline = model.with_final_pool(
            exchange.pipeline, origin.pool
        )
