"""The phases of a roll-out over several hosts, and what fails in them."""

import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore.decisions.rollouts import rollout
from chervilshore.decisions.rollouts import schedule as schedules
from chervilshore import records

OLD, NEW = "41", "42"
DURATION_MS = 60_000.0
LONGEST_MS = 3_000.0
STEP_MS = 500.0
REQUESTS = 12
"""Requests of a host in a step."""

Phase = rollout_records.Phase
State = rollout_records.RolloutState
ORDER = rollout_records.RolloutOrder("pool", NEW, DURATION_MS, 7)


def make_endpoints(version, count):
    return tuple(
        records.EndpointRecord(
            f"{version}-{number}",
            "pool",
            "abc"[number % 3],
            "",
            version=version,
            slots=4,
        )
        for number in range(count)
    )


class Fleet:
    """Hosts that send requests and exchange evidence each step."""

    def __init__(self, hosts=3, seed=1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.state = State.RUNNING
        self.ended_at = None
        self.new = make_endpoints(NEW, 6)
        self.old = make_endpoints(OLD, 6)
        self.names = [f"h{number}" for number in range(hosts)]
        self.runs = {name: self.make_run(name, 1) for name in self.names}
        self.silent = set()
        self.old_running = dict.fromkeys(self.names, 0)
        self.fails = 0.0
        self.sent = {OLD: 0, NEW: 0}
        self.has_store = True

    def make_run(self, name, incarnation, has_memory=True):
        return rollout.Rollout(
            ORDER,
            name,
            incarnation,
            rollout_records.ExposureLimits(),
            0.0,
            random.Random(self.rng.random()),
            3,
            has_memory,
        )

    def play(self, until, action=None):
        while self.now < until:
            self.now += STEP_MS
            for name in self.names:
                for _ in range(REQUESTS):
                    self.send(self.runs[name])
            self.decide()
            self.exchange()
            if action is not None:
                action(self)

    def send(self, run):
        version = NEW if run.prefers_new("report", self.now) else OLD
        if not run.allows(version, "report", self.now):
            return
        self.sent[version] += 1
        ready = self.new if version == NEW else self.old
        endpoint = self.rng.choice(ready).endpoint
        run.record_sent(version, "report", endpoint, self.now)
        failed = version == NEW and self.rng.random() < self.fails
        outcome = records.Outcome.REJECTED if failed else records.Outcome.OK
        millis = self.rng.uniform(100.0, 200.0)
        run.record_end(version, "report", endpoint, outcome, millis, self.now)

    def decide(self):
        for name, run in self.runs.items():
            view = rollout_records.RolloutView(
                self.new,
                self.old,
                frozenset(self.names),
                self.old_running[name],
                LONGEST_MS,
            )
            state = run.decide(view, self.now)
            if name in self.silent or not self.has_store:
                continue
            if self.state is State.RUNNING and state is not State.RUNNING:
                self.state, self.ended_at = state, self.now
            run.set_state(self.state, self.now)

    def exchange(self):
        for name, run in self.runs.items():
            report = run.make_evidence()
            if report is None or name in self.silent:
                continue
            for other, receiver in self.runs.items():
                if other != name and other not in self.silent:
                    receiver.absorb(report, self.now)

    def list_phases(self):
        return {run.phase for run in self.runs.values()}


@pytest.fixture
def fleet():
    return Fleet()


def assert_state(fleet, state):
    reasons = [run.describe(fleet.now) for run in fleet.runs.values()]
    assertions.assert_that(fleet.state, matchers.Is(state), str(reasons))


def assert_phases(fleet, phase):
    assertions.assert_that(fleet.list_phases(), matchers.Equals({phase}))


def test_a_good_version_is_completed_by_the_deadline(fleet):
    fleet.play(DURATION_MS)
    assert_state(fleet, State.COMPLETED)


def test_the_canary_stays_below_its_share(fleet):
    fleet.play(30_000.0)
    assert_phases(fleet, Phase.CANARY)
    sent = sum(fleet.sent.values())
    assertions.assert_that(fleet.sent[NEW], matchers.LessThan(0.1 * sent + 50))
    assertions.assert_that(fleet.sent[NEW], matchers.GreaterThan(0.06 * sent))


def test_a_bad_version_gets_nothing_more_once_it_is_condemned(fleet):
    fleet.fails = 0.2
    fleet.play(30_000.0)
    assert_state(fleet, State.ROLLED_BACK)
    sent = fleet.sent[NEW]
    fleet.play(DURATION_MS)
    assertions.assert_that(fleet.sent[NEW], matchers.Equals(sent))


def test_a_bad_version_gets_nothing_more_without_the_store(fleet):
    fleet.has_store = False
    fleet.fails = 0.2
    fleet.play(30_000.0)
    assert_phases(fleet, Phase.CONDEMNED)
    sent = fleet.sent[NEW]
    fleet.play(40_000.0)
    assertions.assert_that(fleet.sent[NEW], matchers.Equals(sent))
    fleet.has_store = True
    fleet.play(41_000.0)
    assert_state(fleet, State.ROLLED_BACK)


def test_a_version_that_turns_bad_after_the_switch_is_rolled_back(fleet):
    fleet.play(DURATION_MS - schedules.HOLD_MS - 3_000.0)
    assert_phases(fleet, Phase.SWITCHED)
    fleet.fails = 0.5
    fleet.play(DURATION_MS)
    assert_state(fleet, State.ROLLED_BACK)


def test_old_work_is_not_cut_off(fleet):
    fleet.old_running["h1"] = 1
    fleet.play(DURATION_MS + 5_000.0)
    assert_state(fleet, State.RUNNING)
    fleet.old_running["h1"] = 0
    fleet.play(DURATION_MS + 7_000.0)
    assert_state(fleet, State.COMPLETED)


def test_no_host_sends_to_the_old_version_once_it_is_stopped(fleet):
    seen = []

    def watch(fleet):
        if fleet.state is State.COMPLETED:
            seen.append(fleet.sent[OLD])

    fleet.play(DURATION_MS + 5_000.0, watch)
    assertions.assert_that(len(set(seen)), matchers.Equals(1))


def test_a_host_that_is_not_heard_of_does_not_block_the_deadline(fleet):
    fleet.play(20_000.0)
    fleet.silent = {"h2"}
    fleet.play(DURATION_MS)
    assert_state(fleet, State.COMPLETED)
    assertions.assert_that(
        fleet.ended_at,
        matchers.GreaterThan(DURATION_MS - schedules.CLOSING_MS - 1.0),
    )


def test_a_host_without_peers_does_not_complete_for_all(fleet):
    fleet.play(20_000.0)
    lone = fleet.runs["h0"]
    view = rollout_records.RolloutView(
        fleet.new, fleet.old, frozenset(fleet.names), 0, LONGEST_MS
    )
    lone.phase = Phase.SWITCHED
    for now in range(20_000, 90_000, 500):
        state = lone.decide(view, float(now))
        assertions.assert_that(state, matchers.Is(State.RUNNING))


def test_a_version_without_enough_endpoints_is_not_moved_to(fleet):
    fleet.new = make_endpoints(NEW, 2)
    fleet.play(DURATION_MS - STEP_MS)
    assert_phases(fleet, Phase.CANARY)
    assert_state(fleet, State.RUNNING)
    fleet.play(DURATION_MS + STEP_MS)
    assert_state(fleet, State.ROLLED_BACK)


def test_a_version_without_endpoints_gets_no_request(fleet):
    fleet.new = ()
    fleet.play(DURATION_MS - STEP_MS)
    assertions.assert_that(fleet.sent[NEW], matchers.Equals(0))


def test_old_endpoints_serve_while_no_new_one_is_left(fleet):
    fleet.play(DURATION_MS - schedules.HOLD_MS - 3_000.0)
    assert_phases(fleet, Phase.SWITCHED)
    fleet.new = ()
    fleet.decide()
    for run in fleet.runs.values():
        assertions.assert_that(
            run.allows(OLD, "report", fleet.now), matchers.Is(True)
        )


def test_a_host_that_starts_anew_learns_the_phase(fleet):
    fleet.play(DURATION_MS - schedules.HOLD_MS - 3_000.0)
    anew = fleet.make_run("h0", 2, has_memory=False)
    fleet.runs["h0"] = anew
    for report in fleet.runs["h1"].list_evidence():
        anew.absorb(report, fleet.now)
    assert_phases(fleet, Phase.SWITCHED)
    fleet.play(DURATION_MS)
    assert_state(fleet, State.COMPLETED)


def test_all_hosts_that_start_anew_complete_in_time(fleet):
    fleet.play(25_000.0)
    for name in fleet.names:
        fleet.runs[name] = fleet.make_run(name, 2, has_memory=False)
    fleet.play(DURATION_MS)
    assert_state(fleet, State.COMPLETED)


def test_evidence_of_another_order_is_ignored(fleet):
    fleet.fails = 0.5
    fleet.play(20_000.0)
    report = fleet.runs["h0"].make_evidence()
    other = rollout.Rollout(
        rollout_records.RolloutOrder("pool", NEW, DURATION_MS, 8),
        "h1",
        1,
        rollout_records.ExposureLimits(),
        0.0,
        random.Random(1),
    )
    for report in fleet.runs["h1"].list_evidence():
        other.absorb(report, fleet.now)
    assertions.assert_that(other.phase, matchers.Is(Phase.CANARY))


def test_a_final_state_stays(fleet):
    run = fleet.runs["h0"]
    run.set_state(State.COMPLETED, 0.0)
    run.set_state(State.ROLLED_BACK, 0.0)
    assertions.assert_that(run.state, matchers.Is(State.COMPLETED))
    assertions.assert_that(run.allows(OLD, "report", 0.0), matchers.Is(False))


def test_unchanged_evidence_is_not_sent_again(fleet):
    fleet.play(5_000.0)
    fleet.decide()
    run = fleet.runs["h0"]
    run.make_evidence()
    assertions.assert_that(run.make_evidence(), matchers.Is(None))


def test_canaries_are_few_and_all_take_a_turn(fleet):
    fleet.decide()
    run = fleet.runs["h0"]
    turns = [run.choose_canaries(now * 2_000.0) for now in range(6)]
    assertions.assert_that({len(turn) for turn in turns}, matchers.Equals({1}))
    everyone = frozenset(record.endpoint for record in fleet.new)
    assertions.assert_that(
        frozenset().union(*turns), matchers.Equals(everyone)
    )
