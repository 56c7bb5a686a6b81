"""Fetches objects of the store from peers while the store is unreachable."""

import itertools
import logging
import random

import mode

from chervilshore import catalogmessages
from chervilshore.clients import peers as peer_types
from chervilshore import clock as clocks
from chervilshore.controllers import catalog as catalogs
from chervilshore.controllers import catalogparts
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

MAX_SNAPSHOT_BYTES = 65_536
"""Bytes of objects of a kind from which its snapshot is read in parts."""

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
        self._parts = catalogparts.PartSender(self._find_snapshot, clock)
        self._read_in_parts: set[str] = set()

    async def on_start(self) -> None:
        """Start to answer requests of peers and to send requests."""
        self._peers.handle(
            catalogmessages.CatalogRequest, self._handle_request
        )
        self._peers.handle(
            catalogmessages.PartRequest, self._parts.handle_request
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
        # What counts for a while longer must arrive before that ends.
        large = {
            one.kind
            for one in found
            if request.max_bytes
            and not one.removed
            and _measure(one) > request.max_bytes
        }
        return catalogmessages.CatalogReply(
            tuple(one for one in found if one.kind not in large),
            tuple(sorted(large)),
        )

    def _find_snapshot(self, kind: str) -> catalogmessages.KindSnapshot | None:
        if kind not in self._catalog.caches:
            return None
        snapshot = self._make_snapshot(kind)
        return None if snapshot.removed else snapshot

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
            self._parts.drop_unused()
            unreadable = {
                kind: cache.revision
                for kind, cache in self._catalog.caches.items()
                if cache.unreachable_since is not None
                and kind not in self._read_in_parts
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
                catalogmessages.CatalogRequest(unreadable, MAX_SNAPSHOT_BYTES),
                SYNC_TIMEOUT_MS,
            )
        except exceptions.PeerError:
            # The next round asks another random peer.
            return
        if not isinstance(reply, catalogmessages.CatalogReply):
            return
        self._apply_snapshots(peer, reply.snapshots)
        for kind in reply.large:
            if kind in unreadable and kind not in self._read_in_parts:
                self._read_in_parts.add(kind)
                self.add_future(self._copy_in_parts(peer, kind))

    async def _copy_in_parts(
        self, peer: records.HostRecord, kind: str
    ) -> None:
        try:
            snapshot = await catalogparts.read_snapshot(
                self._peers, peer.peer_address, kind
            )
        except exceptions.PeerError:
            # The next round asks another random peer.
            return
        finally:
            self._read_in_parts.discard(kind)
        self._apply_snapshots(peer, (snapshot,))

    def _apply_snapshots(
        self,
        peer: records.HostRecord,
        snapshots: tuple[catalogmessages.KindSnapshot, ...],
    ) -> None:
        for snapshot in snapshots:
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


def _measure(snapshot: catalogmessages.KindSnapshot) -> int:
    """Return the bytes of the objects of a snapshot."""
    return sum(len(content) for _, _, content in snapshot.objects) + sum(
        len(status) for status, _ in snapshot.details
    )
