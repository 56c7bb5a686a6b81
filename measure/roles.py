"""What each role costs at each size, worked out from the slopes."""

from collections import abc

import msgspec

from measure import fits
from measure import sizes

CHECK_SECONDS = 10.0
"""Seconds between two questions of a host to its domain's reader."""

WATCH_SECONDS = 10.0
HEAD_BYTES = 6000.0


class Row(msgspec.Struct, frozen=True):
    """One cost of one role.

    Parameters
    ----------
    role, cost : str
        What it is, with the unit.
    values : tuple of float
        The cost at each of `sizes.SIZES`.
    """

    role: str
    cost: str
    values: tuple[float, ...]


Found = dict[str, fits.Series]


def _each(
    role: str, cost: str, work: abc.Callable[[sizes.Size], float]
) -> Row:
    return Row(role, cost, tuple(work(size) for size in sizes.SIZES))


def count_flight(size: sizes.Size) -> float:
    """Tell the requests in flight on one host."""
    return size.requests * sizes.REQUEST_DURATION_S / size.hosts


def work_gateway(found: Found, size: sizes.Size) -> float:
    """Tell the cores that requests and tokens take on one host."""
    stages = size.requests * found["report_cpu"].slope
    tokens = size.tokens * found["token_cpu"].slope
    # A measured report carried tokens itself, which count once.
    carried = 20 * size.requests * found["token_cpu"].slope
    return max(0.0, stages - carried + tokens) / 1e3 / size.hosts


def count_instructions(size: sizes.Size) -> float:
    """Tell the instructions a second of all hosts."""
    return size.requests * sizes.INSTRUCTION_FRACTION


def count_claim_calls(found: Found, size: sizes.Size) -> float:
    """Tell the calls to the platform for claims, a second."""
    return count_instructions(size) * found["instruction_calls"].slope


def count_messages(found: Found, size: sizes.Size) -> float:
    """Tell the messages of grants that one host sends a second."""
    return size.requests * found["report_messages"].slope / size.hosts


def work_keeper(found: Found, size: sizes.Size) -> float:
    """Tell the cores that grants take on one host."""
    holders = size.hosts / size.domains
    # A question's cost over ZeroMQ was measured for both of its ends.
    each = found["keeper_cpu"].predict(holders) / 1e6
    each += found["ask_cpu"].slope / 2 / 1e3
    return count_messages(found, size) * each


def count_list_bytes(found: Found, size: sizes.Size) -> float:
    """Tell the bytes a second that a reader of the list takes in."""
    return found["list_bytes"].predict(size.endpoints)


def count_change_bytes(found: Found, size: sizes.Size) -> float:
    """Tell the bytes a second of configuration that reach a host."""
    moved = found["change_bytes"].predict(size.teams)
    return moved * size.changes / sizes.SECONDS_PER_DAY


def count_idle_calls(found: Found, size: sizes.Size) -> float:
    """Tell the calls to the platform without requests, a second."""
    # One reader of the list and one watcher of the head in each domain;
    # measured in a deployment of three domains.
    return found["idle_calls"].predict(9) * size.domains / 3


def work_idle(found: Found, size: sizes.Size) -> float:
    """Tell the part of a core that control takes without requests."""
    return found["crowd_cpu"].predict(size.hosts) / 1e3


def count_member_bytes(found: Found, size: sizes.Size) -> float:
    """Tell the bytes a second that membership puts on the wire."""
    return found["member_bytes"].predict(size.hosts)


def count_links(found: Found, size: sizes.Size) -> float:
    """Tell the bytes of connections to and from all peers."""
    return found["link_memory"].slope * (size.hosts - 1)


def count_memory(found: Found, size: sizes.Size) -> float:
    """Tell the resident bytes of a daemon."""
    crowd = found["crowd_memory"].predict(size.hosts)
    teams = found["team_memory"].slope * size.teams
    flight = found["flight_memory"].slope * count_flight(size)
    return crowd + teams + flight


def count_calls(found: Found, size: sizes.Size) -> float:
    """Tell all calls to the platform, a second."""
    changes = size.changes / sizes.SECONDS_PER_DAY * 4
    claim_calls = count_claim_calls(found, size)
    return count_idle_calls(found, size) + claim_calls + changes


def count_control_bytes(found: Found, size: sizes.Size) -> float:
    """Tell the control bytes a second of a host that reads no list."""
    member = count_member_bytes(found, size)
    checks = 2 * (40 + 68) / CHECK_SECONDS
    return member + count_change_bytes(found, size) + checks


def list_rows(found: Found) -> list[Row]:
    """Work out every row."""
    if not found:
        return []

    def each(role, cost, work):
        return _each(role, cost, lambda size: work(found, size))

    return [
        _each("gateway", "requests in flight on a host", count_flight),
        each(
            "gateway",
            "bytes of requests in flight",
            lambda f, s: f["flight_memory"].slope * count_flight(s),
        ),
        each("gateway", "cores for requests and tokens", work_gateway),
        each("grant keeper", "messages/s that a host sends", count_messages),
        each("grant keeper", "cores for its messages", work_keeper),
        each(
            "grant keeper",
            "us of decisions for a message, a domain's hosts asking",
            lambda f, s: f["keeper_cpu"].predict(s.hosts / s.domains),
        ),
        each(
            "keeper of team limits",
            "us of CPU for a report of all teams divided over hosts",
            lambda f, s: f["share_cpu"].predict(s.teams / s.hosts),
        ),
        each(
            "claim shard owners, all",
            "instructions/s (5 % of requests, assumed)",
            lambda f, s: count_instructions(s),
        ),
        each(
            "claim shard owners, all",
            "bytes/s into the log",
            lambda f, s: f["claim_bytes"].slope * count_instructions(s),
        ),
        each(
            "claim shard owners, all",
            "bytes of state for an hour of keys",
            lambda f, s: (
                f["claim_memory"].slope * count_instructions(s) * 3600
            ),
        ),
        each(
            "claim shard owners, all",
            "cores to write and fold the log",
            lambda f, s: f["claim_cpu"].slope * count_instructions(s) / 1e6,
        ),
        each("claim shard owners, all", "platform calls/s", count_claim_calls),
        each(
            "configuration, every host",
            "bytes of rules in force",
            lambda f, s: f["rules_memory"].predict(s.teams),
        ),
        each(
            "configuration, every host",
            "bytes moved for one team's change",
            lambda f, s: f["change_bytes"].predict(s.teams),
        ),
        each(
            "configuration, every host",
            "bytes/s of changes over a day",
            count_change_bytes,
        ),
        each(
            "configuration, the operator's tool",
            "seconds of CPU to check the file",
            lambda f, s: f["check_seconds"].predict(s.teams),
        ),
        each(
            "watchers of the head and readers of the list, all",
            "platform calls/s",
            count_idle_calls,
        ),
        each(
            "reader of the list, one a domain",
            "bytes/s from the platform",
            count_list_bytes,
        ),
        each(
            "reader of the list, one a domain",
            "part of a core",
            lambda f, s: f["list_cpu"].predict(s.endpoints) / 1e6,
        ),
        each("member", "wire bytes/s that a host sends", count_member_bytes),
        each(
            "member",
            "messages/s that a host sends",
            lambda f, s: f["member_messages"].predict(s.hosts),
        ),
        each(
            "member",
            "part of a core for decisions",
            lambda f, s: f["member_cpu"].predict(s.hosts) / 1e6,
        ),
        each(
            "member",
            "bytes of state",
            lambda f, s: f["member_memory"].predict(s.hosts),
        ),
        each(
            "member",
            "bytes of connections to and from all peers",
            count_links,
        ),
        each(
            "member",
            "milliseconds until all know of a death",
            lambda f, s: f["death_known"].predict(s.hosts),
        ),
        each(
            "member",
            "bytes a host for all restarts of a day",
            lambda f, s: f["restart_bytes"].predict(s.hosts) * s.replaced,
        ),
        each(
            "member",
            "wire bytes/s of a host in the 20 s after a domain's loss",
            lambda f, s: f["domain_bytes"].predict(s.hosts),
        ),
        each(
            "daemon, all roles", "part of a core without requests", work_idle
        ),
        each("daemon, all roles", "resident bytes", count_memory),
        each(
            "daemon, all roles",
            "control bytes/s of a host without requests, on the wire",
            count_control_bytes,
        ),
        each("platform", "calls/s at the peak", count_calls),
    ]
