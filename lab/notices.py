"""Which hosts hear of a generation when some are dead and not yet known."""

import random

from chervilshore.decisions import rollout
from chervilshore import ids
from chervilshore import records

HOSTS = 62
TRIALS = 200
DEAD_COUNTS = (0, 3, 6)


def make_hosts() -> list[records.HostRecord]:
    """Make the hosts of one domain."""
    return [
        records.HostRecord(
            ids.HostId(f"h{number}"),
            ids.DomainId("d"),
            ids.Address(f"{number}"),
            ids.Address(f"{number}"),
        )
        for number in range(HOSTS)
    ]


def choose_in_ring(host, hosts, generation) -> list[str]:
    """Choose as the package does."""
    return rollout.choose_notify_targets(
        host.host, host.domain, hosts, generation, False
    )


def choose_in_trees(trees: int, fanout: int):
    """Make the choice by trees, each with a root that all know."""

    def choose(host, hosts, generation) -> list[str]:
        chosen = []
        for tree in range(trees):
            order = sorted(
                hosts,
                key=lambda one: random.Random(
                    f"{one.host}/{tree}/{generation}"
                ).random(),
            )
            place = order.index(host)
            first = place * fanout + 1
            chosen.extend(order[first : first + fanout])
            if place:
                chosen.append(order[0])
        return [other.peer_address for other in chosen]

    return choose


def choose_at_random(fanout: int):
    """Make the choice by chance."""

    def choose(host, hosts, generation) -> list[str]:
        generator = random.Random(f"{host.host}/{generation}")
        chosen = generator.sample(hosts, fanout)
        return [other.peer_address for other in chosen]

    return choose


def propagate(choose, hosts, dead: set[str], generation: int) -> tuple:
    """Spread one generation; count who missed it and the most sends."""
    live = [host for host in hosts if host.peer_address not in dead]
    by_address = {host.peer_address: host for host in live}
    first = live[generation % len(live)]
    known, queue, most = {first.host}, [first], 0
    while queue:
        host = queue.pop()
        chosen = choose(host, hosts, generation)
        most = max(most, len(chosen))
        for address in chosen:
            other = by_address.get(address)
            if other is not None and other.host not in known:
                known.add(other.host)
                queue.append(other)
    return len(live) - len(known), most


STRATEGIES = {
    "one tree, 4 children": choose_in_trees(1, 4),
    "two trees, 2 children": choose_in_trees(2, 2),
    "4 at random": choose_at_random(4),
    "ring, 4 distances": choose_in_ring,
}


def main() -> None:
    """Print a row for each way and number of dead hosts."""
    hosts = make_hosts()
    print(f"{HOSTS} hosts, {TRIALS} trials")
    for name, choose in STRATEGIES.items():
        for count in DEAD_COUNTS:
            generator = random.Random(3)
            missed = most = 0
            for generation in range(1, TRIALS + 1):
                dead = generator.sample(hosts, count)
                names = {host.peer_address for host in dead}
                left, sends = propagate(choose, hosts, names, generation)
                missed += left
                most = max(most, sends)
            mean = missed / TRIALS
            print(f"{name}: {count} dead, {mean:.2f} miss it, {most} sends")


if __name__ == "__main__":
    main()
