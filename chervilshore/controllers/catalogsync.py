"""Fetches objects of the store from peers while the store is unreachable."""

import itertools
import logging
import random

import mode

from chervilshore import catalogmessages
from chervilshore.clients import peers as peer_types
from chervilshore import clock as clocks
from chervilshore.controllers import catalog as catalogs
from chervilshore.controllers import membership as memberships
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import objects
from chervilshore import records

SYNC_INTERVAL_MS = 500.0
"""Milliseconds between two requests to peers during an outage of the store."""

SYNC_TIMEOUT_MS = 400.0
"""Milliseconds to wait for the reply of a peer."""

_LOGGER = logging.getLogger(__name__)


class CatalogSync(mode.Service):
    """Copies from peers the objects that this host cannot read in the store.

    Parameters
    ----------
    catalog : Catalog
        The objects of this host, which replies update.
    membership : Membership
        Lists the peers.
    peers : PeerTransport
        Sends and receives the messages.
    clock : Clock
        Measures intervals and timeouts.
    rng : random.Random
        Chooses peers.
    """

    def __init__(
        self,
        catalog: catalogs.Catalog,
        membership: memberships.Membership,
        peers: peer_types.PeerTransport,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._catalog = catalog
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._rng = rng

    async def on_start(self) -> None:
        """Start to answer requests of peers and to send requests."""
        self._peers.handle(
            catalogmessages.CatalogRequest, self._handle_request
        )
        self.add_future(self._run())

    def _handle_request(
        self, sender: ids.Address, request: catalogmessages.CatalogRequest
    ) -> catalogmessages.CatalogReply:
        found = [
            self._make_snapshot(kind)
            for kind, revision in request.revisions.items()
            if kind in self._catalog.caches
            and self._catalog.caches[kind].revision > revision
        ]
        return catalogmessages.CatalogReply(tuple(found))

    def _make_snapshot(self, kind: str) -> catalogmessages.KindSnapshot:
        listing = self._catalog.caches[kind].make_listing(self._clock.now())
        copies = [
            self._catalog.copy(kind, stored) for stored in listing.objects
        ]
        details = tuple((copy.status, copy.created) for copy in copies)
        if all(one[0] == objects.NO_STATUS for one in details):
            # Hosts of earlier builds know no details.
            details = ()
        return catalogmessages.KindSnapshot(
            kind,
            listing.revision,
            tuple((copy.name, copy.revision, copy.content) for copy in copies),
            details,
            tuple(
                objects.RemovedObject(
                    self._catalog.copy(kind, one.object), one.left_ms
                )
                for one in listing.removed
            ),
        )

    async def _run(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(SYNC_INTERVAL_MS)
            unreadable = {
                kind: cache.revision
                for kind, cache in self._catalog.caches.items()
                if cache.unreachable_since is not None
            }
            others = [
                host
                for host in self._membership.hosts()[1:]
                if host.state is records.HostState.ALIVE
            ]
            if unreadable and others:
                await self._request_catalog(
                    self._rng.choice(others), unreadable
                )

    async def _request_catalog(
        self, peer: records.HostRecord, unreadable: dict[str, int]
    ) -> None:
        try:
            reply = await self._peers.send_request(
                peer.peer_address,
                catalogmessages.CatalogRequest(unreadable),
                SYNC_TIMEOUT_MS,
            )
        except exceptions.PeerError:
            # The next round asks another random peer.
            return
        if isinstance(reply, catalogmessages.CatalogReply):
            self._apply_reply(peer, reply)

    def _apply_reply(
        self,
        peer: records.HostRecord,
        reply: catalogmessages.CatalogReply,
    ) -> None:
        for snapshot in reply.snapshots:
            cache = self._catalog.caches.get(snapshot.kind)
            if cache is None or snapshot.revision <= cache.revision:
                continue
            listing = objects.Listing(
                tuple(
                    objects.StoredObject(*stored, *details)
                    for stored, details in zip(
                        snapshot.objects,
                        snapshot.details or itertools.repeat(()),
                        strict=False,
                    )
                ),
                snapshot.revision,
                snapshot.removed,
            )
            cache.replace(listing, self._clock.now())
            events.log_event(
                _LOGGER,
                events.Event.OBJECTS_COPIED,
                kind=snapshot.kind,
                **objects.describe_position(snapshot.revision),
                peer=peer.host,
            )
            self._catalog.apply(snapshot.kind)
