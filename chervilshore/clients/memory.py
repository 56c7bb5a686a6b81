"""In-memory platform and network between hosts, with fault injection.

Embedding applications and tests use them in place of the real ones; the
stand-in of the platform serves the same store over HTTP.
"""

import asyncio
from collections import abc as collections_abc
import enum
import inspect
import math

from chervilshore.clients import peers
from chervilshore.clients import platform
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import records
from chervilshore import wire


class Fault(enum.Enum):
    """Fault of one call to the platform.

    DOWN rejects the call, LOST_BEFORE loses a write before it takes effect,
    LOST_AFTER loses the response to a write. Any fault fails a read.
    """

    NONE = "none"
    DOWN = "down"
    LOST_BEFORE = "lost before"
    LOST_AFTER = "lost after"


FaultPlan = collections_abc.Callable[[str, str], Fault]
"""Gets the name of a method and a key; returns the fault of the call."""


def no_faults(call: str, key: str) -> Fault:
    """Inject no fault; the default `FaultPlan`."""
    return Fault.NONE


class MemoryPlatform(platform.Platform):
    """The platform's object store in memory.

    Parameters
    ----------
    clock : Clock
        Measures the timeout of a watch.

    Attributes
    ----------
    faults : FaultPlan
        Chooses the fault of each call.
    calls : int
        Calls so far, with failed ones.
    host_list : HostList
        The list that `hosts` returns.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.faults: FaultPlan = no_faults
        self.calls = 0
        self.host_list = records.HostList()
        self._clock = clock
        self._objects: dict[str, platform.VersionedObject] = {}
        self._version = 0
        self._changed = asyncio.Event()

    async def get(self, key: str) -> platform.VersionedObject:
        """See `Platform.get`."""
        self._check_read_fault("get", key)
        try:
            return self._objects[key]
        except KeyError:
            raise exceptions.ObjectMissing(key) from None

    async def list(
        self, prefix: str, after: str = "", page_size: int = 1000
    ) -> tuple[platform.VersionedObject, ...]:
        """See `Platform.list`."""
        self._check_read_fault("list", prefix)
        keys = sorted(
            key
            for key in self._objects
            if key.startswith(prefix) and key > after
        )
        return tuple(self._objects[key] for key in keys[:page_size])

    async def create(self, key: str, value: bytes) -> int:
        """See `Platform.create`."""
        fault = self._check_write_fault("create", key, value)
        if key in self._objects:
            raise exceptions.VersionConflict(key)
        return self._apply_write(fault, key, value)

    async def update(self, key: str, value: bytes, version: int) -> int:
        """See `Platform.update`."""
        fault = self._check_write_fault("update", key, value)
        self._check_version(key, version)
        return self._apply_write(fault, key, value)

    async def delete(self, key: str, version: int) -> None:
        """See `Platform.delete`."""
        fault = self._check_write_fault("delete", key, b"")
        self._check_version(key, version)
        del self._objects[key]
        if fault is Fault.LOST_AFTER:
            raise exceptions.PlatformUnknown(key)

    async def watch(
        self, prefix: str, since: int, timeout_ms: float
    ) -> tuple[platform.VersionedObject, ...]:
        """See `Platform.watch`."""
        self._check_read_fault("watch", prefix)
        deadline = self._clock.now() + timeout_ms
        while True:
            changes = self._find_changed(prefix, since)
            remaining_ms = deadline - self._clock.now()
            if changes or remaining_ms <= 0:
                return changes
            changed = self._changed
            try:
                await clocks.wait_for(
                    self._clock, changed.wait(), remaining_ms
                )
            except TimeoutError:
                return ()

    async def hosts(self) -> records.HostList:
        """See `Platform.hosts`."""
        self._check_read_fault("hosts", "")
        return self.host_list

    def _find_changed(
        self, prefix: str, since: int
    ) -> tuple[platform.VersionedObject, ...]:
        changes = [
            stored
            for stored in self._objects.values()
            if stored.version > since and stored.key.startswith(prefix)
        ]
        return tuple(sorted(changes, key=lambda stored: stored.version))

    def _check_read_fault(self, call: str, key: str) -> None:
        self.calls += 1
        if self.faults(call, key) is not Fault.NONE:
            raise exceptions.PlatformUnavailable(key)

    def _check_write_fault(self, call: str, key: str, value: bytes) -> Fault:
        self.calls += 1
        if len(value) > platform.MAX_VALUE_BYTES:
            raise exceptions.ValueTooLarge(f"{key}: {len(value)} bytes")
        fault = self.faults(call, key)
        if fault is Fault.DOWN:
            raise exceptions.PlatformUnavailable(key)
        if fault is Fault.LOST_BEFORE:
            raise exceptions.PlatformUnknown(key)
        return fault

    def _check_version(self, key: str, version: int) -> None:
        stored = self._objects.get(key)
        if stored is None or stored.version != version:
            raise exceptions.VersionConflict(key)

    def _apply_write(self, fault: Fault, key: str, value: bytes) -> int:
        self._version += 1
        stored = platform.VersionedObject(key, value, self._version)
        self._objects[key] = stored
        self._changed.set()
        self._changed = asyncio.Event()
        if fault is Fault.LOST_AFTER:
            raise exceptions.PlatformUnknown(key)
        return self._version


class MemoryNetwork:
    """A network between hosts in one process, with loss and partitions.

    Messages are encoded and decoded as on a real network.

    Parameters
    ----------
    clock : Clock
        Measures delays and timeouts.

    Attributes
    ----------
    delay_ms : float
        One-way delay of a message.
    should_drop : callable
        Gets the addresses of sender and receiver; returns whether a
        message between them is lost.
    link_bytes_per_ms : float
        Bytes that each host can send in a millisecond.
    messages, bytes : int
        Messages and bytes sent so far.
    """

    def __init__(self, clock: clocks.Clock, delay_ms: float = 1.0) -> None:
        self.clock = clock
        self.delay_ms = delay_ms
        self.link_bytes_per_ms = math.inf
        self._sent_at: dict[ids.Address, float] = {}
        self.should_drop = lambda sender, receiver: False
        self.messages = 0
        self.bytes = 0
        self._transports: dict[ids.Address, MemoryTransport] = {}
        self._tasks: set[asyncio.Task] = set()

    def join(self, address: ids.Address) -> "MemoryTransport":
        """Add a host, or replace the one at this address."""
        transport = MemoryTransport(self, address)
        self._transports[address] = transport
        return transport

    def remove_host(self, address: ids.Address) -> None:
        """Remove a host as if its process had crashed."""
        self._transports.pop(address, None)

    def transmit(self, to: ids.Address, data: bytes) -> None:
        """Deliver an encoded message after the delay, unless it is lost."""
        self.messages += 1
        self.bytes += len(data)
        task = asyncio.ensure_future(self._deliver(to, data))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(self, to: ids.Address, data: bytes) -> None:
        envelope = wire.decode(data)
        sent_in_ms = self._occupy_link(envelope.sender, len(data))
        await self.clock.sleep(self.delay_ms + sent_in_ms)
        receiver = self._transports.get(to)
        if receiver is None or self.should_drop(envelope.sender, to):
            return
        await receiver.receive(envelope)

    def _occupy_link(self, sender: ids.Address, size: int) -> float:
        """Return the milliseconds until a message has left its sender."""
        now = self.clock.now()
        began_at = max(now, self._sent_at.get(sender, now))
        self._sent_at[sender] = began_at + size / self.link_bytes_per_ms
        return self._sent_at[sender] - now


class MemoryTransport(peers.PeerTransport):
    """Transport of one host on a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, address: ids.Address) -> None:
        self._network = network
        self._address = address
        self._handlers: dict[type, peers.Handler] = {}
        self._pending_requests = peers.PendingRequests(network.clock)

    @property
    def address(self) -> ids.Address:
        """This host's own address."""
        return self._address

    def handle(self, kind: type, handler: peers.Handler) -> None:
        """See `PeerTransport.handle`."""
        self._handlers[kind] = handler

    def send(self, to: ids.Address, message: messages.Message) -> None:
        """See `PeerTransport.send`."""
        self._send_envelope(to, 0, False, message)

    async def send_request(
        self, to: ids.Address, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """See `PeerTransport.send_request`."""
        return await self._pending_requests.send_request(
            to,
            lambda number: self._send_envelope(to, number, False, message),
            timeout_ms,
        )

    async def receive(self, envelope: wire.Envelope) -> None:
        """Dispatch a received message to its handler or request."""
        if envelope.reply:
            self._pending_requests.resolve(envelope)
            return
        handler = self._handlers.get(type(envelope.body))
        if handler is None:
            return
        reply = handler(envelope.sender, envelope.body)
        if inspect.isawaitable(reply):
            reply = await reply
        if reply is not None and envelope.number:
            self._send_envelope(envelope.sender, envelope.number, True, reply)

    def _send_envelope(
        self,
        to: ids.Address,
        number: int,
        reply: bool,
        message: messages.Message,
    ) -> None:
        envelope = wire.Envelope(self._address, number, reply, message)
        self._network.transmit(to, wire.encode(envelope))
