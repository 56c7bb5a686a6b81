"""Keepers and holders of one endpoint, and what must not confuse them."""

import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import census
from chervilshore.decisions import concurrency
from chervilshore.decisions import holders
from chervilshore.decisions import keepers
from chervilshore.decisions import outlook
from chervilshore import grantmessages
from chervilshore import records
from tests import grants_helpers

WARM = records.Warmth.WARM
COLD = records.Warmth.COLD


def _make_keeper(hosts=(), cold=2, ends=5000.0):
    account = census.Census(hosts, 0.0, ends)
    limit = concurrency.Limit(cold, 32, 0.0)
    return keepers.Keeper("e", "k", 7, limit, account)


def _ask(holder, number, running=0, wanted=0, epoch=7, **more):
    return grantmessages.GrantAsk(
        "e", holder, 1, number, epoch, running, wanted=wanted, **more
    )


def _report(running=0, warmth=COLD, limit=2, age_ms=0.0, **more):
    return grantmessages.Holding(
        "e",
        7,
        running=running,
        longest_ms=900.0,
        limit=limit,
        warmth=warmth,
        age_ms=age_ms,
        **more,
    )


@pytest.fixture
def holder():
    made = holders.Holder("e", "h", 3)
    made.take_recall("k", 7, 0.0)
    made.wanted = 1
    made.ask("k", 500.0, 0.0)
    return made


def _reply(holder, slots=1, number=None, **more):
    fields = {"life": 3, "epoch": 7, "serial": 1, "warmth": COLD} | more
    number = holder._number if number is None else number
    return grantmessages.GrantReply(
        "e",
        "k",
        number=number,
        slots=slots,
        lifetime_ms=1000.0,
        limit=2,
        **fields,
    )


@pytest.mark.parametrize(
    "change", [{"life": 2}, {"epoch": 6}, {"serial": 0}, {"number": 0}]
)
def test_a_holder_takes_only_the_answer_to_its_latest_message(holder, change):
    taken = holder.take_reply(_reply(holder, **change), 1.0)
    assertions.assert_that(taken, matchers.Is(False))
    assertions.assert_that(holder.count_free(1.0), matchers.Equals(0))


def test_a_slot_lapses_counted_from_when_it_was_asked_for(holder):
    holder.ask("k", 5000.0, 100.0)
    holder.take_reply(_reply(holder), 400.0)
    grant = holder.take(5000.0, 450.0)
    assertions.assert_that(holder.confirm(grant, 1099.0), matchers.Is(True))
    assertions.assert_that(holder.confirm(grant, 1100.0), matchers.Is(False))
    assertions.assert_that(holder.count_free(1100.0), matchers.Equals(0))


def test_a_slot_is_not_used_for_longer_than_was_told(holder):
    holder.take_reply(_reply(holder), 1.0)
    assertions.assert_that(holder.take(501.0, 1.0), matchers.Is(None))


def test_a_slot_not_yet_used_is_void_once_the_endpoint_is_cold(holder):
    holder.take_reply(_reply(holder, slots=3, warmth=WARM), 1.0)
    begun, waiting = holder.take(400.0, 2.0), holder.take(400.0, 2.0)
    holder.confirm(begun, 2.0)
    holder.take_reply(_reply(holder, slots=0, serial=2), 3.0)
    assertions.assert_that(holder.confirm(waiting, 4.0), matchers.Is(False))
    assertions.assert_that(holder.confirm(begun, 4.0), matchers.Is(True))


def test_a_silent_holder_is_counted_until_its_last_attempt_has_ended():
    keeper = _make_keeper()
    keeper.take_ask(_ask("a", 1, wanted=2, longest_ms=3000.0), 0.0)
    replies = keeper.take_ask(_ask("b", 1, wanted=1), 2900.0)
    assertions.assert_that(replies["b"].slots, matchers.Equals(0))
    keeper.take_ask(_ask("b", 2, wanted=1), 3000.0)
    replies = keeper.tick(3051.0)
    assertions.assert_that(replies["b"].slots, matchers.Equals(1))


@pytest.mark.parametrize(
    "report",
    [
        {"others": ("x",)},
        {"former": "x"},
        {"unsettled_ms": 900.0},
    ],
)
def test_a_new_keeper_waits_for_whom_others_name(report):
    keeper = _make_keeper(("a",))
    others = report.pop("others", ())
    keeper.take_report("a", 1, _report(**report), others, 0.0)
    keeper.set_hosts(frozenset("a"), frozenset(), frozenset("x"), 0.0)
    replies = keeper.take_ask(_ask("a", 1, wanted=1), 800.0)
    assertions.assert_that(replies["a"].slots, matchers.Equals(0))
    replies = keeper.take_ask(_ask("a", 2, wanted=1), 5000.0)
    assertions.assert_that(replies["a"].slots, matchers.Equals(1))


def test_a_new_keeper_counts_what_runs_already():
    keeper = _make_keeper(("a", "b"))
    keeper.take_report("a", 1, _report(running=2), (), 0.0)
    keeper.take_report("b", 1, _report(), (), 0.0)
    replies = keeper.take_ask(_ask("b", 1, wanted=1), 10.0)
    assertions.assert_that(replies["b"].slots, matchers.Equals(0))


@pytest.mark.parametrize(("age_ms", "expected"), [(100.0, 12), (60_000.0, 0)])
def test_a_warm_endpoint_needs_no_word_of_the_dead(age_ms, expected):
    keeper = _make_keeper(("a", "dead"))
    report = _report(running=12, warmth=WARM, limit=30, age_ms=age_ms)
    keeper.take_report("a", 1, report, (), 0.0)
    keeper.set_hosts(frozenset("a"), frozenset(("dead",)), frozenset(), 0.0)
    ask = _ask("a", 1, running=11, wanted=1, longest_ms=900.0)
    replies = keeper.take_ask(ask, 1.0)
    assertions.assert_that(replies["a"].slots, matchers.Equals(expected))


def test_the_freshest_word_on_warmth_counts():
    keeper = _make_keeper(("a", "b", "dead"))
    report = _report(warmth=WARM, limit=30, age_ms=900.0)
    keeper.take_report("a", 1, report, (), 0.0)
    keeper.take_report("b", 1, _report(age_ms=100.0), (), 0.0)
    keeper.set_hosts(frozenset("ab"), frozenset(("dead",)), frozenset(), 0.0)
    assertions.assert_that(keeper.is_settled(10.0), matchers.Is(False))


def test_the_first_sign_takes_free_slots_from_all_holders():
    keeper = _make_keeper()
    keeper.limit.resume(20, 32, 0.0)
    for name in "ab":
        keeper.take_ask(_ask(name, 1, wanted=8, longest_ms=900.0), 0.0)
    replies = keeper.take_ask(_ask("a", 2, running=7, cold=True), 10.0)
    slots = {name: reply.slots for name, reply in replies.items()}
    assertions.assert_that(slots, matchers.Equals({"a": 0, "b": 0}))


def _make_pair(rng):
    place = outlook.Place("a", 1, 8)
    fleet = grants_helpers.Fleet(rng, {"h1": "a", "h2": "a"}, {"e": place})
    fleet.millis = lambda endpoint: 1400.0
    fleet.run(500.0)
    node = fleet.hosts["h1"].node
    keeper = node.choose_keeper("e", 500.0)
    other = "h2" if keeper == "h1" else "h1"
    return fleet, keeper, other


@pytest.mark.parametrize("seed", range(10))
def test_a_keeper_that_wakes_does_not_go_on_where_it_stopped(seed):
    fleet, keeper, other = _make_pair(random.Random(seed))
    fleet.pause(keeper, 5000.0)
    fleet.doubt(other, keeper, 9000.0)
    # The other one has taken over and uses the endpoint at the wake-up.
    for moment in range(100, 6000, 100):
        fleet.after(moment, fleet.request, other, "e", 1500.0)
    fleet.after(4990.0, fleet.request, keeper, "e", 1500.0)
    fleet.run(9000.0)
    assertions.assert_that(fleet.worst, matchers.Equals({"e": 1}))
    assertions.assert_that(fleet.done["e"], matchers.GreaterThan(2))


def _run_warm(fleet, names, until):
    for moment in range(0, until, 4):
        name = names[moment // 4 % len(names)]
        fleet.after(float(moment), fleet.request, name, "e", 1000.0)


def test_a_warm_endpoint_that_turns_cold_gets_nothing_new_at_once():
    place = outlook.Place("a", 2, 32)
    names = ("h1", "h2", "h3")
    homes = dict.fromkeys(names, "a")
    fleet = grants_helpers.Fleet(random.Random(2), homes, {"e": place}, False)
    fleet.millis = lambda endpoint: fleet.rng.uniform(40, 60)
    _run_warm(fleet, names, 9000)
    fleet.run(8000.0)
    assertions.assert_that(fleet.worst["e"], matchers.GreaterThan(8))
    fleet.is_cold = True
    # What was in flight ends within 60 ms; messages take up to 1.5 ms.
    fleet.run(8075.0)
    fleet.worst["e"] = 0
    fleet.run(9000.0)
    assertions.assert_that(fleet.worst["e"], matchers.Equals(2))


def test_a_warm_endpoint_serves_on_when_its_keeper_dies():
    place = outlook.Place("a", 2, 32)
    names = ("h1", "h2", "h3")
    homes = dict.fromkeys(names, "a")
    fleet = grants_helpers.Fleet(random.Random(3), homes, {"e": place}, False)
    fleet.millis = lambda endpoint: fleet.rng.uniform(40, 60)
    _run_warm(fleet, names, 12_000)
    fleet.run(8000.0)
    fleet.kill(fleet.hosts["h1"].node.choose_keeper("e", 8000.0))
    # The others see it within two seconds.
    fleet.run(10_100.0)
    before = fleet.done["e"]
    fleet.run(11_100.0)
    done = fleet.done["e"] - before
    # Two of three hosts are left of 250 requests a second.
    assertions.assert_that(done, matchers.GreaterThan(150))


def test_a_keeper_out_of_reach_is_tried_again(holder):
    holder.take_reply(_reply(holder, warmth=WARM), 1.0)
    holder.wanted = 0
    for moment in (2000.0, 2300.0):
        holder.ask("k", 0.0, moment)
        holder.lose_reply()
    assertions.assert_that(holder.is_idle(2600.0), matchers.Is(False))
    assertions.assert_that(holder.needs_message(3300.0), matchers.Is(True))


def test_a_stage_that_has_its_slot_is_not_taken_for_the_next_one(holder):
    holder.take_reply(_reply(holder), 1.0)
    holder.take(400.0, 1.0)
    # Another stage waits, as many as the keeper was told of before.
    holder.wanted = 1
    assertions.assert_that(holder.wants_more(2.0), matchers.Is(True))


def test_a_former_keeper_hands_on_names_and_not_its_whole_wait():
    account = census.Census({"h2"}, not_before=2000.0, ends=72_000.0)
    assertions.assert_that(
        account.count_unsettled_ms(500.0), matchers.Equals(1500.0)
    )
    assertions.assert_that(account.unheard, matchers.Equals({"h2"}))
