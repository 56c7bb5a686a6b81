"""Interface of the slots that admit attempts to endpoints."""

import abc
import random

import msgspec

from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import directory as directories
from chervilshore.controllers import versions
from chervilshore.decisions.capacity import observations
from chervilshore.decisions import routing
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records
from chervilshore import results


class Slot(msgspec.Struct, frozen=True):
    """Permission to make one attempt at an endpoint.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint, with the failure domain that it is assigned to.
    grant : GrantId
        The number of the slot within the epoch.
    epoch : Epoch
        The epoch of the owner that granted the slot.
    sent : Sent
        What is known of the request when it is sent.
    flight : Flight or None
        Records the events of the attempt; None if nothing is learnt of the
        endpoint.
    """

    record: records.EndpointRecord
    grant: ids.GrantId = ids.GrantId(0)
    epoch: ids.Epoch = ids.Epoch(0)
    sent: versions.Sent = versions.Sent()
    flight: observations.Flight | None = None


class AttemptResult(msgspec.Struct, frozen=True):
    """The result of an attempt under a slot.

    Parameters
    ----------
    outcome : Outcome
        How the attempt ended.
    millis : float
        The duration in milliseconds.
    instance : InstanceId
        The endpoint process that answered; empty without an answer.
    cold : bool
        Whether the endpoint reported that it is cold.
    """

    outcome: records.Outcome
    millis: float = 0.0
    instance: ids.InstanceId = ids.InstanceId("")
    cold: bool = False


class Slots(abc.ABC):
    """Assigns slots of the endpoints of all pools."""

    @abc.abstractmethod
    async def acquire(self, requirements: routing.StageRequirements) -> Slot:
        """Wait for a slot that meets the requirements of a stage.

        The wait ends at the deadline of the stage.

        Returns
        -------
        Slot
            The slot; the caller must return it with `release`.

        Raises
        ------
        exceptions.RefusalError
            No slot is free in time; no attempt was made.
        """

    @abc.abstractmethod
    def confirm(self, slot: Slot) -> bool:
        """Check a slot again right before the first byte is sent.

        Returns
        -------
        bool
            Whether the slot is still valid, and its endpoint is neither
            leaving (draining) nor in a failure domain that is out.
        """

    @abc.abstractmethod
    def release(self, slot: Slot, attempt: AttemptResult) -> None:
        """Return a slot and record the result of the attempt."""


class UnboundedSlots(Slots):
    """Baseline without limits: a random endpoint at any time.

    Parameters
    ----------
    directory : Directory
        The endpoints.
    configuration : Configuration
        The active rules, with the failure domains that are out.
    rng : random.Random
        Chooses the endpoint.
    """

    def __init__(
        self,
        directory: directories.Directory,
        configuration: configurations.Configuration,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._rng = rng

    async def acquire(self, requirements: routing.StageRequirements) -> Slot:
        """Choose a random endpoint; see `Slots.acquire`."""
        usable = [
            record
            for record in self._directory.endpoints(requirements.pool)
            if requirements.allows(record) and self._is_usable(record)
        ]
        if not usable:
            raise exceptions.RefusalError(results.Code.NO_ENDPOINT)
        return Slot(self._rng.choice(usable))

    def confirm(self, slot: Slot) -> bool:
        """Check that the endpoint is still usable; see `Slots.confirm`."""
        record = self._directory.endpoint(slot.record.endpoint)
        return record is not None and self._is_usable(record)

    def release(self, slot: Slot, attempt: AttemptResult) -> None:
        """Do nothing: attempts are not counted; see `Slots.release`."""

    def describe(self) -> dict:
        """Return a summary for operators."""
        return {"bounded": False}

    def _is_usable(self, record: records.EndpointRecord) -> bool:
        return self._configuration.rules.accepts_requests(record)
