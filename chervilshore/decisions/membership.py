"""Failure detection between entry hosts (SWIM), at a constant cost per host.

Every period a host probes one other, directly and then through helpers, and
piggybacks membership updates on the messages of the probes. A host that does
not answer is first suspected; it can refute the suspicion with a higher
incarnation before it is considered down.
"""

from collections import abc
import math
import random

import msgspec

from chervilshore.decisions import gossip
from chervilshore.decisions import memberstates
from chervilshore.decisions import probes
from chervilshore import ids
from chervilshore import records

MAX_HEALTH_SCORE = 3
"""Upper bound of the score of failed probes, which lengthens suspicions."""

_State = records.HostState


class Members:
    """The membership table of one host and its choice of probes.

    Parameters
    ----------
    me : HostRecord
        This host, with an incarnation above that of its earlier process runs.
    settings : ProbeSettings
        Intervals, timeouts and limits of the probes.
    rng : random.Random
        Chooses targets and helpers.
    """

    def __init__(
        self,
        me: records.HostRecord,
        settings: probes.ProbeSettings,
        rng: random.Random,
    ) -> None:
        self.me = me
        self.settings = settings
        self._rng = rng
        self._members: dict[ids.HostId, memberstates.Member] = {}
        self._suspect_or_down: dict[ids.HostId, memberstates.Member] = {}
        self._digests = gossip.Digests()
        self._updates = gossip.UpdateQueue()
        self._probe_order: list[ids.HostId] = []
        self._recheck_addresses: dict[ids.HostId, ids.Address] = {}
        self._changes: list[records.HostRecord] = []
        self._hosts_cache: tuple[records.HostRecord, ...] | None = None
        self._periods = 0
        self._last_period_at: float | None = None
        self._resumed_at = -math.inf
        self._health_score = 0
        self._digest_mismatches = 0
        self._next_sync_at = -math.inf
        self._digests.toggle(me)
        self._updates.add(me.host)

    def hosts(self) -> tuple[records.HostRecord, ...]:
        """List the hosts that are not down, this one first."""
        # Cached: it is read many times a second and rarely changes.
        if self._hosts_cache is None:
            others = (member.record for member in self._members.values())
            living = (r for r in others if r.state is not _State.DOWN)
            self._hosts_cache = (self.me, *living)
        return self._hosts_cache

    def get(self, host: ids.HostId) -> records.HostRecord | None:
        """Return the record of a host in any state; None if unknown."""
        if host == self.me.host:
            return self.me
        member = self._members.get(host)
        return member.record if member else None

    def list_all(self) -> tuple[records.HostRecord, ...]:
        """List all known hosts in any state, this one first."""
        others = (member.record for member in self._members.values())
        return (self.me, *others)

    def set_address(self, address: ids.Address) -> None:
        """Set the address at which peers reach this host."""
        self.me = msgspec.structs.replace(self.me, peer_address=address)
        self._hosts_cache = None

    def count_states(self) -> dict[str, int]:
        """Return the number of other hosts by state."""
        totals = {state.value: 0 for state in _State}
        for member in self._members.values():
            totals[member.record.state.value] += 1
        return totals

    def pop_changes(self) -> list[records.HostRecord]:
        """Return and clear the records that changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    @property
    def digest(self) -> int:
        """Hash of the hosts that are not down."""
        return self._digests.combined

    @property
    def digests(self) -> tuple[int, ...]:
        """Hashes of the hosts that are not down, by bucket."""
        return self._digests.buckets

    def should_sync(self, digest: int, now: float) -> bool:
        """Compare a peer's digest; return whether to request its hosts.

        Digests differ for a while until updates have spread, so several
        mismatches in a row are needed.
        """
        if digest == self.digest:
            self._digest_mismatches = 0
            return False
        self._digest_mismatches += 1
        too_few = (
            self._digest_mismatches < self.settings.mismatches_before_sync
        )
        if now < self._next_sync_at or too_few and self._members:
            return False
        self._next_sync_at = now + self.settings.sync_ms
        self._digest_mismatches = 0
        return True

    def list_differing(
        self, digests: abc.Sequence[int]
    ) -> tuple[records.HostRecord, ...]:
        """List the hosts not down in buckets that differ from a peer's."""
        return tuple(
            record
            for record in self.hosts()
            if self._digests.differs(record.host, digests)
        )

    def select_updates(
        self, receiver: ids.HostId | None = None
    ) -> tuple[records.HostRecord, ...]:
        """Choose the updates to piggyback on a message.

        Parameters
        ----------
        receiver : HostId or None
            The receiver. If it is suspected or down here, its own record is
            included, so that it can refute that.
        """
        chosen = []
        member = self._members.get(receiver) if receiver else None
        if member and member.record.state in (_State.SUSPECT, _State.DOWN):
            chosen.append(gossip.strip_details(member.record))
        settings = self.settings
        sends = settings.sends_per_doubling * self._size_doublings()
        for host in self._updates.select(settings.max_updates, sends):
            if host != receiver:
                chosen.append(gossip.strip_details(self.get(host)))
        return tuple(chosen)

    def merge(
        self, updates: abc.Iterable[records.HostRecord], now: float
    ) -> None:
        """Apply updates that came with a peer's message."""
        for update in updates:
            if update.host == self.me.host:
                self._refute(update)
            else:
                self._merge_update(update, now)

    def merge_members(
        self, members: abc.Iterable[records.HostRecord], now: float
    ) -> None:
        """Apply a peer's full list of hosts without passing it on.

        The cluster knows these hosts already. Passing the whole list on
        would fill a joining host's messages for minutes.
        """
        known = self._updates.copy()
        self.merge(members, now)
        self._updates = known
        self._updates.add(self.me.host)

    def propose(self, record: records.HostRecord) -> None:
        """Schedule a probe of a listed host that is unknown or down here."""
        if record.host == self.me.host:
            return
        member = self._members.get(record.host)
        if member is None or member.record.state is _State.DOWN:
            self._recheck_addresses[record.host] = record.peer_address

    def leave(self) -> records.HostRecord:
        """Set the state of this host to leaving; return its record."""
        self._set_self(_State.LEAVING, self.me.incarnation)
        return self.me

    def begin_period(self, now: float) -> tuple[probes.Probe, ...]:
        """Expire suspicions and choose the hosts to probe in this period."""
        self._detect_own_pause(now)
        self._expire_suspicions(now)
        self._periods += 1
        chosen = [self._choose_target(now)]
        chosen.extend(self._choose_rechecks(now))
        if self._periods % self.settings.down_periods == 0:
            chosen.append(self._choose_down_host(now))
        return tuple(probe for probe in chosen if probe is not None)

    def choose_helpers(self, host: ids.HostId) -> tuple[ids.Address, ...]:
        """Choose live hosts that probe a host on behalf of this one."""
        candidates = [
            member.record.peer_address
            for member in self._members.values()
            if member.record.state is _State.ALIVE
            and member.record.host != host
        ]
        count = min(len(candidates), self.settings.helpers)
        return tuple(self._rng.sample(candidates, count))

    def record_ack(self, probe: probes.Probe) -> None:
        """Record that a probed host has answered.

        This does not end a suspicion; only the host's own refutation does,
        which it sends with its answer.
        """
        self._health_score = max(0, self._health_score - 1)
        self._recheck_addresses.pop(probe.host, None)
        member = self._members.get(probe.host)
        if member is not None:
            member.missed_probes = 0

    def record_failure(self, probe: probes.Probe, now: float) -> None:
        """Record that neither the host nor a helper has answered."""
        self._recheck_addresses.pop(probe.host, None)
        member = self._members.get(probe.host)
        if not probe.counts_misses or probe.started_at < self._resumed_at:
            return
        if member is None or member.record.state is _State.DOWN:
            return
        self._health_score = min(MAX_HEALTH_SCORE, self._health_score + 1)
        state = member.record.state
        member.missed_probes += 1
        if member.missed_probes < self.settings.misses_before_suspect:
            self._probe_order.append(probe.host)
        elif state is _State.LEAVING:
            self._set_state(member, member.record, _State.DOWN, now)
        elif state is _State.ALIVE:
            self._set_state(member, member.record, _State.SUSPECT, now)
            member.suspected_here = True

    def _detect_own_pause(self, now: float) -> None:
        last, self._last_period_at = self._last_period_at, now
        if last is None:
            return
        gap = now - last
        # A host that was paused itself received no answers in that time, so
        # missing answers say nothing about the other hosts.
        if gap > 2 * self.settings.period_ms:
            self._resumed_at = now
            for member in self._suspect_or_down.values():
                member.deadline += gap

    def _expire_suspicions(self, now: float) -> None:
        expired = []
        for host, member in list(self._suspect_or_down.items()):
            state = member.record.state
            if state is _State.SUSPECT and member.deadline <= now:
                self._set_state(member, member.record, _State.DOWN, now)
            elif state is _State.DOWN:
                if now - member.changed_at > self.settings.forget_ms:
                    expired.append(host)
        for host in expired:
            del self._members[host]
            del self._suspect_or_down[host]
            self._updates.discard(host)

    def _choose_target(self, now: float) -> probes.Probe | None:
        for _ in range(2):
            while self._probe_order:
                member = self._members.get(self._probe_order.pop())
                if member and member.record.state is not _State.DOWN:
                    return self._make_probe(member, now, True)
            self._probe_order = list(self._members)
            self._rng.shuffle(self._probe_order)
        return None

    def _choose_rechecks(self, now: float) -> list[probes.Probe]:
        chosen = []
        for host in list(self._recheck_addresses)[: self.settings.rechecks]:
            address = self._recheck_addresses.pop(host)
            chosen.append(probes.Probe(host, address, now, False))
        # On average `helpers` other hosts recheck a suspicion per period.
        probability = self.settings.helpers / max(1, len(self._members))
        for member in self._suspect_or_down.values():
            if member.record.state is not _State.SUSPECT:
                continue
            if member.suspected_here or self._rng.random() < probability:
                chosen.append(self._make_probe(member, now, False))
        return chosen[: 2 * self.settings.rechecks]

    def _choose_down_host(self, now: float) -> probes.Probe | None:
        down = [
            member
            for member in self._suspect_or_down.values()
            if member.record.state is _State.DOWN
        ]
        if not down:
            return None
        return self._make_probe(self._rng.choice(down), now, False)

    def _make_probe(
        self, member: memberstates.Member, now: float, counted: bool
    ) -> probes.Probe:
        record = member.record
        return probes.Probe(record.host, record.peer_address, now, counted)

    def _size_doublings(self) -> int:
        return max(1, math.ceil(math.log2(len(self._members) + 2)))

    def _suspicion_ms(self) -> float:
        number = len(self._members) + 1
        slowdown = 1 + max(0, self._health_score - 1) / 2
        return self.settings.suspicion_ms * math.log2(number + 1) * slowdown

    def _refute(self, update: records.HostRecord) -> None:
        """Announce a higher incarnation when peers have a wrong state."""
        older = update.incarnation < self.me.incarnation
        same = update.incarnation == self.me.incarnation
        if older or same and update.state in (_State.ALIVE, self.me.state):
            return
        state = self.me.state
        self._set_self(state, ids.Incarnation(update.incarnation + 1))

    def _set_self(self, state: _State, incarnation: ids.Incarnation) -> None:
        self._digests.toggle(self.me)
        self.me = msgspec.structs.replace(
            self.me, state=state, incarnation=incarnation
        )
        self._digests.toggle(self.me)
        self._updates.add(self.me.host)
        self._changes.append(self.me)
        self._hosts_cache = None

    def _merge_update(self, update: records.HostRecord, now: float) -> None:
        member = self._members.get(update.host)
        if member is None:
            if update.peer_address and update.state is not _State.DOWN:
                self._add_member(update, now)
            return
        known = member.record
        self._recheck_if_down(update, known)
        merged = memberstates.merge_update(known, update)
        if merged is not None:
            self._set_state(member, merged, merged.state, now)

    def _recheck_if_down(
        self, update: records.HostRecord, known: records.HostRecord
    ) -> None:
        if update.incarnation < known.incarnation:
            return
        if known.state is _State.DOWN and update.state is not _State.DOWN:
            self._recheck_addresses.setdefault(known.host, known.peer_address)

    def _add_member(self, update: records.HostRecord, now: float) -> None:
        record = msgspec.structs.replace(update, state=_State.DOWN)
        member = memberstates.Member(record, changed_at=now)
        self._members[update.host] = member
        # Insert a new host at a random position of the current probe round.
        position = self._rng.randint(0, len(self._probe_order))
        self._probe_order.insert(position, update.host)
        self._set_state(member, update, update.state, now)

    def _set_state(
        self,
        member: memberstates.Member,
        record: records.HostRecord,
        state: _State,
        now: float,
    ) -> None:
        self._digests.toggle(member.record)
        member.record = msgspec.structs.replace(record, state=state)
        self._digests.toggle(member.record)
        member.changed_at = now
        member.suspected_here = False
        member.missed_probes = 0
        if state in (_State.SUSPECT, _State.DOWN):
            self._suspect_or_down[record.host] = member
        else:
            self._suspect_or_down.pop(record.host, None)
        member.deadline = memberstates.NO_DEADLINE
        if state is _State.SUSPECT:
            member.deadline = now + self._suspicion_ms()
        self._updates.add(record.host)
        self._changes.append(member.record)
        self._hosts_cache = None
