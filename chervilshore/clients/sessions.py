"""HTTP sessions whose responses name no call."""

import aiohttp


def open_single_use(source: str = "") -> aiohttp.ClientSession:
    """Open a session that makes each call on a connection of its own.

    On a kept connection the second copy of an earlier response would pass for
    the response to the next call, also if it came while none was in progress.

    Parameters
    ----------
    source : str
        Local IP address to connect from; empty lets the system choose.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            force_close=True, local_addr=(source, 0) if source else None
        )
    )
