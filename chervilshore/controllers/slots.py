"""How a stage of a request gets leave to use an endpoint."""

import abc
import random

import msgspec

from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import directory as directories
from chervilshore.decisions import routing
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records
from chervilshore import results


class Slot(msgspec.Struct, frozen=True):
    """Leave to make one attempt at an endpoint.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint, with its failure domain after assignments.
    grant : GrantId
        The slot, within the keeper's epoch.
    epoch : Epoch
        The keeper's epoch.
    """

    record: records.EndpointRecord
    grant: ids.GrantId = ids.GrantId(0)
    epoch: ids.Epoch = ids.Epoch(0)


class AttemptResult(msgspec.Struct, frozen=True):
    """How an attempt under a slot went.

    Parameters
    ----------
    outcome : Outcome
        How it ended.
    millis : float
        Milliseconds that it took.
    instance : InstanceId
        The process that answered; empty when there was no answer.
    cold : bool
        Whether the endpoint said that it is cold.
    """

    outcome: records.Outcome
    millis: float = 0.0
    instance: ids.InstanceId = ids.InstanceId("")
    cold: bool = False


class Slots(abc.ABC):
    """Gives out slots of the endpoints of all pools."""

    @abc.abstractmethod
    async def acquire(self, need: routing.Need) -> Slot:
        """Wait for a slot at an endpoint that suits the need.

        Parameters
        ----------
        need : Need
            What the stage asks, with its deadline.

        Returns
        -------
        Slot
            The slot, which must be given back with `release`.

        Raises
        ------
        exceptions.RefusalError
            No slot can be had in time; nothing has run.
        """

    @abc.abstractmethod
    def confirm(self, slot: Slot) -> bool:
        """Check a slot once more, right before the first byte goes out.

        Returns
        -------
        bool
            Whether the slot still holds, and its endpoint is neither
            leaving nor in a failure domain that is out.
        """

    @abc.abstractmethod
    def release(self, slot: Slot, attempt: AttemptResult) -> None:
        """Give a slot back and tell how the attempt went."""


class UnboundedSlots(Slots):
    """The baseline: any endpoint at any time, with no bound at all.

    Parameters
    ----------
    directory : Directory
        The endpoints.
    configuration : Configuration
        Tells which failure domains are out.
    generator : random.Random
        Chooses the endpoint.
    """

    def __init__(
        self,
        directory: directories.Directory,
        configuration: configurations.Configuration,
        generator: random.Random,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._random = generator

    async def acquire(self, need: routing.Need) -> Slot:
        """Choose an endpoint by chance; see `Slots.acquire`."""
        found = [
            record
            for record in self._directory.endpoints(need.pool)
            if need.allows(record) and self._is_usable(record)
        ]
        if not found:
            raise exceptions.RefusalError(results.Code.NO_ENDPOINT)
        return Slot(self._random.choice(found))

    def confirm(self, slot: Slot) -> bool:
        """Check the endpoint once more; see `Slots.confirm`."""
        record = self._directory.endpoint(slot.record.endpoint)
        return record is not None and self._is_usable(record)

    def release(self, slot: Slot, attempt: AttemptResult) -> None:
        """Do nothing, as nothing is counted; see `Slots.release`."""

    def describe(self) -> dict:
        """Tell that nothing is bounded."""
        return {"bounded": False}

    def _is_usable(self, record: records.EndpointRecord) -> bool:
        return self._configuration.rules.is_open(record)
