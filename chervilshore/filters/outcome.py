"""Keeps the families of result codes true, whatever happened inside."""

import asyncio
import logging

from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import results

_LOGGER = logging.getLogger(__name__)


class OutcomeFilter(base.Filter):
    """Turns refusals and crashes into answers that tell the truth.

    Once a byte has gone to an endpoint, a refusal from further inside
    can't stand as NOT RUN any more: it becomes FAILED where the request
    may be repeated, and UNKNOWN where it may not.
    """

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Answer in every case; see `Filter.handle`."""
        try:
            return await proceed(exchange)
        except asyncio.CancelledError:
            raise
        except exceptions.CallerGone:
            return base.Answer(results.Code.CALLER_GONE)
        except exceptions.RefusalError as error:
            return self._refuse(exchange, error)
        except Exception:
            events.log_event(
                _LOGGER,
                events.Event.REQUEST_CRASHED,
                request=exchange.request,
            )
            _LOGGER.exception("request %s", exchange.request)
            return base.Answer(self._choose_crash_code(exchange))

    def _refuse(
        self, exchange: base.Exchange, error: exceptions.RefusalError
    ) -> base.Answer:
        code = error.code
        if exchange.dispatched and code.value.family is results.Family.NOT_RUN:
            code = self._choose_dispatched_code(exchange, code)
        events.log_event(
            _LOGGER,
            events.Event.REQUEST_REFUSED,
            request=exchange.request,
            code=code.value.number,
            detail=error.detail,
        )
        return base.Answer(
            code, detail=error.detail, retry_after_ms=error.retry_after_ms
        )

    def _choose_dispatched_code(
        self, exchange: base.Exchange, code: results.Code
    ) -> results.Code:
        if not exchange.pipeline.repeatable:
            return results.Code.OUTCOME_UNKNOWN
        if code is results.Code.DEADLINE_PASSED:
            return results.Code.DEADLINE_MISSED
        return results.Code.STAGE_UNSERVED

    def _choose_crash_code(self, exchange: base.Exchange) -> results.Code:
        if exchange.pipeline.repeatable:
            return results.Code.INTERNAL
        return results.Code.OUTCOME_UNKNOWN
