"""The daemon of an entry host."""

import asyncio
import logging
import os
import random
import signal
import sys

from aiohttp import web
import mode

from chervilshore.clients import completions
from chervilshore.clients import endpoints
from chervilshore.clients import models
from chervilshore.clients import rest
from chervilshore import clock as clocks
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore.filters import cutoff
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
