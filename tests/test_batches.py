"""Pieces of all hosts' requests, and the calls that they share."""

import hypothesis
from hypothesis import strategies
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import batchplanner
from chervilshore.decisions import makers
from chervilshore.decisions import piecejobs
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

BATCHING = model.Batching(
    most=15,
    call_ms=240.0,
    piece_ms=13.2,
    room_bytes=1_666_667.0,
    keep_ms=4000.0,
)


def make_record(name, domain="a"):
    return records.EndpointRecord(
        endpoint=ids.EndpointId(name),
        pool=ids.PoolName("desk"),
        domain=ids.DomainId(domain),
        address=ids.Address(f"10.0.0.1:{80 + len(name)}"),
    )


def make_job(name, count=4, due=1000.0, deadline=5000.0, **changes):
    return piecejobs.Job(
        name=name,
        request=ids.RequestId(name),
        stage=1,
        count=count,
        due=due,
        deadline=deadline,
        **changes,
    )


@pytest.fixture
def planner():
    found = batchplanner.BatchPlanner(BATCHING)
    found.set_endpoints([make_record("w1"), make_record("w2")])
    return found


def end_call(planner, call, now):
    handles = [f"{call.record.endpoint}/{now}/{i}" for i in range(call.size)]
    return planner.finish(call, handles, now)


def list_jobs(call):
    return [part.job.name for part in call.parts]


def test_a_burst_from_many_hosts_shares_calls(planner):
    """Pattern: many small requests of one kind at once.

    Two endpoints would need 24 calls of about 300 ms for 48 requests with
    a call each; shared calls carry 15 pieces.
    """
    for number in range(48):
        planner.add(make_job(f"j{number}", due=1e9, deadline=1e9))
    now, calls = 0.0, 0
    done = 0
    while done < 48:
        running = planner.plan(now)
        calls += len(running)
        now += planner.expect_ms(BATCHING.most)
        for call in running:
            done += len(end_call(planner, call, now)[0])
            planner.note_freed(
                call.record.endpoint,
                list(planner._makers[call.record.endpoint].results),
            )
    assertions.assert_that(calls, matchers.LessThan(16))


def test_what_can_be_timely_goes_before_what_is_late(planner):
    planner.add(make_job("late", count=15, due=-1.0, deadline=900.0))
    planner.add(make_job("timely", count=15, due=500.0))
    planner.set_endpoints([make_record("w1")])
    first = planner.plan(0.0)
    assertions.assert_that(
        [list_jobs(call) for call in first], matchers.Equals([["timely"]])
    )


def test_urgent_work_goes_first_among_equals(planner):
    planner.add(make_job("slack", count=15, due=1000.0, priority=2))
    planner.add(make_job("urgent", count=15, due=1100.0, priority=0))
    planner.set_endpoints([make_record("w1")])
    assertions.assert_that(
        list_jobs(planner.plan(0.0)[0]), matchers.Equals(["urgent"])
    )


def test_late_work_is_taken_along_in_places_that_are_left(planner):
    planner.add(make_job("timely"))
    planner.add(make_job("late", due=-1.0))
    planner.set_endpoints([make_record("w1")])
    assertions.assert_that(
        list_jobs(planner.plan(0.0)[0]), matchers.Equals(["timely", "late"])
    )


def test_an_endpoint_has_one_call_at_a_time(planner):
    planner.add(make_job("j1", count=60))
    calls = planner.plan(0.0)
    assertions.assert_that(
        [call.size for call in calls], matchers.Equals([15, 15])
    )
    assertions.assert_that(planner.plan(1.0), matchers.Equals([]))


def test_pieces_of_a_slow_endpoint_go_elsewhere_too(planner):
    planner.set_endpoints([make_record("slow"), make_record("good")])
    planner.add(make_job("j1"))
    slow = planner.plan(0.0)[0]
    late = 2.0 * slow.expected_ms + batchplanner.LATE_SLACK_MS
    second = planner.plan(late)
    assertions.assert_that(len(second), matchers.Equals(1))
    assertions.assert_that(
        second[0].record.endpoint,
        matchers.Not(matchers.Equals(slow.record.endpoint)),
    )
    done, _ = end_call(planner, second[0], late + 300.0)
    assertions.assert_that([job.name for job in done], matchers.Equals(["j1"]))
    _, spare = end_call(planner, slow, late + 900.0)
    assertions.assert_that(len(spare), matchers.Equals(4))


def test_an_endpoint_that_lost_a_call_rests(planner):
    planner.set_endpoints([make_record("w1")])
    planner.add(make_job("j1"))
    call = planner.plan(0.0)[0]
    planner.fail(call, full=False, now=10.0)
    assertions.assert_that(planner.plan(20.0), matchers.Equals([]))
    later = planner.plan(10.0 + makers.FAILED_MS)
    assertions.assert_that(
        [list_jobs(one) for one in later], matchers.Equals([["j1"]])
    )


def test_a_job_fails_after_a_few_lost_calls(planner):
    planner.add(make_job("j1"))
    now = 0.0
    failed = []
    while not failed:
        call = planner.plan(now)[0]
        failed = planner.fail(call, full=False, now=now)
        now += makers.MOST_FAILED_MS
    assertions.assert_that(
        [job.name for job in failed], matchers.Equals(["j1"])
    )
    assertions.assert_that(now, matchers.LessThan(20_000.0))


def test_a_full_endpoint_costs_a_job_no_try(planner):
    planner.set_endpoints([make_record("w1")])
    planner.add(make_job("j1", deadline=1e9))
    now = 0.0
    for _ in range(10):
        call = planner.plan(now)[0]
        assertions.assert_that(
            planner.fail(call, full=True, now=now), matchers.Equals([])
        )
        now += makers.BACKOFF_MS


def test_results_that_are_kept_take_room(planner):
    planner.set_endpoints([make_record("w1")])
    planner.add(make_job("j1", count=15, result_bytes=60_000))
    planner.add(make_job("j2", count=15, result_bytes=60_000))
    first = planner.plan(0.0)[0]
    end_call(planner, first, 400.0)
    second = planner.plan(400.0)[0]
    assertions.assert_that(second.size, matchers.Equals(11))


def test_room_counts_as_taken_until_results_are_given_up(planner):
    planner.set_endpoints([make_record("w1")])
    planner.add(make_job("j1", count=15, result_bytes=100_000))
    first = planner.plan(0.0)[0]
    end_call(planner, first, 400.0)
    planner.add(make_job("j2", count=15, result_bytes=100_000))
    assertions.assert_that(planner.plan(500.0)[0].size, matchers.Equals(1))
    taken = list(planner._makers["w1"].results)
    planner.note_freed(ids.EndpointId("w1"), taken)
    assertions.assert_that(
        planner.count_room(ids.EndpointId("w1"), 500.0),
        matchers.Equals(BATCHING.room_bytes),
    )


def test_an_endpoint_that_is_fuller_than_it_seemed_is_asked_for_less(
    planner,
):
    planner.set_endpoints([make_record("w1")])
    planner.add(make_job("j1", count=15, result_bytes=60_000))
    call = planner.plan(0.0)[0]
    handles = ["h"] * 10 + [""] * 5
    planner.finish(call, handles, 400.0)
    planner.retry_missing(call, 5, 400.0)
    room = planner.count_room(ids.EndpointId("w1"), 400.0)
    assertions.assert_that(
        room, matchers.LessThan(BATCHING.room_bytes - 5 * 60_000)
    )


def test_large_results_are_made_near_their_reader(planner):
    """Pattern: results of most of a megabyte, read in one domain."""
    planner.set_endpoints([make_record("w1", "a"), make_record("w2", "b")])
    planner.add(
        make_job("j1", count=1, far_bytes=800_000, domain=ids.DomainId("b"))
    )
    calls = planner.plan(0.0)
    assertions.assert_that(
        [call.record.endpoint for call in calls], matchers.Equals(["w2"])
    )


def test_no_request_waits_for_a_near_endpoint_beyond_its_time(planner):
    planner.set_endpoints([make_record("w1", "a"), make_record("w2", "b")])
    planner.add(make_job("j0", count=15, domain=ids.DomainId("b")))
    busy = planner.plan(0.0)[0]
    other = "b" if busy.record.domain == "b" else "a"
    planner.add(
        make_job(
            "j1",
            far_bytes=800_000,
            count=1,
            due=100.0,
            domain=ids.DomainId(other),
        )
    )
    calls = planner.plan(10.0)
    assertions.assert_that(
        [list_jobs(call) for call in calls], matchers.Equals([["j1"]])
    )


def test_what_comes_too_late_is_given_up_at_once(planner):
    planner.set_endpoints([])
    planner.add(make_job("j1", deadline=100.0))
    assertions.assert_that(planner.expire(99.0), matchers.Equals([]))
    assertions.assert_that(
        [job.name for job in planner.expire(100.0)],
        matchers.Equals(["j1"]),
    )


def test_timely_work_waits_only_behind_timely_work(planner):
    """Pattern: a backlog of late requests after a burst."""
    for number in range(30):
        planner.add(make_job(f"late{number}", due=-1.0))
    waits = planner.estimate_waits(0.0)
    assertions.assert_that(waits.find_timely(5), matchers.Equals(0.0))
    assertions.assert_that(waits.late_ms, matchers.GreaterThan(1000.0))


def test_a_new_run_of_an_endpoint_is_free(planner):
    planner.set_endpoints([make_record("w1")])
    planner.add(make_job("j1"))
    planner.plan(0.0)
    renewed = records.EndpointRecord(
        **{
            name: getattr(make_record("w1"), name)
            for name in make_record("w1").__struct_fields__
        }
        | {"instance": ids.InstanceId("w1/2")}
    )
    planner.set_endpoints([renewed])
    planner.add(make_job("j2"))
    assertions.assert_that(len(planner.plan(1.0)), matchers.Equals(1))


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 40),
            strategies.sampled_from(["ok", "partial", "full", "lost"]),
        ),
        min_size=1,
        max_size=25,
    )
)
def test_every_job_ends_and_no_piece_is_counted_twice(steps):
    planner = batchplanner.BatchPlanner(BATCHING)
    planner.set_endpoints([make_record("w1"), make_record("w2")])
    open_jobs = set()
    now = 0.0
    for number, (count, outcome) in enumerate(steps):
        name = f"j{number}"
        open_jobs.add(name)
        planner.add(make_job(name, count=count, due=now, deadline=now + 1e4))
        for call in planner.plan(now):
            assertions.assert_that(
                call.size, matchers.LessThan(BATCHING.most + 1)
            )
            now += 50.0
            ended = []
            if outcome in ("full", "lost"):
                ended += planner.fail(call, outcome == "full", now)
            else:
                handles = ["h"] * call.size
                if outcome == "partial":
                    handles[0] = ""
                done, _ = planner.finish(call, handles, now)
                ended += done + planner.retry_missing(call, 0, now)
            for job in ended:
                open_jobs.remove(job.name)
    now += 1e6
    while True:
        open_jobs -= {job.name for job in planner.expire(now)}
        calls = planner.plan(now)
        if not calls:
            break
        for call in calls:
            done, _ = planner.finish(call, ["h"] * call.size, now)
            open_jobs -= {job.name for job in done}
    assertions.assert_that(open_jobs, matchers.Equals(set()))


def test_inputs_are_read_when_all_calls_of_a_job_have_begun(planner):
    planner.set_endpoints([make_record("w1")])
    job = make_job("j", count=20, inputs=("10.0.0.2:80/1",))
    planner.add(job)
    (first,) = planner.plan(0.0)
    assertions.assert_that(planner.note_read(first), matchers.Equals([]))
    end_call(planner, first, 400.0)
    (second,) = planner.plan(400.0)
    assertions.assert_that(planner.note_read(second), matchers.Equals([job]))


def test_inputs_of_pieces_that_go_elsewhere_are_still_needed(planner):
    job = make_job("j", count=20, inputs=("10.0.0.2:80/1",))
    planner.add(job)
    lost, other = planner.plan(0.0)
    planner.note_read(lost)
    planner.fail(lost, False, 100.0)
    assertions.assert_that(planner.note_read(other), matchers.Equals([]))


def test_large_inputs_take_longer_to_read(planner):
    planner.add(make_job("small", count=15, inputs=("h",)))
    (small,) = planner.plan(0.0)
    planner.add(make_job("large", count=15, inputs=("h",), input_bytes=10**6))
    (large,) = planner.plan(1.0)
    expected = 2.0 * 15 * 10**6 * 8 / 1e9 * 1000.0
    assertions.assert_that(
        planner.expect_read_ms(large) - planner.expect_read_ms(small),
        matchers.Equals(expected),
    )


def test_a_job_is_not_cut_in_two_to_fill_the_last_room(planner):
    """Pattern: a queue of requests that each need several pieces.

    A job that is cut is ready no sooner than its second call, and its first
    results take room until then.
    """
    planner.set_endpoints([make_record("w1")])
    size = int(BATCHING.room_bytes / 11)
    for number in range(4):
        planner.add(
            make_job(f"j{number}", 4, 1000.0 + number, result_bytes=size)
        )
    planner.add(make_job("small", 2, 2000.0, result_bytes=size))
    (call,) = planner.plan(0.0)
    assertions.assert_that(
        list_jobs(call), matchers.Equals(["j0", "j1", "small"])
    )


def test_the_first_job_goes_on_however_little_room_is_left(planner):
    planner.set_endpoints([make_record("w1")])
    planner.add(make_job("large", count=12, result_bytes=300_000))
    (call,) = planner.plan(0.0)
    assertions.assert_that(call.size, matchers.Equals(5))


def test_urgent_work_does_not_wait_for_what_gives_way(planner):
    """Pattern: a crowd of less urgent requests, all still timely.

    A host that counted them would refuse urgent requests for which there
    is time.
    """
    for number in range(40):
        planner.add(make_job(f"slack{number}", due=2000.0, priority=2))
    planner.add(make_job("urgent", due=2000.0, priority=0))
    waits = planner.estimate_waits(0.0)
    call_ms = planner.expect_ms(BATCHING.most)
    assertions.assert_that(
        [waits.find_timely(level) < call_ms for level in (0, 1, 2)],
        matchers.Equals([True, True, False]),
    )


def test_pieces_whose_inputs_are_given_up_are_not_called_for_again(planner):
    planner.set_endpoints([make_record("w1")])
    job = make_job("j", inputs=("10.0.0.2:80/1",))
    planner.add(job)
    (call,) = planner.plan(0.0)
    planner.note_read(call)
    assertions.assert_that(
        planner.fail(call, False, 100.0), matchers.Equals([job])
    )
    assertions.assert_that(planner.jobs, matchers.Equals({}))


def test_pieces_that_were_read_wait_for_their_slow_call(planner):
    """Pattern: an endpoint turns slow while it works on a call."""
    planner.set_endpoints([make_record("w1")])
    job = make_job("j", inputs=("10.0.0.2:80/1",), due=1e9, deadline=1e9)
    planner.add(job)
    (call,) = planner.plan(0.0)
    planner.note_read(call)
    late = planner.next_moment(1.0)
    planner.set_endpoints([make_record("w1"), make_record("w2")])
    assertions.assert_that(planner.plan(late), matchers.Equals([]))
    done, _ = end_call(planner, call, late + 500.0)
    assertions.assert_that(done, matchers.Equals([job]))


def test_a_slow_call_that_is_lost_ends_the_jobs_that_it_has_read(planner):
    planner.set_endpoints([make_record("w1")])
    job = make_job("j", inputs=("10.0.0.2:80/1",), due=1e9, deadline=1e9)
    planner.add(job)
    (call,) = planner.plan(0.0)
    planner.note_read(call)
    planner.plan(planner.next_moment(1.0))
    assertions.assert_that(
        planner.fail(call, False, 5000.0), matchers.Equals([job])
    )


def test_a_job_that_failed_too_often_is_told_of(planner):
    """Pattern: every endpoint of a pool is slow."""
    job = make_job("j", count=1, due=1e9, deadline=1e9)
    planner.add(job)
    now = 0.0
    for number in range(batchplanner.MOST_TRIES):
        planner.set_endpoints([make_record(f"w{number}")])
        planner.plan(now)
        now = planner.next_moment(now + 1.0)
        planner.plan(now)
    assertions.assert_that(planner.take_failed(), matchers.Equals([job]))


def test_a_lost_slow_call_leaves_alone_what_another_has_taken_over(planner):
    """Pattern: an endpoint turns slow, its pieces move, and it dies."""
    planner.set_endpoints([make_record("w1")])
    job = make_job("j", inputs=("10.0.0.2:80/1",), due=1e9, deadline=1e9)
    planner.add(job)
    (slow,) = planner.plan(0.0)
    planner.set_endpoints([make_record("w1"), make_record("w2")])
    (other,) = planner.plan(planner.next_moment(1.0))
    planner.note_read(other)
    assertions.assert_that(
        planner.fail(slow, False, 5000.0), matchers.Equals([])
    )
    done, _ = end_call(planner, other, 5100.0)
    assertions.assert_that(done, matchers.Equals([job]))


def test_a_slow_call_without_results_calls_for_no_piece_twice(planner):
    planner.set_endpoints([make_record("w1")])
    job = make_job("j", due=1e9, deadline=1e9)
    planner.add(job)
    (slow,) = planner.plan(0.0)
    planner.set_endpoints([make_record("w1"), make_record("w2")])
    planner.plan(planner.next_moment(1.0))
    planner.finish(slow, [""] * 4, 5000.0)
    planner.retry_missing(slow, 0, 5000.0)
    assertions.assert_that(job.waiting, matchers.Equals(set()))
