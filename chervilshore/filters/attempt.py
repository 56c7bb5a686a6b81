"""Makes one attempt at a stage: acquires a slot and calls its endpoint."""

from collections import abc as collections_abc
import logging
import math

from chervilshore.clients import endpoints
from chervilshore.clients import outcomes
from chervilshore import clock as clocks
from chervilshore.controllers import slots
from chervilshore.decisions import deadlines
from chervilshore.decisions import routing
from chervilshore.decisions import shedding
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import stagestate
from chervilshore import ids
from chervilshore import metriclabels
from chervilshore import metrics
from chervilshore import records
from chervilshore import results

MAX_UNCONFIRMED_SLOTS = 20
"""Maximum slots in a row that may expire before an attempt uses them."""

SETTLE_MS = 10_000.0
"""Milliseconds after the deadline in which the answer to a call that must not
be repeated is still awaited, so that its outcome can be recorded."""

PREFIX_CHARS = 64
"""Leading characters of the input that identify a shared prompt prefix."""

HEDGE_PRIORITY_OFFSET = 100
"""Added to the priority of a hedge, so that it queues behind the others."""

_LOGGER = logging.getLogger(__name__)

_NOT_RUN = (
    records.Outcome.UNREACHED,
    records.Outcome.BUSY,
    records.Outcome.STALE,
)


class AttemptError(exceptions.ChervilshoreError):
    """An attempt returned no complete answer.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint that was called.
    outcome : Outcome
        How the attempt ended.
    text_chunks : list of str
        The generated text, including that of earlier attempts.
    cause : EndpointError
        The error of the call.

    Attributes
    ----------
    response : Response or None
        The endpoint's error response, if it can be passed on.
    """

    def __init__(
        self,
        record: records.EndpointRecord,
        outcome: records.Outcome,
        text_chunks: list[str],
        cause: exceptions.EndpointError,
    ) -> None:
        super().__init__(f"{record.endpoint}: {cause}")
        self.record = record
        self.outcome = outcome
        self.text_chunks = text_chunks
        self.response = getattr(cause, "response", None)


class AttemptRunner:
    """Makes attempts.

    Parameters
    ----------
    clock : Clock
        Measures deadlines and the duration of attempts.
    source : Slots
        Assigns slots at endpoints.
    clients : mapping of EndpointKind to EndpointClient
        Make the calls.
    deadline_policy : DeadlinePolicy
        Divides the remaining time among the stages.
    load_shedding : Shedding
        Records the waiting times for slots.
    counters : Metrics
        Counts attempts and measures their duration.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        source: slots.Slots,
        clients: collections_abc.Mapping[
            records.EndpointKind, endpoints.EndpointClient
        ],
        deadline_policy: deadlines.DeadlinePolicy,
        load_shedding: shedding.Shedding,
        counters: metrics.Metrics,
    ) -> None:
        self._clock = clock
        self._slots = source
        self._clients = clients
        self._deadlines = deadline_policy
        self._shedding = load_shedding
        self._metrics = counters
        self._labels = metriclabels.EndpointLabels()

    async def run(
        self, state: stagestate.StageState, hedge: bool = False
    ) -> dict:
        """Make one attempt.

        Parameters
        ----------
        state : StageState
            The state of the stage, which is updated.
        hedge : bool
            Whether this is a hedge of an attempt that is still running.

        Returns
        -------
        dict
            The output of the stage.

        Raises
        ------
        AttemptError
            The endpoint returned no complete answer.
        exceptions.RefusalError
            No slot was free in time, or the request was abandoned.
        """
        slot = await self._acquire_slot(state, hedge)
        if state.exchange.abandoned:
            self._slots.release(
                slot, slots.AttemptResult(records.Outcome.CANCELLED)
            )
            raise exceptions.RefusalError(results.Code.DEADLINE_PASSED)
        state.attempts += 1
        state.tried_endpoints |= {slot.record.endpoint}
        return await self._call(state, slot, hedge)

    async def _acquire_slot(
        self, state: stagestate.StageState, hedge: bool
    ) -> slots.Slot:
        requirements = self._make_requirements(state, hedge)
        if hedge:
            # The wait of a hedge, which queues last, is no sign of load.
            return await self._acquire_confirmed_slot(requirements)
        pool = state.pool.name
        started = self._clock.now()
        self._shedding.record_slot_request(pool, started)
        try:
            slot = await self._acquire_confirmed_slot(requirements)
        except BaseException:
            self._shedding.record_slot_abandoned(pool, self._clock.now())
            raise
        now = self._clock.now()
        self._shedding.record_slot_acquired(pool, now - started, now)
        self._metrics.observe(
            metrics.Metric.QUEUE_SECONDS,
            now - started,
            state.exchange.pipeline.class_name,
        )
        return slot

    async def _acquire_confirmed_slot(
        self, requirements: routing.StageRequirements
    ) -> slots.Slot:
        for _ in range(MAX_UNCONFIRMED_SLOTS):
            slot = await self._slots.acquire(requirements)
            if self._slots.confirm(slot):
                return slot
            self._slots.release(
                slot, slots.AttemptResult(records.Outcome.CANCELLED)
            )
        raise exceptions.RefusalError(results.Code.NO_ENDPOINT)

    def _make_requirements(
        self, state: stagestate.StageState, hedge: bool
    ) -> routing.StageRequirements:
        exchange = state.exchange
        request_class = exchange.rules.class_of(exchange.pipeline)
        # A hedge must not use the endpoint of the first attempt.
        excluded_by_hedge = state.tried_endpoints if hedge else frozenset()
        return routing.StageRequirements(
            request=exchange.request,
            team=exchange.team,
            priority=request_class.priority + HEDGE_PRIORITY_OFFSET * hedge,
            aging_ms=request_class.aging_ms,
            pool=state.pool.name,
            domains=state.domains,
            deadline=self._choose_deadline(state),
            prefix=self._read_prefix(state),
            excluded=state.excluded | excluded_by_hedge,
            settle_ms=self._choose_settle_ms(state),
            parts=exchange.forwarded_request.parts
            if exchange.forwarded_request
            else (),
            version=exchange.stream_version,
            pipeline=exchange.pipeline.name,
            tokens_out=exchange.forwarded_request.tokens_out
            if exchange.forwarded_request
            else 0,
            objective=exchange.arrived_at + exchange.pipeline.objective_ms
            if exchange.pipeline.objective_ms
            else math.inf,
            pause_ms=exchange.pipeline.gap_ms,
        )

    def _choose_deadline(self, state: stagestate.StageState) -> float:
        return self._deadlines.stage_deadline(
            state.remaining_pools, state.exchange.deadline, self._clock.now()
        )

    def _choose_settle_ms(self, state: stagestate.StageState) -> float:
        if not state.exchange.continues_without_caller:
            return 0.0
        remaining_ms = state.exchange.deadline - self._choose_deadline(state)
        return max(0.0, remaining_ms) + SETTLE_MS

    def _read_prefix(self, state: stagestate.StageState) -> str:
        if state.pool.kind is not records.EndpointKind.ENGINE:
            return ""
        return str(state.value.get("input", ""))[:PREFIX_CHARS]

    async def _call(
        self, state: stagestate.StageState, slot: slots.Slot, hedge: bool
    ) -> dict:
        text_chunks = list(state.text_chunks)
        call = self._make_call(state, slot, text_chunks)
        client = self._clients[state.pool.kind]
        started = self._clock.now()
        outcome = records.Outcome.CANCELLED
        reply = endpoints.Reply({})
        try:
            is_paid = state.sends.begin(hedge)
            state.exchange.begin_send()
            if state.sends.arrivals > 1:
                self._log_repeat(state, slot.record)
            reply = await client.call(slot.record, call)
            outcome = records.Outcome.OK
        except exceptions.EndpointError as error:
            outcome = outcomes.classify(error)
            if outcome is records.Outcome.UNREACHED:
                state.sends.withdraw(is_paid)
            else:
                state.outcome = outcome
            if outcome in _NOT_RUN:
                state.exchange.withdraw_send()
            else:
                state.possible_runs += 1
            if isinstance(error, exceptions.AnswerMismatch):
                self._log_mismatch(state.exchange.request, slot.record, error)
            raise AttemptError(
                slot.record, outcome, text_chunks, error
            ) from error
        finally:
            self._record_result(state, slot, outcome, reply, started)
        if "text" in reply.value:
            reply.value["text"] = "".join(text_chunks)
        return reply.value

    def _make_call(
        self,
        state: stagestate.StageState,
        slot: slots.Slot,
        text_chunks: list[str],
    ) -> endpoints.Call:
        exchange = state.exchange
        pipeline = exchange.pipeline
        millis = self._choose_deadline(state) - self._clock.now()
        if exchange.continues_without_caller:
            millis = exchange.deadline - self._clock.now() + SETTLE_MS
        return endpoints.Call(
            binding=records.Binding(
                exchange.request,
                state.stage.name,
                state.attempts,
                slot.record.endpoint,
            ),
            value=state.value,
            millis=millis,
            repeatable=pipeline.repeatable,
            key=exchange.key,
            path=pipeline.path,
            model=state.pool.model,
            priority=exchange.rules.class_of(pipeline).priority,
            skip_tokens=len(text_chunks),
            text_sink=self._make_sink(state, text_chunks),
            forwarded_request=exchange.forwarded_request,
            delivery=exchange.delivery,
            relay=exchange.relay,
            flight=slot.flight,
        )

    def _make_sink(
        self, state: stagestate.StageState, text_chunks: list[str]
    ) -> endpoints.TextSink:
        sink = state.exchange.sink

        async def forward_text(text: str) -> None:
            text_chunks.append(text)
            if sink is not None:
                await sink(text)

        return forward_text

    def _record_result(
        self,
        state: stagestate.StageState,
        slot: slots.Slot,
        outcome: records.Outcome,
        reply: endpoints.Reply,
        started: float,
    ) -> None:
        now = self._clock.now()
        millis = now - started
        pool = state.pool.name
        self._slots.release(
            slot,
            slots.AttemptResult(outcome, millis, reply.instance, reply.cold),
        )
        if outcome is records.Outcome.OK:
            self._deadlines.record_attempt(pool, millis, now)
        self._metrics.count(metrics.Metric.ATTEMPTS, pool, outcome.value)
        self._metrics.observe(metrics.Metric.STAGE_SECONDS, millis, pool)
        self._metrics.observe(
            metrics.Metric.ENDPOINT_SECONDS,
            millis,
            self._labels.choose(slot.record.endpoint),
            outcome.value,
        )

    def _log_repeat(
        self, state: stagestate.StageState, record: records.EndpointRecord
    ) -> None:
        events.log_event(
            _LOGGER,
            events.Event.REQUEST_SENT_AGAIN,
            request=state.exchange.request,
            endpoint=record.endpoint,
            pool=state.pool.name,
            send=state.sends.arrivals,
            after=state.outcome and state.outcome.value,
        )

    def _log_mismatch(
        self,
        request: ids.RequestId,
        record: records.EndpointRecord,
        error: exceptions.AnswerMismatch,
    ) -> None:
        self._metrics.count(metrics.Metric.ANSWERS_DROPPED, error.reason)
        events.log_event(
            _LOGGER,
            events.Event.ANSWER_DROPPED,
            request=request,
            endpoint=record.endpoint,
            detail=error,
        )
