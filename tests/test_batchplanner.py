"""The planner of batch calls: grouping, retries, space and deadlines."""

import hypothesis
from hypothesis import strategies
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import batchendpoints
from chervilshore.decisions import batchplanner
from chervilshore import ids
from chervilshore import records
from tests import batch_helpers

BATCHING = batch_helpers.BATCHING
make_record = batch_helpers.make_record
make_job = batch_helpers.make_job
end_call = batch_helpers.end_call
list_jobs = batch_helpers.list_jobs


@pytest.fixture
def planner():
    found = batchplanner.BatchPlanner(BATCHING)
    found.set_endpoints([make_record("w1"), make_record("w2")])
    return found


def test_items_of_many_small_requests_share_calls(planner):
    """Guards against a call for each request.

    With that, two endpoints would make 24 calls of about 300 ms each for 48
    concurrent requests; shared calls carry 15 items.
    """
    for number in range(48):
        planner.add(make_job(f"j{number}", due=1e9, deadline=1e9))
    now, calls = 0.0, 0
    done = 0
    while done < 48:
        running = planner.plan(now)
        calls += len(running)
        now += planner.expect_ms(BATCHING.max_items)
        for call in running:
            done += len(end_call(planner, call, now)[0])
            planner.record_freed(
                call.record.endpoint,
                list(planner._endpoints[call.record.endpoint].results),
            )
    assertions.assert_that(calls, matchers.LessThan(16))


def test_timely_jobs_go_before_late_ones(planner):
    planner.add(make_job("late", count=15, due=-1.0, deadline=900.0))
    planner.add(make_job("timely", count=15, due=500.0))
    planner.set_endpoints([make_record("w1")])
    first = planner.plan(0.0)
    assertions.assert_that(
        [list_jobs(call) for call in first], matchers.Equals([["timely"]])
    )


def test_higher_priority_goes_first_among_timely_jobs(planner):
    planner.add(make_job("slack", count=15, due=1000.0, priority=2))
    planner.add(make_job("urgent", count=15, due=1100.0, priority=0))
    planner.set_endpoints([make_record("w1")])
    assertions.assert_that(
        list_jobs(planner.plan(0.0)[0]), matchers.Equals(["urgent"])
    )


def test_late_jobs_fill_the_remaining_places_of_a_call(planner):
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


def test_items_of_an_overdue_call_go_to_another_endpoint(planner):
    planner.set_endpoints([make_record("slow"), make_record("good")])
    planner.add(make_job("j1"))
    slow = planner.plan(0.0)[0]
    late = 2.0 * slow.expected_ms + batchplanner.OVERDUE_SLACK_MS
    second = planner.plan(late)
    assertions.assert_that(len(second), matchers.Equals(1))
    assertions.assert_that(
        second[0].record.endpoint,
        matchers.Not(matchers.Equals(slow.record.endpoint)),
    )
    done, _ = end_call(planner, second[0], late + 300.0)
    assertions.assert_that([job.name for job in done], matchers.Equals(["j1"]))
    _, unused = end_call(planner, slow, late + 900.0)
    assertions.assert_that(len(unused), matchers.Equals(4))


def test_an_endpoint_backs_off_after_a_failed_call(planner):
    planner.set_endpoints([make_record("w1")])
    planner.add(make_job("j1"))
    call = planner.plan(0.0)[0]
    planner.fail(call, busy=False, now=10.0)
    assertions.assert_that(planner.plan(20.0), matchers.Equals([]))
    later = planner.plan(10.0 + batchendpoints.FAILURE_BACKOFF_MS)
    assertions.assert_that(
        [list_jobs(one) for one in later], matchers.Equals([["j1"]])
    )


def test_a_job_fails_after_a_few_failed_calls(planner):
    planner.add(make_job("j1"))
    now = 0.0
    failed = []
    while not failed:
        call = planner.plan(now)[0]
        failed = planner.fail(call, busy=False, now=now)
        now += batchendpoints.MAX_FAILURE_BACKOFF_MS
    assertions.assert_that(
        [job.name for job in failed], matchers.Equals(["j1"])
    )
    assertions.assert_that(now, matchers.LessThan(20_000.0))


def test_a_busy_endpoint_does_not_count_as_a_failed_call(planner):
    planner.set_endpoints([make_record("w1")])
    planner.add(make_job("j1", deadline=1e9))
    now = 0.0
    for _ in range(10):
        call = planner.plan(now)[0]
        assertions.assert_that(
            planner.fail(call, busy=True, now=now), matchers.Equals([])
        )
        now += batchendpoints.BUSY_BACKOFF_MS


def test_kept_results_reduce_the_size_of_calls(planner):
    planner.set_endpoints([make_record("w1")])
    planner.add(make_job("j1", count=15, result_bytes=60_000))
    first = planner.plan(0.0)[0]
    end_call(planner, first, 400.0)
    for number in range(15):
        planner.add(make_job(f"k{number}", count=1, result_bytes=60_000))
    second = planner.plan(400.0)[0]
    assertions.assert_that(second.size, matchers.Equals(11))


def test_space_is_used_until_results_are_freed(planner):
    planner.set_endpoints([make_record("w1")])
    planner.add(make_job("j1", count=15, result_bytes=100_000))
    first = planner.plan(0.0)[0]
    end_call(planner, first, 400.0)
    for number in range(15):
        planner.add(make_job(f"k{number}", count=1, result_bytes=100_000))
    assertions.assert_that(planner.plan(500.0)[0].size, matchers.Equals(1))
    handles = list(planner._endpoints["w1"].results)
    planner.record_freed(ids.EndpointId("w1"), handles)
    assertions.assert_that(
        planner.free_result_bytes(ids.EndpointId("w1"), 500.0),
        matchers.Equals(BATCHING.result_space_bytes),
    )


def test_an_endpoint_out_of_space_gets_smaller_calls(
    planner,
):
    planner.set_endpoints([make_record("w1")])
    planner.add(make_job("j1", count=15, result_bytes=60_000))
    call = planner.plan(0.0)[0]
    handles = ["h"] * 10 + [""] * 5
    planner.finish(call, handles, 400.0)
    planner.requeue_missing(call, 5, 400.0)
    free_bytes = planner.free_result_bytes(ids.EndpointId("w1"), 400.0)
    assertions.assert_that(
        free_bytes, matchers.LessThan(BATCHING.result_space_bytes - 5 * 60_000)
    )


def test_a_job_with_large_results_runs_in_the_domain_of_its_reader(planner):
    """Results of 800 kB would be sent between domains otherwise."""
    planner.set_endpoints([make_record("w1", "a"), make_record("w2", "b")])
    planner.add(
        make_job(
            "j1", count=1, cross_domain_bytes=800_000, domain=ids.DomainId("b")
        )
    )
    calls = planner.plan(0.0)
    assertions.assert_that(
        [call.record.endpoint for call in calls], matchers.Equals(["w2"])
    )


def test_a_job_waits_for_a_local_endpoint_only_until_it_is_due(planner):
    planner.set_endpoints([make_record("w1", "a"), make_record("w2", "b")])
    planner.add(make_job("j0", count=15, domain=ids.DomainId("b")))
    busy = planner.plan(0.0)[0]
    other = "b" if busy.record.domain == "b" else "a"
    planner.add(
        make_job(
            "j1",
            cross_domain_bytes=800_000,
            count=1,
            due=100.0,
            domain=ids.DomainId(other),
        )
    )
    calls = planner.plan(10.0)
    assertions.assert_that(
        [list_jobs(call) for call in calls], matchers.Equals([["j1"]])
    )


def test_jobs_expire_at_their_deadline(planner):
    planner.set_endpoints([])
    planner.add(make_job("j1", deadline=100.0))
    assertions.assert_that(planner.expire(99.0), matchers.Equals([]))
    assertions.assert_that(
        [job.name for job in planner.expire(100.0)],
        matchers.Equals(["j1"]),
    )


def test_late_jobs_do_not_add_to_the_wait_of_timely_ones(planner):
    """Late requests pile up after a burst."""
    for number in range(30):
        planner.add(make_job(f"late{number}", due=-1.0))
    waits = planner.estimate_waits(0.0)
    assertions.assert_that(waits.timely_wait_ms(5), matchers.Equals(0.0))
    assertions.assert_that(waits.late_ms, matchers.GreaterThan(1000.0))


def test_a_restarted_endpoint_gets_a_call(planner):
    planner.set_endpoints([make_record("w1")])
    planner.add(make_job("j1"))
    planner.plan(0.0)
    restarted = records.EndpointRecord(
        **{
            name: getattr(make_record("w1"), name)
            for name in make_record("w1").__struct_fields__
        }
        | {"instance": ids.InstanceId("w1/2")}
    )
    planner.set_endpoints([restarted])
    planner.add(make_job("j2"))
    assertions.assert_that(len(planner.plan(1.0)), matchers.Equals(1))


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 40),
            strategies.sampled_from(["ok", "partial", "busy", "failed"]),
        ),
        min_size=1,
        max_size=25,
    )
)
def test_every_job_ends_exactly_once(steps):
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
                call.size, matchers.LessThan(BATCHING.max_items + 1)
            )
            now += 50.0
            ended = []
            if outcome in ("busy", "failed"):
                ended += planner.fail(call, outcome == "busy", now)
            else:
                handles = ["h"] * call.size
                if outcome == "partial":
                    handles[0] = ""
                done, _ = planner.finish(call, handles, now)
                ended += done + planner.requeue_missing(call, 0, now)
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


def test_inputs_are_released_when_all_calls_of_a_job_have_read_them(planner):
    planner.set_endpoints([make_record("w1")])
    batch_helpers.run_first_calls(planner)
    job = make_job("j", count=20, inputs=("10.0.0.2:80/1",))
    planner.add(job)
    (first,) = planner.plan(0.0)
    assertions.assert_that(
        planner.record_inputs_read(first), matchers.Equals([])
    )
    end_call(planner, first, 400.0)
    (second,) = planner.plan(400.0)
    assertions.assert_that(
        planner.record_inputs_read(second), matchers.Equals([job])
    )


def test_inputs_of_requeued_items_are_not_released(planner):
    job = make_job("j", count=20, inputs=("10.0.0.2:80/1",))
    planner.add(job)
    failed, other = planner.plan(0.0)
    planner.record_inputs_read(failed)
    planner.fail(failed, False, 100.0)
    assertions.assert_that(
        planner.record_inputs_read(other), matchers.Equals([])
    )


def test_large_inputs_take_longer_to_read(planner):
    planner.add(make_job("small", count=15, inputs=("h",)))
    (small,) = planner.plan(0.0)
    planner.add(make_job("large", count=15, inputs=("h",), input_bytes=10**6))
    (large,) = planner.plan(1.0)
    expected = 2.0 * 15 * 10**6 * 8 / 1e9 * 1000.0
    assertions.assert_that(
        planner.estimate_read_ms(large) - planner.estimate_read_ms(small),
        matchers.Equals(expected),
    )


def test_a_job_is_not_split_to_fill_the_last_space(planner):
    """Guards against split jobs in a queue of jobs with several items.

    A split job is done no sooner than its second call, and its first results
    use space until then.
    """
    planner.set_endpoints([make_record("w1")])
    result_bytes = int(BATCHING.result_space_bytes / 11)
    for number in range(4):
        planner.add(
            make_job(
                f"j{number}", 4, 1000.0 + number, result_bytes=result_bytes
            )
        )
    planner.add(make_job("small", 2, 2000.0, result_bytes=result_bytes))
    (call,) = planner.plan(0.0)
    assertions.assert_that(
        list_jobs(call), matchers.Equals(["j0", "j1", "small"])
    )


def test_less_urgent_jobs_do_not_add_to_the_wait_of_urgent_ones(planner):
    """Guards against urgent requests that are refused needlessly.

    That happens if a host counts many less urgent requests, all still
    timely, as work that goes before an urgent one.
    """
    for number in range(40):
        planner.add(make_job(f"slack{number}", due=2000.0, priority=2))
    planner.add(make_job("urgent", due=2000.0, priority=0))
    waits = planner.estimate_waits(0.0)
    call_ms = planner.expect_ms(BATCHING.max_items)
    assertions.assert_that(
        [waits.timely_wait_ms(level) < call_ms for level in (0, 1, 2)],
        matchers.Equals([True, True, False]),
    )


def test_a_failed_call_ends_a_job_whose_inputs_are_released(planner):
    planner.set_endpoints([make_record("w1")])
    batch_helpers.run_first_calls(planner)
    job = make_job("j", inputs=("10.0.0.2:80/1",))
    planner.add(job)
    (call,) = planner.plan(0.0)
    planner.record_inputs_read(call)
    assertions.assert_that(
        planner.fail(call, False, 100.0), matchers.Equals([job])
    )
    assertions.assert_that(planner.jobs, matchers.Equals({}))


def test_items_with_released_inputs_stay_in_their_overdue_call(planner):
    """An endpoint becomes slow during a call that has read its inputs."""
    planner.set_endpoints([make_record("w1")])
    batch_helpers.run_first_calls(planner)
    job = make_job("j", inputs=("10.0.0.2:80/1",), due=1e9, deadline=1e9)
    planner.add(job)
    (call,) = planner.plan(0.0)
    planner.record_inputs_read(call)
    late = planner.next_plan_time(1.0)
    planner.set_endpoints([make_record("w1"), make_record("w2")])
    assertions.assert_that(planner.plan(late), matchers.Equals([]))
    done, _ = end_call(planner, call, late + 500.0)
    assertions.assert_that(done, matchers.Equals([job]))


def test_a_failed_overdue_call_ends_jobs_whose_inputs_are_released(planner):
    planner.set_endpoints([make_record("w1")])
    batch_helpers.run_first_calls(planner)
    job = make_job("j", inputs=("10.0.0.2:80/1",), due=1e9, deadline=1e9)
    planner.add(job)
    (call,) = planner.plan(0.0)
    planner.record_inputs_read(call)
    planner.plan(planner.next_plan_time(1.0))
    assertions.assert_that(
        planner.fail(call, False, 5000.0), matchers.Equals([job])
    )


def test_a_job_with_too_many_overdue_calls_is_reported_as_failed(planner):
    """Every endpoint of the pool is slow."""
    job = make_job("j", count=1, due=1e9, deadline=1e9)
    planner.add(job)
    now = 0.0
    for number in range(batchplanner.MAX_FAILED_CALLS):
        planner.set_endpoints([make_record(f"w{number}")])
        planner.plan(now)
        now = planner.next_plan_time(now + 1.0)
        planner.plan(now)
    assertions.assert_that(planner.pop_failed_jobs(), matchers.Equals([job]))


def test_a_failed_overdue_call_keeps_items_that_moved_to_another(planner):
    """An endpoint becomes slow, its items move, and then it fails."""
    planner.set_endpoints([make_record("w1")])
    job = make_job("j", inputs=("10.0.0.2:80/1",), due=1e9, deadline=1e9)
    planner.add(job)
    (slow,) = planner.plan(0.0)
    planner.set_endpoints([make_record("w1"), make_record("w2")])
    (other,) = planner.plan(planner.next_plan_time(1.0))
    planner.record_inputs_read(other)
    assertions.assert_that(
        planner.fail(slow, False, 5000.0), matchers.Equals([])
    )
    done, _ = end_call(planner, other, 5100.0)
    assertions.assert_that(done, matchers.Equals([job]))


def test_an_overdue_call_without_results_requeues_no_item_again(planner):
    planner.set_endpoints([make_record("w1")])
    job = make_job("j", due=1e9, deadline=1e9)
    planner.add(job)
    (slow,) = planner.plan(0.0)
    planner.set_endpoints([make_record("w1"), make_record("w2")])
    planner.plan(planner.next_plan_time(1.0))
    planner.finish(slow, [""] * 4, 5000.0)
    planner.requeue_missing(slow, 0, 5000.0)
    assertions.assert_that(job.waiting, matchers.Equals(set()))
