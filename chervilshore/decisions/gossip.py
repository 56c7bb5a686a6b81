"""Updates piggybacked on messages, and digests of members to compare."""

from collections import abc

import msgspec
import xxhash

from chervilshore import ids
from chervilshore import records

DIGEST_BUCKETS = 16
"""Number of buckets in which two hosts compare their membership tables."""

_HASH_MASK = (1 << 63) - 1


def strip_details(record: records.HostRecord) -> records.HostRecord:
    """Clear the domain and addresses of a suspected or down host.

    Receivers do not need them. Records in other states stay as they are.
    """
    if record.state in (records.HostState.ALIVE, records.HostState.LEAVING):
        return record
    return msgspec.structs.replace(
        record,
        domain=ids.DomainId(""),
        peer_address=ids.Address(""),
        http_address=ids.Address(""),
    )


class UpdateQueue:
    """What is to be sent to other hosts, each a limited number of times.

    The entries are keys, such as the ids of hosts whose records have changed.
    """

    def __init__(self) -> None:
        self._send_counts: dict[abc.Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._send_counts)

    def copy(self) -> "UpdateQueue":
        """Return an independent copy."""
        copied = UpdateQueue()
        copied._send_counts = dict(self._send_counts)
        return copied

    def add(self, key: abc.Hashable) -> None:
        """Queue an entry, or reset the send count of a queued one."""
        self._send_counts[key] = 0

    def discard(self, key: abc.Hashable) -> None:
        """Remove an entry from the queue, if it is there."""
        self._send_counts.pop(key, None)

    def select(self, max_entries: int, max_sends: int) -> list:
        """Choose the entries to include in one message and count the sends.

        Parameters
        ----------
        max_entries : int
            Maximum number of entries.
        max_sends : int
            Sends after which an entry leaves the queue.
        """
        # The least often sent ones go first, so that new updates spread fast.
        chosen = sorted(self._send_counts, key=self._send_counts.get)[
            :max_entries
        ]
        for key in chosen:
            self._send_counts[key] += 1
            if self._send_counts[key] >= max_sends:
                del self._send_counts[key]
        return chosen


class Digests:
    """Hashes, by bucket, of the hosts that are not down.

    A bucket's hash is the XOR of the hashes of its hosts, so a host can be
    added and removed without knowing the others.
    """

    def __init__(self) -> None:
        self._buckets = [0] * DIGEST_BUCKETS

    @property
    def buckets(self) -> tuple[int, ...]:
        """Hash of each bucket."""
        return tuple(self._buckets)

    @property
    def combined(self) -> int:
        """Hash of all hosts."""
        combined = 0
        for bucket in self._buckets:
            combined ^= bucket
        return combined

    def toggle(self, record: records.HostRecord) -> None:
        """Add a record, or remove it if it was added before."""
        if record.state is records.HostState.DOWN:
            return
        leaving = record.state is records.HostState.LEAVING
        text = f"{record.host}\x00{record.incarnation}\x00{leaving}"
        number = xxhash.xxh3_64_intdigest(text.encode()) & _HASH_MASK
        self._buckets[self._bucket_index(record.host)] ^= number

    def differs(self, host: ids.HostId, buckets: abc.Sequence[int]) -> bool:
        """Return whether the bucket of a host differs from the peer's."""
        if len(buckets) != DIGEST_BUCKETS:
            return True
        index = self._bucket_index(host)
        return buckets[index] != self._buckets[index]

    def _bucket_index(self, host: ids.HostId) -> int:
        return xxhash.xxh3_64_intdigest(host.encode()) % DIGEST_BUCKETS
