"""HTTP sessions whose responses name no call."""

import aiohttp

DEFAULT_LIMIT = 100
"""Connections of a session at one time."""


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
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=limit,
            force_close=True,
            local_addr=(source, 0) if source else None,
        )
    )
