"""The deployment sizes for which docs/CAPACITY.md is computed."""

import msgspec

SECONDS_PER_DAY = 86_400.0

INSTRUCTION_FRACTION = 0.05
"""Assumed fraction of requests that must not be repeated."""

REQUEST_DURATION_S = 4.0
"""Assumed duration of a request in seconds."""

STAGES_PER_REQUEST = 4
"""Assumed stages of a request; the pipelines have three to six."""


class Size(msgspec.Struct, frozen=True):
    """The size and the load of a deployment.

    Parameters
    ----------
    hosts, endpoints, teams, domains : int
        Numbers of each; endpoints include the workers of the first stages.
    requests, tokens : float
        Rates per second at the peak.
    changes : float
        Configuration changes per day.
    replaced, failed : float
        Hosts that are replaced and hosts that fail per day.
    """

    name: str
    hosts: int
    endpoints: int
    teams: int
    domains: int
    requests: float
    tokens: float
    changes: float
    replaced: float
    failed: float


KELVINSIDE = Size("Kelvinside", 9, 26, 5, 3, 20.0, 400.0, 20.0, 2.0, 0.5)
TAAWUNIYAT = Size("Taawuniyat", 9, 34, 5, 4, 40.0, 800.0, 20.0, 2.0, 0.5)
TARGET = Size(
    "target", 370, 600, 26_000, 6, 1800.0, 720_000.0, 3000.0, 89.0, 16.0
)
SIZES = (KELVINSIDE, TAAWUNIYAT, TARGET)

MAX_CORE_FRACTION = 0.017
"""Fraction of a core that control may use on each host."""

MAX_MEMORY_BYTES = 128e6
"""Memory that control may use on each host."""

MAX_TRAFFIC_BYTES_PER_S = 2000.0
"""Network traffic that control may use on each host."""

MAX_ACTIVATION_S = 4.0
"""Seconds within which a generation must be active everywhere."""

MAX_READS_PER_S = 2000.0
"""Reads per second that the platform serves."""

MAX_WRITES_PER_S = 300.0
"""Writes per second that the platform serves.

The requirement says 'several hundred'.
"""
