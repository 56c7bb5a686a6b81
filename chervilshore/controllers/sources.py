"""Where a host gets heads and chunks from: peers first, then the platform."""

import random

from chervilshore.clients import peers as peer_clients
from chervilshore.clients import platform as platforms
from chervilshore.controllers import directory as directories
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore.rules import generations

PEER_MS = 300.0
"""Milliseconds that a peer has to answer."""

MOST_SOURCES = 4
"""PeerTransport that are asked for a head or a chunk before the platform is."""


class Sources:
    """The peers that are thought to have a wanted generation.

    Parameters
    ----------
    platform : Platform
        Where configurations are accepted.
    peers : PeerTransport
        The other hosts.
    directory : Directory
        Which other hosts there are.
    generator : random.Random
        Chooses among them.
    """

    def __init__(
        self,
        platform: platforms.Platform,
        peers: peer_clients.PeerTransport,
        directory: directories.Directory,
        generator: random.Random,
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._directory = directory
        self._generator = generator
        self._addresses: list[ids.Address] = []

    @property
    def addresses(self) -> tuple[ids.Address, ...]:
        """The peers to ask, the likeliest first."""
        return tuple(self._addresses)

    def add(self, address: ids.Address) -> None:
        """Put a peer first."""
        self.drop(address)
        self._addresses.insert(0, address)
        del self._addresses[MOST_SOURCES:]

    def drop(self, address: ids.Address) -> None:
        """Leave a peer out."""
        if address in self._addresses:
            self._addresses.remove(address)

    def clear(self) -> None:
        """Leave all peers out, so that the platform is asked."""
        self._addresses.clear()

    def choose_peers(self) -> list[ids.Address]:
        """Choose some other hosts at random."""
        others = [
            host.peer_address
            for host in self._directory.hosts()
            if host.peer_address != self._peers.address
        ]
        self._generator.shuffle(others)
        return others[:MOST_SOURCES]

    async def ask_head(self, address: ids.Address) -> generations.Head | None:
        """Ask a peer for the head that it has in force."""
        try:
            reply = await self._peers.send_request(
                address, messages.HeadRequest(), PEER_MS
            )
            return generations.decode_head(reply.head) if reply.head else None
        except (exceptions.PeerError, exceptions.RulesError):
            return None

    async def read_head(self) -> platforms.VersionedObject | None:
        """Read the head from the platform."""
        try:
            return await self._platform.get(generations.HEAD_KEY)
        except exceptions.PlatformError:
            return None

    async def fetch_chunk(self, digest: str) -> bytes:
        """Fetch a chunk and verify it; empty when nobody has it."""
        content = await self._ask_chunk(digest)
        return content or await self._read_chunk(digest)

    async def _ask_chunk(self, digest: str) -> bytes:
        for address in self.addresses:
            try:
                reply = await self._peers.send_request(
                    address, messages.ChunkRequest(digest), PEER_MS
                )
            except exceptions.PeerError:
                self.drop(address)
                continue
            if generations.verify(digest, reply.content):
                return reply.content
        return b""

    async def _read_chunk(self, digest: str) -> bytes:
        try:
            stored = await self._platform.get(generations.name_chunk(digest))
        except exceptions.PlatformError:
            return b""
        if generations.verify(digest, stored.value):
            return stored.value
        return b""
