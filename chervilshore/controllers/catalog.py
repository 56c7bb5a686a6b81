"""The configuration, endpoints and hosts that are read from the store."""

import logging
import math

import mode
import msgspec

from chervilshore import clock as clocks
from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import decoders as decoding
from chervilshore.controllers import directory as directories
from chervilshore.controllers import entries
from chervilshore.controllers import membership as memberships
from chervilshore.controllers import registration
from chervilshore.controllers import storereader
from chervilshore.decisions import backoff
from chervilshore.decisions import endpointtable
from chervilshore.decisions import objectcache
from chervilshore.decisions import senders
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import metrics as metric_types
from chervilshore import objects
from chervilshore import records
from chervilshore.rules import model

WATCH_DELAY_MS = 200.0
"""Milliseconds between changes and the next watch.

It lets one call return several changes. It is a tenth of the time within
which hosts must stop using a leaving endpoint.
"""

ENDPOINTS_WATCH_DELAY_MS = 600.0
"""Milliseconds between changes and the next watch of endpoints.

When many endpoints start or flap, their entries change one after the
other, and without the delay all hosts would call for each. It is less than
a third of the time within which hosts must stop using a leaving endpoint.
"""

DEFAULT_RECOVERY_MS = 3000.0
"""Default of the setting ``store_recovery_ms``."""

HOST_DISCOVERY_INTERVAL_MS = 5000.0
"""Milliseconds between two reads of the hosts until gossip takes over."""

REMOVAL_GRACE_MS = 1600.0
"""Milliseconds for which an entry that a store outage removed still counts.

Its endpoint writes it again within two seconds.
"""

RESTORE_GRACE_MS = 5000.0
"""Milliseconds for which an entry that a restored store lacks still counts.

Operators and endpoints write theirs again once they notice the restore.
"""

ROLLOUTS_WAIT_MS = 2000.0
"""Milliseconds for which a host that knows all else waits for roll-outs."""

_LOGGER = logging.getLogger(__name__)


class Catalog(
    mode.Service, configurations.Configuration, directories.Directory
):
    """The configuration and directory of a host that reads the store.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    decoders : Decoders
        Decode its objects.
    membership : Membership
        Lists the entry hosts that are alive.
    clock : Clock
        Measures delays and the duration of outages.
    recovery_ms : float
        Milliseconds after an outage of the store within which this host
        must know what has changed there.

    Attributes
    ----------
    caches : dict of str to ObjectCache
        The cached objects of each kind.
    entries : dict of str to Entries
        Which objects are of use, of the kinds that have many writers.
    on_hosts_listed : callable
        Called when the store has listed the hosts.
    on_rollouts : callable
        Called whenever the orders of roll-outs may have changed.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        decoders: decoding.Decoders,
        membership: memberships.Membership,
        clock: clocks.Clock,
        recovery_ms: float = DEFAULT_RECOVERY_MS,
    ) -> None:
        super().__init__()
        self._store = store
        self._decoders = decoders
        self._membership = membership
        self._clock = clock
        self._rules = model.Rules()
        self._listeners: list[configurations.Listener] = []
        self.caches = {
            decoders.rules: objectcache.ObjectCache(),
            decoders.domains: objectcache.ObjectCache(
                restore_grace_ms=RESTORE_GRACE_MS
            ),
            decoders.endpoints: objectcache.ObjectCache(
                REMOVAL_GRACE_MS, RESTORE_GRACE_MS
            ),
            decoders.hosts: objectcache.ObjectCache(),
        }
        watch_delays_ms = {
            decoders.rules: WATCH_DELAY_MS,
            decoders.domains: WATCH_DELAY_MS,
            decoders.endpoints: ENDPOINTS_WATCH_DELAY_MS,
        }
        if decoders.rollouts:
            self.caches[decoders.rollouts] = objectcache.ObjectCache(
                restore_grace_ms=RESTORE_GRACE_MS
            )
            watch_delays_ms[decoders.rollouts] = WATCH_DELAY_MS
        self.entries = {
            decoders.endpoints: entries.Entries(
                decoders.endpoints, decoders.read_endpoint
            ),
            decoders.hosts: entries.Entries(
                decoders.hosts, decoders.read_host
            ),
        }
        self.on_rollouts = lambda: None
        self._registration = registration.Registration(
            store, decoders, membership, clock
        )
        self._reader = storereader.StoreReader(
            store,
            self.caches,
            watch_delays_ms,
            clock,
            recovery_ms,
            self.apply,
            self._registration.renew,
        )
        self._senders = senders.Senders(clock.now())
        self.on_hosts_listed = lambda: None
        self._table = endpointtable.EndpointTable()
        self._stored_rules = model.Rules()
        self._read_at = math.inf

    # Queries.

    @property
    def rules(self) -> model.Rules:
        """The active rules; see `Configuration.rules`."""
        return self._rules

    def listen(self, listener: configurations.Listener) -> None:
        """Register a listener; see `Configuration.listen`."""
        self._listeners.append(listener)

    def hosts(self) -> tuple[records.HostRecord, ...]:
        """List the entry hosts; see `Directory.hosts`."""
        return self._membership.hosts()

    def senders(self) -> tuple[records.HostRecord, ...]:
        """List the hosts that may send; see `Directory.senders`."""
        return self._senders.select(self.hosts(), self._clock.now())

    def endpoints(
        self, pool: ids.PoolName
    ) -> tuple[records.EndpointRecord, ...]:
        """List a pool's endpoints; see `Directory.endpoints`."""
        self._expire_endpoints()
        return self._table.list_pool(pool)

    def endpoint(
        self, endpoint: ids.EndpointId
    ) -> records.EndpointRecord | None:
        """Return an endpoint; see `Directory.endpoint`."""
        self._expire_endpoints()
        return self._table.endpoints.get(endpoint)

    def cold_until(self, endpoint: ids.EndpointId) -> float:
        """Return until when it is cold; see `Directory.cold_until`."""
        return self._table.cold_until.get(endpoint, 0.0)

    def has_address(self, address: ids.Address) -> bool:
        """Return whether it is listed; see `Directory.has_address`."""
        return self._table.has_address(address)

    def find_only_version(
        self, pool: ids.PoolName, window_ms: float | None
    ) -> ids.SoftwareVersion | None:
        """Return a pool's version; see `Directory.find_only_version`."""
        if self.caches[self._decoders.endpoints].unreachable_since is not None:
            # Endpoints of other versions may have come since.
            return None
        return self._table.versions.find_only_version(
            pool, window_ms, self._clock.now()
        )

    @property
    def ready(self) -> bool:
        """Whether every kind has been read, from the store or from a peer.

        Peers of earlier builds do not have the orders of roll-outs.
        """
        unread = {one for one in self.caches if not self.caches[one].revision}
        if unread - {self._decoders.rollouts} or not self._rules.generation:
            return False
        self._read_at = min(self._read_at, self._clock.now())
        waited_ms = self._clock.now() - self._read_at
        return not unread or waited_ms >= ROLLOUTS_WAIT_MS

    def read_era(self) -> int:
        """Return the era of the store; see `Directory.read_era`."""
        return max(cache.era for cache in self.caches.values())

    def copy(
        self, kind: str, stored: objects.StoredObject
    ) -> objects.StoredObject:
        """Return what peers need of an object; messages have a limit."""
        if kind in self.entries or kind == self._decoders.domains:
            is_used = kind in self.entries and not (
                stored.name in self.entries[kind].skipped
            )
            content = stored.content if is_used else objects.NO_CONTENT
            return objects.StoredObject(stored.name, stored.revision, content)
        return stored

    def report(self, metrics: metric_types.Metrics) -> None:
        """Set the metrics of the store; see `StoreReader.report`."""
        self._reader.report(metrics)
        for kind, found in self.entries.items():
            metrics.set(
                metric_types.Metric.ENTRIES_SKIPPED, len(found.skipped), kind
            )

    def describe(self) -> dict[str, object]:
        """Return a summary as JSON values, for operators."""
        return {
            "generation": self._rules.generation,
            "revisions": {
                kind: objects.describe_position(cache.revision)
                for kind, cache in self.caches.items()
            },
            "lost": [
                kind
                for kind, cache in self.caches.items()
                if cache.unreachable_since is not None
            ],
            "endpoints": len(self._table.endpoints),
        }

    # Reading the store.

    async def on_start(self) -> None:
        """Start to watch the store and to register this host."""
        await self.add_runtime_dependency(self._reader)
        await self.add_runtime_dependency(self._registration)
        self.add_future(self._discover_hosts())

    async def unregister(self) -> None:
        """Delete this host's own entry from the store."""
        await self._registration.unregister()

    async def _discover_hosts(self) -> None:
        """Read the list of hosts until another host is known."""
        kind = self._decoders.hosts
        retry_delays = backoff.Backoff(
            storereader.MIN_RETRY_MS, storereader.MAX_RETRY_MS
        )
        while not self.should_stop:
            try:
                await self._reader.list(kind)
            except exceptions.PlatformError:
                # The reader has recorded the outage.
                await self._clock.sleep(retry_delays.next_delay_ms())
                continue
            await self._clock.sleep(HOST_DISCOVERY_INTERVAL_MS)
            if len(self._membership.hosts()) > 1:
                return

    # Applying the objects.

    def _expire_endpoints(self) -> None:
        kind = self._decoders.endpoints
        if self.caches[kind].expire(self._clock.now()):
            self.apply(kind)

    def apply(self, kind: str) -> None:
        """Apply the cached objects of a kind to rules, endpoints or hosts."""
        if kind == self._decoders.rules:
            self._apply_rules()
        elif kind == self._decoders.domains:
            self._combine_rules()
        elif kind == self._decoders.endpoints:
            self._apply_endpoints()
        elif kind == self._decoders.rollouts:
            self.on_rollouts()
        else:
            self._apply_hosts()

    def _apply_rules(self) -> None:
        cache = self.caches[self._decoders.rules]
        stored = cache.objects.get(self._decoders.rules_name)
        if stored is None:
            return
        try:
            rules = self._decoders.read_rules(stored.content)
        except exceptions.RulesError as error:
            events.log_event(
                _LOGGER,
                events.Event.GENERATION_REFUSED,
                **objects.describe_position(stored.revision),
                error=error,
            )
            return
        if rules.generation <= self._stored_rules.generation:
            return
        self._stored_rules = rules
        events.log_event(
            _LOGGER,
            events.Event.GENERATION_ACTIVE,
            generation=rules.generation,
            **objects.describe_position(stored.revision),
        )
        self._combine_rules()

    def _combine_rules(self) -> None:
        """Activate the stored rules with the domains that are taken out."""
        names = self.caches[self._decoders.domains].objects
        domains_out = {
            ids.DomainId(name): model.Domain(
                ids.DomainId(name), state=records.DomainState.OUT
            )
            for name in names
        }
        if domains_out.keys() != self._rules.domains.keys():
            events.log_event(
                _LOGGER,
                events.Event.OUT_DOMAINS_CHANGED,
                domains=sorted(domains_out),
            )
        self._rules = msgspec.structs.replace(
            self._stored_rules, domains=domains_out
        )
        for listener in self._listeners:
            listener(self._rules)

    def _apply_endpoints(self) -> None:
        cache = self.caches[self._decoders.endpoints]
        listed = self.entries[self._decoders.endpoints].decode(
            cache.objects.values()
        )
        changed, removed = self._table.update(listed, self._clock.now())
        position = objects.describe_position(cache.revision)
        for record in changed:
            events.log_event(
                _LOGGER,
                events.Event.ENDPOINT_LISTED,
                endpoint=record.endpoint,
                pool=record.pool,
                domain=record.domain,
                version=record.version,
                state=record.state.value,
                cold_ms=record.cold_ms,
                **position,
            )
        for endpoint in removed:
            events.log_event(
                _LOGGER,
                events.Event.ENDPOINT_UNLISTED,
                endpoint=endpoint,
                **position,
            )

    def _apply_hosts(self) -> None:
        cache = self.caches[self._decoders.hosts]
        found = self.entries[self._decoders.hosts].decode(
            cache.objects.values()
        )
        me = self._membership.me.host
        others = [record for record in found if record.host != me]
        self._senders.record_listed(others)
        self._membership.propose(others)
        self.on_hosts_listed()
