"""How an accepted generation spreads to the hosts and becomes active."""

from collections import abc

from chervilshore.decisions import rendezvous
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import compiler
from chervilshore.rules import generations
from chervilshore.rules import model

FANOUT = 4
"""Hosts of its own failure domain that each host notifies."""

MAX_WATCHERS = 3
"""Maximum hosts of a failure domain that watch the platform.

More than one does so only while those ranked before it cannot reach it.
"""

REMOTE_FANOUT = 2
"""Hosts that a watcher notifies in each other failure domain."""


def rank_watchers(
    hosts: abc.Iterable[records.HostRecord], domain: ids.DomainId
) -> list[records.HostRecord]:
    """Rank a failure domain's live hosts; the first watches the platform.

    Parameters
    ----------
    hosts : iterable of HostRecord
        The hosts that are not down.
    domain : DomainId
        The failure domain.
    """
    return _rank(hosts, domain, f"watch/{domain}")


def choose_next_watcher(
    host_id: ids.HostId,
    domain: ids.DomainId,
    hosts: abc.Iterable[records.HostRecord],
) -> records.HostRecord | None:
    """Choose the host that watches if this one cannot reach the platform.

    The number of watchers in a failure domain is limited, so that not all of
    its hosts send requests to the platform during an outage.

    Returns
    -------
    HostRecord or None
        The next host; None if this one is the last that may watch, or is
        none of those that may.
    """
    ranked = rank_watchers(hosts, domain)[:MAX_WATCHERS]
    names = [host.host for host in ranked]
    index = names.index(host_id) if host_id in names else -1
    return ranked[index + 1] if index + 1 < len(ranked) else None


def choose_notify_targets(
    host_id: ids.HostId,
    domain: ids.DomainId,
    hosts: abc.Collection[records.HostRecord],
    generation: ids.Generation,
    watching: bool,
) -> list[ids.Address]:
    """Choose the hosts that this host notifies of a generation.

    The hosts of a failure domain form a ring whose order differs for each
    generation. Each host notifies a few others at growing distances, so that
    a generation reaches all in a few steps wherever it enters, and a dead
    host cuts off no others. A watcher additionally notifies some hosts in
    each other failure domain. The cost of a host does not grow with the
    number of hosts in its domain.

    Parameters
    ----------
    host_id : HostId
        This host.
    domain : DomainId
        Its failure domain.
    hosts : collection of HostRecord
        The hosts that are not down.
    generation : Generation
        The generation that became active here.
    watching : bool
        Whether this host got it from the platform itself.
    """
    ring = _rank(hosts, domain, f"notice/{generation}")
    chosen = {
        host.peer_address: None for host in _choose_in_ring(ring, host_id)
    }
    if watching:
        others = {host.domain for host in hosts} - {domain}
        for other in sorted(others):
            for host in rank_watchers(hosts, other)[:REMOTE_FANOUT]:
                chosen[host.peer_address] = None
    return list(chosen)


def _rank(
    hosts: abc.Iterable[records.HostRecord], domain: ids.DomainId, key: str
) -> list[records.HostRecord]:
    alive = {
        host.host: host
        for host in hosts
        if host.domain == domain and host.state is records.HostState.ALIVE
    }
    return [alive[name] for name in rendezvous.rank(alive, key)]


def _choose_in_ring(
    ring: list[records.HostRecord], host_id: ids.HostId
) -> list[records.HostRecord]:
    names = [host.host for host in ring]
    if host_id not in names:
        return ring[:FANOUT]
    index = names.index(host_id)
    steps = {round(len(ring) ** (k / FANOUT)) for k in range(FANOUT)}
    indexes = {(index + step) % len(ring) for step in steps} - {index}
    return [ring[other] for other in sorted(indexes)]


class Dissemination:
    """The active generation of one host, and the one that is being fetched.

    Attributes
    ----------
    head : Head or None
        The active head; None if there is none yet.
    wanted : Head or None
        A higher head whose chunks are being fetched.
    latest : Head or None
        The head that was accepted last, active or not.
    rules : Rules
        The active rules.
    highest_announced : Generation
        The highest generation that any host has announced.
    refused_generation : Generation
        The generation that could not become active; 0 for none.
    refusal : str
        Why it could not become active.
    """

    def __init__(self) -> None:
        self.head: generations.Head | None = None
        self.wanted: generations.Head | None = None
        self.latest: generations.Head | None = None
        self.rules = model.Rules()
        self.highest_announced = ids.Generation(0)
        self.refused_generation = ids.Generation(0)
        self.refusal = ""
        self._chunks: dict[str, bytes] = {}
        self._compiler = compiler.Compiler()
        self._rejected_heads: set[generations.Head] = set()
        self._discarded_generation = ids.Generation(0)

    @property
    def generation(self) -> ids.Generation:
        """The active generation; 0 if there is none."""
        return self.rules.generation

    @property
    def known_generation(self) -> ids.Generation:
        """The highest generation whose head this host has."""
        return self.wanted.generation if self.wanted else self.generation

    @property
    def is_behind(self) -> bool:
        """Whether there is a generation to fetch."""
        return self.wanted is not None or self._is_unknown(
            self.highest_announced
        )

    def record_announced(self, generation: ids.Generation) -> bool:
        """Record a generation that another host has announced.

        Returns
        -------
        bool
            Whether its head has to be fetched.
        """
        self.highest_announced = max(self.highest_announced, generation)
        return self._is_unknown(generation)

    def offer(self, head: generations.Head) -> bool:
        """Accept a head for fetching, unless a higher one is known.

        Returns
        -------
        bool
            Whether it was accepted and its chunks have to be fetched.
        """
        if head in self._rejected_heads or head == self.wanted:
            return False
        # Of two heads of one generation, one was corrupted in transit. Until
        # one is active, either may be the correct one.
        if (
            head.generation < self.known_generation
            or head.generation <= self.generation
        ):
            return False
        self.latest = head
        self.highest_announced = max(self.highest_announced, head.generation)
        self.wanted = head
        return True

    def list_missing(self) -> tuple[str, ...]:
        """List the digests of the wanted head's missing chunks."""
        if self.wanted is None:
            return ()
        return tuple(
            digest
            for digest in self.wanted.digests
            if digest not in self._chunks
        )

    def find_chunk(self, digest: str) -> bytes:
        """Return a verified chunk; empty if this host does not have it."""
        return self._chunks.get(digest, b"")

    def add_chunk(self, digest: str, content: bytes) -> bool:
        """Store a chunk if its content matches the digest.

        Returns
        -------
        bool
            Whether it matches.
        """
        if not generations.verify(digest, content):
            return False
        self._chunks[digest] = content
        return True

    def compile_chunk(self, digest: str) -> None:
        """Compile a chunk in advance, which shortens the activation.

        Raises
        ------
        exceptions.RulesError
            The chunk cannot be used.
        """
        self._compiler.compile_chunk(digest, self._chunks[digest])

    def activate(self) -> bool:
        """Activate the wanted generation if all its chunks are usable.

        Returns
        -------
        bool
            Whether it became active.
        """
        head = self.wanted
        if head is None or self.list_missing():
            return False
        try:
            self.rules = self._compiler.compile(head, self._chunks)
        except Exception as error:
            # Any error discards this generation; later ones must still load.
            self.discard(str(error) or type(error).__name__)
            return False
        self.head = head
        self.wanted = None
        self._drop_unused_chunks()
        if self.refused_generation <= head.generation:
            self.refused_generation = ids.Generation(0)
            self.refusal = ""
        return True

    def discard(self, reason: str) -> None:
        """Discard the wanted generation; later ones can still be offered."""
        head = self.wanted
        if head is None:
            return
        self._rejected_heads.add(head)
        self._discarded_generation = max(
            self._discarded_generation, head.generation
        )
        self.wanted = None
        self.record_refusal(head.generation, reason)
        self._drop_unused_chunks()

    def record_refusal(self, generation: ids.Generation, reason: str) -> bool:
        """Record why a generation cannot become active, at least for now.

        Returns
        -------
        bool
            Whether the generation or the reason has changed.
        """
        previous = (self.refused_generation, self.refusal)
        self.refused_generation = generation
        self.refusal = reason
        return previous != (generation, reason)

    def _is_unknown(self, generation: ids.Generation) -> bool:
        return generation > max(
            self.known_generation, self._discarded_generation
        )

    def _drop_unused_chunks(self) -> None:
        kept: set[str] = set()
        for head in (self.head, self.wanted):
            if head is not None:
                kept.update(head.digests)
        for digest in self._chunks.keys() - kept:
            del self._chunks[digest]
