"""The requirements of the target size, checked against the slopes."""

from collections import abc

import msgspec

from measure import fits
from measure import roles
from measure import sizes

TARGET = sizes.TARGET
MET = "met by the slopes"
NOT_MET = "not met"
NOT_MEASURED = "not measured"


class Row(msgspec.Struct, frozen=True):
    """One requirement of the target size.

    Parameters
    ----------
    number : str
        The requirement.
    mechanism : str
        The mechanism that meets it.
    prediction : str
        The prediction by the slopes.
    verdict : str
        Whether it is met.
    change : str
        What would have to change, and the size at which it fails.
    """

    number: str
    mechanism: str
    prediction: str
    verdict: str
    change: str


FormatNumber = abc.Callable[[float], str]
"""Formats a number for the table."""


def compare_with_limit(value: float, limit: float) -> str:
    """Return the verdict for a predicted value and its upper limit."""
    return MET if value <= limit else NOT_MET


def list_rows(series: dict[str, fits.Series], fmt: FormatNumber) -> list[Row]:
    """Return the rows of all requirements; none without series."""
    if not series:
        return []
    return [
        *_list_serving(series, fmt),
        *_list_shape(series, fmt),
        *_list_control(series, fmt),
        *_list_failures(series, fmt),
    ]


def _list_serving(series, fmt: FormatNumber) -> list[Row]:
    cores = roles.gateway_cores(series, TARGET)
    in_flight = roles.requests_in_flight(TARGET)
    token_us = 1e3 * series["token_cpu"].slope
    max_tokens = 1e3 / series["token_cpu"].slope
    busy = f"{fmt(cores)} cores of a host at the peak"
    return [
        Row(
            "1,800 requests a second",
            "every entry host accepts callers; no component serves them all",
            f"{fmt(TARGET.requests / TARGET.hosts)} requests/s and {busy}",
            compare_with_limit(cores, 1.0),
            "a host is one process and uses one core; above "
            f"{fmt(TARGET.requests / cores)} requests/s over 370 hosts "
            "with these tokens the core is saturated; then add hosts, as each "
            "serves its own callers",
        ),
        Row(
            "720,000 tokens a second",
            "tokens stream through the gateway only, not through the owner",
            f"{fmt(token_us)} us of CPU a token, "
            f"{fmt(TARGET.tokens / TARGET.hosts)} tokens/s a host",
            compare_with_limit(cores, 1.0),
            f"one host is saturated at {fmt(max_tokens)} tokens/s; reading "
            "several tokens of a stream at once would lower the cost",
        ),
        Row(
            "first token within 1.1 s for 95 in 100",
            "ranking by expected completion, slots granted in advance for "
            "warm endpoints",
            "depends on real engines; `make measure` has stand-ins only",
            NOT_MEASURED,
            "needs engines of real speed; the system itself takes "
            f"{fmt(series['report_cpu'].slope)} ms of CPU a request",
        ),
        Row(
            "67 ms between tokens for 95 in 100",
            "each token is forwarded as it arrives",
            f"{fmt(1e3 * cores)} ms of each second are busy; a token waits "
            "for other work of the same process",
            NOT_MEASURED,
            "needs a histogram of gaps between tokens under the target's load "
            "of one host; fails when the core of a host is saturated",
        ),
        Row(
            "19 pipelines of three to six stages",
            "lookup of the rules by name",
            "a stage costs a route, a grant and a call; a report of four "
            f"stages and 20 tokens cost {fmt(series['report_cpu'].slope)} "
            "ms of CPU",
            "not measured at 19",
            "the cost grows with the stages of requests, not with pipelines",
        ),
        Row(
            "deadlines of 7 s",
            "each stage gets a share of the remaining time; a request that "
            "cannot meet its deadline is refused before it uses resources",
            f"{fmt(in_flight)} requests in flight on a host if each takes 4 s",
            NOT_MEASURED,
            "attainment is measured by `make measure` at today's size only",
        ),
    ]


def _list_shape(series, fmt: FormatNumber) -> list[Row]:
    known_ms = series["death_known"].predict(TARGET.hosts)
    list_bytes = series["list_bytes"].predict(TARGET.endpoints)
    rules = series["rules_memory"].predict(TARGET.teams)
    return [
        Row(
            "370 nodes",
            "probing at a constant cost; rendezvous hashing for each role",
            f"a failed host is known to all in {fmt(known_ms)} ms; "
            f"{fmt(roles.member_bytes_per_s(series, TARGET))} wire bytes/s",
            compare_with_limit(known_ms, 1e3 * sizes.MAX_ACTIVATION_S),
            "the bound is that for changes, 4 s; the time grows with the "
            "logarithm of the hosts, so the line overestimates it",
        ),
        Row(
            "600 workers",
            "one reader of the host list per domain sends differences to the "
            "others",
            f"a read is {fmt(list_bytes)} bytes, each second on one host "
            "per domain",
            compare_with_limit(list_bytes, sizes.MAX_TRAFFIC_BYTES_PER_S),
            "the platform's list needs a conditional or partial read; over "
            f"{fmt(_max_endpoints(series))} endpoints (with hosts in the "
            "same proportion) a reader exceeds 2 KB/s; other hosts do not",
        ),
        Row(
            "4,800 accelerators",
            "run by the workers; the system knows endpoints, not accelerators",
            "no state and no messages per accelerator",
            MET,
            "eight per worker; the limit of a worker is adaptive",
        ),
        Row(
            "26,000 teams",
            "chunks by hash of the team name; shares of each limit that "
            "follow demand",
            f"{fmt(rules)} bytes of rules, "
            f"{fmt(series['team_memory'].slope * TARGET.teams)} bytes more "
            "resident in a real daemon, a check in "
            f"{fmt(series['check_seconds'].predict(TARGET.teams))} s",
            compare_with_limit(
                series["team_memory"].slope * TARGET.teams, 40e6
            ),
            "40 MB of memory and 2 s for a check are the bounds; memory "
            "reaches its bound at "
            f"{fmt(40e6 / series['team_memory'].slope)} teams",
        ),
        Row(
            "8 models in steady use",
            "one pool per model; orders to engines under one lease per pool",
            "8 leases, one order at a time in each pool",
            NOT_MEASURED,
            "the cost of the lease holder has no slope yet",
        ),
        Row(
            "2 regions with 6 failure domains",
            "a reader, a watcher and owners in each domain",
            f"{fmt(roles.idle_calls_per_s(series, TARGET))} platform "
            "calls/s without requests",
            compare_with_limit(
                roles.idle_calls_per_s(series, TARGET), sizes.MAX_READS_PER_S
            ),
            "grows with domains, not hosts; latency between regions is not "
            "measured: a probe must be answered within 150 ms",
        ),
    ]


def _max_endpoints(series) -> float:
    line = series["list_bytes"]
    return (sizes.MAX_TRAFFIC_BYTES_PER_S - line.start) / line.slope


def _list_control(series, fmt: FormatNumber) -> list[Row]:
    idle = roles.idle_cores(series, TARGET)
    memory = roles.resident_bytes(series, TARGET)
    traffic = roles.control_bytes_per_s(series, TARGET)
    links = roles.peer_connection_bytes(series, TARGET)
    changes = roles.change_bytes_per_s(series, TARGET)
    calls = roles.platform_calls_per_s(series, TARGET)
    return [
        Row(
            "3,000 changes of configuration a day",
            "content-addressed chunks and one conditional head",
            f"{fmt(series['change_bytes'].predict(TARGET.teams))} bytes to "
            f"a host for one team's change, {fmt(changes)} bytes/s over "
            "the day",
            compare_with_limit(changes, sizes.MAX_TRAFFIC_BYTES_PER_S),
            "larger in the busiest hour: with a tenth of a day's changes in "
            f"an hour {fmt(2.4 * changes)} bytes/s; grows with the chunks",
        ),
        Row(
            "in force everywhere within 4 s",
            "one watcher per domain, push between peers, generation in probes",
            "measured at nine daemons by `make measure`, not at 370",
            "not measured at 370",
            "updates on probes alone took "
            f"{fmt(series['death_known'].predict(TARGET.hosts))} ms to reach "
            "all for a failed host, including detection",
        ),
        Row(
            "control: 1.7 % of a core",
            "constant cost per host",
            f"{fmt(100 * idle)} % by the line of one real daemon among 9 "
            "to 370 peers, without requests and after startup",
            compare_with_limit(idle, sizes.MAX_CORE_FRACTION),
            "membership decisions alone take "
            f"{fmt(series['member_cpu'].predict(TARGET.hosts) / 1e4)} %; "
            "exceeded at "
            f"{fmt(_max_hosts(series))} hosts; control under load (grants) "
            "is additional",
        ),
        Row(
            "control: 128 MB",
            "one process with state per team, request and peer",
            f"{fmt(memory)} resident bytes, {fmt(links)} of them for "
            "connections to and from all peers",
            compare_with_limit(memory, sizes.MAX_MEMORY_BYTES),
            "connections are closed after 3 minutes without use; exceeded at "
            f"{fmt(_max_requests_in_flight(series, memory))} requests in "
            "flight on a host",
        ),
        Row(
            "control: 2 KB a second",
            "probes, differences of the host list, chunks",
            f"{fmt(traffic)} wire bytes/s of a host that reads no list; "
            f"{fmt(roles.list_bytes_per_s(series, TARGET))} more from the "
            "platform for each of six readers",
            compare_with_limit(traffic, sizes.MAX_TRAFFIC_BYTES_PER_S),
            f"{fmt(changes)} of it are the day's changes, whose chunks "
            "could be smaller; readers need a conditional read of the list; "
            "each host probes each other host every 92 s and connections "
            "stay open for 180 s, so handshakes are rare; beyond 720 hosts "
            "each probe needs a handshake and UDP probes would be better",
        ),
        Row(
            "platform: 2,000 reads and several hundred writes a second",
            "group commit of claims, one reader and one watcher per domain",
            f"{fmt(calls)} calls/s at the peak with 5 % instructions",
            compare_with_limit(calls, sizes.MAX_WRITES_PER_S),
            "compared with 300 calls/s; the line of calls per instruction was "
            "fitted at 5 to 40 per second; batches are larger at the target",
        ),
    ]


def _max_hosts(series) -> float:
    line = series["crowd_cpu"]
    return (1e3 * sizes.MAX_CORE_FRACTION - line.start) / line.slope


def _max_requests_in_flight(series, memory: float) -> float:
    request_bytes = series["flight_memory"].slope
    free = sizes.MAX_MEMORY_BYTES - memory
    return max(0.0, roles.requests_in_flight(TARGET) + free / request_bytes)


def _list_failures(series, fmt: FormatNumber) -> list[Row]:
    restart = series["restart_bytes"].predict(TARGET.hosts)
    known_ms = series["death_known"].predict(TARGET.hosts)
    rack = series["rack_bytes"].predict(TARGET.hosts)
    rack_known_ms = series["rack_known"].predict(TARGET.hosts)
    region = series["region_bytes"].predict(TARGET.hosts)
    healed_ms = series["region_heal"].predict(TARGET.hosts)
    burst = series["domain_bytes"].predict(TARGET.hosts)
    lost = TARGET.requests / TARGET.hosts * sizes.REQUEST_DURATION_S
    return [
        Row(
            "16 hosts fail on an ordinary day",
            "probing; ownership moves to the next host by rendezvous hash",
            f"known to all in {fmt(known_ms)} ms; {fmt(lost)} requests in "
            f"flight are lost with each, {fmt(16 * lost)} per day",
            compare_with_limit(known_ms, 1e3 * sizes.MAX_ACTIVATION_S),
            "callers resend what may be repeated; endpoints of a failed "
            "owner start at the cold bound or wait until grants expire",
        ),
        Row(
            "89 restarted or replaced a day",
            "leaving is announced; a restart has a higher incarnation",
            f"{fmt(restart)} bytes per host and restart, "
            f"{fmt(89 * restart)} per day, "
            f"{fmt(89 * restart / sizes.SECONDS_PER_DAY)} bytes/s",
            compare_with_limit(89 * restart / sizes.SECONDS_PER_DAY, 200.0),
            "a new host fetches all hosts once; fails when restarts follow "
            "so closely that their updates overlap for long",
        ),
        Row(
            "a rack or switch every month or two",
            "like single failures; departures and updates share the messages",
            f"{fmt(rack)} wire bytes/s of a host for 15 s after 8 hosts "
            f"died at once; the last of them known in {fmt(rack_known_ms)} ms",
            compare_with_limit(rack, sizes.MAX_TRAFFIC_BYTES_PER_S),
            "measured up to 370 hosts in one process; the loss of a larger "
            "rack is closer to that of a domain",
        ),
        Row(
            "a failure domain once or twice a year",
            "other domains suspect its hosts and go on; so does the domain "
            "itself",
            f"{fmt(burst)} wire bytes/s of a host for 20 s",
            compare_with_limit(burst, sizes.MAX_TRAFFIC_BYTES_PER_S),
            "updates of 62 hosts at the same time; fewer updates in a "
            "message would keep 2 KB/s but spread more slowly; five of six "
            "domains must carry "
            f"{fmt(1.2 * roles.gateway_cores(series, TARGET))} cores a host",
        ),
        Row(
            "regions lose each other for minutes",
            "each side goes on; down hosts are probed, so both sides rejoin",
            f"{fmt(region)} wire bytes/s of a host for 20 s, and all know "
            f"each other again {fmt(healed_ms)} ms after a cut of 20 s; lines "
            "of 12 to 120 hosts cut in half",
            compare_with_limit(region, sizes.MAX_TRAFFIC_BYTES_PER_S),
            "a cut of 185 hosts causes three times the updates of a domain's "
            "loss; each down host is probed by some host every "
            f"{fmt(2000.0 / TARGET.hosts)} ms on average",
        ),
    ]
