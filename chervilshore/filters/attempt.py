"""Makes one attempt at a stage: need, slot, call, checked answer."""

from collections import abc as collections_abc
import logging

from chervilshore.clients import endpoints
from chervilshore import clock as clocks
from chervilshore.controllers import slots
from chervilshore.decisions import deadlines
from chervilshore.decisions import routing
from chervilshore.decisions import shedding
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore.filters import pools
from chervilshore import ids
from chervilshore import metrics
from chervilshore import records
from chervilshore import results
from chervilshore.rules import model

MOST_UNCONFIRMED = 20
"""Slots in a row that may have lapsed before they were used."""

SETTLE_MS = 10_000.0
"""Milliseconds past the deadline for which an answer is awaited when the
call may not be repeated, so that its outcome can be recorded."""

PREFIX_LENGTH = 64
"""Characters of the input that tell which prompt prefix it shares."""

HEDGE_PRIORITY = 100
"""What a hedge adds to its priority, so that it never goes first."""

_LOGGER = logging.getLogger(__name__)

_OUTCOMES = (
    (exceptions.EndpointUnreached, records.Outcome.UNREACHED),
    (exceptions.InputsGone, records.Outcome.STALE),
    (exceptions.EndpointBusy, records.Outcome.BUSY),
    (exceptions.EndpointRejected, records.Outcome.REJECTED),
    (exceptions.EndpointBroken, records.Outcome.BROKEN),
)

_NOT_RUN = (
    records.Outcome.UNREACHED,
    records.Outcome.BUSY,
    records.Outcome.STALE,
)


class AttemptError(exceptions.ChervilshoreError):
    """An attempt brought no whole answer.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint that was asked.
    outcome : Outcome
        How the attempt ended.
    pieces : list of str
        The generated text that came before it broke.
    cause : EndpointError
        What happened.

    Attributes
    ----------
    response : Response or None
        The endpoint's own failure, when that can be passed on.
    """

    def __init__(
        self,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        pieces: list[str],
        cause: exceptions.EndpointError,
    ) -> None:
        super().__init__(f"{endpoint}: {cause}")
        self.endpoint = endpoint
        self.outcome = outcome
        self.pieces = pieces
        self.response = getattr(cause, "response", None)


class Work:
    """What a stage of a request asks, and how far it has come.

    Parameters
    ----------
    exchange : Exchange
        The request.
    index : int
        The position of the stage.
    value : dict
        The body and what the earlier stages made.

    Attributes
    ----------
    attempts : int
        Attempts begun.
    runs : int
        Attempts that may have run.
    asked : frozenset of EndpointId
        Endpoints that were asked so far.
    excluded : frozenset of EndpointId
        Endpoints that have failed this stage.
    pieces : list of str
        Generated text that is kept from broken attempts.
    """

    def __init__(
        self, exchange: base.Exchange, index: int, value: dict
    ) -> None:
        names = pools.list_pools(exchange)[index:]
        self.exchange = exchange
        self.stage = exchange.pipeline.stages[index]
        self.pool: model.Pool = exchange.rules.pools[names[0]]
        self.pools_left = names
        self.value = value
        self.attempts = 0
        self.runs = 0
        self.asked: frozenset[ids.EndpointId] = frozenset()
        self.excluded: frozenset[ids.EndpointId] = frozenset()
        self.pieces: list[str] = []
        route = exchange.rules.route_for(
            exchange.pipeline, exchange.team, self.stage.name
        )
        self.domains = route.domains if route else ()

    @property
    def streams(self) -> bool:
        """Whether the caller gets the text while it is generated."""
        engine = self.pool.kind is records.EndpointKind.ENGINE
        return engine and self.exchange.sink is not None


class AttemptRunner:
    """Makes attempts.

    Parameters
    ----------
    clock : Clock
        Measures deadlines and attempts.
    source : Slots
        Gives out slots at endpoints.
    clients : mapping of EndpointKind to EndpointClient
        Make the calls.
    times : DeadlinePolicy
        Divides the time that is left between the stages.
    shed : Shedding
        Learns how long slots are waited for.
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
        times: deadlines.DeadlinePolicy,
        shed: shedding.Shedding,
        counters: metrics.Metrics,
    ) -> None:
        self._clock = clock
        self._slots = source
        self._clients = clients
        self._times = times
        self._shedding = shed
        self._metrics = counters
        self._labels = metrics.EndpointLabels()

    async def run(self, work: Work, hedge: bool = False) -> dict:
        """Make one attempt.

        Parameters
        ----------
        work : Work
            What the stage asks.
        hedge : bool
            Whether another attempt runs already.

        Returns
        -------
        dict
            What the stage made.

        Raises
        ------
        AttemptError
            The endpoint brought no whole answer.
        exceptions.RefusalError
            There was no slot in time.
        """
        slot = await self._take_slot(work, hedge)
        if work.exchange.abandoned:
            self._slots.release(
                slot, slots.AttemptResult(records.Outcome.CANCELLED)
            )
            raise exceptions.RefusalError(results.Code.DEADLINE_PASSED)
        work.attempts += 1
        work.asked |= {slot.record.endpoint}
        return await self._call(work, slot)

    async def _take_slot(self, work: Work, hedge: bool) -> slots.Slot:
        requirements = self._make_need(work, hedge)
        if hedge:
            # A hedge waits behind all others and says nothing of the load.
            return await self._take_confirmed(requirements)
        pool = work.pool.name
        begun = self._clock.now()
        self._shedding.record_slot_request(pool, begun)
        try:
            slot = await self._take_confirmed(requirements)
        except BaseException:
            self._shedding.record_slot_abandoned(pool, self._clock.now())
            raise
        now = self._clock.now()
        self._shedding.record_slot_acquired(pool, now - begun, now)
        self._metrics.observe(
            metrics.Metric.QUEUE_SECONDS,
            now - begun,
            work.exchange.pipeline.class_name,
        )
        return slot

    async def _take_confirmed(
        self, requirements: routing.StageRequirements
    ) -> slots.Slot:
        for _ in range(MOST_UNCONFIRMED):
            slot = await self._slots.acquire(requirements)
            if self._slots.confirm(slot):
                return slot
            self._slots.release(
                slot, slots.AttemptResult(records.Outcome.CANCELLED)
            )
        raise exceptions.RefusalError(results.Code.NO_ENDPOINT)

    def _make_need(self, work: Work, hedge: bool) -> routing.StageRequirements:
        exchange = work.exchange
        request_class = exchange.rules.class_of(exchange.pipeline)
        lowered = HEDGE_PRIORITY if hedge else 0
        # A hedge must not go where the first attempt waits already.
        avoided = work.asked if hedge else frozenset()
        return routing.StageRequirements(
            request=exchange.request,
            team=exchange.team,
            priority=request_class.priority + lowered,
            aging_ms=request_class.aging_ms,
            pool=work.pool.name,
            domains=work.domains,
            deadline=self._choose_deadline(work),
            prefix=self._read_prefix(work),
            excluded=work.excluded | avoided,
            settle_ms=self._choose_settle(work),
            parts=exchange.forwarded_request.parts
            if exchange.forwarded_request
            else (),
        )

    def _choose_deadline(self, work: Work) -> float:
        return self._times.stage_deadline(
            work.pools_left, work.exchange.deadline, self._clock.now()
        )

    def _choose_settle(self, work: Work) -> float:
        if not work.exchange.outlives:
            return 0.0
        later = work.exchange.deadline - self._choose_deadline(work)
        return max(0.0, later) + SETTLE_MS

    def _read_prefix(self, work: Work) -> str:
        if work.pool.kind is not records.EndpointKind.ENGINE:
            return ""
        return str(work.value.get("input", ""))[:PREFIX_LENGTH]

    async def _call(self, work: Work, slot: slots.Slot) -> dict:
        pieces = list(work.pieces)
        call = self._make_call(work, slot, pieces)
        client = self._clients[work.pool.kind]
        begun = self._clock.now()
        outcome = records.Outcome.CANCELLED
        reply = endpoints.Reply({})
        work.exchange.begin_send()
        try:
            reply = await client.call(slot.record, call)
            outcome = records.Outcome.OK
        except exceptions.EndpointError as error:
            outcome = self._classify(error)
            if outcome in _NOT_RUN:
                work.exchange.withdraw_send()
            else:
                work.runs += 1
            self._report(work.exchange, error)
            raise AttemptError(
                slot.record.endpoint, outcome, pieces, error
            ) from error
        finally:
            self._finish(work, slot, outcome, reply, begun)
        if "text" in reply.value:
            reply.value["text"] = "".join(pieces)
        return reply.value

    def _make_call(
        self, work: Work, slot: slots.Slot, pieces: list[str]
    ) -> endpoints.Call:
        exchange = work.exchange
        pipeline = exchange.pipeline
        millis = self._choose_deadline(work) - self._clock.now()
        if exchange.outlives:
            millis = exchange.deadline - self._clock.now() + SETTLE_MS
        return endpoints.Call(
            binding=records.Binding(
                exchange.request,
                work.stage.name,
                work.attempts,
                slot.record.endpoint,
            ),
            value=work.value,
            millis=millis,
            repeatable=pipeline.repeatable,
            key=exchange.key,
            path=pipeline.path,
            model=work.pool.model,
            priority=exchange.rules.class_of(pipeline).priority,
            skip=len(pieces),
            text_sink=self._make_sink(work, pieces),
            forwarded_request=exchange.forwarded_request,
            delivery=exchange.delivery,
            relay=exchange.relay,
        )

    def _make_sink(self, work: Work, pieces: list[str]) -> endpoints.TextSink:
        sink = work.exchange.sink

        async def take(text: str) -> None:
            pieces.append(text)
            if sink is not None:
                await sink(text)

        return take

    def _finish(
        self,
        work: Work,
        slot: slots.Slot,
        outcome: records.Outcome,
        reply: endpoints.Reply,
        begun: float,
    ) -> None:
        now = self._clock.now()
        millis = now - begun
        pool = work.pool.name
        self._slots.release(
            slot,
            slots.AttemptResult(outcome, millis, reply.instance, reply.cold),
        )
        if outcome is records.Outcome.OK:
            self._times.record_attempt(pool, millis, now)
        self._metrics.count(metrics.Metric.ATTEMPTS, pool, outcome.value)
        self._metrics.observe(metrics.Metric.STAGE_SECONDS, millis, pool)
        self._metrics.observe(
            metrics.Metric.ENDPOINT_SECONDS,
            millis,
            self._labels.choose(slot.record.endpoint),
            outcome.value,
        )

    def _classify(self, error: exceptions.EndpointError) -> records.Outcome:
        for kind, outcome in _OUTCOMES:
            if isinstance(error, kind):
                return outcome
        return records.Outcome.BROKEN

    def _report(
        self, exchange: base.Exchange, error: exceptions.EndpointError
    ) -> None:
        if not isinstance(error, exceptions.AnswerMismatch):
            return
        self._metrics.count(metrics.Metric.ANSWERS_DROPPED, "mismatch")
        events.log_event(
            _LOGGER,
            events.Event.ANSWER_DROPPED,
            request=exchange.request,
            detail=error,
        )
