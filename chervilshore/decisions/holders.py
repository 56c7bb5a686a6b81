"""What one host may send to one endpoint, as its keeper allows it.

A holder tells its keeper all that it has in each message, and takes only
the answer to its latest one.  So whatever the network loses, doubles or
turns round, the keeper never thinks that it holds less than it does.
"""

from chervilshore.decisions import attempts
from chervilshore.decisions import concurrency
from chervilshore.decisions import observations
from chervilshore.decisions import sessions
from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import records

MOST_WANTED = 64
"""Slots that one message asks for at most."""

MOST_UNUSED = 8
"""Messages in a row that bring no slot into use, after which the next one
waits."""

UNUSED_PAUSE_MS = 50.0
"""Milliseconds that it waits."""

PROBE_MS = 1000.0
"""Milliseconds after which a keeper that did not answer is tried again."""

RENEW_MS = 400.0
"""Milliseconds after which a holder that waits asks again."""

PREFETCH_SHARE = 0.5
"""Free slots that a holder keeps for each one in use, where it is warm."""


class Holder:
    """One host's slots at one endpoint.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    host : HostId
        This host.
    life : int
        This host's process.

    Attributes
    ----------
    wanted : int
        Waiting stages that want a slot here.
    running : dict
        What runs here, by grant.
    keeper : HostId
        The newest keeper that the holder knows.
    promised : Epoch
        Its epoch; the holder takes nothing from an older one.
    """

    def __init__(
        self, endpoint: ids.EndpointId, host: ids.HostId, life: int
    ) -> None:
        self.endpoint = endpoint
        self.wanted = 0
        self.running: dict[ids.GrantId, attempts.Running] = {}
        self.keeper = ids.HostId("")
        self.promised = ids.Epoch(0)
        self.promised_at = float("-inf")
        self.limit = 0
        self.warmth = records.Warmth.COLD
        self.heard_at = float("-inf")
        self.asked_at = float("-inf")
        self.asked_wanted = 0
        self.misses = 0
        self.heard_epoch = ids.Epoch(0)
        self.is_asking = False
        self.is_stale = False
        self._host = host
        self._life = life
        self._number = 0
        self._serial = 0
        self._grant = 0
        self._slots = 0
        self._until = float("-inf")
        self._ends = float("-inf")
        self._asked_ends = float("-inf")
        self._horizon_ms = 0.0
        self._has_used = False
        self._is_new = False
        self._is_scarce = False
        self._unused = 0
        self._seen = observations.Observations()

    def count_free(self, now: float) -> int:
        """Count the slots that may be used at once."""
        if now >= self._until:
            return 0
        return max(0, self._slots - len(self.running))

    def suits(self, ends: float, now: float) -> bool:
        """Tell whether there is a free slot that lasts until a moment."""
        return self.count_free(now) > 0 and ends <= self._ends

    def is_full(self) -> bool:
        """Tell whether the keeper had nothing, and knows what is wanted."""
        return self.asked_wanted > 0 and not self.is_asking

    def take(self, ends: float, now: float) -> ids.GrantId | None:
        """Use a free slot.

        Parameters
        ----------
        ends : float
            The moment by which the attempt will have ended.
        now : float
            The time in milliseconds.

        Returns
        -------
        GrantId or None
            The grant; nothing when no free slot lasts as long.
        """
        self._horizon_ms = max(self._horizon_ms, ends - now)
        if not self.suits(ends, now):
            return None
        self._grant += 1
        grant = ids.GrantId(self._grant)
        self.running[grant] = attempts.Running(ends, self._until)
        self._has_used = True
        self._unused = 0
        return grant

    def confirm(self, grant: ids.GrantId, now: float) -> bool:
        """Check a taken slot right before its first byte goes out."""
        running = self.running.get(grant)
        if running is None or running.is_revoked:
            return False
        if now >= running.until or now >= running.ends:
            return False
        running.has_begun = True
        return True

    def release(self, grant: ids.GrantId, sample: concurrency.Sample) -> bool:
        """Give a taken slot back.

        Parameters
        ----------
        grant : GrantId
            The grant.
        sample : Sample
            How the attempt went.

        Returns
        -------
        bool
            Whether this may be a sign that the endpoint is cold.
        """
        running = self.running.pop(grant, None)
        if running is None:
            return False
        self._is_new = True
        if not running.has_begun:
            return False
        return self._seen.note(sample)

    def wants_more(self, now: float) -> bool:
        """Tell whether more is wanted than the keeper knows of."""
        if self._is_fruitless(now):
            return False
        return min(self.wanted, MOST_WANTED) > self.asked_wanted

    def has_unwanted(self, now: float) -> bool:
        """Tell whether there are free slots that nobody here can use."""
        if self._is_fruitless(now):
            return False
        is_kept = not self.wanted and not self.returns_at_once()
        return not is_kept and self.count_free(now) > 0

    def _is_fruitless(self, now: float) -> bool:
        # Keeper and holder would otherwise hand a slot that nobody can use
        # to and fro without end.
        is_early = now < self.asked_at + UNUSED_PAUSE_MS
        return is_early and self._unused > MOST_UNUSED

    def returns_at_once(self) -> bool:
        """Tell whether a slot goes back when nobody here waits for it."""
        if self.warmth is not records.Warmth.WARM:
            return True
        return self._is_scarce and not self.wanted

    def may_ask(self) -> bool:
        """Tell whether a new message would cost no answer under way."""
        return not self.is_asking or not self.asked_wanted

    def needs_message(self, now: float) -> bool:
        """Tell whether the keeper has to hear of something by now."""
        if self.is_asking:
            return False
        if self.is_stale:
            return True
        if self.misses and now >= self.asked_at + PROBE_MS:
            return True
        if self.wanted and now >= self.asked_at + RENEW_MS:
            return True
        if self._is_new and self.returns_at_once():
            return True
        if now >= self._until:
            return self._slots > len(self.running)
        half = (self._until - self.asked_at) / 2.0
        return self._has_used and now >= self.asked_at + half

    def ask(
        self,
        keeper: ids.HostId,
        horizon_ms: float,
        now: float,
    ) -> grantmessages.GrantAsk:
        """Write the next message to the keeper.

        Parameters
        ----------
        keeper : HostId
            To whom it goes.
        horizon_ms : float
            Milliseconds that the longest waiting stage has left.
        now : float
            The time in milliseconds.
        """
        if self.is_asking:
            self._seen.take_back()
        free = self._choose_free(keeper, now)
        spare = self._choose_spare(keeper, free)
        self._slots = len(self.running) + free
        if not free:
            self._until = min(self._until, now)
        longest = self._count_longest(free + spare, horizon_ms, now)
        self._asked_ends = now + longest
        self._ends = min(self._ends, self._asked_ends)
        self._number += 1
        self._unused += 1
        self._serial = 0
        self.asked_at = now
        self.asked_wanted = min(self.wanted, MOST_WANTED)
        self.is_asking = True
        self.is_stale = False
        self._is_new = False
        self._has_used = False
        sample = self._seen.send()
        return grantmessages.GrantAsk(
            self.endpoint,
            self._host,
            self._life,
            self._number,
            self.promised,
            len(self.running),
            free,
            self.asked_wanted,
            spare,
            longest,
            sample.outcomes,
            sample.instance,
            sample.cold,
        )

    def _is_warm_at(self, keeper: ids.HostId) -> bool:
        return keeper == self.keeper and self.warmth is records.Warmth.WARM

    def _choose_free(self, keeper: ids.HostId, now: float) -> int:
        if self.is_stale or not self._is_warm_at(keeper):
            return 0
        if self.returns_at_once():
            return 0
        if not self._has_used and not self.wanted:
            return 0
        return min(self.count_free(now), self._count_prefetched())

    def _choose_spare(self, keeper: ids.HostId, free: int) -> int:
        if not self._has_used or not self._is_warm_at(keeper):
            return 0
        return max(0, self._count_prefetched() - free)

    def _count_prefetched(self) -> int:
        return 1 + int(PREFETCH_SHARE * len(self.running))

    def _count_longest(
        self, spare: int, horizon_ms: float, now: float
    ) -> float:
        longest = max(
            (running.ends - now for running in self.running.values()),
            default=0.0,
        )
        if self.wanted:
            longest = max(longest, horizon_ms)
        if spare:
            # Stages that come later will use them for as long.
            longest = max(longest, self._horizon_ms + sessions.LIFETIME_MS)
        # A rare long request must not make all later ones look long.
        self._horizon_ms *= 0.9
        return max(0.0, longest)

    def take_reply(self, reply: grantmessages.GrantReply, now: float) -> bool:
        """Take what a keeper allows.

        Returns
        -------
        bool
            Whether it was news; an answer to an older message is none.
        """
        if reply.life != self._life or reply.number != self._number:
            return False
        if reply.epoch < self.promised or reply.serial <= self._serial:
            return False
        self._serial = reply.serial
        self.is_asking = False
        self.misses = 0
        if reply.epoch > self.promised:
            self._seen.take_back()
            self._promise(reply.keeper, reply.epoch, now)
            self.is_stale = True
            return True
        self.promised_at = now
        self._seen.forget_sent()
        self.limit = reply.limit
        self.warmth = reply.warmth
        self._is_scarce = reply.scarce
        granted = max(0, reply.slots - self._slots)
        self.asked_wanted = max(0, self.asked_wanted - granted)
        self.heard_at = now
        self.heard_epoch = reply.epoch
        self._until = self.asked_at + reply.lifetime_ms
        self._ends = self._asked_ends
        self._resize(reply.slots)
        return True

    def _resize(self, allowed: int) -> None:
        held = max(self._slots, len(self.running))
        self._slots = allowed
        if allowed >= held:
            return
        # The keeper counts what is not returned, so it hears at once.
        self.is_stale = held > len(self.running)
        if self.warmth is records.Warmth.COLD and allowed < len(self.running):
            self._revoke()

    def _revoke(self) -> None:
        for running in self.running.values():
            running.is_revoked = not running.has_begun

    def _promise(
        self, keeper: ids.HostId, epoch: ids.Epoch, now: float
    ) -> None:
        self.keeper = keeper
        self.promised = epoch
        self.promised_at = now
        self._slots = len(self.running)
        self._until = min(self._until, now)

    def take_recall(
        self, keeper: ids.HostId, epoch: ids.Epoch, now: float
    ) -> grantmessages.Holding:
        """Turn to a new keeper, and report to it.

        Parameters
        ----------
        keeper : HostId
            Who has become keeper.
        epoch : Epoch
            Its epoch.
        now : float
            The time in milliseconds.
        """
        former = self.keeper
        if epoch > self.promised:
            self._promise(keeper, epoch, now)
            # Answers to what was sent before must not be taken any more.
            self._number += 1
            self._seen.take_back()
            self.is_asking = False
            self.is_stale = bool(self.wanted) or self._seen.is_any()
        longest = self._count_longest(0, 0.0, now)
        return grantmessages.Holding(
            self.endpoint,
            self.promised,
            former,
            len(self.running),
            longest,
            self.heard_epoch,
            min(now - self.heard_at, 1e9),
            self.limit,
            self.warmth,
        )

    def forget_keeper(self, keeper: ids.HostId) -> None:
        """Learn that a keeper has given up its tenure."""
        if self.keeper == keeper:
            self.keeper = ids.HostId("")

    def lose_reply(self) -> None:
        """Give up waiting for an answer."""
        self._seen.take_back()
        self.is_asking = False
        self.misses += 1
        self._is_new = True

    def is_idle(self, now: float) -> bool:
        """Tell whether there is nothing to tend."""
        if self.is_asking or self.wanted or self.running or self.misses:
            return False
        return not self.count_free(now) and not self.needs_message(now)

    def describe(self, now: float) -> dict[str, object]:
        """Write a summary for operators."""
        return {
            "keeper": self.keeper,
            "running": len(self.running),
            "free": self.count_free(now),
            "wanted": self.wanted,
            "limit": self.limit,
            "warmth": self.warmth.value,
            "misses": self.misses,
        }
