"""Carries out the orders to move pools to other software versions."""

import asyncio
import logging
import random

import mode
import msgspec

from chervilshore.clients import peers as peer_types
from chervilshore import clock as clocks
from chervilshore.controllers import catalog as catalogs
from chervilshore.controllers import decoders as decoding
from chervilshore.controllers import membership as memberships
from chervilshore.controllers import rolloutspread
from chervilshore.controllers import rolloutstatus
from chervilshore.controllers import rolloutversions
from chervilshore.controllers import versions
from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore.decisions.rollouts import rollout
from chervilshore import events
from chervilshore import ids
from chervilshore import metrics as metric_types
from chervilshore import objects
from chervilshore import records
from chervilshore import settings

STEP_MS = 200.0
"""Milliseconds between two decisions on each order."""

WITHDRAWN_MS = 60_000.0
"""Milliseconds for which a version whose order is gone gets nothing though it
has no endpoints: those that the order started may still come."""

LONGEST_MS = 20_000.0
"""Milliseconds that a request lasts at most if no pipeline has the pool."""

MAX_LOGGED_WAITS = 8
"""Hosts and other things that are named of those that a roll-out waits for."""

State = rollout_records.RolloutState

_LOGGER = logging.getLogger(__name__)


class Rollouts(mode.Service):
    """Follows the orders of roll-outs and decides on each.

    Parameters
    ----------
    host : HostId
        This host.
    incarnation : Incarnation
        Its process run.
    clock : Clock
        The time.
    catalog : Catalog
        The orders, endpoints, hosts and rules.
    decoders : Decoders
        Decode the orders.
    version_choice : RolloutVersions
        Chooses between versions, by what is decided here.
    spread : RolloutSpread
        Exchanges evidence with the other hosts.
    writer : StatusWriter
        Writes the status of orders.
    limits : ExposureLimits
        How many requests a version gets before it is proven.
    rng : random.Random
        Spreads the requests to new versions.
    metrics : Metrics
        Shows how far each order is.

    Attributes
    ----------
    versions : RolloutVersions
        Chooses between versions.
    """

    def __init__(
        self,
        host: ids.HostId,
        incarnation: ids.Incarnation,
        clock: clocks.Clock,
        catalog: catalogs.Catalog,
        decoders: decoding.Decoders,
        version_choice: rolloutversions.RolloutVersions,
        spread: rolloutspread.RolloutSpread,
        writer: rolloutstatus.StatusWriter,
        limits: rollout_records.ExposureLimits,
        rng: random.Random,
        metrics: metric_types.Metrics,
    ) -> None:
        super().__init__()
        self._host = host
        self._incarnation = incarnation
        self._clock = clock
        self._catalog = catalog
        self._decoders = decoders
        self.versions = version_choice
        self._spread = spread
        self._writer = writer
        self._limits = limits
        self._rng = rng
        self._metrics = metrics
        self._stored: dict[ids.PoolName, objects.StoredObject] = {}
        self._has_read = False
        self._has_work = asyncio.Event()
        self._hosts_seen: dict[ids.HostId, float] = {}
        self._invalid: dict[str, int] = {}

    async def on_start(self) -> None:
        """Start to follow the orders."""
        self._catalog.on_rollouts = self._follow_orders
        await self.add_runtime_dependency(self._spread)
        await self.add_runtime_dependency(self._writer)

    def _follow_orders(self) -> None:
        """Start and end roll-outs as the orders in the store change."""
        cache = self._catalog.caches[self._decoders.rollouts]
        found: dict[ids.PoolName, records.RolloutRecord] = {}
        self._stored.clear()
        for stored in sorted(
            cache.objects.values(), key=lambda stored: stored.name
        ):
            record = self._decoders.read_rollout(stored)
            if record is None:
                self._log_invalid(stored)
            elif record.pool not in found:
                found[record.pool] = record
                self._stored[record.pool] = stored
        for pool in self.versions.runs.keys() - found.keys():
            self._drop(self.versions.runs.pop(pool))
        for record in found.values():
            self._follow(record, cache.era)
        if cache.revision:
            self._has_read = True
        self._has_work.set()

    def _log_invalid(self, stored: objects.StoredObject) -> None:
        if self._invalid.get(stored.name) != stored.revision:
            self._invalid[stored.name] = stored.revision
            events.log_event(
                _LOGGER,
                events.Event.ROLLOUT_REFUSED,
                name=stored.name,
                **objects.describe_position(stored.revision),
            )

    def _follow(self, record: records.RolloutRecord, era: int) -> None:
        number = rolloutversions.number_order(record)
        run = self.versions.runs.get(record.pool)
        if run is None:
            run = self._start(record, number, era)
        elif run.number != number or self._is_repeated(run, record, era):
            self._drop(run)
            # The version that the dropped order was to replace is known.
            is_known = not run.is_completed and record.to in run.base
            run = self._start(record, number, era)
            if is_known:
                run.rollout.phase = rollout_records.Phase.SWITCHED
        run.record, run.era = record, era
        is_running = run.rollout.state is State.RUNNING
        if is_running and rolloutversions.is_final(record.state):
            self._finish(run)

    def _is_repeated(
        self, run: rolloutversions.Run, record: records.RolloutRecord, era: int
    ) -> bool:
        """Return whether an order that had ended runs again.

        A store that was restored from a copy may only have lost its end.
        """
        ended = rolloutversions.is_final(run.record.state)
        return ended and record.state == State.RUNNING.value and era == run.era

    def _start(
        self, record: records.RolloutRecord, number: int, era: int
    ) -> rolloutversions.Run:
        order = rollout_records.RolloutOrder(
            record.pool, record.to, record.duration_ms, number
        )
        decided = rollout.Rollout(
            order,
            self._host,
            self._incarnation,
            self._limits,
            self._clock.now(),
            self._rng,
            hosts=len(self._catalog.hosts()),
            has_memory=self._has_read,
        )
        base = self._list_others(record) if self._has_read else frozenset()
        run = rolloutversions.Run(record, decided, number, era, base)
        self.versions.runs[record.pool] = run
        self.versions.withdrawn.pop((record.pool, record.to), None)
        self._spread.add(number, decided)
        events.log_event(
            _LOGGER,
            events.Event.ROLLOUT_STARTED,
            pool=record.pool,
            version=record.to,
            duration_ms=record.duration_ms,
            order=number,
            state=record.state,
            knows_past=self._has_read,
        )
        return run

    def _list_others(
        self, record: records.RolloutRecord
    ) -> frozenset[ids.SoftwareVersion]:
        """Return the listed versions that an order does not name."""
        return frozenset(
            one.version
            for one in self._catalog.endpoints(record.pool)
            if one.version != record.to
        )

    def _finish(self, run: rolloutversions.Run) -> None:
        """Take in the final state that is in the store."""
        run.rollout.set_state(State(run.record.state), self._clock.now())
        if self._has_read:
            # Versions that come later need no order.
            run.old = self._list_others(run.record)
        self._log(events.Event.ROLLOUT_ENDED, run)

    def _drop(self, run: rolloutversions.Run) -> None:
        """End a roll-out whose order is gone or replaced."""
        pool, version = run.record.pool, run.record.to
        if not run.is_completed:
            self.versions.withdrawn[pool, version] = self._clock.now()
        self._spread.rollouts.pop(run.number, None)
        self._writer.forget(pool)
        self._log(events.Event.ROLLOUT_DROPPED, run)

    def _log(self, event: events.Event, run: rolloutversions.Run) -> None:
        described = run.rollout.describe(self._clock.now())
        for logged in ("pool", "to", "state", "phase"):
            del described[logged]
        described["waits_for"] = described["waits_for"][:MAX_LOGGED_WAITS]
        events.log_event(
            _LOGGER,
            event,
            pool=run.record.pool,
            version=run.record.to,
            order=run.number,
            status=run.record.state,
            phase=run.rollout.phase.name.lower(),
            sent=run.sent,
            sent_new=run.sent_new,
            evidence=described,
        )

    @mode.Service.task
    async def _decide(self) -> None:
        """Decide on each order, again and again."""
        while not self.should_stop:
            await self._has_work.wait()
            now = self._clock.now()
            self._note_hosts(now)
            self._forget_withdrawn(now)
            for run in self.versions.runs.values():
                self._step(run, now)
            if self.versions.is_settled:
                self._has_work.clear()
            await self._clock.sleep(STEP_MS)

    def _step(self, run: rolloutversions.Run, now: float) -> None:
        state = run.rollout.state
        if state is State.RUNNING:
            phase = run.rollout.phase
            state = run.rollout.decide(self._make_view(run, now), now)
            if run.rollout.phase is not phase:
                self._spread.hurry()
        if run.rollout.phase is not run.logged_phase:
            run.logged_phase = run.rollout.phase
            self._log(events.Event.ROLLOUT_PHASE, run)
        if run.record.state == state.value:
            self._writer.forget(run.record.pool)
        else:
            self._writer.want(
                msgspec.structs.replace(run.record, state=state.value),
                self._stored[run.record.pool],
                self._list_alive(),
            )
        kinds, pool = metric_types.Metric, run.record.pool
        share = run.sent_new / max(1, run.sent)
        self._metrics.set(kinds.ROLLOUT_PHASE, run.rollout.phase.value, pool)
        self._metrics.set(kinds.ROLLOUT_SHARE, share, pool)

    def _make_view(
        self, run: rolloutversions.Run, now: float
    ) -> rollout_records.RolloutView:
        pool = run.record.pool
        rules = self._catalog.rules
        ready = [
            record
            for record in self._catalog.endpoints(pool)
            if rules.accepts_requests(record)
        ]
        longest_ms = self._find_longest_ms(pool)
        return rollout_records.RolloutView(
            new=tuple(one for one in ready if one.version == run.record.to),
            old=tuple(one for one in ready if one.version != run.record.to),
            hosts=frozenset(
                host
                for host, seen_at in self._hosts_seen.items()
                if now - seen_at <= longest_ms
            ),
            old_running=self.versions.count_old(run, now),
            longest_ms=longest_ms,
        )

    def _find_longest_ms(self, pool: ids.PoolName) -> float:
        return max(
            (
                float(pipeline.deadline_ms)
                for pipeline in self._catalog.rules.pipelines.values()
                if pool in {target.pool for target in pipeline.targets}
                or pool in {stage.pool for stage in pipeline.batch_stages}
            ),
            default=LONGEST_MS,
        )

    def _note_hosts(self, now: float) -> None:
        """Remember when each host was last known to run."""
        for one in self._catalog.hosts():
            if one.state is not records.HostState.LEAVING:
                self._hosts_seen[one.host] = now

    def _list_alive(self) -> list[ids.HostId]:
        alive = records.HostState.ALIVE
        hosts = self._catalog.hosts()
        return [one.host for one in hosts if one.state is alive]

    def _forget_withdrawn(self, now: float) -> None:
        """Forget versions of dropped orders once their endpoints are gone."""
        withdrawn = self.versions.withdrawn
        for (pool, version), seen_at in tuple(withdrawn.items()):
            if any(
                record.version == version
                for record in self._catalog.endpoints(pool)
            ):
                withdrawn[pool, version] = now
            elif now - seen_at > WITHDRAWN_MS:
                del withdrawn[pool, version]

    def describe(self) -> dict[str, object]:
        """Return the orders and what is known of each, for operators."""
        now = self._clock.now()
        return {
            pool: run.rollout.describe(now)
            | {
                "order": run.number,
                "status": run.record.state,
                "sent": run.sent,
                "sent_new": run.sent_new,
                "old_running": self.versions.count_old(run, now),
            }
            for pool, run in self.versions.runs.items()
        }


def assemble(
    options: settings.Settings,
    clock: clocks.Clock,
    store: objects.ObjectStore,
    catalog: catalogs.Catalog,
    decoders: decoding.Decoders,
    membership: memberships.Membership,
    peers: peer_types.PeerTransport,
    rng: random.Random,
    metrics: metric_types.Metrics,
) -> tuple[Rollouts | None, versions.Versions]:
    """Make the service, None if it is off, and what chooses versions."""
    if not decoders.rollouts:
        return None, versions.AnyVersion()
    spread = rolloutspread.RolloutSpread(
        options.host, clock, catalog, peers, rng
    )
    service = Rollouts(
        options.host,
        membership.me.incarnation,
        clock,
        catalog,
        decoders,
        rolloutversions.RolloutVersions(catalog, spread, metrics),
        spread,
        rolloutstatus.StatusWriter(options.host, clock, store, decoders),
        rollout_records.ExposureLimits(
            options.exposure_share,
            options.exposure_slack,
            options.rollback_ms,
        ),
        rng,
        metrics,
    )
    return service, service.versions
