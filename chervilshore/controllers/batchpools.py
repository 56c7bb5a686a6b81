"""The state of batch pools that this host owns."""

import asyncio
from collections import abc as collections_abc

from chervilshore import batchmessages
from chervilshore.clients import batches
from chervilshore.decisions import batchjobs
from chervilshore.decisions import batchplanner
from chervilshore import ids

SendUpdate = collections_abc.Callable[
    [batchmessages.BatchJobResult | batchmessages.BatchInputsRead], None
]
"""Sends an update about a job to the host that submitted it."""


class PoolState:
    """State of one pool that this host owns; set `wake` to plan it again."""

    def __init__(self, planner: batchplanner.BatchPlanner) -> None:
        self.planner = planner
        self.senders: dict[str, SendUpdate] = {}  # by job
        self.wake = asyncio.Event()

    def add_space(self, endpoint: ids.EndpointId, handles: list[str]) -> None:
        """Plan again with the space of results that were freed."""
        self.planner.record_freed(endpoint, handles)
        self.wake.set()


def list_item_calls(
    call: batchjobs.BatchCall, now: float
) -> list[batches.ItemCall]:
    """Return the items of a planned call, with the milliseconds left."""
    return [
        batches.ItemCall(
            request=part.job.request,
            stage=part.job.stage,
            item_index=number,
            left_ms=part.job.deadline - now,
            key=part.job.key,
            inputs=part.job.inputs,
        )
        for part in call.parts
        for number in part.item_indexes
    ]
