"""Orders to engines, and the next step of each.

An order is one instruction for certain engines. Its progress at each engine
is stored with it at the platform. The intent to send is stored before
sending, so that a host that takes over knows that the order may have run.
"""

from collections import abc
import enum

import msgspec

from chervilshore import ids


class OrderKind(enum.Enum):
    """What an engine shall do."""

    LOAD = "load"
    UNLOAD = "unload"
    ADAPTER = "adapter"
    VERSION = "version"
    ROLE = "role"


WEIGHT_READING_KINDS = (OrderKind.LOAD, OrderKind.ADAPTER, OrderKind.VERSION)
"""Kinds of orders that read from the weight store."""


class Progress(enum.Enum):
    """Progress of an order at one engine."""

    WAITING = "waiting"
    SENT = "sent"
    DONE = "done"
    FAILED = "failed"
    GONE = "gone"


FINAL_PROGRESS = (Progress.DONE, Progress.FAILED, Progress.GONE)
"""Final states of an order at an engine."""


class Order(msgspec.Struct, frozen=True):
    """An instruction as it is stored at the platform.

    Parameters
    ----------
    order : OrderId
        Its name, which the engines report as their last order.
    pool : PoolName
        The pool of its engines.
    kind : OrderKind
        What the engines shall do.
    argument : str
        The model, adapter, version or role.
    endpoints : tuple of EndpointId
        The engines.
    author : str
        The operator who submitted it.
    reason : str
        The operator's reason.
    progress : dict
        Progress by engine; an engine that is missing is still waiting.
    details : dict
        Text by engine that explains the progress, such as an error.
    tokens : dict
        Fencing token by engine under which it was last sent there.
    """

    order: ids.OrderId
    pool: ids.PoolName
    kind: OrderKind
    argument: str
    endpoints: tuple[ids.EndpointId, ...]
    author: str = ""
    reason: str = ""
    progress: dict[ids.EndpointId, Progress] = {}
    details: dict[ids.EndpointId, str] = {}
    tokens: dict[ids.EndpointId, ids.FencingToken] = {}

    def progress_at(self, endpoint: ids.EndpointId) -> Progress:
        """Return the progress of the order at an engine."""
        return self.progress.get(endpoint, Progress.WAITING)

    def may_settle(
        self, endpoint: ids.EndpointId, token: ids.FencingToken
    ) -> bool:
        """Return whether a lease holder may decide the outcome of a send.

        A former holder may not, as a later one may be sending concurrently.
        """
        return token >= self.tokens.get(endpoint, ids.FencingToken(0))

    @property
    def is_finished(self) -> bool:
        """Whether the progress at every engine is final."""
        return all(
            self.progress_at(name) in FINAL_PROGRESS for name in self.endpoints
        )

    def mark_sent(
        self, endpoint: ids.EndpointId, token: ids.FencingToken
    ) -> "Order":
        """Return the order to store right before it is sent to an engine."""
        updated = self.with_progress(endpoint, Progress.SENT)
        tokens = {**self.tokens, endpoint: token}
        return msgspec.structs.replace(updated, tokens=tokens)

    def with_progress(
        self, endpoint: ids.EndpointId, progress: Progress, detail: str = ""
    ) -> "Order":
        """Return the order with new progress at one engine."""
        details = self.details
        if detail:
            details = {**details, endpoint: detail}
        return msgspec.structs.replace(
            self,
            progress={**self.progress, endpoint: progress},
            details=details,
        )


class EngineState(msgspec.Struct, frozen=True):
    """The state that an engine reports.

    Parameters
    ----------
    instance : InstanceId
        Identifies its process run.
    model, version, role : str
        What it serves.
    adapters : tuple of str
        The loaded adapters.
    fence : FencingToken
        The highest fencing token that it has seen.
    last_order : OrderId
        The last order that it has run; empty if there is none.
    """

    instance: ids.InstanceId = ids.InstanceId("")
    model: str = ""
    version: str = ""
    role: str = ""
    adapters: tuple[str, ...] = ()
    fence: ids.FencingToken = ids.FencingToken(0)
    last_order: ids.OrderId = ids.OrderId("")


class StepKind(enum.Enum):
    """What to do with an order at an engine.

    SEND: send it. SETTLE: find out whether an earlier send took effect.
    DROP: give it up there, as the engine is gone or leaving.
    """

    SEND = "send"
    SETTLE = "settle"
    DROP = "drop"


class Step(msgspec.Struct, frozen=True):
    """The next step at one engine."""

    kind: StepKind
    order: ids.OrderId
    endpoint: ids.EndpointId


def plan(
    orders: abc.Iterable[Order], available: abc.Container[ids.EndpointId]
) -> list[Step]:
    """Return the next step at each engine.

    An order starts at an engine only after all earlier ones have finished
    there, so an unknown outcome is settled before anything else is sent.

    Parameters
    ----------
    orders : iterable of Order
        The orders of one pool, the oldest first.
    available : container of EndpointId
        The engines that exist and are not leaving.
    """
    steps: dict[ids.EndpointId, Step] = {}
    for order in orders:
        for endpoint in order.endpoints:
            if (
                endpoint in steps
                or order.progress_at(endpoint) in FINAL_PROGRESS
            ):
                continue
            kind = StepKind.SEND
            if endpoint not in available:
                kind = StepKind.DROP
            elif order.progress_at(endpoint) is Progress.SENT:
                kind = StepKind.SETTLE
            steps[endpoint] = Step(kind, order.order, endpoint)
    return list(steps.values())


def settle(order: Order, state: EngineState) -> Progress:
    """Derive the progress of a sent order from the engine's state.

    The caller must be certain that no earlier send can still take effect.
    """
    if state.last_order == order.order:
        return Progress.DONE
    return Progress.WAITING
