"""The daemon process: settings, logs and signals."""

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

EXIT_INVALID_SETTINGS = 2
"""Exit status when a setting is missing or invalid."""

FILE_CHECK_INTERVAL_MS = 1000.0
"""Milliseconds between two checks of the settings file for changes."""

_LOGGER = logging.getLogger(__name__)


class Host(typing.Protocol):
    """An entry host, as the daemon runs it."""

    async def start(self) -> None:
        """Start serving requests."""

    async def drain(self) -> None:
        """Refuse new requests and finish those in flight."""

    async def stop(self) -> None:
        """Stop immediately."""

    def reload(self, options: settings.Settings) -> None:
        """Apply the new values of the settings that can change."""

    def refuse_settings(self, reason: str) -> None:
        """Show that new settings are invalid, until valid ones are applied."""


def _make_host(options: settings.Settings, clock: clocks.Clock) -> Host:
    # Imported here, as each kind of host has many imports that the other
    # kind does not need.
    if options.interface == "forward":
        gateway = importlib.import_module("chervilshore.gateway")
        return gateway.Gateway(options, clock)
    node = importlib.import_module("chervilshore.node")
    return node.Node(options, clock)


class Daemon:
    """Runs an entry host until a signal stops it.

    The first SIGTERM or SIGINT drains the host; a second one stops it
    immediately. SIGHUP or a change of the settings file reloads the
    settings.

    Parameters
    ----------
    options : Settings
        The validated settings.
    read_options : callable
        Reads the settings again; raises SettingsError.
    path : str
        The path of the settings file; empty when there is none.
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
        self._reload_requested = asyncio.Event()
        self._signal_count = 0
        self._drain_requested = asyncio.Event()
        self._stop_requested = asyncio.Event()

    async def run(self) -> None:
        """Run the host: serve requests, then drain and stop."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._handle_signal)
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        host = _make_host(self._options, self._clock)
        self._log(events.Event.STARTED)
        await host.start()
        reloading = asyncio.ensure_future(self._watch_settings(host))
        await self._drain_requested.wait()
        reloading.cancel()
        self._log(events.Event.DRAINING)
        await self._drain(host)
        await host.stop()
        self._log(events.Event.STOPPED)

    async def _watch_settings(self, host: "Host") -> None:
        """Reload the settings on SIGHUP and when their file changes."""
        seen = self._read_file_version()
        while True:
            with contextlib.suppress(TimeoutError):
                await clocks.wait_for(
                    self._clock,
                    self._reload_requested.wait(),
                    FILE_CHECK_INTERVAL_MS,
                )
            current = self._read_file_version()
            if current == seen and not self._reload_requested.is_set():
                continue
            seen = current
            self._reload_requested.clear()
            self._reload(host)

    def _read_file_version(self) -> tuple[int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            # There is no file, or it is being replaced.
            return None
        return status.st_mtime_ns, status.st_size

    def _reload(self, host: "Host") -> None:
        try:
            options = self._read_options()
        except exceptions.SettingsError as error:
            events.log_event(
                _LOGGER, events.Event.SETTINGS_REFUSED, error=error
            )
            host.refuse_settings(str(error))
            return
        self._options = options
        logging.getLogger().setLevel(options.log_level.upper())
        host.reload(options)
        self._log(events.Event.RELOADED)

    def _handle_signal(self) -> None:
        self._signal_count += 1
        self._drain_requested.set()
        if self._signal_count > 1:
            self._stop_requested.set()

    async def _drain(self, host: Host) -> None:
        draining = asyncio.ensure_future(host.drain())
        stopping = asyncio.ensure_future(self._stop_requested.wait())
        await asyncio.wait(
            {draining, stopping}, return_when=asyncio.FIRST_COMPLETED
        )
        stopping.cancel()
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
        return EXIT_INVALID_SETTINGS
    if check:
        return 0
    logs.start(options.log_level, clocks.SystemClock())
    # Prints the stack of each thread on SIGUSR1, to inspect a host that hangs.
    faulthandler.register(signal.SIGUSR1)
    asyncio.run(Daemon(options, read_options, path or "").run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
