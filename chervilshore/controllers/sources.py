"""Fetches heads and chunks of generations, from peers or the platform."""

import random

from chervilshore.clients import peers as peer_clients
from chervilshore.clients import platform as platforms
from chervilshore.controllers import directory as directories
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore.rules import generations

PEER_TIMEOUT_MS = 300.0
"""Milliseconds to wait for the reply of a peer."""

MAX_SOURCES = 4
"""Maximum peers that are tried for a head or a chunk before the platform."""


class GenerationSources:
    """The peers that probably have a generation, and the platform.

    Parameters
    ----------
    platform : Platform
        Stores the accepted configurations.
    peers : PeerTransport
        Sends the requests.
    directory : Directory
        Lists the other hosts.
    rng : random.Random
        Chooses among them.
    """

    def __init__(
        self,
        platform: platforms.Platform,
        peers: peer_clients.PeerTransport,
        directory: directories.Directory,
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._directory = directory
        self._rng = rng
        self._addresses: list[ids.Address] = []

    @property
    def addresses(self) -> tuple[ids.Address, ...]:
        """The peers to try, the one added last first."""
        return tuple(self._addresses)

    def add(self, address: ids.Address) -> None:
        """Add a peer, or move it, to the front of the list."""
        self.drop(address)
        self._addresses.insert(0, address)
        del self._addresses[MAX_SOURCES:]

    def drop(self, address: ids.Address) -> None:
        """Remove a peer."""
        if address in self._addresses:
            self._addresses.remove(address)

    def clear(self) -> None:
        """Remove all peers, so that the platform is read next."""
        self._addresses.clear()

    def choose_peers(self) -> list[ids.Address]:
        """Choose the peer addresses of up to `MAX_SOURCES` random hosts."""
        others = [
            host.peer_address
            for host in self._directory.hosts()
            if host.peer_address != self._peers.address
        ]
        self._rng.shuffle(others)
        return others[:MAX_SOURCES]

    async def request_head(
        self, address: ids.Address
    ) -> generations.Head | None:
        """Request a peer's latest head; None if there is no valid reply."""
        try:
            reply = await self._peers.send_request(
                address, messages.HeadRequest(), PEER_TIMEOUT_MS
            )
            return generations.decode_head(reply.head) if reply.head else None
        except (exceptions.PeerError, exceptions.RulesError):
            return None

    async def read_head(self) -> platforms.VersionedObject | None:
        """Read the head from the platform; None if that is not possible."""
        try:
            return await self._platform.get(generations.HEAD_KEY)
        except exceptions.PlatformError:
            return None

    async def fetch_chunk(self, digest: str) -> bytes:
        """Fetch a chunk and verify it; return b"" if no source has it."""
        content = await self._request_chunk(digest)
        return content or await self._read_chunk(digest)

    async def _request_chunk(self, digest: str) -> bytes:
        for address in self.addresses:
            try:
                reply = await self._peers.send_request(
                    address, messages.ChunkRequest(digest), PEER_TIMEOUT_MS
                )
            except exceptions.PeerError:
                self.drop(address)
                continue
            if generations.verify(digest, reply.content):
                return reply.content
        return b""

    async def _read_chunk(self, digest: str) -> bytes:
        try:
            stored = await self._platform.get(generations.chunk_key(digest))
        except exceptions.PlatformError:
            return b""
        if generations.verify(digest, stored.value):
            return stored.value
        return b""
