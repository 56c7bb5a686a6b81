"""The target's numbers: mechanism, prediction, verdict, what breaks."""

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
    """One number of the target.

    Parameters
    ----------
    number : str
        The number.
    mechanism : str
        What carries it.
    predicts : str
        What the slopes say.
    verdict : str
        Whether it is met.
    change : str
        What would have to change, and where it breaks.
    """

    number: str
    mechanism: str
    prediction: str
    verdict: str
    change: str


FormatNumber = abc.Callable[[float], str]


def compare_with_limit(value: float, limit: float) -> str:
    """Compare a prediction with its limit."""
    return MET if value <= limit else NOT_MET


def list_rows(found: dict[str, fits.Series], fmt: FormatNumber) -> list[Row]:
    """Work out every row."""
    if not found:
        return []
    return [
        *_list_serving(found, fmt),
        *_list_shape(found, fmt),
        *_list_control(found, fmt),
        *_list_failures(found, fmt),
    ]


def _list_serving(found, fmt: FormatNumber) -> list[Row]:
    cores = roles.work_gateway(found, TARGET)
    flight = roles.count_flight(TARGET)
    token_us = 1e3 * found["token_cpu"].slope
    most_tokens = 1e3 / found["token_cpu"].slope
    busy = f"{fmt(cores)} cores of a host at the peak"
    return [
        Row(
            "1,800 requests a second",
            "every entry host takes callers; work does not pass a centre",
            f"{fmt(TARGET.requests / TARGET.hosts)} requests/s and {busy}",
            compare_with_limit(cores, 1.0),
            "a host is one process and so one core; above "
            f"{fmt(TARGET.requests / cores)} requests/s over 370 hosts "
            "with these tokens it is full; then more hosts, as each carries "
            "its own part",
        ),
        Row(
            "720,000 tokens a second",
            "tokens stream through the gateway alone, not the keeper",
            f"{fmt(token_us)} us of CPU a token, "
            f"{fmt(TARGET.tokens / TARGET.hosts)} tokens/s a host",
            compare_with_limit(cores, 1.0),
            f"one host breaks at {fmt(most_tokens)} tokens/s; reading "
            "several tokens of a stream at once would lower the cost",
        ),
        Row(
            "first token within 1.1 s for 95 in 100",
            "ranking by expected completion, grants held ahead for warm "
            "endpoints",
            "depends on real engines; `make measure` has stand-ins only",
            NOT_MEASURED,
            "needs engines of real speed; the part of the system itself is "
            f"{fmt(found['report_cpu'].slope)} ms of CPU a request",
        ),
        Row(
            "67 ms between tokens for 95 in 100",
            "each token is passed on as it comes",
            f"{fmt(1e3 * cores)} ms of each second are busy; a token waits "
            "for other work of the same process",
            NOT_MEASURED,
            "a histogram of gaps between tokens under the target's load of "
            "one host; breaks when a host's core is full",
        ),
        Row(
            "19 pipelines of three to six stages",
            "a table of rules looked up by name",
            "a stage costs a route, a grant and a call; a report of four "
            f"stages and 20 tokens cost {fmt(found['report_cpu'].slope)} "
            "ms of CPU",
            "not measured at 19",
            "the cost is by stage of a request, not by pipeline",
        ),
        Row(
            "deadlines of 7 s",
            "each stage gets its part of what is left; a request that cannot "
            "make it is refused before it costs anything",
            f"{fmt(flight)} requests in flight on a host if each takes 4 s",
            NOT_MEASURED,
            "attainment is measured by `make measure` at today's size only",
        ),
    ]


def _list_shape(found, fmt: FormatNumber) -> list[Row]:
    known = found["death_known"].predict(TARGET.hosts)
    listed = found["list_bytes"].predict(TARGET.endpoints)
    rules = found["rules_memory"].predict(TARGET.teams)
    return [
        Row(
            "370 nodes",
            "probing at a constant cost; rendezvous hashing for each role",
            f"a death is known to all in {fmt(known)} ms; "
            f"{fmt(roles.count_member_bytes(found, TARGET))} wire bytes/s",
            compare_with_limit(known, 1e3 * sizes.MAX_ACTIVATION_S),
            "4 s is the bound for changes, taken here too; the time grows "
            "with the logarithm of the hosts, the line is cautious",
        ),
        Row(
            "600 workers",
            "one reader of the host list a domain, differences to the rest",
            f"a reading is {fmt(listed)} bytes, each second on one host "
            "a domain",
            compare_with_limit(listed, sizes.MAX_TRAFFIC_BYTES_PER_S),
            "the platform's list needs a conditional or partial read; over "
            f"{fmt(_max_endpoints(found))} endpoints (with hosts in the "
            "same proportion) a reader passes 2 KB/s; the other hosts do not",
        ),
        Row(
            "4,800 accelerators",
            "behind the workers; the system sees endpoints, not accelerators",
            "no state and no message for each",
            MET,
            "eight to a worker; a worker's limit is adaptive",
        ),
        Row(
            "26,000 teams",
            "chunks by hash of the team's name; limits by shares that "
            "follow demand",
            f"{fmt(rules)} bytes of rules, "
            f"{fmt(found['team_memory'].slope * TARGET.teams)} bytes more "
            "resident in a real daemon, a check in "
            f"{fmt(found['check_seconds'].predict(TARGET.teams))} s",
            compare_with_limit(
                found["team_memory"].slope * TARGET.teams, 40e6
            ),
            "40 MB of memory and 2 s for a check are the bounds; memory "
            f"breaks at {fmt(40e6 / found['team_memory'].slope)} teams",
        ),
        Row(
            "8 models in steady use",
            "pools by model; orders to engines under one lease a pool",
            "8 leases, one order at a time in each pool",
            NOT_MEASURED,
            "the lease holder's cost has no slope yet",
        ),
        Row(
            "2 regions with 6 failure domains",
            "a reader, a watcher and keepers in each domain",
            f"{fmt(roles.count_idle_calls(found, TARGET))} platform "
            "calls/s without requests",
            compare_with_limit(
                roles.count_idle_calls(found, TARGET), sizes.MAX_READS_PER_S
            ),
            "grows with domains, not hosts; delays between regions were not "
            "measured: a probe's answer must come within 150 ms",
        ),
    ]


def _max_endpoints(found) -> float:
    series = found["list_bytes"]
    return (sizes.MAX_TRAFFIC_BYTES_PER_S - series.start) / series.slope


def _list_control(found, fmt: FormatNumber) -> list[Row]:
    idle = roles.work_idle(found, TARGET)
    memory = roles.count_memory(found, TARGET)
    traffic = roles.count_control_bytes(found, TARGET)
    links = roles.count_links(found, TARGET)
    changes = roles.count_change_bytes(found, TARGET)
    calls = roles.count_calls(found, TARGET)
    return [
        Row(
            "3,000 changes of configuration a day",
            "content-hashed chunks and one conditional head",
            f"{fmt(found['change_bytes'].predict(TARGET.teams))} bytes to "
            f"a host for one team's change, {fmt(changes)} bytes/s over "
            "the day",
            compare_with_limit(changes, sizes.MAX_TRAFFIC_BYTES_PER_S),
            "larger at the busy hour: with a tenth of a day's changes in an "
            f"hour {fmt(2.4 * changes)} bytes/s; breaks when chunks grow",
        ),
        Row(
            "in force everywhere within 4 s",
            "one watcher a domain, push between peers, generation on probes",
            "measured at nine daemons by `make measure`, not at 370",
            "not measured at 370",
            "news on probes alone took "
            f"{fmt(found['death_known'].predict(TARGET.hosts))} ms to reach "
            "all for a death, detection included",
        ),
        Row(
            "control: 1.7 % of a core",
            "constant cost for each host",
            f"{fmt(100 * idle)} % by the line of one real daemon among 9 "
            "to 370 peers, without requests and once settled",
            compare_with_limit(idle, sizes.MAX_CORE_FRACTION),
            "decisions of membership alone are "
            f"{fmt(found['member_cpu'].predict(TARGET.hosts) / 1e4)} %; "
            "breaks at "
            f"{fmt(_max_hosts(found))} hosts; control under load (grants) "
            "comes on top",
        ),
        Row(
            "control: 128 MB",
            "state by team, request and peer in one process",
            f"{fmt(memory)} resident bytes, {fmt(links)} of them for "
            "connections to and from all peers",
            compare_with_limit(memory, sizes.MAX_MEMORY_BYTES),
            "connections are closed after 3 minutes without use; breaks at "
            f"{fmt(_max_requests_in_flight(found, memory))} requests in flight on a "
            "host",
        ),
        Row(
            "control: 2 KB a second",
            "probing, differences, chunks",
            f"{fmt(traffic)} wire bytes/s of a host that reads no list; "
            f"{fmt(roles.count_list_bytes(found, TARGET))} more from the "
            "platform at each of six readers",
            compare_with_limit(traffic, sizes.MAX_TRAFFIC_BYTES_PER_S),
            f"{fmt(changes)} of it are the day's changes, whose chunks "
            "could be smaller; readers need a conditional read of the list; "
            "a host is probed by each other every 92 s and connections stay "
            "open for 180 s, so handshakes are rare; beyond 720 hosts each "
            "probe would need one: then probe over UDP",
        ),
        Row(
            "platform: 2,000 reads and several hundred writes a second",
            "group commit of claims, readers and watchers by domain",
            f"{fmt(calls)} calls/s at the peak with 5 % instructions",
            compare_with_limit(calls, sizes.MAX_WRITES_PER_S),
            "compared with 300 calls/s; the line of calls for an instruction "
            "was laid at 5 to 40 a second; at the target batches are fuller",
        ),
    ]


def _max_hosts(found) -> float:
    series = found["crowd_cpu"]
    return (1e3 * sizes.MAX_CORE_FRACTION - series.start) / series.slope


def _max_requests_in_flight(found, memory: float) -> float:
    each = found["flight_memory"].slope
    left = sizes.MAX_MEMORY_BYTES - memory
    return max(0.0, roles.count_flight(TARGET) + left / each)


def _list_failures(found, fmt: FormatNumber) -> list[Row]:
    restart = found["restart_bytes"].predict(TARGET.hosts)
    known = found["death_known"].predict(TARGET.hosts)
    rack = found["rack_bytes"].predict(TARGET.hosts)
    racked = found["rack_known"].predict(TARGET.hosts)
    region = found["region_bytes"].predict(TARGET.hosts)
    healed = found["region_heal"].predict(TARGET.hosts)
    burst = found["domain_bytes"].predict(TARGET.hosts)
    lost = TARGET.requests / TARGET.hosts * sizes.REQUEST_DURATION_S
    return [
        Row(
            "16 hosts fail on an ordinary day",
            "probing; keepers and owners move to the next host by hash",
            f"known to all in {fmt(known)} ms; {fmt(lost)} requests in "
            f"flight are lost with each, {fmt(16 * lost)} a day",
            compare_with_limit(known, 1e3 * sizes.MAX_ACTIVATION_S),
            "callers send again what may be repeated; endpoints of a lost "
            "keeper begin with the cold bound or wait out the grants",
        ),
        Row(
            "89 restarted or replaced a day",
            "leaving is announced; a new life has a higher incarnation",
            f"{fmt(restart)} bytes a host and restart, "
            f"{fmt(89 * restart)} a day, "
            f"{fmt(89 * restart / sizes.SECONDS_PER_DAY)} bytes/s",
            compare_with_limit(89 * restart / sizes.SECONDS_PER_DAY, 200.0),
            "a newcomer fetches all hosts once; breaks when restarts come so "
            "close that their news overlap for long",
        ),
        Row(
            "a rack or switch every month or two",
            "as single deaths; leaving hosts and news share the messages",
            f"{fmt(rack)} wire bytes/s of a host for 15 s after 8 hosts "
            f"died at once; the last of them known in {fmt(racked)} ms",
            compare_with_limit(rack, sizes.MAX_TRAFFIC_BYTES_PER_S),
            "measured up to 370 hosts in one process; a rack with more hosts "
            "comes closer to a domain's loss",
        ),
        Row(
            "a failure domain once or twice a year",
            "the others suspect its hosts and go on; it goes on by itself",
            f"{fmt(burst)} wire bytes/s of a host for 20 s",
            compare_with_limit(burst, sizes.MAX_TRAFFIC_BYTES_PER_S),
            "news of 62 hosts at once; fewer pieces of news on a message "
            "would keep 2 KB/s and make the news slower; five of six "
            "domains must carry "
            f"{fmt(1.2 * roles.work_gateway(found, TARGET))} cores a host",
        ),
        Row(
            "regions lose each other for minutes",
            "each side goes on; down hosts are probed, so a cut heals itself",
            f"{fmt(region)} wire bytes/s of a host for 20 s, and all know "
            f"each other again {fmt(healed)} ms after a cut of 20 s; lines "
            "of 12 to 120 hosts cut in half",
            compare_with_limit(region, sizes.MAX_TRAFFIC_BYTES_PER_S),
            "a cut of 185 hosts makes three times the news of a domain's "
            "loss; each down host is probed by someone every "
            f"{fmt(2000.0 / TARGET.hosts)} ms on average",
        ),
    ]
