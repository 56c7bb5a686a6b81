"""The daemon's process: settings, logs, signals."""

import asyncio
import faulthandler
import importlib
import logging
import os
import signal
import sys
import typing

from chervilshore import clock as clocks
from chervilshore import events
from chervilshore import exceptions
from chervilshore import settings

EXIT_SETTINGS = 2
"""Exit status when a setting is wrong."""

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"

_LOGGER = logging.getLogger(__name__)


class Host(typing.Protocol):
    """What the daemon runs."""

    async def start(self) -> None:
        """Begin to serve."""

    async def drain(self) -> None:
        """Finish what runs."""

    async def stop(self) -> None:
        """End at once."""


def _make_host(options: settings.Settings) -> Host:
    # Each kind of host imports much that the other one does not need.
    if options.interface == "forward":
        gateway = importlib.import_module("chervilshore.gateway")
        return gateway.Gateway(options, clocks.SystemClock())
    node = importlib.import_module("chervilshore.node")
    return node.Node(options, clocks.SystemClock())


class Daemon:
    """Runs a node until a signal ends it.

    The first SIGTERM or SIGINT drains the node; a second one ends it at
    once.

    Parameters
    ----------
    options : Settings
        The checked settings.
    """

    def __init__(self, options: settings.Settings) -> None:
        self._options = options
        self._signals = 0
        self._asked = asyncio.Event()
        self._pressed = asyncio.Event()

    async def run(self) -> None:
        """Serve, drain and stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._take_signal)
        served = _make_host(self._options)
        self._log(events.Event.STARTED)
        await served.start()
        await self._asked.wait()
        self._log(events.Event.DRAINING)
        await self._drain(served)
        await served.stop()
        self._log(events.Event.STOPPED)

    def _take_signal(self) -> None:
        self._signals += 1
        self._asked.set()
        if self._signals > 1:
            self._pressed.set()

    async def _drain(self, served: Host) -> None:
        draining = asyncio.ensure_future(served.drain())
        pressing = asyncio.ensure_future(self._pressed.wait())
        await asyncio.wait(
            {draining, pressing}, return_when=asyncio.FIRST_COMPLETED
        )
        pressing.cancel()
        draining.cancel()

    def _log(self, event: events.Event) -> None:
        events.log_event(_LOGGER, event, host=self._options.host)


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon from the command line.

    Returns
    -------
    int
        The exit status.
    """
    parsed = vars(settings.make_parser().parse_args(arguments))
    check = parsed.pop("check")
    path = parsed.pop("file") or os.environ.get(settings.FILE_VARIABLE)
    try:
        file = settings.read_file(path) if path else None
        options = settings.load(parsed, os.environ, file)
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    if check:
        return 0
    logging.basicConfig(
        level=options.log_level.upper(), format=LOG_FORMAT, stream=sys.stderr
    )
    # A host that hangs can still be asked where it is.
    faulthandler.register(signal.SIGUSR1)
    asyncio.run(Daemon(options).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
