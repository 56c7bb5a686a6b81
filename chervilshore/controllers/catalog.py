"""Configuration, endpoints and hosts from the store, and from peers."""

import logging

import mode
import msgspec

from chervilshore import clock as clocks
from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import decoders as decoding
from chervilshore.controllers import directory as directories
from chervilshore.controllers import membership as memberships
from chervilshore.decisions import backoff
from chervilshore.decisions import objectcache
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import objects
from chervilshore import records
from chervilshore.rules import model

WATCH_MS = 20_000.0
"""Milliseconds for which one watch waits: long, as each call is paid for;
probes of the connection show sooner that it has gone silent."""

SETTLE_MS = 200.0
"""Milliseconds after changes before the next watch, so that one call brings
several; a tenth of the time in which a leaving endpoint must be left."""

ENDPOINTS_SETTLE_MS = 600.0
"""The same for endpoints, whose entries change one after the other when many
start or flap: all hosts would call at each. Less than a third of the time in
which a leaving endpoint must be left."""

LONELY_MS = 5000.0
"""Milliseconds between two readings of the list of hosts while no other
host is known; after that hosts hear of each other from their peers."""

RETRY_MS = 250.0
"""Milliseconds between two calls to a store that does not answer."""

MOST_RETRY_MS = 1000.0
"""Milliseconds up to which that grows."""

LAPSE_MS = 1600.0
"""Milliseconds for which an entry that vanished during an outage of the
store counts still: its endpoint writes it anew within two seconds."""

_LOGGER = logging.getLogger(__name__)


class Catalog(
    mode.Service, configurations.Configuration, directories.Directory
):
    """What this host believes of configuration, endpoints and hosts.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    decoders : Decoders
        Read its objects.
    membership : Membership
        Which entry hosts are alive.
    clock : Clock
        The time.

    Attributes
    ----------
    caches : dict of str to ObjectCache
        What is known of each kind of objects.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        decoders: decoding.Decoders,
        membership: memberships.Membership,
        clock: clocks.Clock,
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
            decoders.domains: objectcache.ObjectCache(),
            decoders.endpoints: objectcache.ObjectCache(LAPSE_MS),
            decoders.hosts: objectcache.ObjectCache(),
        }
        self._endpoints: dict[ids.EndpointId, records.EndpointRecord] = {}
        self._pools: dict[
            ids.PoolName, tuple[records.EndpointRecord, ...]
        ] = {}
        self._cold_until: dict[ids.EndpointId, float] = {}
        self._bare_rules = model.Rules()
        self._written = False

    # What others ask.

    @property
    def rules(self) -> model.Rules:
        """The rules in force; see `Configuration.rules`."""
        return self._rules

    def listen(self, listener: configurations.Listener) -> None:
        """Call a function on change; see `Configuration.listen`."""
        self._listeners.append(listener)

    def hosts(self) -> tuple[records.HostRecord, ...]:
        """List the entry hosts; see `Directory.hosts`."""
        return self._membership.hosts()

    def endpoints(
        self, pool: ids.PoolName
    ) -> tuple[records.EndpointRecord, ...]:
        """List a pool's endpoints; see `Directory.endpoints`."""
        self._expire()
        return self._pools.get(pool, ())

    def endpoint(
        self, endpoint: ids.EndpointId
    ) -> records.EndpointRecord | None:
        """Find an endpoint; see `Directory.endpoint`."""
        self._expire()
        return self._endpoints.get(endpoint)

    def cold_until(self, endpoint: ids.EndpointId) -> float:
        """Tell until when an endpoint is cold; see `Directory.cold_until`."""
        return self._cold_until.get(endpoint, 0.0)

    @property
    def ready(self) -> bool:
        """Whether every kind has been read, by this host or by a peer."""
        known = all(state.revision for state in self.caches.values())
        return known and bool(self._rules.generation)

    def describe(self) -> dict[str, object]:
        """Write a summary for operators."""
        return {
            "generation": self._rules.generation,
            "revisions": {
                kind: state.revision for kind, state in self.caches.items()
            },
            "lost": [
                kind
                for kind, state in self.caches.items()
                if state.unreachable_since is not None
            ],
            "endpoints": len(self._endpoints),
        }

    # Following the store.

    async def on_start(self) -> None:
        """Follow every kind."""
        for kind in self.caches:
            if kind != self._decoders.hosts:
                self.add_future(self._follow(kind))
        self.add_future(self._register())
        self.add_future(self._find_hosts())

    async def unregister(self) -> None:
        """Take this host's own entry from the store."""
        if not self._written:
            return
        try:
            await self._store.delete(
                self._decoders.hosts, self._membership.me.host
            )
        except exceptions.PlatformError as error:
            # Others find out by their probes.
            events.log_event(
                _LOGGER, events.Event.STORE_UNREAD, kind="host", error=error
            )

    async def _register(self) -> None:
        """Tell the others where this host is."""
        me = self._membership.me
        content = self._decoders.write_host(me)
        pauses = backoff.Backoff(RETRY_MS, MOST_RETRY_MS)
        while not self.should_stop:
            try:
                await self._store.put(self._decoders.hosts, me.host, content)
            except exceptions.PlatformError:
                await self._clock.sleep(pauses.next_delay_ms())
            else:
                self._written = True
                return

    async def _find_hosts(self) -> None:
        """Read the list of hosts until one of them has been met."""
        kind = self._decoders.hosts
        pauses = backoff.Backoff(RETRY_MS, MOST_RETRY_MS)
        while not self.should_stop:
            try:
                listing = await self._store.list(kind)
            except exceptions.PlatformError as error:
                self._note_lost(kind, error)
                await self._clock.sleep(pauses.next_delay_ms())
                continue
            self._note_regained(kind)
            self.caches[kind].replace(listing, self._clock.now())
            self.apply(kind)
            await self._clock.sleep(LONELY_MS)
            if len(self._membership.hosts()) > 1:
                return

    async def _follow(self, kind: str) -> None:
        state = self.caches[kind]
        of_endpoints = kind == self._decoders.endpoints
        settle = ENDPOINTS_SETTLE_MS if of_endpoints else SETTLE_MS
        pauses = backoff.Backoff(RETRY_MS, MOST_RETRY_MS)
        listed = False
        while not self.should_stop:
            try:
                if listed:
                    changes = await self._store.watch(
                        kind, state.revision, WATCH_MS
                    )
                    self._note_regained(kind)
                    state.merge(changes, self._clock.now())
                    if changes.changes:
                        pauses.reset()
                        self.apply(kind)
                        await self._clock.sleep(settle)
                        continue
                else:
                    listing = await self._store.list(kind)
                    self._note_regained(kind)
                    state.replace(listing, self._clock.now())
                    listed = True
            except exceptions.HistoryGone:
                listed = False
                continue
            except exceptions.PlatformError as error:
                self._note_lost(kind, error)
                await self._clock.sleep(pauses.next_delay_ms())
                continue
            pauses.reset()
            self.apply(kind)

    def _note_lost(self, kind: str, error: exceptions.PlatformError) -> None:
        state = self.caches[kind]
        if state.unreachable_since is None:
            state.unreachable_since = self._clock.now()
            events.log_event(
                _LOGGER,
                events.Event.STORE_UNREAD,
                kind=kind,
                revision=state.revision,
                error=error,
            )

    def _note_regained(self, kind: str) -> None:
        state = self.caches[kind]
        if state.unreachable_since is not None:
            now = self._clock.now()
            events.log_event(
                _LOGGER,
                events.Event.STORE_READ,
                kind=kind,
                away_ms=round(now - state.unreachable_since),
            )
            state.unreachable_since = None
            state.recovered_at = now

    # Putting in force.

    def _expire(self) -> None:
        kind = self._decoders.endpoints
        if self.caches[kind].expire(self._clock.now()):
            self.apply(kind)

    def apply(self, kind: str) -> None:
        """Put in force what is known of a kind."""
        if kind == self._decoders.rules:
            self._apply_rules()
        elif kind == self._decoders.domains:
            self._join_rules()
        elif kind == self._decoders.endpoints:
            self._apply_endpoints()
        else:
            self._apply_hosts()

    def _apply_rules(self) -> None:
        state = self.caches[self._decoders.rules]
        stored = state.objects.get(self._decoders.rules_name)
        if stored is None:
            return
        try:
            rules = self._decoders.read_rules(stored.content)
        except exceptions.RulesError as error:
            events.log_event(
                _LOGGER,
                events.Event.GENERATION_REFUSED,
                revision=stored.revision,
                error=error,
            )
            return
        if rules.generation <= self._bare_rules.generation:
            return
        self._bare_rules = rules
        events.log_event(
            _LOGGER,
            events.Event.GENERATION_IN_FORCE,
            generation=rules.generation,
            revision=stored.revision,
        )
        self._join_rules()

    def _join_rules(self) -> None:
        """Join the configuration and the domains that are taken out."""
        names = self.caches[self._decoders.domains].objects
        out = {
            ids.DomainId(name): model.Domain(
                ids.DomainId(name), state=records.DomainState.OUT
            )
            for name in names
        }
        if out.keys() != self._rules.domains.keys():
            events.log_event(
                _LOGGER, events.Event.DOMAINS_OUT, domains=sorted(out)
            )
        self._rules = msgspec.structs.replace(self._bare_rules, domains=out)
        for listener in self._listeners:
            listener(self._rules)

    def _apply_endpoints(self) -> None:
        state = self.caches[self._decoders.endpoints]
        now = self._clock.now()
        found = {}
        for stored in state.objects.values():
            record = self._decoders.read_endpoint(stored.name, stored.content)
            if record is not None:
                found[record.endpoint] = record
        for endpoint, record in found.items():
            if record == self._endpoints.get(endpoint):
                continue
            self._cold_until[endpoint] = now + record.cold_ms
            events.log_event(
                _LOGGER,
                events.Event.ENDPOINT_LISTED,
                endpoint=endpoint,
                pool=record.pool,
                domain=record.domain,
                state=record.state.value,
                cold_ms=record.cold_ms,
                revision=state.revision,
            )
        for endpoint in self._endpoints.keys() - found.keys():
            self._cold_until.pop(endpoint, None)
            events.log_event(
                _LOGGER,
                events.Event.ENDPOINT_GONE,
                endpoint=endpoint,
                revision=state.revision,
            )
        self._endpoints = found
        pools: dict[ids.PoolName, list[records.EndpointRecord]] = {}
        for record in found.values():
            pools.setdefault(record.pool, []).append(record)
        self._pools = {name: tuple(some) for name, some in pools.items()}

    def _apply_hosts(self) -> None:
        state = self.caches[self._decoders.hosts]
        found = [
            self._decoders.read_host(stored.name, stored.content)
            for stored in state.objects.values()
        ]
        me = self._membership.me.host
        self._membership.propose(
            record
            for record in found
            if record is not None and record.host != me
        )
