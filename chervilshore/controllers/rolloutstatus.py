"""Writes the status of roll-outs to the store."""

import asyncio
import logging

import mode
import msgspec

from chervilshore import clock as clocks
from chervilshore.controllers import decoders as decoding
from chervilshore.decisions import rendezvous
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import objects
from chervilshore import records

ROUND_MS = 100.0
"""Milliseconds between two looks for a status to write."""

RANK_DELAY_MS = 600.0
"""Milliseconds that each host waits for the one before it in rank: longer
than a write takes until the watches show it."""

MAX_WAITING_RANK = 5
"""Rank from which hosts follow each other much faster, as the store seems to
turn some hosts away."""

LATE_RANK_DELAY_MS = 30.0
"""Milliseconds between two hosts from then on."""

RETRY_MS = 500.0
"""Milliseconds between two writes of the same status."""

_LOGGER = logging.getLogger(__name__)


class _Wish(msgspec.Struct):
    """A status that should be written.

    Parameters
    ----------
    record : RolloutRecord
        The order with the new state.
    stored : StoredObject
        The order as it is in the store.
    due : float
        The time in milliseconds at which this host writes it.
    """

    record: records.RolloutRecord
    stored: objects.StoredObject
    due: float


class StatusWriter(mode.Service):
    """Writes what the hosts decide on orders, from few hosts.

    All hosts that decide alike wait in the order of a hash, so that usually
    one of them writes. A write holds only for the order that it was decided
    on: the store refuses it once the order or its status has changed.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    store : ObjectStore
        The platform's store.
    decoders : Decoders
        Encode and decode the status.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        store: objects.ObjectStore,
        decoders: decoding.Decoders,
    ) -> None:
        super().__init__()
        self._host = host
        self._clock = clock
        self._store = store
        self._decoders = decoders
        self._wishes: dict[ids.PoolName, _Wish] = {}
        self._has_wishes = asyncio.Event()

    def want(
        self,
        record: records.RolloutRecord,
        stored: objects.StoredObject,
        hosts: list[ids.HostId],
    ) -> None:
        """Set the status that an order should have.

        Parameters
        ----------
        record : RolloutRecord
            The order with that state.
        stored : StoredObject
            The order as it is in the store.
        hosts : list of HostId
            The hosts that may write it.
        """
        wish = self._wishes.get(record.pool)
        if wish is not None and wish.record == record:
            wish.stored = stored
            return
        due = self._clock.now() + self._choose_delay_ms(record, hosts)
        self._wishes[record.pool] = _Wish(record, stored, due)
        self._has_wishes.set()

    def forget(self, pool: ids.PoolName) -> None:
        """Write nothing for a pool, as its status is right or it has none."""
        self._wishes.pop(pool, None)

    def _choose_delay_ms(
        self, record: records.RolloutRecord, hosts: list[ids.HostId]
    ) -> float:
        ranked = rendezvous.rank(hosts, f"{record.pool} {record.to}")
        rank = ranked.index(self._host) if self._host in ranked else 0
        late = max(0, rank - MAX_WAITING_RANK)
        return (rank - late) * RANK_DELAY_MS + late * LATE_RANK_DELAY_MS

    @mode.Service.task
    async def _write_wishes(self) -> None:
        while not self.should_stop:
            await self._has_wishes.wait()
            if not self._wishes:
                self._has_wishes.clear()
                continue
            await self._clock.sleep(ROUND_MS)
            now = self._clock.now()
            for pool, wish in tuple(self._wishes.items()):
                if now >= wish.due and self._wishes.get(pool) is wish:
                    wish.due = now + RETRY_MS
                    await self._write(wish)

    async def _write(self, wish: _Wish) -> None:
        """Write a status; the watch of the orders shows what came of it."""
        record = wish.record
        content = self._decoders.write_rollout_status(record)
        try:
            written = await self._store.put_status(
                self._decoders.rollouts, wish.stored, content
            )
        except exceptions.PlatformError as error:
            # Tried again as long as the order in the store asks for it.
            events.log_event(
                _LOGGER,
                events.Event.ROLLOUT_STATUS_UNWRITTEN,
                pool=record.pool,
                version=record.to,
                state=record.state,
                error=error,
            )
            return
        events.log_event(
            _LOGGER,
            events.Event.ROLLOUT_STATUS_WRITTEN,
            pool=record.pool,
            version=record.to,
            state=record.state,
            **objects.describe_position(written.revision),
        )
