"""Runs one stage of a request: route, slot, attempt, check, retry."""

from collections import abc as collections_abc
import logging

from chervilshore.clients import endpoints
from chervilshore import clock as clocks
from chervilshore.controllers import slots
from chervilshore.decisions import routing
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import ids
from chervilshore import metrics
from chervilshore import records
from chervilshore import results
from chervilshore.rules import model

MOST_ATTEMPTS = 4
"""Attempts at one stage, those that reached no endpoint among them."""

MOST_UNCONFIRMED = 20
"""Slots in a row that may have lapsed before they were used."""

SETTLE_MS = 10_000.0
"""Milliseconds past the deadline for which an answer is awaited when the
call may not be repeated, so that its outcome can be recorded."""

PREFIX_LENGTH = 64
"""Characters of the input that tell which prompt prefix it shares."""

_LOGGER = logging.getLogger(__name__)

_OUTCOMES = (
    (exceptions.EndpointUnreached, records.Outcome.UNREACHED),
    (exceptions.EndpointBusy, records.Outcome.BUSY),
    (exceptions.EndpointRejected, records.Outcome.REJECTED),
    (exceptions.EndpointBroken, records.Outcome.BROKEN),
)


class _Progress:
    """How far a stage has come, over all of its attempts."""

    def __init__(self, exchange: base.Exchange, index: int) -> None:
        self.stage = exchange.pipeline.stages[index]
        self.pool = exchange.rules.pools[self.stage.pool]
        self.domains: tuple[ids.DomainId, ...] = ()
        self.attempts = 0
        self.excluded: frozenset[ids.EndpointId] = frozenset()
        self.pieces: list[str] = []
        self._use_route(exchange)

    def _use_route(self, exchange: base.Exchange) -> None:
        route = exchange.rules.route_for(
            exchange.pipeline, exchange.team, self.stage.name
        )
        if route is None:
            return
        self.domains = route.domains
        if route.pool:
            self.pool = exchange.rules.pools[route.pool]


class StageRunner:
    """Runs stages.

    Parameters
    ----------
    clock : Clock
        Measures deadlines and attempts.
    source : Slots
        Gives out slots at endpoints.
    clients : mapping of EndpointKind to EndpointClient
        Make the calls.
    counters : Metrics
        Counts attempts and times.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        source: slots.Slots,
        clients: collections_abc.Mapping[
            records.EndpointKind, endpoints.EndpointClient
        ],
        counters: metrics.Metrics,
    ) -> None:
        self._clock = clock
        self._slots = source
        self._clients = clients
        self._metrics = counters

    async def run(
        self, exchange: base.Exchange, index: int, value: dict
    ) -> dict:
        """Run one stage.

        Parameters
        ----------
        exchange : Exchange
            The request.
        index : int
            The position of the stage.
        value : dict
            The body and what the earlier stages made.

        Returns
        -------
        dict
            What this stage made.

        Raises
        ------
        exceptions.RefusalError
            The stage could not be run, or no attempt brought its answer.
        """
        progress = _Progress(exchange, index)
        while True:
            slot = await self._take_slot(exchange, progress, value)
            try:
                return await self._try(exchange, progress, value, slot)
            except exceptions.EndpointError as error:
                self._consider(exchange, progress, slot, error)

    async def _take_slot(
        self, exchange: base.Exchange, progress: _Progress, value: dict
    ) -> slots.Slot:
        need = self._make_need(exchange, progress, value)
        for _ in range(MOST_UNCONFIRMED):
            slot = await self._slots.acquire(need)
            if self._slots.confirm(slot):
                return slot
            self._slots.release(slot, slots.Attempt(records.Outcome.CANCELLED))
        raise exceptions.RefusalError(results.Code.NO_ENDPOINT)

    def _make_need(
        self, exchange: base.Exchange, progress: _Progress, value: dict
    ) -> routing.Need:
        request_class = exchange.rules.class_of(exchange.pipeline)
        return routing.Need(
            request=exchange.request,
            team=exchange.team,
            priority=request_class.priority,
            aging_ms=request_class.aging_ms,
            pool=progress.pool.name,
            domains=progress.domains,
            deadline=exchange.deadline,
            prefix=self._read_prefix(progress.pool, value),
            excluded=progress.excluded,
        )

    def _read_prefix(self, pool: model.Pool, value: dict) -> str:
        if pool.kind is not records.EndpointKind.ENGINE:
            return ""
        return str(value.get("input", ""))[:PREFIX_LENGTH]

    async def _try(
        self,
        exchange: base.Exchange,
        progress: _Progress,
        value: dict,
        slot: slots.Slot,
    ) -> dict:
        if exchange.abandoned:
            self._slots.release(slot, slots.Attempt(records.Outcome.CANCELLED))
            raise exceptions.RefusalError(results.Code.DEADLINE_PASSED)
        progress.attempts += 1
        call = self._make_call(exchange, progress, value, slot)
        client = self._clients[progress.pool.kind]
        begun = self._clock.now()
        before = exchange.dispatched
        # From here on a byte may be out, unless the client says otherwise.
        exchange.dispatched = True
        outcome = records.Outcome.CANCELLED
        reply = endpoints.Reply({})
        try:
            reply = await client.call(slot.record, call)
            outcome = records.Outcome.OK
        except exceptions.EndpointError as error:
            outcome = self._classify(error)
            if outcome in (records.Outcome.UNREACHED, records.Outcome.BUSY):
                exchange.dispatched = before
            raise
        finally:
            millis = self._clock.now() - begun
            self._slots.release(
                slot,
                slots.Attempt(outcome, millis, reply.instance, reply.cold),
            )
            self._count(progress.pool, outcome, millis)
        return self._join(progress, reply.value)

    def _make_call(
        self,
        exchange: base.Exchange,
        progress: _Progress,
        value: dict,
        slot: slots.Slot,
    ) -> endpoints.Call:
        pipeline = exchange.pipeline
        millis = exchange.deadline - self._clock.now()
        if not pipeline.repeatable:
            millis += SETTLE_MS
        return endpoints.Call(
            binding=records.Binding(
                exchange.request,
                progress.stage.name,
                progress.attempts,
                slot.record.endpoint,
            ),
            value=value,
            millis=millis,
            repeatable=pipeline.repeatable,
            key=exchange.key,
            path=pipeline.path,
            model=progress.pool.model,
            priority=exchange.rules.class_of(pipeline).priority,
            skip=len(progress.pieces),
            text_sink=self._make_sink(exchange, progress),
        )

    def _make_sink(
        self, exchange: base.Exchange, progress: _Progress
    ) -> endpoints.TextSink:
        async def take(text: str) -> None:
            progress.pieces.append(text)
            if exchange.sink is not None:
                await exchange.sink(text)

        return take

    def _join(self, progress: _Progress, made: dict) -> dict:
        if "text" in made:
            made["text"] = "".join(progress.pieces)
        return made

    def _consider(
        self,
        exchange: base.Exchange,
        progress: _Progress,
        slot: slots.Slot,
        error: exceptions.EndpointError,
    ) -> None:
        """Decide whether another attempt follows; raise if none does."""
        self._report(exchange, error)
        outcome = self._classify(error)
        if outcome is records.Outcome.REJECTED:
            raise exceptions.RefusalError(
                results.Code.STAGE_FAILED, str(error)
            ) from error
        ran = outcome is records.Outcome.BROKEN
        if ran and not exchange.pipeline.repeatable:
            raise exceptions.RefusalError(
                results.Code.OUTCOME_UNKNOWN, str(error)
            ) from error
        self._consider_stream(exchange, progress, error)
        if progress.attempts >= MOST_ATTEMPTS:
            self._end(ran, error)
        if self._clock.now() >= exchange.deadline:
            raise exceptions.RefusalError(
                results.Code.DEADLINE_PASSED, str(error)
            ) from error
        progress.excluded |= {slot.record.endpoint}

    def _end(self, ran: bool, error: exceptions.EndpointError) -> None:
        code = results.Code.NO_ENDPOINT
        if ran:
            code = results.Code.STAGE_BROKEN
        raise exceptions.RefusalError(code, str(error)) from error

    def _consider_stream(
        self,
        exchange: base.Exchange,
        progress: _Progress,
        error: exceptions.EndpointError,
    ) -> None:
        if not progress.pieces or progress.pool.resume:
            return
        if exchange.sink is not None:
            # Another run could generate other text, which must not be
            # joined to what the caller has already.
            raise exceptions.RefusalError(
                results.Code.STREAM_BROKEN, str(error)
            ) from error
        progress.pieces.clear()

    def _report(
        self, exchange: base.Exchange, error: exceptions.EndpointError
    ) -> None:
        if not isinstance(error, exceptions.AnswerMismatch):
            return
        self._metrics.count(metrics.Metric.DROPPED, "mismatch")
        events.log_event(
            _LOGGER,
            events.Event.ANSWER_DROPPED,
            request=exchange.request,
            detail=error,
        )

    def _classify(self, error: exceptions.EndpointError) -> records.Outcome:
        for kind, outcome in _OUTCOMES:
            if isinstance(error, kind):
                return outcome
        return records.Outcome.BROKEN

    def _count(
        self, pool: model.Pool, outcome: records.Outcome, millis: float
    ) -> None:
        self._metrics.count(metrics.Metric.ATTEMPTS, pool.name, outcome.value)
        self._metrics.observe(metrics.Metric.STAGE_SECONDS, millis, pool.name)
