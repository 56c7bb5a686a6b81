"""Attempts at an endpoint, as the holder of their slots counts them."""

import msgspec


class RunningAttempt(msgspec.Struct):
    """An attempt that is in flight or about to be sent.

    Parameters
    ----------
    ends_at : float
        The time in milliseconds by which it has ended.
    start_by : float
        The time in milliseconds until which it may start.
    has_started : bool
        Whether its first byte may have been sent.
    is_revoked : bool
        Whether the owner has forbidden it to start.
    """

    ends_at: float
    start_by: float
    has_started: bool = False
    is_revoked: bool = False
