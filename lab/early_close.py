"""Whether an early answer arrives if its endpoint closes without reading on.

An endpoint answers 413 after the head of a request of 3 MB and closes; asked
directly and through a tunnel. Run as `python -m lab.early_close`.
"""

import asyncio

from chervilshore.clients import connections
from chervilshore.clients import connectors
from chervilshore.clients import tunnels
from chervilshore import exceptions
from chervilshore import metrics
from chervilshore import tunnelserver
from measure import deployment as deployments
from tests import test_tunnels

TRIES = 10
BODY = b"x" * 3_000_000


async def answer(reader, writer) -> None:
    """Answer after the head and close."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 413 No\r\nContent-Length: 4\r\n\r\nless")
    await writer.drain()
    writer.close()


async def has_answer(connection: connections.Connection) -> bool:
    """Send the request; return whether the answer came whole."""
    size = ("Content-Length", str(len(BODY)))
    connection.send(
        connections.Request("POST", "/", [("Host", "h"), size], BODY)
    )
    try:
        return await test_tunnels.read_response(connection) == (413, b"less")
    except exceptions.EndpointBroken:
        return False


async def run() -> None:
    """Print how many answers came, directly and through a tunnel."""
    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    address = "%s:%d" % server.sockets[0].getsockname()
    direct = connectors.DirectConnector()
    relay = f"127.0.0.1:{deployments.find_ports(1)[0]}"
    tunnel_server = tunnelserver.TunnelServer(
        relay,
        test_tunnels.Directory([address]),
        direct,
        metrics.Metrics(),
        300.0,
    )
    await tunnel_server.start()
    came = [0, 0]
    for _ in range(TRIES):
        came[0] += await has_answer(await direct.connect(address, 500.0))
        came[1] += await has_answer(
            await tunnels.open_tunnel(relay, address, 500.0)
        )
    await tunnel_server.stop()
    server.close()
    print(f"of {TRIES}: {came[0]} directly, {came[1]} through a tunnel")


if __name__ == "__main__":
    asyncio.run(run())
