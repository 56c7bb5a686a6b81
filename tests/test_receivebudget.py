"""The sum of the responses that a process holds.

The load: endpoints that send without end, as many as there may be, beside
sound ones with short, long and very long responses, and slow callers.
"""

import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import receivebudget

TOTAL = 48_000_000
LIMIT = 16_000_000
READ = receivebudget.READ_BYTES
FLOOR = receivebudget.FLOOR_BYTES


@pytest.fixture
def budget():
    return receivebudget.ReceiveBudget(TOTAL)


def read(budget, holding):
    """Read what is allowed; return how many bytes that are."""
    size = budget.allow(holding)
    budget.update(holding, holding.held + size)
    return size


def read_until_stopped(budget, holdings):
    """Read from all in turn until none may be read; close those at the end."""
    ended = []
    while any([read(budget, one) for one in holdings if one not in ended]):
        for one in holdings:
            if one not in ended and one.held >= one.limit:
                budget.close(one)
                ended.append(one)
    return ended


@pytest.mark.parametrize("count", [1, 10, 60, 300, 2000])
def test_sum_is_bounded_and_all_come_to_their_end(budget, count):
    """Guards against a host that runs out of memory as responses never end."""
    holdings = [budget.open(LIMIT) for _ in range(count)]
    most = 0
    ended = 0
    while holdings:
        sizes = [read(budget, one) for one in holdings]
        most = max(most, budget.charged)
        at_end = [one for one in holdings if one.held >= one.limit]
        for one in at_end:
            budget.close(one)
        if not any(sizes) and not at_end:
            victim = budget.choose_victim()
            budget.close(victim)
            at_end = [victim]
        holdings = [one for one in holdings if one not in at_end]
        ended += len(at_end)
        if ended > 40:
            break
    assertions.assert_that(most <= TOTAL, matchers.Equals(True))
    assertions.assert_that(ended >= min(count, 40), matchers.Equals(True))


def test_large_response_is_read_beside_others_that_wait(budget):
    """The largest one can always go on; none has to be cut for it."""
    holdings = [budget.open(LIMIT) for _ in range(20)]
    ended = read_until_stopped(budget, holdings)
    assertions.assert_that(len(ended), matchers.Equals(20))


def test_short_response_never_waits(budget):
    holdings = [budget.open(LIMIT) for _ in range(300)]
    for _ in range(100):
        for one in holdings:
            read(budget, one)
    short = budget.open(LIMIT)
    assertions.assert_that(budget.allow(short) >= FLOOR, matchers.Equals(True))


def test_response_of_known_length_is_not_cut_for_others(budget):
    holdings = [budget.open(LIMIT) for _ in range(2)]
    holdings[0].is_declared = True
    budget.update(holdings[0], 9_000_000)
    budget.update(holdings[1], 1_000_000)
    assertions.assert_that(budget.choose_victim(), matchers.Is(holdings[1]))


def test_answers_that_slow_callers_have_not_taken_count(budget):
    kept = [budget.open(LIMIT) for _ in range(3)]
    for one in kept:
        budget.complete(one, LIMIT)
    growing = budget.open(LIMIT)
    assertions.assert_that(budget.allow(growing), matchers.Equals(FLOOR))
    assertions.assert_that(budget.choose_victim(), matchers.Is(None))
    budget.close(kept[0])
    assertions.assert_that(budget.allow(growing), matchers.Equals(READ))


@pytest.mark.parametrize("seed", range(20))
def test_nothing_is_held_once_all_have_ended(budget, seed):
    rng = random.Random(seed)
    holdings = [
        budget.open(rng.choice([FLOOR, 1_000_000, LIMIT])) for _ in range(50)
    ]
    for _ in range(2000):
        one = rng.choice(holdings)
        budget.update(one, rng.randrange(one.limit))
    for one in holdings * 2:
        budget.close(one)
    assertions.assert_that(budget.charged, matchers.Equals(0))


def receive(budget, holding, rng):
    """Receive what the socket of a connection that is read may bring.

    Returns
    -------
    bool
        Whether it is read on.
    """
    size = rng.randint(1, max(1, budget.allow(holding)))
    budget.update(holding, holding.held + size)
    return budget.reserve(holding)


# Guards against a sum beyond its bound: connections that are read already get
# more bytes after others have taken the last room.
@pytest.mark.parametrize("seed", range(20))
def test_connections_that_are_read_stay_within_the_sum(budget, seed):
    rng = random.Random(seed)
    limits = [263_168, 1_000_000, LIMIT]
    reading = [budget.open(rng.choice(limits)) for _ in range(400)]
    waiting = []
    most = 0
    for _ in range(3000):
        if not reading:
            reading = [one for one in waiting if budget.reserve(one)]
            waiting = [one for one in waiting if not one.reserved]
            assertions.assert_that(reading, matchers.Not(matchers.Equals([])))
        one = reading.pop(rng.randrange(len(reading)))
        if one.held >= one.limit:
            budget.close(one)
            reading.append(budget.open(rng.choice(limits)))
        elif receive(budget, one, rng):
            reading.append(one)
        else:
            waiting.append(one)
        most = max(most, budget.charged)
    assertions.assert_that(most <= TOTAL, matchers.Equals(True))
