"""A peer in a process of its own that relays to one endpoint.

Run as `python -m tests.tunnel_process ADDRESS`; prints where it listens.
"""

import asyncio
import sys

from chervilshore.clients import connectors
from chervilshore import metrics
from chervilshore import tunnelserver
from measure import deployment as deployments
from tests import test_tunnels


async def serve(address):
    """Relay until the process ends."""
    server = tunnelserver.TunnelServer(
        f"127.0.0.1:{deployments.find_ports(1)[0]}",
        test_tunnels.Directory([address]),
        connectors.DirectConnector(),
        metrics.Metrics(),
        300.0,
    )
    await server.start()
    print(server._address, flush=True)
    await asyncio.sleep(3600.0)


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
