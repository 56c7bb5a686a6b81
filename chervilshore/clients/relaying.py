"""Opens connections directly or, where the path is lost, through a peer."""

import asyncio
from collections import abc as collections_abc
import functools
import logging

from chervilshore.clients import connections
from chervilshore.clients import connectors
from chervilshore.clients import tunnels
from chervilshore import clock as clocks
from chervilshore.controllers import directory as directories
from chervilshore.decisions import paths as path_types
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import metrics as metric_types
from chervilshore import records

STAGGER_MS = 75.0
"""Milliseconds after which the next way is tried beside the one before."""

_LOGGER = logging.getLogger(__name__)

OnPathLost = collections_abc.Callable[[ids.Address], None]
"""Called with the address of an endpoint that only peers reach."""


class RelayingConnector(connectors.Connector):
    """Opens connections directly, or through peers that reach the address.

    Parameters
    ----------
    direct : Connector
        Opens connections from this host.
    paths : Paths
        Which endpoints this host reaches itself.
    clock : Clock
        The time.
    directory : Directory
        Lists the peers.
    metrics : Metrics
        Counts relayed connections.
    """

    def __init__(
        self,
        direct: connectors.Connector,
        paths: path_types.Paths,
        clock: clocks.Clock,
        directory: directories.Directory,
        metrics: metric_types.Metrics,
    ) -> None:
        self._direct = direct
        self._paths = paths
        self._clock = clock
        self._directory = directory
        self._metrics = metrics
        self.on_path_lost: OnPathLost = lambda address: None

    async def connect(
        self, address: ids.Address, timeout_ms: float
    ) -> connections.Connection:
        """Open a connection; see `Connector.connect`.

        Ways are tried one after the other, the next one when the one before
        has failed or takes long. The first connection is used.
        """
        now = self._clock.now()
        end = now + timeout_ms
        was_lost = self._paths.is_lost(address)
        relays = self._paths.choose_relays(
            address, self._directory.hosts(), now
        )
        attempt = _Attempt()
        if self._paths.may_try(address, now) or not relays:
            self._start_direct(attempt, address, timeout_ms)
        if was_lost and relays:
            self._start_relay(attempt, relays.pop(0), address, end)
        try:
            while not await attempt.wait(STAGGER_MS if relays else None):
                left_ms = end - self._clock.now()
                if relays and left_ms > 0:
                    self._start_relay(attempt, relays.pop(0), address, end)
                elif attempt.direct is None and left_ms > 0:
                    self._start_direct(attempt, address, left_ms)
                elif not attempt.pending:
                    self._record_failure(address, attempt)
                    raise attempt.choose_error()
        except BaseException:
            attempt.cancel()
            raise
        self._record_success(address, attempt)
        return attempt.connection

    def may_reuse(self, connection: connections.Connection) -> bool:
        """Return whether the peer still relays; see `Connector.may_reuse`.

        A peer that leaves waits until its tunnels are idle.
        """
        return not connection.relay or any(
            host.host == connection.relay
            and host.state is not records.HostState.LEAVING
            for host in self._directory.hosts()
        )

    def _start_direct(
        self, attempt: "_Attempt", address: ids.Address, timeout_ms: float
    ) -> None:
        attempt.direct = attempt.start(
            self._direct.connect(address, timeout_ms), None
        )

    def _start_relay(
        self,
        attempt: "_Attempt",
        relay: records.HostRecord,
        address: ids.Address,
        end: float,
    ) -> None:
        attempt.start(
            tunnels.open_tunnel(
                relay.relay_address, address, end - self._clock.now()
            ),
            relay,
        )

    def _record_success(
        self, address: ids.Address, attempt: "_Attempt"
    ) -> None:
        now = self._clock.now()
        for task, relay in attempt.relays.items():
            if task in attempt.failed or task is attempt.winner:
                self._paths.record_relay(
                    relay.host, task is attempt.winner, now
                )
        direct = attempt.direct
        if attempt.winner is direct:
            self._record_reached(address)
        else:
            relay = attempt.relays[attempt.winner]
            attempt.connection.relay = relay.host
            self._metrics.count(metric_types.Metric.RELAYED, "asked")
            if direct in attempt.failed:
                self._record_lost(address)
            elif direct is not None:
                # Whether the path is lost is known when this try has ended.
                attempt.pending.discard(direct)
                direct.add_done_callback(
                    functools.partial(self._finish_direct, address)
                )
        attempt.cancel()

    def _finish_direct(self, address: ids.Address, task: asyncio.Task) -> None:
        if task.cancelled():
            return
        if task.exception() is None:
            task.result().close()
            self._record_reached(address)
        else:
            self._record_lost(address)

    def _record_failure(
        self, address: ids.Address, attempt: "_Attempt"
    ) -> None:
        if attempt.relays:
            self._paths.record_ended(address, self._clock.now())

    def _record_reached(self, address: ids.Address) -> None:
        if self._paths.record_reached(address):
            events.log_event(
                _LOGGER, events.Event.PATH_REGAINED, address=address
            )

    def _record_lost(self, address: ids.Address) -> None:
        if self._paths.record_lost(address, self._clock.now()):
            events.log_event(_LOGGER, events.Event.PATH_LOST, address=address)
            self.on_path_lost(address)


class _Attempt:
    """The ways in which one connection is tried.

    Attributes
    ----------
    direct : Task or None
        The direct try.
    relays : dict
        The tries through peers, with the peers.
    pending, failed : set of Task
        The tries that go on, and those that have failed.
    winner : Task or None
        The first try that has succeeded.
    """

    def __init__(self) -> None:
        self.direct: asyncio.Task | None = None
        self.relays: dict[asyncio.Task, records.HostRecord] = {}
        self.pending: set[asyncio.Task] = set()
        self.failed: set[asyncio.Task] = set()
        self.winner: asyncio.Task | None = None

    @property
    def connection(self) -> connections.Connection:
        """The connection that was opened."""
        return self.winner.result()

    def start(
        self,
        coroutine: collections_abc.Coroutine,
        relay: records.HostRecord | None,
    ) -> asyncio.Task:
        """Start a try, through a peer or directly."""
        task = asyncio.ensure_future(coroutine)
        self.pending.add(task)
        if relay is not None:
            self.relays[task] = relay
        return task

    async def wait(self, timeout_ms: float | None) -> bool:
        """Wait until a try ends; return whether one has succeeded."""
        if not self.pending:
            return False
        done, self.pending = await asyncio.wait(
            self.pending,
            timeout=None if timeout_ms is None else timeout_ms / 1000.0,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            if task.exception() is not None:
                self.failed.add(task)
            elif self.winner is None or task is self.direct:
                _discard(self.winner)
                self.winner = task
            else:
                _discard(task)
        return self.winner is not None

    def choose_error(self) -> BaseException:
        """Return the error that says most about the endpoint.

        It is refused if a peer that reaches it says so, or if no way says
        otherwise; peers that could not be asked say nothing of it.
        """
        return min(self.failed, key=self._rank).exception()

    def _rank(self, task: asyncio.Task) -> int:
        error = task.exception()
        if isinstance(error, exceptions.RelayUnavailable):
            return 3
        if not isinstance(error.__cause__, ConnectionRefusedError):
            return 1
        return 0 if task in self.relays else 2

    def cancel(self) -> None:
        """End the tries that go on."""
        for task in self.pending:
            task.add_done_callback(_discard)
            task.cancel()


def _discard(task: asyncio.Task | None) -> None:
    """Close a connection that is not used."""
    if task is None or task.cancelled() or task.exception() is not None:
        return
    task.result().close()
