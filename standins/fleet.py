"""Run several stand-ins in one process, each on its own port."""

import argparse
import asyncio

from aiohttp import web
import msgspec

from standins import base
from standins import engine
from standins import network
from standins import platform
from standins import pool

KINDS = {
    "engine": engine.Engine,
    "encoder": pool.Encoder,
    "retriever": pool.Retriever,
    "reranker": pool.Reranker,
    "plain": pool.PlainService,
}
"""Classes of the endpoint stand-ins by kind."""


class Spec(msgspec.Struct):
    """Describes one stand-in.

    Parameters
    ----------
    kind : str
        A kind of endpoint of `KINDS`, ``platform`` or ``network``.
    name : str
        The endpoint's name.
    port : int
        Its port on loopback.
    shape : Shape
        Concurrency, service times and cold behaviour of an endpoint.
    checks : bool
        For an engine, whether it checks fencing tokens.
    cold : bool
        Whether an endpoint starts cold.
    lines : list of HostRelay
        For a network, the relays of the hosts.
    """

    kind: str
    name: str
    port: int
    shape: base.Shape = msgspec.field(default_factory=base.Shape)
    checks: bool = False
    cold: bool = False
    lines: list[network.HostRelay] = []


async def make_app(spec: Spec) -> web.Application:
    """Return the server of one stand-in."""
    if spec.kind == "platform":
        return platform.PlatformServer().make_app()
    if spec.kind == "network":
        relayed = network.RelayedNetwork(spec.lines)
        await relayed.start()
        return relayed.make_app()
    options = {"checks": spec.checks} if spec.kind == "engine" else {}
    endpoint = KINDS[spec.kind](spec.name, spec.shape, **options)
    endpoint.reset_to_cold()
    if not spec.cold:
        endpoint.set_warm()
    return endpoint.make_app()


async def serve(specs: list[Spec]) -> None:
    """Serve stand-ins until the task is cancelled."""
    for spec in specs:
        runner = web.AppRunner(
            await make_app(spec), access_log=None, handler_cancellation=True
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", spec.port).start()
    print("serving", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-ins that a JSON list describes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("specs", help="a JSON list of stand-ins")
    arguments = parser.parse_args()
    specs = msgspec.json.decode(arguments.specs, type=list[Spec])
    try:
        asyncio.run(serve(specs))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
