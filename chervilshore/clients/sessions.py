"""HTTP sessions of the clients of the own interface."""

import typing

import aiohttp

from chervilshore.clients import responses

DEFAULT_LIMIT = 100
"""Connections of a session at one time."""


def open_session(
    connector: aiohttp.TCPConnector | None = None, **options: typing.Any
) -> aiohttp.ClientSession:
    """Open a session that reads its responses as `responses.Response`.

    Parameters
    ----------
    connector : TCPConnector or None
        Opens the connections; None for the usual one.
    options : dict
        Further options of the session.
    """
    return aiohttp.ClientSession(
        connector=connector, response_class=responses.Response, **options
    )


def open_single_use(
    source: str = "", limit: int = DEFAULT_LIMIT
) -> aiohttp.ClientSession:
    """Open a session that makes each call on a connection of its own.

    On a kept connection the second copy of an earlier response would pass for
    the response to the next call, also if it came while none was in progress.

    Parameters
    ----------
    source : str
        Local IP address to connect from; empty lets the system choose.
    limit : int
        Connections at one time; 0 for no limit.
    """
    connector = aiohttp.TCPConnector(
        limit=limit,
        force_close=True,
        local_addr=(source, 0) if source else None,
    )
    return open_session(connector)
