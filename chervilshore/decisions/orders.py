"""Orders to engines, and which step of them comes next.

An order is one instruction for certain engines. What has become of it at
each engine stands in its object in the platform, and the intent to send
is stored before the sending, so that whoever goes on with it knows what
may have happened.
"""

from collections import abc
import enum

import msgspec

from chervilshore import ids


class OrderKind(enum.Enum):
    """What an engine is to do."""

    LOAD = "load"
    UNLOAD = "unload"
    ADAPTER = "adapter"
    VERSION = "version"
    ROLE = "role"


WEIGHT_READING_KINDS = (OrderKind.LOAD, OrderKind.ADAPTER, OrderKind.VERSION)
"""The kinds that read from the weight store."""


class Progress(enum.Enum):
    """What has become of an order at one engine."""

    WAITING = "waiting"
    SENT = "sent"
    DONE = "done"
    FAILED = "failed"
    GONE = "gone"


FINAL_PROGRESS = (Progress.DONE, Progress.FAILED, Progress.GONE)
"""The progress that never changes again."""


class Order(msgspec.Struct, frozen=True):
    """An instruction, as it stands in the platform.

    Parameters
    ----------
    order : OrderId
        Its name, which the engines keep as their last order.
    pool : PoolName
        The pool of its engines.
    kind : OrderKind
        What they are to do.
    argument : str
        The model, adapter, version or role.
    endpoints : tuple of EndpointId
        The engines.
    author : str
        Who asked for it.
    reason : str
        Why.
    progress : dict
        What has become of it, for each engine that it was sent to.
    details : dict
        What an engine said, where it failed.
    tokens : dict
        The fencing token under which it was last sent, for each engine.
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
        """Tell what has become of the order at an engine."""
        return self.progress.get(endpoint, Progress.WAITING)

    def may_settle(
        self, endpoint: ids.EndpointId, token: ids.FencingToken
    ) -> bool:
        """Tell whether a holder may decide what a sending has led to.

        A former holder may not, as a later one may be sending just now.
        """
        return token >= self.tokens.get(endpoint, ids.FencingToken(0))

    @property
    def is_finished(self) -> bool:
        """Whether nothing is left to be done."""
        return all(
            self.progress_at(name) in FINAL_PROGRESS for name in self.endpoints
        )

    def mark_sent(
        self, endpoint: ids.EndpointId, token: ids.FencingToken
    ) -> "Order":
        """Make the order as it stands right before it is sent."""
        moved = self.with_progress(endpoint, Progress.SENT)
        tokens = {**self.tokens, endpoint: token}
        return msgspec.structs.replace(moved, tokens=tokens)

    def with_progress(
        self, endpoint: ids.EndpointId, progress: Progress, detail: str = ""
    ) -> "Order":
        """Make the order with another progress at one engine."""
        details = self.details
        if detail:
            details = {**details, endpoint: detail}
        return msgspec.structs.replace(
            self,
            progress={**self.progress, endpoint: progress},
            details=details,
        )


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself.

    Parameters
    ----------
    instance : InstanceId
        Its process.
    model, version, role : str
        What it serves.
    adapters : tuple of str
        The adapters that it has loaded.
    fence : FencingToken
        The highest token that it has seen.
    last_order : OrderId
        The last order that it has run; empty when there is none.
    """

    instance: ids.InstanceId = ids.InstanceId("")
    model: str = ""
    version: str = ""
    role: str = ""
    adapters: tuple[str, ...] = ()
    fence: ids.FencingToken = ids.FencingToken(0)
    last_order: ids.OrderId = ids.OrderId("")


class StepKind(enum.Enum):
    """What is to be done with an order at an engine."""

    SEND = "send"
    SETTLE = "settle"
    DROP = "drop"


class Step(msgspec.Struct, frozen=True):
    """The next step at one engine."""

    kind: StepKind
    order: ids.OrderId
    endpoint: ids.EndpointId


def plan(
    orders: abc.Iterable[Order], listed: abc.Container[ids.EndpointId]
) -> list[Step]:
    """Find the next step at each engine.

    An order is begun at an engine only when every earlier one has ended
    there, so an unknown fate is settled before anything else is sent.

    Parameters
    ----------
    orders : iterable of Order
        The orders of one pool, the oldest first.
    listed : container of EndpointId
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
            if endpoint not in listed:
                kind = StepKind.DROP
            elif order.progress_at(endpoint) is Progress.SENT:
                kind = StepKind.SETTLE
            steps[endpoint] = Step(kind, order.order, endpoint)
    return list(steps.values())


def settle(order: Order, state: EngineState) -> Progress:
    """Tell from an engine's state what has become of a sent order.

    It must be certain that nothing sent before can still take effect.
    """
    if state.last_order == order.order:
        return Progress.DONE
    return Progress.WAITING
