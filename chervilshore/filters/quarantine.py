"""Refuses requests like those that ended endpoints."""

from chervilshore.controllers import quarantine
from chervilshore.filters import base
from chervilshore import fingerprints


class QuarantineFilter(base.Filter):
    """Refuses a request that is held back, before any work for it is done.

    Parameters
    ----------
    holds : Quarantine
        What is held back.
    """

    def __init__(self, holds: quarantine.Quarantine) -> None:
        self._holds = holds

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Refuse the request or pass it on; see `Filter.handle`."""
        exchange.fingerprints = fingerprints.make_fingerprints(
            exchange.forwarded_request, exchange.team
        )
        with self._holds.admit(exchange):
            return await proceed(exchange)
