"""Learns from peers what the store does not tell this host."""

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

RELAY_MS = 500.0
"""Milliseconds between two questions to peers while the store is away."""

RELAY_LIMIT_MS = 400.0
"""Milliseconds that a peer has to answer."""

_LOGGER = logging.getLogger(__name__)


class Relay(mode.Service):
    """Asks peers for kinds of objects while the store is away.

    Parameters
    ----------
    catalog : Catalog
        What is known here.
    membership : Membership
        The peers.
    peers : PeerTransport
        Carries the messages.
    clock : Clock
        The time.
    generator : random.Random
        Chooses peers.
    """

    def __init__(
        self,
        catalog: catalogs.Catalog,
        membership: memberships.Membership,
        peers: peer_types.PeerTransport,
        clock: clocks.Clock,
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._catalog = catalog
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._random = generator

    async def on_start(self) -> None:
        """Answer peers, and ask them when it is needed."""
        self._peers.handle(catalogmessages.CatalogAsk, self._answer)
        self.add_future(self._run())

    def _answer(
        self, sender: ids.Address, send_request: catalogmessages.CatalogAsk
    ) -> catalogmessages.CatalogReply:
        found = []
        for kind, revision in send_request.revisions.items():
            state = self._catalog.kinds.get(kind)
            if state is not None and state.revision > revision:
                stored = tuple(
                    (one.name, one.revision, one.content)
                    for one in state.objects.values()
                )
                found.append(
                    catalogmessages.KindSnapshot(kind, state.revision, stored)
                )
        return catalogmessages.CatalogReply(tuple(found))

    async def _run(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(RELAY_MS)
            lost = {
                kind: state.revision
                for kind, state in self._catalog.kinds.items()
                if state.lost_since is not None
            }
            others = [
                host
                for host in self._membership.hosts()[1:]
                if host.state is records.HostState.ALIVE
            ]
            if lost and others:
                await self._ask(self._random.choice(others), lost)

    async def _ask(
        self, peer: records.HostRecord, lost: dict[str, int]
    ) -> None:
        try:
            reply = await self._peers.send_request(
                peer.peer_address,
                catalogmessages.CatalogAsk(lost),
                RELAY_LIMIT_MS,
            )
        except exceptions.PeerError:
            # Another one is asked in the next round.
            return
        if isinstance(reply, catalogmessages.CatalogReply):
            self._learn(peer, reply)

    def _learn(
        self,
        peer: records.HostRecord,
        reply: catalogmessages.CatalogReply,
    ) -> None:
        for snapshot in reply.snapshots:
            state = self._catalog.kinds.get(snapshot.kind)
            if state is None or snapshot.revision <= state.revision:
                continue
            listing = objects.Listing(
                tuple(
                    objects.StoredObject(*stored)
                    for stored in snapshot.objects
                ),
                snapshot.revision,
            )
            state.replace(listing, self._clock.now())
            events.log_event(
                _LOGGER,
                events.Event.KIND_RELAYED,
                kind=snapshot.kind,
                revision=snapshot.revision,
                peer=peer.host,
            )
            self._catalog.apply(snapshot.kind)
