"""Which versions get requests while roll-outs are carried out."""

import collections
from collections import abc

import msgspec
import xxhash

from chervilshore.controllers import directory as directories
from chervilshore.controllers import rolloutspread
from chervilshore.controllers import versions
from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore.decisions.rollouts import rollout
from chervilshore.decisions import routing
from chervilshore import ids
from chervilshore import metrics as metric_types
from chervilshore import records

Phase = rollout_records.Phase
State = rollout_records.RolloutState

PAUSE_MS = 100.0
"""Milliseconds until a version that gets no call now may get one."""

DRAW_MS = 400.0
"""Milliseconds for which an endpoint of a batch pool gets calls or none while
requests move to its version: about as long as a call."""


def is_final(state: str) -> bool:
    """Return whether a status says that its order has ended."""
    return state in (State.COMPLETED.value, State.ROLLED_BACK.value)


def number_order(record: records.RolloutRecord) -> int:
    """Return the number of an order, which its status does not change."""
    text = f"{record.pool} {record.to} {record.duration_ms} {record.created}"
    return xxhash.xxh3_64_intdigest(text.encode()) >> 1


class Run(msgspec.Struct):
    """An order that this host carries out.

    Parameters
    ----------
    record : RolloutRecord
        The order, with the state that is in the store.
    rollout : Rollout
        What is decided on it.
    number : int
        Tells orders apart, the same on all hosts.
    era : int
        The era of the store in which it was read.
    base : frozenset of SoftwareVersion
        The other versions of the pool when it became known.
    old : frozenset of SoftwareVersion
        The other versions of the pool when its end became known.
    logged_phase : Phase
        The phase that was logged last.
    sent, sent_new : int
        Attempts of this host since the order, and those at its version.
    """

    record: records.RolloutRecord
    rollout: rollout.Rollout
    number: int
    era: int
    base: frozenset[ids.SoftwareVersion] = frozenset()
    old: frozenset[ids.SoftwareVersion] = frozenset()
    sent: int = 0
    sent_new: int = 0
    logged_phase: rollout_records.Phase = rollout_records.Phase.CANARY

    @property
    def is_completed(self) -> bool:
        """Whether its completion is in the store."""
        return self.record.state == State.COMPLETED.value


class _Held(msgspec.Struct, frozen=True):
    """A result that an endpoint of a version keeps until a time at most."""

    pool: ids.PoolName
    version: ids.SoftwareVersion
    until: float


class RolloutVersions(versions.Versions):
    """Chooses between the versions of pools that have an order.

    Parameters
    ----------
    directory : Directory
        Lists the endpoints.
    spread : RolloutSpread
        Is told when an ordered version fails.
    metrics : Metrics
        Counts attempts by version.

    Attributes
    ----------
    runs : dict of PoolName to Run
        The orders that are carried out or have ended.
    withdrawn : dict
        Pools and versions of orders that are gone and were not completed,
        with the times in milliseconds at which they were last seen.
    """

    def __init__(
        self,
        directory: directories.Directory,
        spread: rolloutspread.RolloutSpread,
        metrics: metric_types.Metrics,
    ) -> None:
        self.runs: dict[ids.PoolName, Run] = {}
        self.withdrawn: dict[
            tuple[ids.PoolName, ids.SoftwareVersion], float
        ] = {}
        self._directory = directory
        self._spread = spread
        self._metrics = metrics
        self._running: collections.Counter[
            tuple[ids.PoolName, ids.SoftwareVersion]
        ] = collections.Counter()
        self._held: dict[str, _Held] = {}
        self._draws: dict[ids.EndpointId, tuple[float, bool]] = {}

    @property
    def is_settled(self) -> bool:
        """Whether there is nothing to decide until the orders change."""
        return not self.withdrawn and all(
            run.rollout.state.value == run.record.state
            and run.rollout.state is not State.RUNNING
            for run in self.runs.values()
        )

    def divide(
        self,
        requirements: routing.StageRequirements,
        candidates: list[routing.Candidate],
        now: float,
    ) -> list[list[routing.Candidate]]:
        """Put one version before the others; see `Versions.divide`."""
        allowed: dict[ids.SoftwareVersion, bool] = {}
        for one in candidates:
            version = one.record.version
            if version not in allowed:
                allowed[version] = self._allows(
                    one.record, requirements.pipeline, now
                )
        usable = [one for one in candidates if allowed[one.record.version]]
        run = self.runs.get(requirements.pool)
        if run is None or run.rollout.state is not State.RUNNING:
            return [usable]
        canaries = run.rollout.choose_canaries(now)
        chosen, new, old = [], [], []
        for one in usable:
            if one.record.version != run.record.to:
                old.append(one)
            elif one.record.endpoint in canaries:
                chosen.append(one)
            else:
                new.append(one)
        # What has failed once is not tried at a version that may be bad.
        if not requirements.excluded and run.rollout.prefers_new(
            requirements.pipeline, now
        ):
            return [chosen, old, new]
        return [old, chosen, new]

    def find_pauses(
        self,
        pool: ids.PoolName,
        endpoints: list[records.EndpointRecord],
        now: float,
    ) -> dict[ids.EndpointId, float]:
        """Return until when endpoints get no call; see `Versions`."""
        pipeline = ids.PipelineName("")
        waiting = {
            one.endpoint
            for one in endpoints
            if not self._allows(one, pipeline, now)
        }
        run = self._find_running(pool)
        if run is not None and run.rollout.phase <= Phase.MOVING:
            new = [one for one in endpoints if one.version == run.record.to]
            if run.rollout.phase is Phase.CANARY:
                waiting.update(self._choose_waiting(run, new, now))
            else:
                waiting.update(
                    one.endpoint
                    for one in new
                    if not self._draw(run, one.endpoint, now)
                )
        return dict.fromkeys(waiting, now + PAUSE_MS)

    def _choose_waiting(
        self, run: Run, new: list[records.EndpointRecord], now: float
    ) -> list[ids.EndpointId]:
        """Return all endpoints, or all but one if the canary is due a call.

        Each call that is planned now needs what is left of the share.
        """
        waiting = [one.endpoint for one in new]
        if not run.rollout.prefers_new(ids.PipelineName(""), now):
            return waiting
        canaries = run.rollout.choose_canaries(now)
        return sorted(waiting, key=lambda one: one not in canaries)[1:]

    def _draw(self, run: Run, endpoint: ids.EndpointId, now: float) -> bool:
        """Return whether an endpoint gets calls in this part of a move.

        The answer holds for a while, as plans are made at any moment.
        """
        until, drawn = self._draws.get(endpoint, (0.0, False))
        if now >= until:
            drawn = run.rollout.prefers_new(ids.PipelineName(""), now)
            self._draws[endpoint] = now + DRAW_MS, drawn
        return drawn

    def _allows(
        self,
        record: records.EndpointRecord,
        pipeline: ids.PipelineName,
        now: float,
    ) -> bool:
        if (record.pool, record.version) in self.withdrawn:
            return not self._has_other(record)
        run = self.runs.get(record.pool)
        if run is None:
            return True
        if run.rollout.state is State.COMPLETED:
            return record.version not in run.old
        return run.rollout.allows(record.version, pipeline, now)

    def _has_other(self, record: records.EndpointRecord) -> bool:
        """Return whether its pool has endpoints of other versions."""
        return any(
            (other.pool, other.version) not in self.withdrawn
            for other in self._directory.endpoints(record.pool)
        )

    def _find_running(self, pool: ids.PoolName) -> Run | None:
        """Return a pool's order, None if it has ended or there is none."""
        run = self.runs.get(pool)
        if run is None or run.rollout.state is not State.RUNNING:
            return None
        return run

    def record_sent(
        self,
        record: records.EndpointRecord,
        sent: versions.Sent,
        now: float,
    ) -> None:
        """Count an attempt that begins; see `Versions.record_sent`."""
        self._running[record.pool, record.version] += 1
        run = self._find_running(record.pool)
        if run is None:
            return
        run.sent += 1
        run.sent_new += record.version == run.record.to
        run.rollout.record_sent(
            record.version, sent.pipeline, record.endpoint, now, sent.is_first
        )

    def record_end(
        self,
        record: records.EndpointRecord,
        sent: versions.Sent,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Count an attempt that ended; see `Versions.record_end`."""
        kind = (record.pool, record.version)
        self._running[kind] -= 1
        if not self._running[kind]:
            del self._running[kind]
        run = self._find_running(record.pool)
        if run is None:
            return
        run.rollout.record_end(
            record.version,
            sent.pipeline,
            record.endpoint,
            outcome,
            millis,
            now,
            sent.level,
            sent.is_comparable,
        )
        failed = outcome in (records.Outcome.BROKEN, records.Outcome.REJECTED)
        if failed and record.version == run.record.to:
            self._spread.hurry()
        self._metrics.count(
            metric_types.Metric.VERSION_ATTEMPTS,
            record.pool,
            record.version,
            outcome.value,
        )

    def hold(
        self,
        record: records.EndpointRecord,
        handles: abc.Iterable[str],
        now: float,
        until: float,
    ) -> None:
        """Keep an endpoint's version in use; see `Versions.hold`."""
        for handle in handles:
            self._held[handle] = _Held(record.pool, record.version, until)
        # The oldest ones come first and end first.
        while self._held and next(iter(self._held.values())).until <= now:
            del self._held[next(iter(self._held))]

    def release(self, handle: str) -> None:
        """End the use of a result; see `Versions.release`."""
        self._held.pop(handle, None)

    def is_suspect(self, record: records.EndpointRecord) -> bool:
        """Return whether its version is unproven; see `Versions`."""
        if (record.pool, record.version) in self.withdrawn:
            return True
        run = self.runs.get(record.pool)
        return (
            run is not None
            and run.record.to == record.version
            and run.rollout.state is not State.COMPLETED
            and run.rollout.phase in (Phase.CANARY, Phase.CONDEMNED)
        )

    def count_old(self, run: Run, now: float) -> int:
        """Return what still needs endpoints of the other versions here."""
        pool, to = run.record.pool, run.record.to
        running = sum(
            count
            for (name, version), count in self._running.items()
            if name == pool and version != to
        )
        held = sum(
            one.pool == pool and one.version != to and now < one.until
            for one in self._held.values()
        )
        return running + held
