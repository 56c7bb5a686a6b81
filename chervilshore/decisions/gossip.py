"""UpdateQueue of hosts that spreads on other messages, and digests to compare."""

from collections import abc

import msgspec
import xxhash

from chervilshore import ids
from chervilshore import records

BUCKETS = 16
"""Parts in which two hosts compare what they know."""

_HASH_MASK = (1 << 63) - 1


def shorten(record: records.HostRecord) -> records.HostRecord:
    """Leave out what a receiver does not need of a host in doubt."""
    if record.state in (records.HostState.ALIVE, records.HostState.LEAVING):
        return record
    return msgspec.structs.replace(
        record,
        domain=ids.DomainId(""),
        peer_address=ids.Address(""),
        http_address=ids.Address(""),
    )


class UpdateQueue:
    """Hosts of whom something new is to be told, a few times each."""

    def __init__(self) -> None:
        self._sent: dict[ids.HostId, int] = {}

    def __len__(self) -> int:
        """Count the hosts."""
        return len(self._sent)

    def copy(self) -> "UpdateQueue":
        """Make a copy that goes on by itself."""
        made = UpdateQueue()
        made._sent = dict(self._sent)
        return made

    def add(self, host: ids.HostId) -> None:
        """Tell of a host from the start again."""
        self._sent[host] = 0

    def drop(self, host: ids.HostId) -> None:
        """Tell no more of a host."""
        self._sent.pop(host, None)

    def choose(self, most: int, repeats: int) -> list[ids.HostId]:
        """Choose the hosts to tell of on one message.

        Parameters
        ----------
        most : int
            Hosts at most.
        repeats : int
            Times that each is told of altogether.
        """
        # The least often sent goes first, so that new things travel fast.
        chosen = sorted(self._sent, key=self._sent.get)[:most]
        for host in chosen:
            self._sent[host] += 1
            if self._sent[host] >= repeats:
                del self._sent[host]
        return chosen


class Digests:
    """Hashes, by bucket, of the hosts that are not down."""

    def __init__(self) -> None:
        self._buckets = [0] * BUCKETS

    @property
    def buckets(self) -> tuple[int, ...]:
        """The hash of each bucket."""
        return tuple(self._buckets)

    @property
    def whole(self) -> int:
        """The hash of all."""
        whole = 0
        for bucket in self._buckets:
            whole ^= bucket
        return whole

    def mix(self, record: records.HostRecord) -> None:
        """Put a host in, or take out the same record again."""
        if record.state is records.HostState.DOWN:
            return
        leaving = record.state is records.HostState.LEAVING
        text = f"{record.host}\x00{record.incarnation}\x00{leaving}"
        number = xxhash.xxh3_64_intdigest(text.encode()) & _HASH_MASK
        self._buckets[self._place(record.host)] ^= number

    def differs(self, host: ids.HostId, buckets: abc.Sequence[int]) -> bool:
        """Tell whether a host's bucket differs from a peer's."""
        if len(buckets) != BUCKETS:
            return True
        place = self._place(host)
        return buckets[place] != self._buckets[place]

    def _place(self, host: ids.HostId) -> int:
        return xxhash.xxh3_64_intdigest(host.encode()) % BUCKETS
