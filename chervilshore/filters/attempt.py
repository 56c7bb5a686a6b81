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

MAX_UNCONFIRMED_SLOTS = 20
"""Slots in a row that may have lapsed before they were used."""

SETTLE_MS = 10_000.0
"""Milliseconds past the deadline for which an answer is awaited when the
call may not be repeated, so that its outcome can be recorded."""

PREFIX_CHARS = 64
"""Characters of the input that tell which prompt prefix it shares."""

HEDGE_PRIORITY_OFFSET = 100
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
        text_chunks: list[str],
        cause: exceptions.EndpointError,
    ) -> None:
        super().__init__(f"{endpoint}: {cause}")
        self.endpoint = endpoint
        self.outcome = outcome
        self.text_chunks = text_chunks
        self.response = getattr(cause, "response", None)


class StageExecution:
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
        Attempts started.
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
        self.remaining_pools = names
        self.value = value
        self.attempts = 0
        self.possible_runs = 0
        self.tried_endpoints: frozenset[ids.EndpointId] = frozenset()
        self.excluded: frozenset[ids.EndpointId] = frozenset()
        self.text_chunks: list[str] = []
        route = exchange.rules.route_for(
            exchange.pipeline, exchange.team, self.stage.name
        )
        self.domains = route.domains if route else ()

    @property
    def is_streamed(self) -> bool:
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
    deadline_policy : DeadlinePolicy
        Divides the time that is left between the stages.
    load_shedding : Shedding
        Learns how long slots are waited for.
    counters : Metrics
        Counts attempts and deadline_policy.
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
        self._labels = metrics.EndpointLabels()

    async def run(
        self, execution: StageExecution, hedge: bool = False
    ) -> dict:
        """Make one attempt.

        Parameters
        ----------
        work : StageExecution
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
        slot = await self._acquire_slot(execution, hedge)
        if execution.exchange.abandoned:
            self._slots.release(
                slot, slots.AttemptResult(records.Outcome.CANCELLED)
            )
            raise exceptions.RefusalError(results.Code.DEADLINE_PASSED)
        execution.attempts += 1
        execution.tried_endpoints |= {slot.record.endpoint}
        return await self._call(execution, slot)

    async def _acquire_slot(
        self, execution: StageExecution, hedge: bool
    ) -> slots.Slot:
        requirements = self._make_requirements(execution, hedge)
        if hedge:
            # A hedge waits behind all others and says nothing of the load.
            return await self._acquire_confirmed_slot(requirements)
        pool = execution.pool.name
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
            execution.exchange.pipeline.class_name,
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
        self, execution: StageExecution, hedge: bool
    ) -> routing.StageRequirements:
        exchange = execution.exchange
        request_class = exchange.rules.class_of(exchange.pipeline)
        priority_offset = HEDGE_PRIORITY_OFFSET if hedge else 0
        # A hedge must not go where the first attempt waits already.
        excluded_by_hedge = execution.tried_endpoints if hedge else frozenset()
        return routing.StageRequirements(
            request=exchange.request,
            team=exchange.team,
            priority=request_class.priority + priority_offset,
            aging_ms=request_class.aging_ms,
            pool=execution.pool.name,
            domains=execution.domains,
            deadline=self._choose_deadline(execution),
            prefix=self._read_prefix(execution),
            excluded=execution.excluded | excluded_by_hedge,
            settle_ms=self._choose_settle_ms(execution),
            parts=exchange.forwarded_request.parts
            if exchange.forwarded_request
            else (),
        )

    def _choose_deadline(self, execution: StageExecution) -> float:
        return self._deadlines.stage_deadline(
            execution.remaining_pools,
            execution.exchange.deadline,
            self._clock.now(),
        )

    def _choose_settle_ms(self, execution: StageExecution) -> float:
        if not execution.exchange.continues_without_caller:
            return 0.0
        remaining_ms = execution.exchange.deadline - self._choose_deadline(
            execution
        )
        return max(0.0, remaining_ms) + SETTLE_MS

    def _read_prefix(self, execution: StageExecution) -> str:
        if execution.pool.kind is not records.EndpointKind.ENGINE:
            return ""
        return str(execution.value.get("input", ""))[:PREFIX_CHARS]

    async def _call(self, execution: StageExecution, slot: slots.Slot) -> dict:
        text_chunks = list(execution.text_chunks)
        call = self._make_call(execution, slot, text_chunks)
        client = self._clients[execution.pool.kind]
        started = self._clock.now()
        outcome = records.Outcome.CANCELLED
        reply = endpoints.Reply({})
        execution.exchange.begin_send()
        try:
            reply = await client.call(slot.record, call)
            outcome = records.Outcome.OK
        except exceptions.EndpointError as error:
            outcome = self._classify(error)
            if outcome in _NOT_RUN:
                execution.exchange.withdraw_send()
            else:
                execution.possible_runs += 1
            self._log_mismatch(execution.exchange, error)
            raise AttemptError(
                slot.record.endpoint, outcome, text_chunks, error
            ) from error
        finally:
            self._record_result(execution, slot, outcome, reply, started)
        if "text" in reply.value:
            reply.value["text"] = "".join(text_chunks)
        return reply.value

    def _make_call(
        self,
        execution: StageExecution,
        slot: slots.Slot,
        text_chunks: list[str],
    ) -> endpoints.Call:
        exchange = execution.exchange
        pipeline = exchange.pipeline
        millis = self._choose_deadline(execution) - self._clock.now()
        if exchange.continues_without_caller:
            millis = exchange.deadline - self._clock.now() + SETTLE_MS
        return endpoints.Call(
            binding=records.Binding(
                exchange.request,
                execution.stage.name,
                execution.attempts,
                slot.record.endpoint,
            ),
            value=execution.value,
            millis=millis,
            repeatable=pipeline.repeatable,
            key=exchange.key,
            path=pipeline.path,
            model=execution.pool.model,
            priority=exchange.rules.class_of(pipeline).priority,
            skip=len(text_chunks),
            text_sink=self._make_sink(execution, text_chunks),
            forwarded_request=exchange.forwarded_request,
            delivery=exchange.delivery,
            relay=exchange.relay,
        )

    def _make_sink(
        self, execution: StageExecution, text_chunks: list[str]
    ) -> endpoints.TextSink:
        sink = execution.exchange.sink

        async def forward_text(text: str) -> None:
            text_chunks.append(text)
            if sink is not None:
                await sink(text)

        return forward_text

    def _record_result(
        self,
        execution: StageExecution,
        slot: slots.Slot,
        outcome: records.Outcome,
        reply: endpoints.Reply,
        started: float,
    ) -> None:
        now = self._clock.now()
        millis = now - started
        pool = execution.pool.name
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

    def _classify(self, error: exceptions.EndpointError) -> records.Outcome:
        for kind, outcome in _OUTCOMES:
            if isinstance(error, kind):
                return outcome
        return records.Outcome.BROKEN

    def _log_mismatch(
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
