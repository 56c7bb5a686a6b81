"""Which entry hosts are alive, by probing at a constant cost for each.

Every period a host probes one other, itself and through helpers, and
spreads news on the messages of the probes. A host that does not answer
is suspected first and has time to refute that with a new incarnation.
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

_State = records.HostState


class Members:
    """What one host believes of the others.

    Parameters
    ----------
    me : HostRecord
        This host, with an incarnation above that of its former lives.
    numbers : probes.Numbers
        How to probe.
    rng : random.Random
        Chooses targets and helpers.
    """

    def __init__(
        self,
        me: records.HostRecord,
        numbers: probes.ProbeSettings,
        rng: random.Random,
    ) -> None:
        self.me = me
        self.numbers = numbers
        self._rng = rng
        self._members: dict[ids.HostId, memberstates.Member] = {}
        self._in_doubt: dict[ids.HostId, memberstates.Member] = {}
        self._digests = gossip.Digests()
        self._news = gossip.UpdateQueue()
        self._order: list[ids.HostId] = []
        self._doubtful: dict[ids.HostId, ids.Address] = {}
        self._changes: list[records.HostRecord] = []
        self._listed: tuple[records.HostRecord, ...] | None = None
        self._periods = 0
        self._last_period: float | None = None
        self._resumed = -math.inf
        self._health_score = 0
        self._mismatches = 0
        self._next_sync = -math.inf
        self._digests.mix(me)
        self._news.add(me.host)

    # What others read.

    def hosts(self) -> tuple[records.HostRecord, ...]:
        """List the hosts that are not down, this one first."""
        # Many ask for this many times a second; it changes rarely.
        if self._listed is None:
            others = (member.record for member in self._members.values())
            living = (r for r in others if r.state is not _State.DOWN)
            self._listed = (self.me, *living)
        return self._listed

    def get(self, host: ids.HostId) -> records.HostRecord | None:
        """Find a host, whatever its state."""
        if host == self.me.host:
            return self.me
        member = self._members.get(host)
        return member.record if member else None

    def list_all(self) -> tuple[records.HostRecord, ...]:
        """List all hosts that are known, whatever their state."""
        others = (member.record for member in self._members.values())
        return (self.me, *others)

    def set_address(self, address: ids.Address) -> None:
        """Note where peers reach this host."""
        self.me = msgspec.structs.replace(self.me, peer_address=address)
        self._listed = None

    def count_states(self) -> dict[str, int]:
        """Count the hosts by state, without this one."""
        counts = {state.value: 0 for state in _State}
        for member in self._members.values():
            counts[member.record.state.value] += 1
        return counts

    def pop_changes(self) -> list[records.HostRecord]:
        """Hand over the hosts that changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    @property
    def digest(self) -> int:
        """A hash of the hosts that are not down."""
        return self._digests.whole

    @property
    def digests(self) -> tuple[int, ...]:
        """The same by bucket."""
        return self._digests.buckets

    def should_sync(self, digest: int, now: float) -> bool:
        """Compare a peer's digest; tell whether to ask for its hosts.

        UpdateQueue on its way makes digests differ for a while, so only some in
        a row count.
        """
        if digest == self.digest:
            self._mismatches = 0
            return False
        self._mismatches += 1
        few = self._mismatches < self.numbers.mismatches
        if now < self._next_sync or few and self._members:
            return False
        self._next_sync = now + self.numbers.sync_ms
        self._mismatches = 0
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

    # UpdateQueue.

    def select_updates(
        self, about: ids.HostId | None = None
    ) -> tuple[records.HostRecord, ...]:
        """Choose the news for a message; each piece is sent a few times.

        Parameters
        ----------
        about : HostId or None
            The receiver, who is told when it is not thought alive.
        """
        chosen = []
        member = self._members.get(about) if about else None
        if member and member.record.state in (_State.SUSPECT, _State.DOWN):
            chosen.append(gossip.shorten(member.record))
        numbers = self.numbers
        repeats = numbers.repeats * self._doublings()
        for host in self._news.choose(numbers.most_updates, repeats):
            if host != about:
                chosen.append(gossip.shorten(self.get(host)))
        return tuple(chosen)

    def merge(
        self, updates: abc.Iterable[records.HostRecord], now: float
    ) -> None:
        """Take news from a peer."""
        for update in updates:
            if update.host == self.me.host:
                self._hear_of_me(update)
            else:
                self._merge(update, now)

    def merge_host_list(
        self, members: abc.Iterable[records.HostRecord], now: float
    ) -> None:
        """Take a peer's list of hosts; the fleet knows them already.

        Spreading the whole list again would keep a newcomer's messages
        full for minutes.
        """
        known = self._news.copy()
        self.merge(members, now)
        self._news = known
        self._news.add(self.me.host)

    def propose(self, record: records.HostRecord) -> None:
        """Note a host that the host list names, to be probed."""
        if record.host == self.me.host:
            return
        member = self._members.get(record.host)
        if member is None or member.record.state is _State.DOWN:
            self._doubtful[record.host] = record.peer_address

    def leave(self) -> records.HostRecord:
        """Say of this host that it is leaving."""
        self._renew(_State.LEAVING, self.me.incarnation)
        return self.me

    # Probes.

    def begin_period(self, now: float) -> tuple[probes.Probe, ...]:
        """Let suspicions lapse and choose whom to probe."""
        self._notice_pause(now)
        self._lapse(now)
        self._periods += 1
        chosen = [self._choose_target(now)]
        chosen.extend(self._choose_rechecks(now))
        if self._periods % self.numbers.down_periods == 0:
            chosen.append(self._choose_down(now))
        return tuple(probe for probe in chosen if probe is not None)

    def choose_helpers(self, host: ids.HostId) -> tuple[ids.Address, ...]:
        """Choose hosts that probe in this one's place."""
        able = [
            member.record.peer_address
            for member in self._members.values()
            if member.record.state is _State.ALIVE
            and member.record.host != host
        ]
        most = min(len(able), self.numbers.helpers)
        return tuple(self._rng.sample(able, most))

    def record_ack(self, probe: probes.Probe) -> None:
        """Note that a probed host has answered.

        A suspicion ends only by the host's own refutation, which it sends
        with its answer.
        """
        self._health_score = max(0, self._health_score - 1)
        self._doubtful.pop(probe.host, None)
        member = self._members.get(probe.host)
        if member is not None:
            member.misses = 0

    def record_failure(self, probe: probes.Probe, now: float) -> None:
        """Note that neither the host nor a helper has answered."""
        self._doubtful.pop(probe.host, None)
        member = self._members.get(probe.host)
        if not probe.counts_misses or probe.started < self._resumed:
            return
        if member is None or member.record.state is _State.DOWN:
            return
        self._health_score = min(MAX_HEALTH_SCORE, self._health_score + 1)
        state = member.record.state
        member.misses += 1
        if member.misses < self.numbers.misses:
            self._order.append(probe.host)
        elif state is _State.LEAVING:
            self._set(member, member.record, _State.DOWN, now)
        elif state is _State.ALIVE:
            self._set(member, member.record, _State.SUSPECT, now)
            member.suspected_here = True

    def _notice_pause(self, now: float) -> None:
        last, self._last_period = self._last_period, now
        if last is None:
            return
        gap = now - last
        # After a pause of its own a host has heard nobody; nobody else is
        # to blame for that.
        if gap > 2 * self.numbers.period_ms:
            self._resumed = now
            for member in self._in_doubt.values():
                member.deadline += gap

    def _lapse(self, now: float) -> None:
        forgotten = []
        for host, member in list(self._in_doubt.items()):
            state = member.record.state
            if state is _State.SUSPECT and member.deadline <= now:
                self._set(member, member.record, _State.DOWN, now)
            elif state is _State.DOWN:
                if now - member.changed > self.numbers.forget_ms:
                    forgotten.append(host)
        for host in forgotten:
            del self._members[host]
            del self._in_doubt[host]
            self._news.drop(host)

    def _choose_target(self, now: float) -> probes.Probe | None:
        for _ in range(2):
            while self._order:
                member = self._members.get(self._order.pop())
                if member and member.record.state is not _State.DOWN:
                    return self._probe(member, now, True)
            self._order = list(self._members)
            self._rng.shuffle(self._order)
        return None

    def _choose_rechecks(self, now: float) -> list[probes.Probe]:
        chosen = []
        for host in list(self._doubtful)[: self.numbers.rechecks]:
            address = self._doubtful.pop(host)
            chosen.append(probes.Probe(host, address, now, False))
        share = self.numbers.helpers / max(1, len(self._members))
        for member in self._in_doubt.values():
            if member.record.state is not _State.SUSPECT:
                continue
            if member.suspected_here or self._rng.random() < share:
                chosen.append(self._probe(member, now, False))
        return chosen[: 2 * self.numbers.rechecks]

    def _choose_down(self, now: float) -> probes.Probe | None:
        down = [
            member
            for member in self._in_doubt.values()
            if member.record.state is _State.DOWN
        ]
        if not down:
            return None
        return self._probe(self._rng.choice(down), now, False)

    def _probe(
        self, member: memberstates.Member, now: float, counts_misses: bool
    ) -> probes.Probe:
        record = member.record
        return probes.Probe(
            record.host, record.peer_address, now, counts_misses
        )

    # Beliefs.

    def _doublings(self) -> int:
        return max(1, math.ceil(math.log2(len(self._members) + 2)))

    def _suspicion_ms(self) -> float:
        number = len(self._members) + 1
        slowdown = 1 + max(0, self._health_score - 1) / 2
        return self.numbers.suspicion_ms * math.log2(number + 1) * slowdown

    def _hear_of_me(self, update: records.HostRecord) -> None:
        older = update.incarnation < self.me.incarnation
        same = update.incarnation == self.me.incarnation
        if older or same and update.state in (_State.ALIVE, self.me.state):
            return
        state = self.me.state
        self._renew(state, ids.Incarnation(update.incarnation + 1))

    def _renew(self, state: _State, incarnation: ids.Incarnation) -> None:
        self._digests.mix(self.me)
        self.me = msgspec.structs.replace(
            self.me, state=state, incarnation=incarnation
        )
        self._digests.mix(self.me)
        self._news.add(self.me.host)
        self._changes.append(self.me)
        self._listed = None

    def _merge(self, update: records.HostRecord, now: float) -> None:
        member = self._members.get(update.host)
        if member is None:
            if update.peer_address and update.state is not _State.DOWN:
                self._add(update, now)
            return
        known = member.record
        self._note_doubt(update, known)
        believed = memberstates.merge_update(known, update)
        if believed is not None:
            self._set(member, believed, believed.state, now)

    def _note_doubt(
        self, update: records.HostRecord, known: records.HostRecord
    ) -> None:
        if update.incarnation < known.incarnation:
            return
        if known.state is _State.DOWN and update.state is not _State.DOWN:
            self._doubtful.setdefault(known.host, known.peer_address)

    def _add(self, update: records.HostRecord, now: float) -> None:
        record = msgspec.structs.replace(update, state=_State.DOWN)
        member = memberstates.Member(record, changed=now)
        self._members[update.host] = member
        # A newcomer takes a random place among those still to be probed.
        place = self._rng.randint(0, len(self._order))
        self._order.insert(place, update.host)
        self._set(member, update, update.state, now)

    def _set(
        self,
        member: memberstates.Member,
        record: records.HostRecord,
        state: _State,
        now: float,
    ) -> None:
        self._digests.mix(member.record)
        member.record = msgspec.structs.replace(record, state=state)
        self._digests.mix(member.record)
        member.changed = now
        member.suspected_here = False
        member.misses = 0
        if state in (_State.SUSPECT, _State.DOWN):
            self._in_doubt[record.host] = member
        else:
            self._in_doubt.pop(record.host, None)
        member.deadline = memberstates.NO_DEADLINE
        if state is _State.SUSPECT:
            member.deadline = now + self._suspicion_ms()
        self._news.add(record.host)
        self._changes.append(member.record)
        self._listed = None
