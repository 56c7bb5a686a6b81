"""The daemon of an entry host."""

import asyncio
import logging
import os
import random
import signal
import sys
import zlib

from aiohttp import web
import mode

from chervilshore.clients import completions
from chervilshore.clients import endpoints
from chervilshore.clients import models
from chervilshore.clients import rest
from chervilshore.clients import zeromq
from chervilshore import clock as clocks
from chervilshore.controllers import generations
from chervilshore.controllers import grants
from chervilshore.controllers import membership
from chervilshore.decisions import deadlines
from chervilshore.decisions import limits
from chervilshore.decisions import queues
from chervilshore.decisions import retries
from chervilshore.decisions import routing
from chervilshore.decisions import shedding
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import admission
from chervilshore.filters import attempt
from chervilshore.filters import base
from chervilshore.filters import cutoff
from chervilshore.filters import deadline
from chervilshore.filters import decode
from chervilshore.filters import outcome
from chervilshore.filters import pipeline
from chervilshore.filters import stage
from chervilshore import metrics
from chervilshore import records
from chervilshore import server
from chervilshore import settings

EXIT_SETTINGS = 2
"""Exit status when a setting is wrong."""

_LOGGER = logging.getLogger(__name__)


class Daemon(mode.Service):
    """All parts of an entry host, put together.

    Parameters
    ----------
    options : Settings
        The checked settings.
    clock : Clock
        Measures everything.
    """

    def __init__(
        self, options: settings.Settings, clock: clocks.Clock
    ) -> None:
        super().__init__()
        self._options = options
        self._clock = clock
        self._metrics = metrics.Metrics()
        # Hosts must not draw the same numbers, and a restart must not
        # draw those of the life before.
        seed = f"{options.host}/{os.getpid()}/{clock.wall()}"
        self._random = random.Random(zlib.crc32(seed.encode()))
        self._platform = rest.RestPlatform(
            options.platform, options.platform_ms, self._metrics
        )
        self._sessions = endpoints.Sessions(options.connect_ms)
        self._make_control()
        self._make_chain()
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    def _make_control(self) -> None:
        options = self._options
        record = records.HostRecord(
            host=options.host,
            domain=options.domain,
            peer_address=options.peer_address,
            http_address=options.http_address,
        )
        self._peers = zeromq.ZeroPeers(
            options.peer_address, self._clock, self._metrics
        )
