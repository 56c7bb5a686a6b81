"""TCP connections below the protocols that run on them."""

import asyncio
import fcntl
import ipaddress
import os
import socket
import struct
import sys
import termios

TCP_USER_TIMEOUT_MS = 3200
"""Milliseconds after which the kernel closes a connection whose sent bytes or
keepalive probes are not acknowledged, whatever the number of probes.

A sound endpoint may be silent for 1.5 s: bytes sent then are sent again up to
3.0 s after the first time, and a probe has an answer within 3 s of the last
segment."""

KEEPALIVE_INTERVAL_SECONDS = 1
"""Seconds between TCP keepalive probes on an idle connection."""

MIN_LINK_BYTES_PER_MS = 125.0
"""Bytes that the smallest link sends in a millisecond: 1 Mbit/s."""

MAX_BODY_MS = 20_000.0
"""Milliseconds for a body that arrives all the while; a few megabytes over a
link of a few Mbit/s."""

_ESTABLISHED = 1
"""State of a TCP connection that is open and that neither side has ended."""


async def connect(
    host: str, port: int, source: tuple[str, int] | None, timeout_ms: float
) -> socket.socket:
    """Return a socket that is connected to an address.

    It counts as connected in time if the kernel says so at the timeout, also
    if the event loop was too busy to notice.

    Raises
    ------
    OSError
        It was refused, or not connected in time (`TimeoutError`).
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_ms / 1000.0
    error: OSError = TimeoutError("no address")
    async with asyncio.timeout_at(deadline):
        found = await _resolve(host, port)
    for family, kind, protocol, _, address in found:
        sock = socket.socket(family, kind, protocol)
        try:
            sock.setblocking(False)
            if source is not None:
                sock.bind(source)
            try:
                async with asyncio.timeout_at(deadline):
                    await loop.sock_connect(sock, address)
            except TimeoutError:
                _check_connected(sock)
            return sock
        except OSError as failure:
            sock.close()
            error = failure
        except BaseException:
            sock.close()
            raise
    raise error


async def _resolve(host: str, port: int) -> list:
    """Return addresses as `socket.getaddrinfo` does."""
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        return await asyncio.get_running_loop().getaddrinfo(
            host, port, type=socket.SOCK_STREAM
        )
    family = socket.AF_INET if version == 4 else socket.AF_INET6
    return [(family, socket.SOCK_STREAM, 0, "", (host, port))]


def allow_sending_ms(size: int) -> float:
    """Return the milliseconds that a body may take to leave this host."""
    return size / MIN_LINK_BYTES_PER_MS


def _check_connected(sock: socket.socket) -> None:
    """Raise an error if a socket is not connected."""
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))
    if not is_established(sock):
        raise TimeoutError("not connected in time")


def is_established(sock: socket.socket) -> bool:
    """Return whether a TCP connection is open and neither side has ended."""
    (state,) = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state == _ESTABLISHED


def count_unsent(transport: asyncio.Transport) -> int:
    """Return the bytes that the other side has not acknowledged."""
    sock = transport.get_extra_info("socket")
    packed = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    unsent_bytes = transport.get_write_buffer_size()
    return unsent_bytes + int.from_bytes(packed, sys.byteorder)


def abort_transport(transport: asyncio.Transport) -> None:
    """Close a connection without waiting for buffered data.

    It is reset if data has not been received yet. The end in order would come
    after that data, which the other side may never read.
    """
    if not transport.is_closing() and count_unsent(transport):
        set_reset_at_close(transport, True)
    transport.abort()


def set_reset_at_close(transport: asyncio.Transport, is_reset: bool) -> None:
    """Choose whether a close resets the connection.

    This holds also if the kernel closes it when the process ends.
    """
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", is_reset, 0)
    )


def set_tcp_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and detect an unresponsive peer in seconds."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
