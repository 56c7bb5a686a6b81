"""Turns exceptions into answers whose result code says what may have run."""

import asyncio
import logging

from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import results

_LOGGER = logging.getLogger(__name__)


class OutcomeFilter(base.Filter):
    """Turns refusals and unexpected exceptions into answers.

    Once a byte was sent to an endpoint, a refusal must not say NOT RUN: its
    code becomes FAILED if the request is repeatable, and UNKNOWN if not.
    """

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Return an answer for every exception; see `Filter.handle`."""
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
            _LOGGER.exception(
                "unexpected exception in request %s", exchange.request
            )
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
        """Return the code that replaces a NOT RUN code after a send."""
        if not exchange.pipeline.repeatable:
            return results.Code.OUTCOME_UNKNOWN
        if code is results.Code.DEADLINE_PASSED:
            return results.Code.DEADLINE_MISSED
        return results.Code.STAGE_UNSERVED

    def _choose_crash_code(self, exchange: base.Exchange) -> results.Code:
        if exchange.pipeline.repeatable:
            return results.Code.INTERNAL
        return results.Code.OUTCOME_UNKNOWN
