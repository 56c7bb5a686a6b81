"""Compares how generation notices spread while undetected hosts are dead."""

import random

from chervilshore.decisions import dissemination
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
    """Return the targets that the daemon chooses."""
    return dissemination.choose_notify_targets(
        host.host, host.domain, hosts, generation, False
    )


def choose_in_trees(trees: int, fanout: int):
    """Return a function that chooses the children in some trees.

    All hosts know the root of each tree and also notify it.
    """

    def choose(host, hosts, generation) -> list[str]:
        chosen = []
        for tree in range(trees):
            order = sorted(
                hosts,
                key=lambda one: random.Random(
                    f"{one.host}/{tree}/{generation}"
                ).random(),
            )
            position = order.index(host)
            first = position * fanout + 1
            chosen.extend(order[first : first + fanout])
            if position:
                chosen.append(order[0])
        return [other.peer_address for other in chosen]

    return choose


def choose_at_random(fanout: int):
    """Return a function that chooses random hosts."""

    def choose(host, hosts, generation) -> list[str]:
        generator = random.Random(f"{host.host}/{generation}")
        chosen = generator.sample(hosts, fanout)
        return [other.peer_address for other in chosen]

    return choose


def propagate(choose, hosts, dead: set[str], generation: int) -> tuple:
    """Propagate a generation.

    Returns
    -------
    tuple of int
        The number of live hosts that missed it, and the most sends by a host.
    """
    live = [host for host in hosts if host.peer_address not in dead]
    by_address = {host.peer_address: host for host in live}
    first = live[generation % len(live)]
    known, queue, max_sends = {first.host}, [first], 0
    while queue:
        host = queue.pop()
        chosen = choose(host, hosts, generation)
        max_sends = max(max_sends, len(chosen))
        for address in chosen:
            other = by_address.get(address)
            if other is not None and other.host not in known:
                known.add(other.host)
                queue.append(other)
    return len(live) - len(known), max_sends


STRATEGIES = {
    "one tree, 4 children": choose_in_trees(1, 4),
    "two trees, 2 children": choose_in_trees(2, 2),
    "4 at random": choose_at_random(4),
    "ring, 4 distances": choose_in_ring,
}


def main() -> None:
    """Print a line for each strategy and number of dead hosts."""
    hosts = make_hosts()
    print(f"{HOSTS} hosts, {TRIALS} trials")
    for name, choose in STRATEGIES.items():
        for count in DEAD_COUNTS:
            generator = random.Random(3)
            missed = max_sends = 0
            for generation in range(1, TRIALS + 1):
                dead = generator.sample(hosts, count)
                addresses = {host.peer_address for host in dead}
                not_notified, sends = propagate(
                    choose, hosts, addresses, generation
                )
                missed += not_notified
                max_sends = max(max_sends, sends)
            mean = missed / TRIALS
            print(
                f"{name}: {count} dead, {mean:.2f} miss it, {max_sends} sends"
            )


if __name__ == "__main__":
    main()
