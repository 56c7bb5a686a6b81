"""Attempts at an endpoint, as their host counts them."""

import msgspec


class Running(msgspec.Struct):
    """One attempt that runs, or is about to.

    Parameters
    ----------
    ends : float
        The moment in milliseconds by which it has ended.
    until : float
        The moment until which it may begin.
    has_begun : bool
        Whether its first byte may have gone out.
    is_revoked : bool
        Whether the keeper wants it not to begin.
    """

    ends: float
    until: float
    has_begun: bool = False
    is_revoked: bool = False
