"""What a keeper knows of the holders of its endpoint."""

from collections import abc as collections_abc
import math

import msgspec

from chervilshore import grantmessages
from chervilshore import ids

LIFETIME_MS = 1000.0
"""Milliseconds in which attempts may begin under a grant."""

MARGIN_MS = 50.0
"""Milliseconds added where two hosts count the same time."""


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


def renew(session: Session, ask: grantmessages.GrantAsk, now: float) -> None:
    """Put what a holder says in the place of what was known of it."""
    if not session.wanted:
        session.since = now
    session.number = ask.number
    session.serial = 0
    session.received = now
    session.running = ask.running
    session.occupied = ask.running + ask.free
    session.wanted = ask.wanted
    session.ends = now + ask.longest_ms + MARGIN_MS


class Sessions(dict[ids.HostId, Session]):
    """The holders of one endpoint."""

    def count(
        self, now: float, but: collections_abc.Set[ids.HostId] = frozenset()
    ) -> int:
        """Count the attempts that may be at the endpoint.

        Parameters
        ----------
        now : float
            The time in milliseconds.
        but : set of HostId
            Hosts whose attempts do not count.
        """
        return sum(
            session.occupied
            for host, session in self.items()
            if now < session.ends and host not in but
        )

    def find_level(self, limit: int, now: float) -> int:
        """Find what each holder may have so that all get a fair part.

        Whoever wants less than the level has what it wants; the rest is
        divided evenly between the others.

        Parameters
        ----------
        limit : int
            Attempts at once over all holders.
        now : float
            The time in milliseconds.
        """
        demands = sorted(
            session.occupied * (now < session.ends) + session.wanted
            for session in self.values()
        )
        left = float(limit)
        for index, demand in enumerate(demands):
            level = left / (len(demands) - index)
            if demand > level:
                return math.ceil(level)
            left -= demand
        return limit

    def is_wanted(self) -> bool:
        """Tell whether any stage waits for a slot."""
        return any(session.wanted for session in self.values())

    def find(self, ask: grantmessages.GrantAsk) -> Session | None:
        """Find whom a message speaks for; nothing when it is outdated."""
        session = self.get(ask.holder)
        if session is not None:
            if ask.life < session.life:
                return None
            if ask.life == session.life:
                return session if ask.number > session.number else None
        # The connections of an earlier process have closed.
        session = Session(ask.life)
        self[ask.holder] = session
        return session

    def adopt(
        self,
        holder: ids.HostId,
        life: int,
        holding: grantmessages.Holding,
        now: float,
    ) -> bool:
        """Take over what a host has from before.

        Returns
        -------
        bool
            Whether the report was not outdated.
        """
        session = self.get(holder)
        if session is not None and life < session.life:
            return False
        if session is None or life > session.life:
            self[holder] = Session(
                life,
                received=now,
                running=holding.running,
                occupied=holding.running,
                ends=now + holding.longest_ms + MARGIN_MS,
            )
        return True

    def offer(self, free: int) -> dict[ids.HostId, Session]:
        """Give free slots to those that wait, the one with fewest first.

        Returns
        -------
        dict
            Who got something.
        """
        changed = {}
        waiting = [item for item in self.items() if item[1].wanted]
        while free > 0 and waiting:
            host, session = min(
                waiting, key=lambda item: (item[1].occupied, item[1].since)
            )
            session.occupied += 1
            session.wanted -= 1
            changed[host] = session
            free -= 1
            waiting = [item for item in waiting if item[1].wanted]
        return changed

    def drop_ended(self, now: float) -> None:
        """Forget holders that have and want nothing any more."""
        for host, session in list(self.items()):
            # Whoever waits asks again within that time.
            if now < session.received + LIFETIME_MS:
                continue
            session.wanted = 0
            if now >= session.ends:
                del self[host]
