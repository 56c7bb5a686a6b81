"""Jobs and endpoints of a batch pool for the tests of its planner."""

from chervilshore.decisions import batchjobs
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

BATCHING = model.Batching(
    max_items=15,
    call_ms=240.0,
    per_item_ms=13.2,
    result_space_bytes=1_666_667.0,
    result_ttl_ms=4000.0,
)


def make_record(name, domain="a"):
    return records.EndpointRecord(
        endpoint=ids.EndpointId(name),
        pool=ids.PoolName("desk"),
        domain=ids.DomainId(domain),
        address=ids.Address(f"10.0.0.1:{80 + len(name)}"),
    )


def make_job(name, count=4, due=1000.0, deadline=5000.0, **changes):
    return batchjobs.Job(
        name=name,
        request=ids.RequestId(name),
        stage=1,
        count=count,
        due=due,
        deadline=deadline,
        **changes,
    )


def end_call(planner, call, now):
    handles = [f"{call.record.endpoint}/{now}/{i}" for i in range(call.size)]
    return planner.finish(call, handles, now)


def list_jobs(call):
    return [part.job.name for part in call.parts]


def run_first_calls(planner):
    """Complete a call at each free endpoint, to show that it has no other."""
    planner.add(make_job("first", 15, due=-1.0))
    for call in planner.plan(0.0):
        end_call(planner, call, call.expected_ms)
