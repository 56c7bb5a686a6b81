"""Snapshots of kinds of objects that pass between hosts in parts.

A message of a megabyte occupies a small link for more than a second, in which
its host cannot answer others, who take it for down.
"""

from collections import abc

import msgspec

from chervilshore import catalogmessages
from chervilshore.clients import peers as peer_types
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import ids

PART_BYTES = 32_768
"""Bytes of a part; 50 ms of a link of 5 Mbit/s."""

PART_TIMEOUT_MS = 1000.0
"""Milliseconds to wait for a part, as several hosts may read at once."""

KEEP_MS = 2000.0
"""Milliseconds for which a snapshot is kept after a part was requested."""

MAX_KEPT = 4
"""Snapshots that are kept, as a kind may change while others read it."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(catalogmessages.KindSnapshot)

MakeSnapshot = abc.Callable[[str], catalogmessages.KindSnapshot | None]
"""Returns the snapshot of a kind; None if it has none to read in parts."""


class _Encoded(msgspec.Struct):
    content: bytes
    used_at: float


class PartSender:
    """Answers requests for parts.

    A snapshot stays as it is while its parts are requested.

    Parameters
    ----------
    make_snapshot : MakeSnapshot
        Makes the present snapshot of a kind.
    clock : Clock
        Measures for how long snapshots are kept.
    """

    def __init__(
        self, make_snapshot: MakeSnapshot, clock: clocks.Clock
    ) -> None:
        self._make_snapshot = make_snapshot
        self._clock = clock
        # By kind and revision, the one that was used last at the end.
        self._encoded: dict[tuple[str, int], _Encoded] = {}

    def handle_request(
        self, sender: ids.Address, request: catalogmessages.PartRequest
    ) -> catalogmessages.PartReply:
        """Return a part; an empty reply if its snapshot is gone."""
        self.drop_unused()
        revision = request.revision or self._encode_present(request.kind)
        key = (request.kind, revision)
        encoded = self._encoded.pop(key, None)
        if encoded is None:
            return catalogmessages.PartReply()
        self._encoded[key] = encoded
        encoded.used_at = self._clock.now()
        part = encoded.content[request.offset : request.offset + PART_BYTES]
        return catalogmessages.PartReply(revision, len(encoded.content), part)

    def _encode_present(self, kind: str) -> int:
        """Return the revision of the present snapshot; 0 if there is none."""
        snapshot = self._make_snapshot(kind)
        if snapshot is None:
            return 0
        key = (kind, snapshot.revision)
        if key not in self._encoded:
            if len(self._encoded) >= MAX_KEPT:
                del self._encoded[next(iter(self._encoded))]
            content = _ENCODER.encode(snapshot)
            self._encoded[key] = _Encoded(content, self._clock.now())
        return snapshot.revision

    def drop_unused(self) -> None:
        """Drop the snapshots whose parts are not requested any more."""
        now = self._clock.now()
        for key, encoded in tuple(self._encoded.items()):
            if now - encoded.used_at > KEEP_MS:
                del self._encoded[key]


async def read_snapshot(
    peers: peer_types.PeerTransport, address: ids.Address, kind: str
) -> catalogmessages.KindSnapshot:
    """Read a snapshot of a peer in parts.

    Raises
    ------
    exceptions.PeerError
        A part did not come in time, or the peer does not have it.
    """
    content = bytearray()
    revision = 0
    while True:
        reply = await peers.send_request(
            address,
            catalogmessages.PartRequest(kind, revision, len(content)),
            PART_TIMEOUT_MS,
        )
        if not isinstance(reply, catalogmessages.PartReply) or not (
            reply.content
        ):
            raise exceptions.PeerError(f"{address}: no part of {kind}")
        revision = reply.revision
        content += reply.content
        if len(content) >= reply.size:
            break
    try:
        return _DECODER.decode(content)
    except msgspec.DecodeError as error:
        raise exceptions.PeerError(f"{address}: {kind}: {error}") from error
