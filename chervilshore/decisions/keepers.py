"""The keeper of one endpoint: how many attempts each host may have there.

The keeper never counts less for a host than the host may use.  What a
silent host holds is counted until the last attempt under it has ended.
"""

from collections import abc as collections_abc

from chervilshore.decisions import census
from chervilshore.decisions import concurrency
from chervilshore.decisions import sessions
from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import records

NUDGE_MS = 100.0
"""Milliseconds after which an answer that asks for slots is repeated."""

SPARE_SHARE = 0.8
"""Share of the limit up to which slots are given out in advance."""


Replies = dict[ids.HostId, grantmessages.GrantReply]
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
    account : Census
        Which hosts may still have something there from before.
    """

    def __init__(
        self,
        endpoint: ids.EndpointId,
        host: ids.HostId,
        epoch: ids.Epoch,
        limit: concurrency.Limit,
        account: census.Census,
    ) -> None:
        self.endpoint = endpoint
        self.epoch = epoch
        self.limit = limit
        self.census = account
        self.sessions = sessions.Sessions()
        self.floor = epoch
        self._host = host
        self._down: frozenset[ids.HostId] = frozenset()

    def is_settled(self, now: float) -> bool:
        """Tell whether all that may run there is accounted for."""
        return self.census.is_settled(now)

    def count_in_use(self, now: float) -> int:
        """Count the attempts that may be there at most."""
        # Where it is warm, slots of hosts that seem down go to others.
        is_cold = self.limit.warmth is records.Warmth.COLD
        return self.sessions.count(now, frozenset() if is_cold else self._down)

    def set_hosts(
        self,
        alive: frozenset[ids.HostId],
        down: frozenset[ids.HostId],
        left: frozenset[ids.HostId],
        now: float,
    ) -> None:
        """Learn which hosts are there; see `Census.set_hosts`."""
        self._down = down
        self.census.set_hosts(alive, left)
        self._resume_if_known(now)

    def take_report(
        self,
        holder: ids.HostId,
        life: int,
        holding: grantmessages.Holding,
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
        named = {holding.former, *holding.unheard, *others}
        self.census.expect(named - {self._host})
        if holding.promised != self.epoch:
            return
        if not self.sessions.adopt(holder, life, holding, now):
            return
        self.census.hear(holder, holding, now)
        self._resume_if_known(now)

    def _resume_if_known(self, now: float) -> None:
        # Slots of silent hosts matter only where the endpoint may be cold.
        limit = self.census.find_limit()
        if not limit:
            return
        self.limit.resume(self.sessions.count(now), limit, now)
        self.census.settle()

    def take_ask(self, ask: grantmessages.GrantAsk, now: float) -> Replies:
        """Answer a holder, and whoever else gains or loses by it."""
        self.floor = max(self.floor, ask.epoch)
        if ask.epoch != self.epoch:
            # The holder may still take grants of another keeper; it has to
            # promise itself to this one first.
            stranger = sessions.Session(ask.life, ask.number, received=now)
            return {ask.holder: self._reply(stranger, 0, now)}
        session = self.sessions.find(ask)
        if session is None:
            return {}
        was_in_use = self.count_in_use(now)
        was_warm = self.limit.warmth is not records.Warmth.COLD
        sessions.renew(session, ask, now)
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

    def _offer(self, now: float) -> Replies:
        free = self._count_free(now) if self.sessions.is_wanted() else 0
        changed = self.sessions.offer(free)
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
        session: sessions.Session,
        ask: grantmessages.GrantAsk,
        replies: Replies,
        now: float,
    ) -> None:
        if (
            self.limit.warmth is not records.Warmth.WARM
            or self.sessions.is_wanted()
        ):
            return
        room = int(SPARE_SHARE * self.limit.value) - self.count_in_use(now)
        added = min(ask.spare, room)
        if added > 0 and self.is_settled(now):
            session.occupied += added
            replies[ask.holder] = self._answer(session, now)

    def _withdraw(self, now: float) -> Replies:
        """Tell all holders that nothing new may begin."""
        replies = {}
        for host, session in self.sessions.items():
            if session.occupied and now < session.ends:
                session.nudged = now
                replies[host] = self._reply(session, 0, now)
        return replies

    def _answer(
        self, session: sessions.Session, now: float
    ) -> grantmessages.GrantReply:
        return self._reply(session, self._choose_slots(session, now), now)

    def _choose_slots(self, session: sessions.Session, now: float) -> int:
        is_over = self.count_in_use(now) > self.limit.value
        if is_over and self.limit.warmth is records.Warmth.COLD:
            return 0
        if is_over or self.sessions.is_wanted():
            level = self.sessions.find_level(self.limit.value, now)
            return min(session.occupied, level)
        return session.occupied

    def _reply(
        self, session: sessions.Session, slots: int, now: float
    ) -> grantmessages.GrantReply:
        session.serial += 1
        return grantmessages.GrantReply(
            self.endpoint,
            self._host,
            self.epoch,
            session.life,
            session.number,
            session.serial,
            slots,
            now - session.received + sessions.LIFETIME_MS,
            self.limit.value,
            self.limit.warmth,
            self.sessions.is_wanted(),
        )

    def tick(self, now: float) -> Replies:
        """Give out what has become free, and ask for what others need.

        It has to be called every `NUDGE_MS`.
        """
        self.sessions.drop_ended(now)
        replies = self._offer(now)
        is_over = self.count_in_use(now) > self.limit.value
        if not is_over and not self.sessions.is_wanted():
            return replies
        for host, session in self.sessions.items():
            if host not in replies and self._has_too_much(session, now):
                session.nudged = now
                replies[host] = self._answer(session, now)
        return replies

    def _has_too_much(self, session: sessions.Session, now: float) -> bool:
        if now >= session.ends or now < session.nudged + NUDGE_MS:
            return False
        if self.limit.warmth is records.Warmth.COLD:
            # Its attempts go on, and it tells at once when one has ended.
            return session.occupied > session.running
        return session.occupied > self._choose_slots(session, now)

    def describe(self, now: float) -> dict[str, object]:
        """Write a summary for operators."""
        return {
            "epoch": self.epoch,
            "limit": self.limit.value,
            "warmth": self.limit.warmth.value,
            "in_use": self.count_in_use(now),
            "settled": self.is_settled(now),
            "unheard": sorted(self.census.unheard),
            "holders": {
                host: session.occupied
                for host, session in self.sessions.items()
                if session.occupied
            },
        }
