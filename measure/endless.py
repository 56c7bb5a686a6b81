"""Peak memory of one daemon beside endpoints whose responses never end.

``python -m measure.endless`` prints a line for each place of a response and
number of requests at once: the peak in MB, and what became of the requests of
another service, whose endpoint is sound.
"""

import argparse
import asyncio
import collections
import contextlib
import multiprocessing
import pathlib
import tempfile
import time

import aiohttp
import msgspec

from measure import deployment as deployments
from standins import endless
from standins import site
from standins import store as stores
from standins import workers

ENDPOINTS = 4
"""Endpoints of the service whose responses never end."""

SOUND_REQUESTS = 150

LATE_SECONDS = 1.0
TIMEOUT_SECONDS = 20.0


def make_config() -> dict:
    """Return a configuration with a service in trouble and a sound one."""
    routes = [
        {
            "name": name,
            "host": "shop.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "service": service,
            "timeout_ms": 4000,
            "slo_ms": 1000,
            "priority": 1,
            "max_attempts": 1,
        }
        for name, kind, service in (
            ("odd", "idempotent", "odd"),
            ("odd-stream", "stream", "odd"),
            ("sound", "idempotent", "sound"),
        )
    ]
    services = [{"name": "odd", "max_conns": 1000}]
    services += [{"name": "sound", "max_conns": 1000}]
    return {"version": 1, "routes": routes, "services": services}


def read_memory(pid: int, field: str) -> float:
    """Return a field of the memory of a process in MB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = (one for one in status.splitlines() if one.startswith(field))
    return int(line.split()[1]) / 1000.0


async def send(session, host, path, number, found, slow_reader=False):
    """Send a request; count its status, and add its seconds."""
    headers = {
        "Host": "shop.example",
        "Chervilshore-Attempt-Id": f"{path}-{number}",
        "Chervilshore-Deadline-Ms": "4000",
    }
    url = f"http://{host.address}/{path}/{number}"
    began = time.monotonic()
    try:
        async with session.get(url, headers=headers) as response:
            if slow_reader:
                await asyncio.sleep(3.0)
            body = await response.read()
            status = response.status
            if response.content_type == "application/json":
                refusal = msgspec.json.decode(body)
                status = f"{status} {refusal['name']}"
    except (aiohttp.ClientError, TimeoutError) as error:
        status = type(error).__name__
    found.append((status, time.monotonic() - began))


def serve_endless(place: endless.Place, max_bytes: int, addresses) -> None:
    """Run endpoints whose responses do not end, and send their addresses."""

    async def serve() -> None:
        found = [
            endless.EndlessWorker(f"odd-{number}", place, max_bytes)
            for number in range(ENDPOINTS)
        ]
        addresses.send([await one.start() for one in found])
        await asyncio.Event().wait()

    asyncio.run(serve())


async def run(
    place: endless.Place,
    count: int,
    slow: int = 0,
    size: int = 20_000,
    max_bytes: int = endless.MAX_SENT_BYTES,
) -> dict:
    """Send endless and sound requests at once; return what was seen."""
    store = stores.Store()
    with tempfile.TemporaryDirectory() as folder:
        address = await store.start()
        await store.write("config", "main", make_config())
        host = site.Host("h0", "a", pathlib.Path(folder))
        ports = deployments.find_ports(3)
        seeds = [f"127.0.0.1:{ports[2]}"]
        await host.write_settings(address, ports, seeds)
        # In a process of their own: they send without a pause.
        here, there = multiprocessing.Pipe()
        odd = multiprocessing.Process(
            target=serve_endless, args=(place, max_bytes, there)
        )
        odd.start()
        sound = workers.Worker("sound")
        sound.faults.body_bytes = size
        await sound.start()
        entry = sound.describe("sound", "a") | {"slots": 1000}
        await store.write("servers", "sound", entry)
        for number, odd_address in enumerate(here.recv()):
            entry = sound.describe("odd", "a") | {"addr": odd_address}
            await store.write(
                "servers", f"odd-{number}", entry | {"slots": 1000}
            )
        await host.start()
        try:
            await host.wait_ready()
            await asyncio.sleep(1.0)
            return await _load(host, place, count, slow)
        finally:
            await host.stop()
            odd.terminate()
            odd.join()
            await sound.stop()
            await store.stop()


async def _load(host, place, count, slow) -> dict:
    path = "odd-stream" if place is endless.Place.EVENT else "odd"
    odd_found: list = []
    found: list = []
    slow_found: list = []
    before = read_memory(host.process.pid, "VmRSS")
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        tasks = [
            asyncio.ensure_future(send(session, host, path, i, odd_found))
            for i in range(count)
        ]
        for number in range(SOUND_REQUESTS):
            is_slow = number < slow
            target = slow_found if is_slow else found
            tasks.append(
                asyncio.ensure_future(
                    send(session, host, "sound", number, target, is_slow)
                )
            )
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
    return {
        "before_mb": before,
        "peak_mb": read_memory(host.process.pid, "VmHWM"),
        "odd": collections.Counter(status for status, _ in odd_found),
        "sound": collections.Counter(status for status, _ in found),
        "slow": collections.Counter(status for status, _ in slow_found),
        "late": sum(seconds > LATE_SECONDS for _, seconds in found),
    }


def main() -> None:
    """Measure each place with each number of requests."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("counts", nargs="*", type=int, default=[10, 60, 300])
    parser.add_argument("--place", action="append")
    parser.add_argument(
        "--slow", type=int, default=0, help="sound requests read 3 s later"
    )
    parser.add_argument(
        "--size", type=int, default=20_000, help="bytes of sound responses"
    )
    parser.add_argument(
        "--end-after",
        type=int,
        default=endless.MAX_SENT_BYTES,
        help="bytes after which endless responses end after all",
    )
    arguments = parser.parse_args()
    for place in endless.Place:
        if arguments.place and place.value not in arguments.place:
            continue
        for count in arguments.counts:
            seen = asyncio.run(
                run(
                    place,
                    count,
                    arguments.slow,
                    arguments.size,
                    arguments.end_after,
                )
            )
            print(
                f"{place.value} {count}: peak {seen['peak_mb']:.0f} MB "
                f"(before {seen['before_mb']:.0f}), odd {dict(seen['odd'])}, "
                f"sound {dict(seen['sound'])}, late {seen['late']}, "
                f"slow readers {dict(seen['slow'])}",
                flush=True,
            )


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        main()
