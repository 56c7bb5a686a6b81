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
    predicts: str
    verdict: str
    change: str


Write = abc.Callable[[float], str]


def judge(value: float, limit: float) -> str:
    """Compare a prediction with its limit."""
    return MET if value <= limit else NOT_MET


def list_rows(found: dict[str, fits.Series], write: Write) -> list[Row]:
    """Work out every row."""
    if not found:
        return []
    return [
        *_list_serving(found, write),
        *_list_shape(found, write),
        *_list_control(found, write),
        *_list_failures(found, write),
    ]


def _list_serving(found, write: Write) -> list[Row]:
    cores = roles.gateway_cores(found, TARGET)
    flight = roles.requests_in_flight(TARGET)
    token_us = 1e3 * found["token_cpu"].slope
    most_tokens = 1e3 / found["token_cpu"].slope
    busy = f"{write(cores)} cores of a host at the peak"
    return [
        Row(
            "1,800 requests a second",
            "every entry host takes callers; work does not pass a centre",
            f"{write(TARGET.requests / TARGET.hosts)} requests/s and {busy}",
            judge(cores, 1.0),
            "a host is one process and so one core; above "
            f"{write(TARGET.requests / cores)} requests/s over 370 hosts "
            "with these tokens it is full; then more hosts, as each carries "
            "its own part",
        ),
        Row(
            "720,000 tokens a second",
            "tokens stream through the gateway alone, not the keeper",
            f"{write(token_us)} us of CPU a token, "
            f"{write(TARGET.tokens / TARGET.hosts)} tokens/s a host",
            judge(cores, 1.0),
            f"one host breaks at {write(most_tokens)} tokens/s; reading "
            "several tokens of a stream at once would lower the cost",
        ),
        Row(
            "first token within 1.1 s for 95 in 100",
            "ranking by expected completion, grants held ahead for warm "
            "endpoints",
            "depends on real engines; `make measure` has stand-ins only",
            NOT_MEASURED,
            "needs engines of real speed; the part of the system itself is "
            f"{write(found['report_cpu'].slope)} ms of CPU a request",
        ),
        Row(
            "67 ms between tokens for 95 in 100",
            "each token is passed on as it comes",
            f"{write(1e3 * cores)} ms of each second are busy; a token waits "
            "for other work of the same process",
            NOT_MEASURED,
            "a histogram of gaps between tokens under the target's load of "
            "one host; breaks when a host's core is full",
        ),
        Row(
            "19 pipelines of three to six stages",
            "a table of rules looked up by name",
            "a stage costs a route, a grant and a call; a report of four "
            f"stages and 20 tokens cost {write(found['report_cpu'].slope)} "
            "ms of CPU",
            "not measured at 19",
            "the cost is by stage of a request, not by pipeline",
        ),
        Row(
            "deadlines of 7 s",
            "each stage gets its part of what is left; a request that cannot "
            "make it is refused before it costs anything",
            f"{write(flight)} requests in flight on a host if each takes 4 s",
            NOT_MEASURED,
            "attainment is measured by `make measure` at today's size only",
        ),
    ]


def _list_shape(found, write: Write) -> list[Row]:
    known = found["death_known"].predict(TARGET.hosts)
    listed = found["list_bytes"].predict(TARGET.endpoints)
    rules = found["rules_memory"].predict(TARGET.teams)
    return [
        Row(
            "370 nodes",
            "probing at a constant cost; rendezvous hashing for each role",
            f"a death is known to all in {write(known)} ms; "
            f"{write(roles.member_bytes_per_s(found, TARGET))} wire bytes/s",
            judge(known, 1e3 * sizes.FORCE_SECONDS),
            "4 s is the bound for changes, taken here too; the time grows "
            "with the logarithm of the hosts, the line is cautious",
        ),
        Row(
            "600 workers",
            "one reader of the host list a domain, differences to the rest",
            f"a reading is {write(listed)} bytes, each second on one host "
            "a domain",
            judge(listed, sizes.TRAFFIC_BYTES),
            "the platform's list needs a conditional or partial read; over "
            f"{write(_find_endpoints(found))} endpoints (with hosts in the "
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
            f"{write(rules)} bytes of rules, "
            f"{write(found['team_memory'].slope * TARGET.teams)} bytes more "
            "resident in a real daemon, a check in "
            f"{write(found['check_seconds'].predict(TARGET.teams))} s",
            judge(found["team_memory"].slope * TARGET.teams, 40e6),
            "40 MB of memory and 2 s for a check are the bounds; memory "
            f"breaks at {write(40e6 / found['team_memory'].slope)} teams",
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
            f"{write(roles.idle_calls_per_s(found, TARGET))} platform "
            "calls/s without requests",
            judge(roles.idle_calls_per_s(found, TARGET), sizes.READS),
            "grows with domains, not hosts; delays between regions were not "
            "measured: a probe's answer must come within 150 ms",
        ),
    ]


def _find_endpoints(found) -> float:
    series = found["list_bytes"]
    return (sizes.TRAFFIC_BYTES - series.start) / series.slope


def _list_control(found, write: Write) -> list[Row]:
    idle = roles.idle_cores(found, TARGET)
    memory = roles.resident_bytes(found, TARGET)
    traffic = roles.control_bytes_per_s(found, TARGET)
    links = roles.peer_connection_bytes(found, TARGET)
    changes = roles.change_bytes_per_s(found, TARGET)
    calls = roles.platform_calls_per_s(found, TARGET)
    return [
        Row(
            "3,000 changes of configuration a day",
            "content-hashed chunks and one conditional head",
            f"{write(found['change_bytes'].predict(TARGET.teams))} bytes to "
            f"a host for one team's change, {write(changes)} bytes/s over "
            "the day",
            judge(changes, sizes.TRAFFIC_BYTES),
            "larger at the busy hour: with a tenth of a day's changes in an "
            f"hour {write(2.4 * changes)} bytes/s; breaks when chunks grow",
        ),
        Row(
            "in force everywhere within 4 s",
            "one watcher a domain, push between peers, generation on probes",
            "measured at nine daemons by `make measure`, not at 370",
            "not measured at 370",
            "news on probes alone took "
            f"{write(found['death_known'].predict(TARGET.hosts))} ms to reach "
            "all for a death, detection included",
        ),
        Row(
            "control: 1.7 % of a core",
            "constant cost for each host",
            f"{write(100 * idle)} % by the line of one real daemon among 9 "
            "to 370 peers, without requests and once settled",
            judge(idle, sizes.CORE_PART),
            "decisions of membership alone are "
            f"{write(found['member_cpu'].predict(TARGET.hosts) / 1e4)} %; "
            "breaks at "
            f"{write(_find_hosts(found))} hosts; control under load (grants) "
            "comes on top",
        ),
        Row(
            "control: 128 MB",
            "state by team, request and peer in one process",
            f"{write(memory)} resident bytes, {write(links)} of them for "
            "connections to and from all peers",
            judge(memory, sizes.MEMORY_BYTES),
            "connections are closed after 3 minutes without use; breaks at "
            f"{write(_find_flight(found, memory))} requests in flight on a "
            "host",
        ),
        Row(
            "control: 2 KB a second",
            "probing, differences, chunks",
            f"{write(traffic)} wire bytes/s of a host that reads no list; "
            f"{write(roles.list_bytes_per_s(found, TARGET))} more from the "
            "platform at each of six readers",
            judge(traffic, sizes.TRAFFIC_BYTES),
            f"{write(changes)} of it are the day's changes, whose chunks "
            "could be smaller; readers need a conditional read of the list; "
            "a host is probed by each other every 92 s and connections stay "
            "open for 180 s, so handshakes are rare; beyond 720 hosts each "
            "probe would need one: then probe over UDP",
        ),
        Row(
            "platform: 2,000 reads and several hundred writes a second",
            "group commit of claims, readers and watchers by domain",
            f"{write(calls)} calls/s at the peak with 5 % instructions",
            judge(calls, sizes.WRITES),
            "compared with 300 calls/s; the line of calls for an instruction "
            "was laid at 5 to 40 a second; at the target batches are fuller",
        ),
    ]


def _find_hosts(found) -> float:
    series = found["crowd_cpu"]
    return (1e3 * sizes.CORE_PART - series.start) / series.slope


def _find_flight(found, memory: float) -> float:
    each = found["flight_memory"].slope
    left = sizes.MEMORY_BYTES - memory
    return max(0.0, roles.requests_in_flight(TARGET) + left / each)


def _list_failures(found, write: Write) -> list[Row]:
    restart = found["restart_bytes"].predict(TARGET.hosts)
    known = found["death_known"].predict(TARGET.hosts)
    rack = found["rack_bytes"].predict(TARGET.hosts)
    racked = found["rack_known"].predict(TARGET.hosts)
    region = found["region_bytes"].predict(TARGET.hosts)
    healed = found["region_heal"].predict(TARGET.hosts)
    burst = found["domain_bytes"].predict(TARGET.hosts)
    lost = TARGET.requests / TARGET.hosts * sizes.FLIGHT_SECONDS
    return [
        Row(
            "16 hosts fail on an ordinary day",
            "probing; keepers and owners move to the next host by hash",
            f"known to all in {write(known)} ms; {write(lost)} requests in "
            f"flight are lost with each, {write(16 * lost)} a day",
            judge(known, 1e3 * sizes.FORCE_SECONDS),
            "callers send again what may be repeated; endpoints of a lost "
            "keeper begin with the cold bound or wait out the grants",
        ),
        Row(
            "89 restarted or replaced a day",
            "leaving is announced; a new life has a higher incarnation",
            f"{write(restart)} bytes a host and restart, "
            f"{write(89 * restart)} a day, "
            f"{write(89 * restart / sizes.SECONDS_PER_DAY)} bytes/s",
            judge(89 * restart / sizes.SECONDS_PER_DAY, 200.0),
            "a newcomer fetches all hosts once; breaks when restarts come so "
            "close that their news overlap for long",
        ),
        Row(
            "a rack or switch every month or two",
            "as single deaths; leaving hosts and news share the messages",
            f"{write(rack)} wire bytes/s of a host for 15 s after 8 hosts "
            f"died at once; the last of them known in {write(racked)} ms",
            judge(rack, sizes.TRAFFIC_BYTES),
            "measured up to 370 hosts in one process; a rack with more hosts "
            "comes closer to a domain's loss",
        ),
        Row(
            "a failure domain once or twice a year",
            "the others suspect its hosts and go on; it goes on by itself",
            f"{write(burst)} wire bytes/s of a host for 20 s",
            judge(burst, sizes.TRAFFIC_BYTES),
            "news of 62 hosts at once; fewer pieces of news on a message "
            "would keep 2 KB/s and make the news slower; five of six "
            "domains must carry "
            f"{write(1.2 * roles.gateway_cores(found, TARGET))} cores a host",
        ),
        Row(
            "regions lose each other for minutes",
            "each side goes on; down hosts are probed, so a cut heals itself",
            f"{write(region)} wire bytes/s of a host for 20 s, and all know "
            f"each other again {write(healed)} ms after a cut of 20 s; lines "
            "of 12 to 120 hosts cut in half",
            judge(region, sizes.TRAFFIC_BYTES),
            "a cut of 185 hosts makes three times the news of a domain's "
            "loss; each down host is probed by someone every "
            f"{write(2000.0 / TARGET.hosts)} ms on average",
        ),
    ]
