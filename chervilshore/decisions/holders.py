"""The slots of one host at one endpoint, as granted by its owner.

Each request reports all slots that the holder has, and the holder accepts
only replies to its latest request.  So the owner never counts fewer slots
than the holder has, even if messages are lost, duplicated or reordered.
"""

from chervilshore.decisions import attempts
from chervilshore.decisions import concurrency
from chervilshore.decisions import holderstates
from chervilshore.decisions import observations
from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import records

MAX_REQUESTED_SLOTS = 64
"""Maximum of additional slots in one request."""

MAX_UNUSED_REQUESTS = 8
"""Requests in a row without a slot used, after which requests are delayed."""

UNUSED_REQUEST_DELAY_MS = 50.0
"""Minimum milliseconds between such requests."""

OWNER_PROBE_MS = 1000.0
"""Milliseconds until an owner that missed a reply gets another request."""

RENEW_INTERVAL_MS = 400.0
"""Milliseconds until a holder with waiting stages repeats its request."""

PREFETCH_FRACTION = 0.5
"""Free slots kept at a warm endpoint, per attempt in flight."""


class Holder:
    """The slots of one host, this one, at one endpoint.

    Attributes
    ----------
    wanted : int
        Waiting stages that want a slot here.
    running : dict
        Attempts in flight or about to be sent, by grant.
    owner : HostId
        The owner of the highest known epoch; may be empty.
    promised_epoch : Epoch
        Its epoch; replies of a lower epoch are rejected.
    promised_at : float
        The time in milliseconds of the promise or of the last reply.
    limit, warmth : int, Warmth
        The endpoint's limit and warmth according to the latest reply.
    requested_slots : int
        Slots requested and not granted yet.
    awaits_reply : bool
        Whether the latest request is unanswered and has not timed out.
    must_update_owner : bool
        Whether a request is due because the owner's state is outdated.
    """

    def __init__(
        self, endpoint: ids.EndpointId, host: ids.HostId, run_id: int
    ) -> None:
        self.endpoint = endpoint
        self.wanted = 0
        self.running: dict[ids.GrantId, attempts.RunningAttempt] = {}
        self.owner = ids.HostId("")
        self.promised_epoch = ids.Epoch(0)
        self.promised_at = float("-inf")
        self.limit = 0
        self.warmth = records.Warmth.COLD
        self.limit_received_at = float("-inf")
        self.requested_at = float("-inf")
        self.requested_slots = 0
        self.missed_replies = 0
        self.limit_epoch = ids.Epoch(0)
        self.awaits_reply = False
        self.must_update_owner = False
        self._host = host
        self._run_id = run_id
        self._request_number = 0
        self._reply_number = 0
        self._last_grant = 0
        self._slots = 0
        # Attempts in free slots must start and end before these times.
        self._start_by = float("-inf")
        self._end_by = float("-inf")
        self._requested_end = float("-inf")
        self._max_duration_ms = 0.0
        # Whether slots were used or returned since the latest request.
        self._has_used = False
        self._has_changed = False
        self._contended = False
        self._unused_requests = 0
        self._observations = observations.Observations()

    def count_free(self, now: float) -> int:
        """Return the number of slots that may be used immediately."""
        if now >= self._start_by:
            return 0
        return max(0, self._slots - len(self.running))

    def has_slot_until(self, ends_at: float, now: float) -> bool:
        """Return whether a free slot may be used until `ends_at`."""
        return self.count_free(now) > 0 and ends_at <= self._end_by

    def has_unmet_request(self) -> bool:
        """Return whether the owner has granted less than requested so far."""
        return self.requested_slots > 0 and not self.awaits_reply

    def acquire(self, ends_at: float, now: float) -> ids.GrantId | None:
        """Acquire a free slot for an attempt that ends by `ends_at` (in ms).

        Returns None if no free slot may be used for that long.
        """
        self._max_duration_ms = max(self._max_duration_ms, ends_at - now)
        if not self.has_slot_until(ends_at, now):
            return None
        self._last_grant += 1
        grant = ids.GrantId(self._last_grant)
        self.running[grant] = attempts.RunningAttempt(ends_at, self._start_by)
        self._has_used = True
        self._unused_requests = 0
        return grant

    def confirm(self, grant: ids.GrantId, now: float) -> bool:
        """Return whether an attempt may start; call it right before sending.

        From then on the attempt counts as started.
        """
        attempt = self.running.get(grant)
        if attempt is None or attempt.is_revoked:
            return False
        if now >= attempt.start_by or now >= attempt.ends_at:
            return False
        attempt.has_started = True
        return True

    def release(self, grant: ids.GrantId, sample: concurrency.Sample) -> bool:
        """Release a slot; return whether the endpoint seems to be cold."""
        attempt = self.running.pop(grant, None)
        if attempt is None:
            return False
        self._has_changed = True
        if not attempt.has_started:
            return False
        return self._observations.record(sample)

    def wants_more(self, now: float) -> bool:
        """Return whether more slots are wanted than were requested."""
        if self._is_throttled(now):
            return False
        return min(self.wanted, MAX_REQUESTED_SLOTS) > self.requested_slots

    def has_unneeded(self, now: float) -> bool:
        """Return whether free slots exist that should be returned."""
        if self._is_throttled(now):
            return False
        is_kept = not self.wanted and not self.returns_unused()
        return not is_kept and self.count_free(now) > 0

    def _is_throttled(self, now: float) -> bool:
        # Otherwise owner and holder would pass a slot that no stage can use
        # back and forth without end.
        is_early = now < self.requested_at + UNUSED_REQUEST_DELAY_MS
        return is_early and self._unused_requests > MAX_UNUSED_REQUESTS

    def returns_unused(self) -> bool:
        """Return whether a slot that no stage waits for has to be returned."""
        if self.warmth is not records.Warmth.WARM:
            return True
        return self._contended and not self.wanted

    def may_request(self) -> bool:
        """Return whether a request may be sent without voiding a reply."""
        return not self.awaits_reply or not self.requested_slots

    def is_request_due(self, now: float) -> bool:
        """Return whether a request has to be sent now."""
        if self.awaits_reply:
            return False
        if self.must_update_owner:
            return True
        if self.missed_replies and now >= self.requested_at + OWNER_PROBE_MS:
            return True
        if self.wanted and now >= self.requested_at + RENEW_INTERVAL_MS:
            return True
        if self._has_changed and self.returns_unused():
            return True
        if now >= self._start_by:
            return self._slots > len(self.running)
        half = (self._start_by - self.requested_at) / 2.0
        return self._has_used and now >= self.requested_at + half

    def make_request(
        self, owner: ids.HostId, waiting_ms: float, now: float
    ) -> grantmessages.GrantAsk:
        """Return the next request to an owner, and record it as sent.

        The last of the waiting stages will have ended in `waiting_ms`.
        """
        if self.awaits_reply:
            self._observations.requeue_sent()
        free = self._choose_free(owner, now)
        prefetch = self._choose_prefetch(owner, free)
        self._slots = len(self.running) + free
        if not free:
            self._start_by = min(self._start_by, now)
        remaining_ms = self._remaining_ms(free + prefetch, waiting_ms, now)
        self._requested_end = now + remaining_ms
        self._end_by = min(self._end_by, self._requested_end)
        self._request_number += 1
        self._unused_requests += 1
        self._reply_number = 0
        self.requested_at = now
        self.requested_slots = min(self.wanted, MAX_REQUESTED_SLOTS)
        self.awaits_reply = True
        self.must_update_owner = False
        self._has_changed = False
        self._has_used = False
        sample = self._observations.take_pending()
        return grantmessages.GrantAsk(
            self.endpoint,
            self._host,
            self._run_id,
            self._request_number,
            self.promised_epoch,
            len(self.running),
            free,
            self.requested_slots,
            prefetch,
            remaining_ms,
            sample.outcomes,
            sample.instance,
            sample.cold,
        )

    def _is_warm_at(self, owner: ids.HostId) -> bool:
        return owner == self.owner and self.warmth is records.Warmth.WARM

    def _choose_free(self, owner: ids.HostId, now: float) -> int:
        if self.must_update_owner or not self._is_warm_at(owner):
            return 0
        if self.returns_unused():
            return 0
        if not self._has_used and not self.wanted:
            return 0
        return min(self.count_free(now), self._count_kept())

    def _choose_prefetch(self, owner: ids.HostId, free: int) -> int:
        if not self._has_used or not self._is_warm_at(owner):
            return 0
        return max(0, self._count_kept() - free)

    def _count_kept(self) -> int:
        return 1 + int(PREFETCH_FRACTION * len(self.running))

    def _remaining_ms(
        self, prefetch: int, waiting_ms: float, now: float
    ) -> float:
        remaining_ms = max(
            (attempt.ends_at - now for attempt in self.running.values()),
            default=0.0,
        )
        if self.wanted:
            remaining_ms = max(remaining_ms, waiting_ms)
        if prefetch:
            # Later stages may use these slots for as long as recent ones.
            remaining_ms = max(
                remaining_ms,
                self._max_duration_ms + holderstates.GRANT_LIFETIME_MS,
            )
        # The maximum decays, so that one long request does not make all
        # later attempts look long.
        self._max_duration_ms *= 0.9
        return max(0.0, remaining_ms)

    def handle_reply(
        self, reply: grantmessages.GrantReply, now: float
    ) -> bool:
        """Apply the reply of an owner; return False if it is outdated."""
        if (
            reply.run_id != self._run_id
            or reply.request_number != self._request_number
        ):
            return False
        if (
            reply.epoch < self.promised_epoch
            or reply.reply_number <= self._reply_number
        ):
            return False
        self._reply_number = reply.reply_number
        self.awaits_reply = False
        self.missed_replies = 0
        if reply.epoch > self.promised_epoch:
            self._observations.requeue_sent()
            self._promise(reply.owner, reply.epoch, now)
            self.must_update_owner = True
            return True
        self.promised_at = now
        self._observations.confirm_sent()
        self.limit = reply.limit
        self.warmth = reply.warmth
        self._contended = reply.contended
        granted = max(0, reply.slots - self._slots)
        self.requested_slots = max(0, self.requested_slots - granted)
        self.limit_received_at = now
        self.limit_epoch = reply.epoch
        self._start_by = self.requested_at + reply.lifetime_ms
        self._end_by = self._requested_end
        self._set_slots(reply.slots)
        return True

    def _set_slots(self, allowed: int) -> None:
        held = max(self._slots, len(self.running))
        self._slots = allowed
        if allowed >= held:
            return
        # The owner counts slots until they are returned.
        self.must_update_owner = held > len(self.running)
        if self.warmth is records.Warmth.COLD and allowed < len(self.running):
            self._revoke_unstarted()

    def _revoke_unstarted(self) -> None:
        for attempt in self.running.values():
            attempt.is_revoked = not attempt.has_started

    def _promise(
        self, owner: ids.HostId, epoch: ids.Epoch, now: float
    ) -> None:
        self.owner = owner
        self.promised_epoch = epoch
        self.promised_at = now
        self._slots = len(self.running)
        self._start_by = min(self._start_by, now)

    def handle_recall(
        self, owner: ids.HostId, epoch: ids.Epoch, now: float
    ) -> grantmessages.Holding:
        """Follow a new owner, and return what this host holds.

        An owner of a lower epoch than the promised one is not followed; the
        returned `promised_epoch` shows this.
        """
        previous_owner = self.owner
        if epoch > self.promised_epoch:
            self._promise(owner, epoch, now)
            # A new number makes replies to earlier requests invalid.
            self._request_number += 1
            self._observations.requeue_sent()
            self.awaits_reply = False
            self.must_update_owner = (
                bool(self.wanted) or self._observations.has_pending()
            )
        remaining_ms = self._remaining_ms(0, 0.0, now)
        return grantmessages.Holding(
            self.endpoint,
            self.promised_epoch,
            previous_owner,
            len(self.running),
            remaining_ms,
            self.limit_epoch,
            min(now - self.limit_received_at, 1e9),
            self.limit,
            self.warmth,
        )

    def forget_owner(self, owner: ids.HostId) -> None:
        """Record that a host has given up its ownerships."""
        if self.owner == owner:
            self.owner = ids.HostId("")

    def handle_reply_timeout(self) -> None:
        """Record that the owner did not reply in time."""
        self._observations.requeue_sent()
        self.awaits_reply = False
        self.missed_replies += 1
        self._has_changed = True

    def is_idle(self, now: float) -> bool:
        """Return whether no periodic work is needed."""
        if (
            self.awaits_reply
            or self.wanted
            or self.running
            or self.missed_replies
        ):
            return False
        return not self.count_free(now) and not self.is_request_due(now)

    def describe(self, now: float) -> dict[str, object]:
        """Return a summary for operators."""
        return {
            "keeper": self.owner,
            "running": len(self.running),
            "free": self.count_free(now),
            "wanted": self.wanted,
            "limit": self.limit,
            "warmth": self.warmth.value,
            "misses": self.missed_replies,
        }
