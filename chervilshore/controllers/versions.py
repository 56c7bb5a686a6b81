"""Interface of what decides which software versions get requests."""

import abc

from chervilshore.decisions import routing
from chervilshore import ids
from chervilshore import records


class Versions(abc.ABC):
    """Says in which order the versions of a pool's endpoints are tried."""

    @abc.abstractmethod
    def divide(
        self,
        requirements: routing.StageRequirements,
        candidates: list[routing.Candidate],
        now: float,
    ) -> list[list[routing.Candidate]]:
        """Leave out endpoints whose version may get nothing from this host.

        Parameters
        ----------
        requirements : StageRequirements
            What the stage requires.
        candidates : list of Candidate
            Endpoints of its pool.
        now : float
            The time in milliseconds.

        Returns
        -------
        list of list of Candidate
            The others, in groups; the first group is tried first.
        """

    @abc.abstractmethod
    def accepts(
        self,
        record: records.EndpointRecord,
        pipeline: ids.PipelineName,
        now: float,
    ) -> bool:
        """Return whether an endpoint's version may get a request now."""

    @abc.abstractmethod
    def record_sent(
        self,
        record: records.EndpointRecord,
        pipeline: ids.PipelineName,
        now: float,
    ) -> None:
        """Record that a request is being sent to an endpoint."""

    @abc.abstractmethod
    def record_end(
        self,
        record: records.EndpointRecord,
        pipeline: ids.PipelineName,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Record how a request that was sent ended, and after how long."""

    @abc.abstractmethod
    def is_suspect(self, record: records.EndpointRecord) -> bool:
        """Return whether an endpoint's version may itself be at fault."""


class AnyVersion(Versions):
    """Versions make no difference, as no roll-outs are carried out."""

    def divide(
        self,
        requirements: routing.StageRequirements,
        candidates: list[routing.Candidate],
        now: float,
    ) -> list[list[routing.Candidate]]:
        """Return all candidates as one group; see `Versions.divide`."""
        return [candidates]

    def accepts(
        self,
        record: records.EndpointRecord,
        pipeline: ids.PipelineName,
        now: float,
    ) -> bool:
        """Return True; see `Versions.accepts`."""
        return True

    def record_sent(
        self,
        record: records.EndpointRecord,
        pipeline: ids.PipelineName,
        now: float,
    ) -> None:
        """Do nothing; see `Versions.record_sent`."""

    def record_end(
        self,
        record: records.EndpointRecord,
        pipeline: ids.PipelineName,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Do nothing; see `Versions.record_end`."""

    def is_suspect(self, record: records.EndpointRecord) -> bool:
        """Return False; see `Versions.is_suspect`."""
        return False
