"""The fair queue: priority classes, deadlines and teams."""

import collections

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import fairness
from tests import flow_helpers


def accept_all(ticket):
    return True


def fill(queue, *tickets):
    for ticket in tickets:
        queue.push(ticket, ticket.since)
    return queue


def drain(queue, now, count):
    found = [queue.pop(now, accept_all) for _ in range(count)]
    return [ticket.number for ticket in found if ticket]


def test_a_low_priority_ticket_is_served_after_aging():
    queue = fairness.FairQueue()
    low = flow_helpers.make_ticket(1, priority=5, aging_ms=1000)
    queue.push(low, 0.0)
    served = None
    for step in range(100):
        now = step * 100.0
        queue.push(flow_helpers.make_ticket(10 + step, since=now), now)
        if queue.pop(now, accept_all) is low:
            served = now
            break
    # It counts as if it had come later by 5 times 1000 ms.
    assertions.assert_that(served, matchers.Equals(5000.0))


def test_the_earliest_deadline_goes_first_within_a_team():
    queue = fill(
        fairness.FairQueue(),
        flow_helpers.make_ticket(1, deadline=900.0),
        flow_helpers.make_ticket(2, deadline=300.0),
        flow_helpers.make_ticket(3, deadline=600.0),
    )
    assertions.assert_that(drain(queue, 0.0, 4), matchers.Equals([2, 3, 1]))


@pytest.mark.parametrize("together", [1, 3])
def test_a_small_team_gets_its_share_beside_a_flood(together):
    queue = fairness.FairQueue()
    for number in range(400):
        queue.push(flow_helpers.make_ticket(number, "large"), 0.0)
    waiting = collections.deque()
    served = collections.Counter()
    for step in range(300):
        # The small team has few tickets at a time, and adds new ones.
        while len(waiting) < together:
            number = 1000 + step * 10 + len(waiting)
            waiting.append(flow_helpers.make_ticket(number, "small"))
            queue.push(waiting[-1], 0.0)
        ticket = queue.pop(0.0, accept_all)
        served[ticket.requirements.team] += 1
        if ticket.requirements.team == "small":
            waiting.remove(ticket)
    assertions.assert_that(
        dict(served), matchers.Equals({"small": 150, "large": 150})
    )


def test_tickets_that_cannot_meet_their_deadline_expire():
    queue = fill(
        fairness.FairQueue(lambda now: 50.0),
        flow_helpers.make_ticket(1, deadline=149.0),
        flow_helpers.make_ticket(2, deadline=150.0),
    )
    assertions.assert_that(drain(queue, 100.0, 2), matchers.Equals([2]))
    dropped = [ticket.number for ticket in queue.expire(100.0)]
    assertions.assert_that(dropped, matchers.Equals([1]))
    assertions.assert_that(queue.expire(100.0), matchers.Equals([]))


class QueueMachine(stateful.RuleBasedStateMachine):
    """Compares the queue with a dict of the waiting tickets."""

    def __init__(self):
        super().__init__()
        self.queue = fairness.FairQueue()
        self.waiting = {}
        self.now = 0.0
        self.number = 0

    @stateful.rule(
        team=strategies.sampled_from("abc"),
        priority=strategies.integers(0, 2),
        budget=strategies.integers(1, 200),
        domain=strategies.sampled_from(["north", "south"]),
    )
    def push(self, team, priority, budget, domain):
        self.number += 1
        ticket = flow_helpers.make_ticket(
            self.number,
            team,
            priority,
            since=self.now,
            deadline=self.now + budget,
            domains=(domain,),
        )
        self.queue.push(ticket, self.now)
        self.waiting[ticket.number] = ticket

    @stateful.rule(domain=strategies.sampled_from(["north", "south"]))
    def pop(self, domain):
        def eligible(ticket):
            return domain in ticket.requirements.domains

        left = [
            ticket
            for ticket in self.waiting.values()
            if eligible(ticket) and ticket.requirements.deadline >= self.now
        ]
        ticket = self.queue.pop(self.now, eligible)
        assert (ticket is None) == (not left)
        if ticket is not None:
            assert ticket in left
            del self.waiting[ticket.number]

    @stateful.rule(data=strategies.data())
    def remove(self, data):
        if self.waiting:
            number = data.draw(strategies.sampled_from(sorted(self.waiting)))
            self.queue.remove(self.waiting.pop(number))

    @stateful.rule(step=strategies.integers(1, 100))
    def expire(self, step):
        self.now += step
        for ticket in self.queue.expire(self.now):
            assert (
                self.waiting.pop(ticket.number).requirements.deadline
                < self.now
            )
        assert len(self.queue) == len(self.waiting)


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=40,
)
