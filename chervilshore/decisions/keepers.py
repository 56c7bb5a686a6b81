"""The keeper of one endpoint: how many attempts each host may have there.

The keeper never counts less for a host than the host may use.  What a
silent host holds is counted until the last attempt under it has ended.
"""

from collections import abc as collections_abc
import math

import msgspec

from chervilshore.decisions import concurrency
from chervilshore import ids
from chervilshore import messages
from chervilshore import records

LIFETIME_MS = 1000.0
"""Milliseconds in which attempts may begin under a grant."""

MARGIN_MS = 50.0
"""Milliseconds added where two hosts count the same time."""

FRESH_MS = 5000.0
"""Milliseconds for which a report of a warm endpoint is believed."""

NUDGE_MS = 100.0
"""Milliseconds after which an answer that asks for slots is repeated."""

SPARE_SHARE = 0.5
"""Share of the limit up to which slots are given out in advance."""


class Session(msgspec.Struct):
    """What the keeper knows of one holder.

    Parameters
    ----------
    life : int
        The holder's process.
    number : int
        Its latest message.
    serial : int
        The latest answer to that message.
    received : float
        The moment at which that message came.
    running : int
        Attempts that ran there then.
    occupied : int
        Attempts that it may have there at most.
    wanted : int
        Slots that its waiting stages still want.
    since : float
        The moment since which it waits.
    ends : float
        The moment by which its last attempt has ended.
    nudged : float
        The moment at which it was last told without having asked.
    """

    life: int
    number: int = 0
    serial: int = 0
    received: float = 0.0
    running: int = 0
    occupied: int = 0
    wanted: int = 0
    since: float = 0.0
    ends: float = 0.0
    nudged: float = float("-inf")


Replies = dict[ids.HostId, messages.GrantReply]
"""Answers by the host that they go to."""


class Keeper:
    """One tenure as keeper of one endpoint.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    host : HostId
        This host.
    epoch : Epoch
        This tenure; it is above all earlier ones that are known.
    limit : Limit
        The endpoint's limit, at its cold bound.
    hosts : iterable of HostId
        Hosts that may have something there, besides this tenure's grants.
    longest_ms : float
        Milliseconds that an attempt may take at most.
    now : float
        The time in milliseconds.
    not_before : float
        The moment before which more hosts may come to be known.

    Attributes
    ----------
    unheard : set of HostId
        Hosts that have not reported yet.
    """

    def __init__(
        self,
        endpoint: ids.EndpointId,
        host: ids.HostId,
        epoch: ids.Epoch,
        limit: concurrency.Limit,
        hosts: collections_abc.Iterable[ids.HostId],
        longest_ms: float,
        now: float,
        not_before: float = 0.0,
    ) -> None:
        self.endpoint = endpoint
        self.epoch = epoch
        self.limit = limit
        self.unheard = set(hosts)
        self.sessions: dict[ids.HostId, Session] = {}
        self.settles = now + longest_ms + LIFETIME_MS + MARGIN_MS
        self.floor = epoch
        self._host = host
        self._heard: set[ids.HostId] = set()
        self._named: set[ids.HostId] = set()
        self._inherited = not_before
        self._evidence = (ids.Epoch(0), float("-inf"), 0)
        self._is_settled = False
        self._alive = frozenset(self.unheard)
        self._down: frozenset[ids.HostId] = frozenset()

    def is_settled(self, now: float) -> bool:
        """Tell whether all that may run there is accounted for."""
        if self._is_settled:
            return True
        is_known = not self.unheard and now >= self._inherited
        self._is_settled = is_known or now >= self.settles
        return self._is_settled

    def count_unsettled_ms(self, now: float) -> float:
        """Count the milliseconds until all has ended that is unknown."""
        if self.is_settled(now):
            return 0.0
        return self.settles - now

    def count_in_use(self, now: float) -> int:
        """Count the attempts that may be there at most."""
        is_warm = self.limit.warmth is not records.Warmth.COLD
        return sum(
            session.occupied
            for host, session in self.sessions.items()
            if now < session.ends and not (is_warm and host in self._down)
        )

    def set_hosts(
        self,
        alive: frozenset[ids.HostId],
        down: frozenset[ids.HostId],
        left: frozenset[ids.HostId],
        now: float,
    ) -> None:
        """Learn which hosts are believed to be down.

        Parameters
        ----------
        alive : frozenset of HostId
            Hosts that are there.
        down : frozenset of HostId
            Hosts that vanished without leaving; where the endpoint is
            warm, their slots go to others.
        left : frozenset of HostId
            Hosts that left of late with nothing in flight.
        now : float
            The time in milliseconds.
        """
        self._alive = alive
        self._down = down
        # A host that somebody names may be there again.
        self.unheard -= left - self._named
        self._resume_if_known(now)

    def take_report(
        self,
        holder: ids.HostId,
        life: int,
        holding: messages.Holding,
        others: collections_abc.Iterable[ids.HostId],
        now: float,
    ) -> None:
        """Learn what a host still has from before this tenure.

        Parameters
        ----------
        holder : HostId
            The host.
        life : int
            Its process.
        holding : Holding
            What it has; its promise must be this tenure's epoch.
        others : iterable of HostId
            Hosts that may have something there too.
        now : float
            The time in milliseconds.
        """
        self.floor = max(self.floor, holding.promised)
        self._expect({holding.former, *others})
        if holding.promised != self.epoch:
            return
        session = self.sessions.get(holder)
        if session is not None and life < session.life:
            return
        if not self._is_settled:
            self._inherited = max(self._inherited, now + holding.unsettled_ms)
        if session is None or session.life != life:
            self.sessions[holder] = Session(
                life,
                received=now,
                running=holding.running,
                occupied=holding.running,
                ends=now + holding.longest_ms + MARGIN_MS,
            )
        self._weigh_evidence(holding, now)
        self._hear(holder)
        self._resume_if_known(now)

    def _expect(self, hosts: set[ids.HostId]) -> None:
        self._named |= hosts
        self.unheard |= hosts - self._heard - {ids.HostId(""), self._host}

    def _hear(self, holder: ids.HostId) -> None:
        self._heard.add(holder)
        self.unheard.discard(holder)

    def _weigh_evidence(self, holding: messages.Holding, now: float) -> None:
        if holding.age_ms > FRESH_MS:
            return
        limit = holding.limit
        if holding.warmth is records.Warmth.COLD:
            limit = 0
        found = (holding.heard, now - holding.age_ms, limit)
        self._evidence = max(self._evidence, found)

    def _resume_if_known(self, now: float) -> None:
        # Slots of silent hosts matter only where the endpoint may be cold.
        limit = self._evidence[2]
        if self._is_settled or not limit or self.unheard & self._alive:
            return
        running = sum(session.occupied for session in self.sessions.values())
        self.limit.resume(running, limit, now)
        self._is_settled = True

    def take_ask(self, ask: messages.GrantAsk, now: float) -> Replies:
        """Answer a holder, and whoever else gains or loses by it."""
        self.floor = max(self.floor, ask.epoch)
        if ask.epoch != self.epoch:
            # The holder may still take grants of another keeper; it has to
            # promise itself to this one first.
            stranger = Session(ask.life, ask.number, received=now)
            return {ask.holder: self._reply(stranger, 0, now)}
        session = self._find_session(ask)
        if session is None:
            return {}
        self._hear(ask.holder)
        was_in_use = self.count_in_use(now)
        was_warm = self.limit.warmth is not records.Warmth.COLD
        self._renew(session, ask, now)
        sample = concurrency.Sample(ask.outcomes, ask.instance, ask.cold)
        self.limit.note(sample, was_in_use, now)
        replies = self._offer(now)
        if was_warm and self.limit.warmth is records.Warmth.COLD:
            replies = self._withdraw(now) | replies
        if ask.holder not in replies:
            replies[ask.holder] = self._answer(session, now)
        if ask.spare:
            self._add_spare(session, ask, replies, now)
        return replies

    def _find_session(self, ask: messages.GrantAsk) -> Session | None:
        session = self.sessions.get(ask.holder)
        if session is not None:
            if ask.life < session.life:
                return None
            if ask.life == session.life:
                return session if ask.number > session.number else None
        # The connections of an earlier process have closed.
        session = Session(ask.life)
        self.sessions[ask.holder] = session
        return session

    def _renew(
        self, session: Session, ask: messages.GrantAsk, now: float
    ) -> None:
        if not session.wanted:
            session.since = now
        session.number = ask.number
        session.serial = 0
        session.received = now
        session.running = ask.running
        session.occupied = ask.running + ask.free
        session.wanted = ask.wanted
        session.ends = now + ask.longest_ms + MARGIN_MS

    def _offer(self, now: float) -> Replies:
        waiting = [
            (host, session)
            for host, session in self.sessions.items()
            if session.wanted
        ]
        changed = {}
        free = self._count_free(now) if waiting else 0
        while free > 0 and waiting:
            host, session = min(
                waiting, key=lambda item: (item[1].occupied, item[1].since)
            )
            session.occupied += 1
            session.wanted -= 1
            changed[host] = session
            free -= 1
            waiting = [item for item in waiting if item[1].wanted]
        return {
            host: self._answer(session, now)
            for host, session in changed.items()
        }

    def _count_free(self, now: float) -> int:
        if not self.is_settled(now):
            return 0
        return self.limit.value - self.count_in_use(now)

    def _add_spare(
        self,
        session: Session,
        ask: messages.GrantAsk,
        replies: Replies,
        now: float,
    ) -> None:
        if self.limit.warmth is not records.Warmth.WARM or self._is_wanted():
            return
        room = int(SPARE_SHARE * self.limit.value) - self.count_in_use(now)
        added = min(ask.spare, room)
        if added > 0 and self.is_settled(now):
            session.occupied += added
            replies[ask.holder] = self._answer(session, now)

    def _is_wanted(self) -> bool:
        return any(session.wanted for session in self.sessions.values())

    def _withdraw(self, now: float) -> Replies:
        """Tell all holders that nothing new may begin."""
        replies = {}
        for host, session in self.sessions.items():
            if session.occupied and now < session.ends:
                session.nudged = now
                replies[host] = self._reply(session, 0, now)
        return replies

    def _answer(self, session: Session, now: float) -> messages.GrantReply:
        return self._reply(session, self._choose_slots(session, now), now)

    def _choose_slots(self, session: Session, now: float) -> int:
        is_over = self.count_in_use(now) > self.limit.value
        if is_over and self.limit.warmth is records.Warmth.COLD:
            return 0
        if is_over or self._is_wanted():
            return min(session.occupied, self._choose_share(now))
        return session.occupied

    def _choose_share(self, now: float) -> int:
        users = sum(
            1
            for session in self.sessions.values()
            if session.wanted or (session.occupied and now < session.ends)
        )
        return math.ceil(self.limit.value / max(1, users))

    def _reply(
        self, session: Session, slots: int, now: float
    ) -> messages.GrantReply:
        session.serial += 1
        return messages.GrantReply(
            self.endpoint,
            self._host,
            self.epoch,
            session.life,
            session.number,
            session.serial,
            slots,
            now - session.received + LIFETIME_MS,
            self.limit.value,
            self.limit.warmth,
        )

    def tick(self, now: float) -> Replies:
        """Give out what has become free, and ask for what others need.

        It has to be called every `NUDGE_MS`.
        """
        self._drop_ended(now)
        replies = self._offer(now)
        is_over = self.count_in_use(now) > self.limit.value
        if not is_over and not self._is_wanted():
            return replies
        for host, session in self.sessions.items():
            if host not in replies and self._has_too_much(session, now):
                session.nudged = now
                replies[host] = self._answer(session, now)
        return replies

    def _has_too_much(self, session: Session, now: float) -> bool:
        if now >= session.ends or now < session.nudged + NUDGE_MS:
            return False
        if self.limit.warmth is records.Warmth.COLD:
            # Its attempts go on, and it tells at once when one has ended.
            return session.occupied > session.running
        return session.occupied > self._choose_slots(session, now)

    def _drop_ended(self, now: float) -> None:
        for host, session in list(self.sessions.items()):
            lapsed = now >= session.received + LIFETIME_MS
            if lapsed:
                # Whoever waits asks again within that time.
                session.wanted = 0
            if lapsed and now >= session.ends:
                del self.sessions[host]

    def describe(self, now: float) -> dict[str, object]:
        """Write a summary for operators."""
        return {
            "epoch": self.epoch,
            "limit": self.limit.value,
            "warmth": self.limit.warmth.value,
            "in_use": self.count_in_use(now),
            "settled": self.is_settled(now),
            "unheard": sorted(self.unheard),
            "holders": {
                host: session.occupied
                for host, session in self.sessions.items()
                if session.occupied
            },
        }
