"""The daemon's process: settings, logs, signals."""

import asyncio
from collections import abc as collections_abc
import contextlib
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
from chervilshore import logs
from chervilshore import settings

EXIT_SETTINGS = 2
"""Exit status when a setting is wrong."""

CHECK_MS = 1000.0
"""Milliseconds between two looks at the settings file."""

_LOGGER = logging.getLogger(__name__)


class Host(typing.Protocol):
    """What the daemon runs."""

    async def start(self) -> None:
        """Begin to serve."""

    async def drain(self) -> None:
        """Finish what runs."""

    async def stop(self) -> None:
        """End at once."""

    def reload(self, options: settings.Settings) -> None:
        """Take new settings, as far as they may change."""


def _make_host(options: settings.Settings, clock: clocks.Clock) -> Host:
    # Each kind of host imports much that the other one does not need.
    if options.interface == "forward":
        gateway = importlib.import_module("chervilshore.gateway")
        return gateway.Gateway(options, clock)
    node = importlib.import_module("chervilshore.node")
    return node.Node(options, clock)


class Daemon:
    """Runs a node until a signal ends it.

    The first SIGTERM or SIGINT drains the node; a second one ends it at
    once.

    Parameters
    ----------
    options : Settings
        The checked settings.
    read_options : callable
        Reads the settings anew.
    path : str
        The settings file; empty when there is none.
    """

    def __init__(
        self,
        options: settings.Settings,
        read_options: collections_abc.Callable[[], settings.Settings],
        path: str = "",
    ) -> None:
        self._options = options
        self._read_options = read_options
        self._path = path
        self._clock = clocks.SystemClock()
        self._hung_up = asyncio.Event()
        self._signals = 0
        self._asked = asyncio.Event()
        self._pressed = asyncio.Event()

    async def run(self) -> None:
        """Serve, drain and stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._take_signal)
        loop.add_signal_handler(signal.SIGHUP, self._hung_up.set)
        served = _make_host(self._options, self._clock)
        self._log(events.Event.STARTED)
        await served.start()
        reloading = asyncio.ensure_future(self._keep_reloading(served))
        await self._asked.wait()
        reloading.cancel()
        self._log(events.Event.DRAINING)
        await self._drain(served)
        await served.stop()
        self._log(events.Event.STOPPED)

    async def _keep_reloading(self, served: "Host") -> None:
        """Take new settings at a hang-up and when their file changes."""
        seen = self._look()
        while True:
            with contextlib.suppress(TimeoutError):
                await clocks.wait_for(
                    self._clock, self._hung_up.wait(), CHECK_MS
                )
            found = self._look()
            if found == seen and not self._hung_up.is_set():
                continue
            seen = found
            self._hung_up.clear()
            self._reload(served)

    def _look(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self._path)
        except OSError:
            # Between two versions, or there is no file at all.
            return None
        return found.st_mtime_ns, found.st_size

    def _reload(self, served: "Host") -> None:
        try:
            options = self._read_options()
        except exceptions.SettingsError as error:
            events.log_event(
                _LOGGER, events.Event.SETTINGS_REFUSED, error=error
            )
            return
        self._options = options
        logging.getLogger().setLevel(options.log_level.upper())
        served.reload(options)
        self._log(events.Event.RELOADED)

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

    def read_options() -> settings.Settings:
        file = settings.read_file(path) if path else None
        return settings.load(parsed, os.environ, file)

    try:
        options = read_options()
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    if check:
        return 0
    logs.start(options.log_level, clocks.SystemClock())
    # A host that hangs can still be asked where it is.
    faulthandler.register(signal.SIGUSR1)
    asyncio.run(Daemon(options, read_options, path or "").run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
