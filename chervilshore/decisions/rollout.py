"""How an accepted generation reaches a host and comes into force there."""

from collections import abc

from chervilshore.decisions import rendezvous
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import compiler
from chervilshore.rules import generations
from chervilshore.rules import model

FANOUT = 4
"""Hosts of its own domain that each host tells."""

MOST_WATCHERS = 3
"""Hosts of a domain that watch at most, while others cannot."""

DOORS = 2
"""Hosts in each other domain that a watcher tells."""


def rank_watchers(
    hosts: abc.Iterable[records.HostRecord], domain: ids.DomainId
) -> list[records.HostRecord]:
    """Order a domain's live hosts; the first watches the platform.

    Parameters
    ----------
    hosts : iterable of HostRecord
        The hosts that are not down.
    domain : DomainId
        The domain.
    """
    return _rank(hosts, domain, f"watch/{domain}")


def choose_next_watcher(
    me: ids.HostId,
    domain: ids.DomainId,
    hosts: abc.Iterable[records.HostRecord],
) -> records.HostRecord | None:
    """Choose who may watch when this host cannot reach the platform.

    Only few hosts of a domain may, so that an outage of the platform does
    not bring all of them to ask it.
    """
    few = rank_watchers(hosts, domain)[:MOST_WATCHERS]
    names = [host.host for host in few]
    place = names.index(me) if me in names else -1
    return few[place + 1] if place + 1 < len(few) else None


def choose_notified(
    me: ids.HostId,
    domain: ids.DomainId,
    hosts: abc.Collection[records.HostRecord],
    generation: ids.Generation,
    watching: bool,
) -> list[ids.Address]:
    """Choose the hosts that this host tells of a generation.

    The hosts of a domain stand in a ring whose order differs from one
    generation to the next. Each passes it on to a few at growing distances,
    so that it reaches all in a few steps from wherever it comes in, and a
    dead host hides no others. A watcher tells some hosts in each other
    domain besides. The cost for a host does not grow with their number.

    Parameters
    ----------
    me : HostId
        This host.
    domain : DomainId
        Its domain.
    hosts : collection of HostRecord
        The hosts that are not down.
    generation : Generation
        The generation that has come into force here.
    watching : bool
        Whether this host has it from the platform itself.
    """
    ring = _rank(hosts, domain, f"notice/{generation}")
    chosen = {host.peer_address: None for host in _choose_in_ring(ring, me)}
    if watching:
        others = {host.domain for host in hosts} - {domain}
        for other in sorted(others):
            for host in rank_watchers(hosts, other)[:DOORS]:
                chosen[host.peer_address] = None
    return list(chosen)


def _rank(
    hosts: abc.Iterable[records.HostRecord], domain: ids.DomainId, key: str
) -> list[records.HostRecord]:
    known = {
        host.host: host
        for host in hosts
        if host.domain == domain and host.state is records.HostState.ALIVE
    }
    return [known[name] for name in rendezvous.rank(known, key)]


def _choose_in_ring(
    ring: list[records.HostRecord], me: ids.HostId
) -> list[records.HostRecord]:
    names = [host.host for host in ring]
    if me not in names:
        return ring[:FANOUT]
    place = names.index(me)
    steps = {round(len(ring) ** (k / FANOUT)) for k in range(FANOUT)}
    places = {(place + step) % len(ring) for step in steps} - {place}
    return [ring[other] for other in sorted(places)]


class Rollout:
    """The generation in force on one host, and the next one on its way.

    Attributes
    ----------
    head : Head or None
        The head in force.
    wanted : Head or None
        A higher head whose chunks are being gathered.
    latest : Head or None
        The head that was taken last, in force or not.
    rules : Rules
        The rules in force.
    heard : Generation
        The highest generation that anybody has told of.
    refused_generation : Generation
        The generation that could not come into force; 0 for none.
    refusal : str
        Why it could not.
    """

    def __init__(self) -> None:
        self.head: generations.Head | None = None
        self.wanted: generations.Head | None = None
        self.latest: generations.Head | None = None
        self.rules = model.Rules()
        self.heard = ids.Generation(0)
        self.refused_generation = ids.Generation(0)
        self.refusal = ""
        self._chunks: dict[str, bytes] = {}
        self._compiler = compiler.Compiler()
        self._unusable: set[generations.Head] = set()
        self._given_up = ids.Generation(0)

    @property
    def generation(self) -> ids.Generation:
        """The generation in force; 0 when there is none."""
        return self.rules.generation

    @property
    def known(self) -> ids.Generation:
        """The highest generation whose head is here."""
        return self.wanted.generation if self.wanted else self.generation

    @property
    def behind(self) -> bool:
        """Whether there is a generation to fetch."""
        return self.wanted is not None or self._is_unknown(self.heard)

    def hear(self, generation: ids.Generation) -> bool:
        """Take note of a generation that somebody has told of.

        Returns
        -------
        bool
            Whether its head has to be fetched.
        """
        self.heard = max(self.heard, generation)
        return self._is_unknown(generation)

    def offer(self, head: generations.Head) -> bool:
        """Take a head, unless it is not higher than the known one.

        Returns
        -------
        bool
            Whether its chunks are wanted now.
        """
        if head in self._unusable or head == self.wanted:
            return False
        # Of two heads of one generation, one was spoiled on its way; as
        # long as neither is in force, either may be the right one.
        if head.generation < self.known or head.generation <= self.generation:
            return False
        self.latest = head
        self.heard = max(self.heard, head.generation)
        self.wanted = head
        return True

    def list_missing(self) -> tuple[str, ...]:
        """List the digests of wanted chunks that are not here."""
        if self.wanted is None:
            return ()
        return tuple(
            digest
            for digest in self.wanted.digests
            if digest not in self._chunks
        )

    def find_chunk(self, digest: str) -> bytes:
        """Find a verified chunk; empty when it is not here."""
        return self._chunks.get(digest, b"")

    def add_chunk(self, digest: str, content: bytes) -> bool:
        """Take a chunk if its content is what the digest says."""
        if not generations.verify(digest, content):
            return False
        self._chunks[digest] = content
        return True

    def compile_chunk(self, digest: str) -> None:
        """Compile a chunk ahead, so that the last step is short.

        Raises
        ------
        exceptions.RulesError
            It cannot be used.
        """
        self._compiler.compile_chunk(digest, self._chunks[digest])

    def finish(self) -> bool:
        """Put the wanted generation in force if all of it is usable.

        Returns
        -------
        bool
            Whether it came into force.
        """
        head = self.wanted
        if head is None or self.list_missing():
            return False
        try:
            self.rules = self._compiler.compile(head, self._chunks)
        except Exception as error:
            # Whatever is wrong with this one, later ones must still come.
            self.discard(str(error) or type(error).__name__)
            return False
        self.head = head
        self.wanted = None
        self._forget()
        if self.refused_generation <= head.generation:
            self.refused_generation = ids.Generation(0)
            self.refusal = ""
        return True

    def discard(self, reason: str) -> None:
        """Give up the wanted generation; a later one may still come."""
        head = self.wanted
        if head is None:
            return
        self._unusable.add(head)
        self._given_up = max(self._given_up, head.generation)
        self.wanted = None
        self.refuse(head.generation, reason)
        self._forget()

    def refuse(self, generation: ids.Generation, reason: str) -> bool:
        """Note that a generation cannot come into force, at least now.

        Returns
        -------
        bool
            Whether this is new.
        """
        told = (self.refused_generation, self.refusal)
        self.refused_generation = generation
        self.refusal = reason
        return told != (generation, reason)

    def _is_unknown(self, generation: ids.Generation) -> bool:
        return generation > max(self.known, self._given_up)

    def _forget(self) -> None:
        kept: set[str] = set()
        for head in (self.head, self.wanted):
            if head is not None:
                kept.update(head.digests)
        for digest in self._chunks.keys() - kept:
            del self._chunks[digest]
