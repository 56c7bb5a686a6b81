"""The sizes that docs/CAPACITY.md is worked out for."""

import msgspec

SECONDS_PER_DAY = 86_400.0

INSTRUCTION_SHARE = 0.05
"""Assumed part of the requests that may not be repeated."""

FLIGHT_SECONDS = 4.0
"""Assumed seconds that a request is in flight."""

STAGES = 4
"""Assumed stages of a request; the pipelines have three to six."""


class Size(msgspec.Struct, frozen=True):
    """A deployment's size.

    Parameters
    ----------
    name : str
        Its name.
    hosts, endpoints, teams, domains : int
        How many there are; endpoints with the workers of the first stages.
    requests, tokens : float
        A second, at the peak.
    changes : float
        Changes of configuration in a day.
    replaced, failed : float
        Hosts that are replaced and that fail in a day.
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

CORE_PART = 0.017
MEMORY_BYTES = 128e6
TRAFFIC_BYTES = 2000.0
FORCE_SECONDS = 4.0
READS = 2000.0
WRITES = 300.0
"""What the platform takes in a second; 'several hundred' writes."""
