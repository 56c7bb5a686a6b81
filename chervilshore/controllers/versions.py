"""Interface of what decides which software versions get requests."""

import abc
from collections import abc as abc_types

import msgspec

from chervilshore.decisions import routing
from chervilshore import ids
from chervilshore import records


class Sent(msgspec.Struct, frozen=True):
    """What is known of a request when it is sent.

    Parameters
    ----------
    pipeline : PipelineName
        Its pipeline; empty for a call of a batch pool.
    level : int
        How loaded the endpoint was, from 0.
    is_first : bool
        Whether it is the request's first attempt at the pool.
    is_comparable : bool
        Whether its duration tells something of the endpoint's version.
    """

    pipeline: ids.PipelineName = ids.PipelineName("")
    level: int = 0
    is_first: bool = True
    is_comparable: bool = True


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
    def find_pauses(
        self,
        pool: ids.PoolName,
        endpoints: list[records.EndpointRecord],
        now: float,
    ) -> dict[ids.EndpointId, float]:
        """Return until when endpoints of a batch pool get no call, if so."""

    @abc.abstractmethod
    def record_sent(
        self, record: records.EndpointRecord, sent: Sent, now: float
    ) -> None:
        """Record that a request is being sent to an endpoint."""

    @abc.abstractmethod
    def record_end(
        self,
        record: records.EndpointRecord,
        sent: Sent,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Record how a request that was sent ended, and after how long."""

    @abc.abstractmethod
    def hold(
        self,
        record: records.EndpointRecord,
        handles: abc_types.Iterable[str],
        now: float,
        until: float,
    ) -> None:
        """Record that an endpoint is needed for its results.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint.
        handles : iterable of str
            The results.
        now : float
            The time in milliseconds.
        until : float
            The time in milliseconds at which they end by themselves.
        """

    @abc.abstractmethod
    def release(self, handle: str) -> None:
        """Record that a result is needed no more."""

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

    def find_pauses(
        self,
        pool: ids.PoolName,
        endpoints: list[records.EndpointRecord],
        now: float,
    ) -> dict[ids.EndpointId, float]:
        """Return no endpoint; see `Versions.find_pauses`."""
        return {}

    def record_sent(
        self, record: records.EndpointRecord, sent: Sent, now: float
    ) -> None:
        """Do nothing; see `Versions.record_sent`."""

    def record_end(
        self,
        record: records.EndpointRecord,
        sent: Sent,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Do nothing; see `Versions.record_end`."""

    def hold(
        self,
        record: records.EndpointRecord,
        handles: abc_types.Iterable[str],
        now: float,
        until: float,
    ) -> None:
        """Do nothing; see `Versions.hold`."""

    def release(self, handle: str) -> None:
        """Do nothing; see `Versions.release`."""

    def is_suspect(self, record: records.EndpointRecord) -> bool:
        """Return False; see `Versions.is_suspect`."""
        return False
