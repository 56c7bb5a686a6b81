"""Costs of each role of a host at each size, predicted from the slopes."""

from collections import abc

import msgspec

from measure import fits
from measure import sizes

CHECK_INTERVAL_SECONDS = 10.0
"""Seconds between two requests of a host to the host that reads the host
list for its domain."""

WATCH_SECONDS = 10.0
HEAD_BYTES = 6000.0


class Row(msgspec.Struct, frozen=True):
    """One cost of a role, at each size.

    Parameters
    ----------
    role : str
        The role, as in the table.
    cost : str
        The cost, with its unit.
    values : tuple of float
        The cost at each of `sizes.SIZES`.
    """

    role: str
    cost: str
    values: tuple[float, ...]


SeriesByName = dict[str, fits.Series]
"""The measured series by name, as `fits.load` returns them."""


def _make_row(
    role: str, cost: str, predict: abc.Callable[[sizes.Size], float]
) -> Row:
    return Row(role, cost, tuple(predict(size) for size in sizes.SIZES))


def requests_in_flight(size: sizes.Size) -> float:
    """Return the requests in flight on one host."""
    return size.requests * sizes.REQUEST_DURATION_S / size.hosts


def gateway_cores(series: SeriesByName, size: sizes.Size) -> float:
    """Return the cores that requests and tokens use on one host."""
    request_ms = size.requests * series["report_cpu"].slope
    token_ms = size.tokens * series["token_cpu"].slope
    # The cost of a measured request includes its 20 tokens; they must not
    # be counted twice.
    included_ms = 20 * size.requests * series["token_cpu"].slope
    return max(0.0, request_ms - included_ms + token_ms) / 1e3 / size.hosts


def instructions_per_s(size: sizes.Size) -> float:
    """Return the instructions per second of all hosts."""
    return size.requests * sizes.INSTRUCTION_FRACTION


def claim_calls_per_s(series: SeriesByName, size: sizes.Size) -> float:
    """Return the platform calls per second of all hosts for claims."""
    return instructions_per_s(size) * series["instruction_calls"].slope


def grant_messages_per_s(series: SeriesByName, size: sizes.Size) -> float:
    """Return the grant messages per second that one host sends."""
    return size.requests * series["report_messages"].slope / size.hosts


def grant_cores(series: SeriesByName, size: sizes.Size) -> float:
    """Return the cores that grant messages use on one host."""
    holders = size.hosts / size.domains
    # The cost of a request over ZeroMQ is that of sender and receiver.
    message_seconds = series["keeper_cpu"].predict(holders) / 1e6
    message_seconds += series["ask_cpu"].slope / 2 / 1e3
    return grant_messages_per_s(series, size) * message_seconds


def list_bytes_per_s(series: SeriesByName, size: sizes.Size) -> float:
    """Return the bytes per second that a reader of the host list receives."""
    return series["list_bytes"].predict(size.endpoints)


def change_bytes_per_s(series: SeriesByName, size: sizes.Size) -> float:
    """Return the bytes per second of configuration that a host receives."""
    change_bytes = series["change_bytes"].predict(size.teams)
    return change_bytes * size.changes / sizes.SECONDS_PER_DAY


def idle_calls_per_s(series: SeriesByName, size: sizes.Size) -> float:
    """Return the platform calls per second of all hosts when idle."""
    # Each domain has one reader of the host list and one watcher of the
    # head; the series is from a deployment of three domains.
    return series["idle_calls"].predict(9) * size.domains / 3


def idle_cores(series: SeriesByName, size: sizes.Size) -> float:
    """Return the cores that an idle host uses, as a fraction."""
    return series["crowd_cpu"].predict(size.hosts) / 1e3


def member_bytes_per_s(series: SeriesByName, size: sizes.Size) -> float:
    """Return the wire bytes per second of membership of one host."""
    return series["member_bytes"].predict(size.hosts)


def peer_connection_bytes(series: SeriesByName, size: sizes.Size) -> float:
    """Return the memory in bytes of the connections to and from all peers."""
    return series["link_memory"].slope * (size.hosts - 1)


def resident_bytes(series: SeriesByName, size: sizes.Size) -> float:
    """Return the resident memory of a daemon in bytes."""
    peer_bytes = series["crowd_memory"].predict(size.hosts)
    team_bytes = series["team_memory"].slope * size.teams
    request_bytes = series["flight_memory"].slope * requests_in_flight(size)
    return peer_bytes + team_bytes + request_bytes


def platform_calls_per_s(series: SeriesByName, size: sizes.Size) -> float:
    """Return the platform calls per second of all hosts."""
    change_calls = size.changes / sizes.SECONDS_PER_DAY * 4
    claim_calls = claim_calls_per_s(series, size)
    return idle_calls_per_s(series, size) + claim_calls + change_calls


def control_bytes_per_s(series: SeriesByName, size: sizes.Size) -> float:
    """Return the control bytes per second of a host, without the host list."""
    membership = member_bytes_per_s(series, size)
    checks = 2 * (40 + 68) / CHECK_INTERVAL_SECONDS
    return membership + change_bytes_per_s(series, size) + checks


def list_rows(series: SeriesByName) -> list[Row]:
    """Return all rows of the table; none if there are no series."""
    if not series:
        return []

    def predict_row(role, cost, predict):
        return _make_row(role, cost, lambda size: predict(series, size))

    return [
        _make_row(
            "gateway", "requests in flight on a host", requests_in_flight
        ),
        predict_row(
            "gateway",
            "bytes of requests in flight",
            lambda series, size: (
                series["flight_memory"].slope * requests_in_flight(size)
            ),
        ),
        predict_row("gateway", "cores for requests and tokens", gateway_cores),
        predict_row(
            "grant keeper",
            "messages/s that a host sends",
            grant_messages_per_s,
        ),
        predict_row("grant keeper", "cores for its messages", grant_cores),
        predict_row(
            "grant keeper",
            "us of decisions for a message, a domain's hosts asking",
            lambda series, size: series["keeper_cpu"].predict(
                size.hosts / size.domains
            ),
        ),
        predict_row(
            "keeper of team limits",
            "us of CPU for a report of all teams divided over hosts",
            lambda series, size: series["share_cpu"].predict(
                size.teams / size.hosts
            ),
        ),
        predict_row(
            "claim shard owners, all",
            "instructions/s (5 % of requests, assumed)",
            lambda series, size: instructions_per_s(size),
        ),
        predict_row(
            "claim shard owners, all",
            "bytes/s into the log",
            lambda series, size: (
                series["claim_bytes"].slope * instructions_per_s(size)
            ),
        ),
        predict_row(
            "claim shard owners, all",
            "bytes of state for an hour of keys",
            lambda series, size: (
                series["claim_memory"].slope * instructions_per_s(size) * 3600
            ),
        ),
        predict_row(
            "claim shard owners, all",
            "cores to write and fold the log",
            lambda series, size: (
                series["claim_cpu"].slope * instructions_per_s(size) / 1e6
            ),
        ),
        predict_row(
            "claim shard owners, all",
            "platform calls/s",
            claim_calls_per_s,
        ),
        predict_row(
            "configuration, every host",
            "bytes of rules in force",
            lambda series, size: series["rules_memory"].predict(size.teams),
        ),
        predict_row(
            "configuration, every host",
            "bytes moved for one team's change",
            lambda series, size: series["change_bytes"].predict(size.teams),
        ),
        predict_row(
            "configuration, every host",
            "bytes/s of changes over a day",
            change_bytes_per_s,
        ),
        predict_row(
            "configuration, the operator's tool",
            "seconds of CPU to check the file",
            lambda series, size: series["check_seconds"].predict(size.teams),
        ),
        predict_row(
            "watchers of the head and readers of the list, all",
            "platform calls/s",
            idle_calls_per_s,
        ),
        predict_row(
            "reader of the list, one a domain",
            "bytes/s from the platform",
            list_bytes_per_s,
        ),
        predict_row(
            "reader of the list, one a domain",
            "part of a core",
            lambda series, size: (
                series["list_cpu"].predict(size.endpoints) / 1e6
            ),
        ),
        predict_row(
            "member", "wire bytes/s that a host sends", member_bytes_per_s
        ),
        predict_row(
            "member",
            "messages/s that a host sends",
            lambda series, size: series["member_messages"].predict(size.hosts),
        ),
        predict_row(
            "member",
            "part of a core for decisions",
            lambda series, size: (
                series["member_cpu"].predict(size.hosts) / 1e6
            ),
        ),
        predict_row(
            "member",
            "bytes of state",
            lambda series, size: series["member_memory"].predict(size.hosts),
        ),
        predict_row(
            "member",
            "bytes of connections to and from all peers",
            peer_connection_bytes,
        ),
        predict_row(
            "member",
            "milliseconds until all know of a death",
            lambda series, size: series["death_known"].predict(size.hosts),
        ),
        predict_row(
            "member",
            "bytes a host for all restarts of a day",
            lambda series, size: (
                series["restart_bytes"].predict(size.hosts) * size.replaced
            ),
        ),
        predict_row(
            "member",
            "wire bytes/s of a host in the 20 s after a domain's loss",
            lambda series, size: series["domain_bytes"].predict(size.hosts),
        ),
        predict_row(
            "daemon, all roles", "part of a core without requests", idle_cores
        ),
        predict_row("daemon, all roles", "resident bytes", resident_bytes),
        predict_row(
            "daemon, all roles",
            "control bytes/s of a host without requests, on the wire",
            control_bytes_per_s,
        ),
        predict_row("platform", "calls/s at the peak", platform_calls_per_s),
    ]
