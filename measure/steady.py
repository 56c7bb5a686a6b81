"""Cases of load without faults: steady, too much, one team too much."""

import asyncio

import msgspec

from chervilshore import results
from measure import bench as benches
from measure import load as loads
from measure import rows

NOT_RUN = results.Family.NOT_RUN.value


async def measure_steady(policies: str) -> list[rows.Row]:
    """Load every pool to 0.8 of its capacity, without faults."""
    case = "0.8 of capacity"
    async with benches.Bench(policies) as bench:
        await bench.warm_up()
        before = bench.sum_calls(await bench.count_all())
        load = bench.make_load(benches.make_mix(0.8))
        outcomes = await load.run(10.0)
        after = bench.sum_calls(await bench.count_all())
        await load.close()
    lookups = [
        s.latency_ms for s in outcomes if not s.kind.tokens and not s.key
    ]
    firsts = [s.first_ms for s in outcomes if s.first_ms]
    found = [
        _row(case, "attainment", benches.count_attainment(outcomes), 0.999),
        _row(
            case,
            "calls for each completed request, worst stage",
            benches.compare_work(before, after, outcomes),
            1.02,
            most=True,
        ),
        _row(
            case, "wrong answers", len(benches.list_wrong(outcomes)), 0, True
        ),
        _row(case, "lookup p95, ms", benches.find_quantile(lookups, 0.95)),
        _row(case, "first text p95, ms", benches.find_quantile(firsts, 0.95)),
    ]
    return _mark(found, policies)


async def measure_overload(policies: str) -> list[rows.Row]:
    """Send twice what the lookups can do for 20 s, then 0.5 of it."""
    case = "2 times capacity"
    capacity = benches.count_capacity(benches.LOOKUP_POOL)
    async with benches.Bench(policies) as bench:
        await bench.warm_up()
        load = bench.make_load(
            {benches.LOOKUP_KIND: 2 * capacity}, resend=False
        )
        await load.run(20.0)
        over = len(load.outcomes)
        load.set_rate(0.5 * capacity)
        await load.run(5.0)
        await load.close()
    outcomes, later = load.outcomes[:over], load.outcomes[over:]
    refused = [s for s in outcomes if not s.is_done]
    honest = [s for s in refused if s.family == NOT_RUN]
    at_once = [s.latency_ms for s in honest if not _has_waited(s)]
    recovered = [
        s for s in later if s.sent_at_ms > later[0].sent_at_ms + 2000.0
    ]
    found = [
        _row(
            case,
            "answers in time, of capacity",
            sum(s.meets_deadline for s in outcomes) / (20.0 * capacity),
            0.95,
        ),
        _row(
            case,
            "refused otherwise than NOT RUN",
            len(refused) - len(honest),
            0,
            most=True,
        ),
        _row(
            case,
            "refusal p95, ms",
            benches.find_quantile(at_once, 0.95),
            50.0,
            most=True,
        ),
        _row(case, "refused after their wait was over", _count_waits(honest)),
        _row(
            case,
            "attainment from 2 s after its end",
            benches.count_attainment(recovered),
            0.999,
        ),
    ]
    return _mark(found, policies)


def _has_waited(outcome: loads.RequestOutcome) -> bool:
    return outcome.code == results.Code.DEADLINE_PASSED.value.number


def _count_waits(outcomes: list[loads.RequestOutcome]) -> int:
    return sum(_has_waited(outcome) for outcome in outcomes)


async def measure_team(policies: str) -> list[rows.Row]:
    """Let one team send ten times its limit beside four others."""
    case = "a team at 10 times its limit"
    rate, seconds = 20.0, 10.0
    limits = f"rate={rate:g} burst={rate:g} concurrency=100"
    async with benches.Bench(policies, limits) as bench:
        await bench.warm_up(3.0, part=0.05)
        kinds = {
            msgspec.structs.replace(benches.LOOKUP_KIND, team=team): 0.8 * rate
            for team in bench.plan.teams[1:]
        }
        greedy = msgspec.structs.replace(
            benches.LOOKUP_KIND, team=bench.plan.teams[0]
        )
        load = bench.make_load(kinds, seed=2)
        flood = bench.make_load({greedy: 10 * rate}, seed=3, resend=False)
        await asyncio.gather(load.run(seconds), flood.run(seconds))
        await load.close()
        await flood.close()
    done = sum(outcome.is_done for outcome in flood.outcomes)
    allowed = rate * seconds + rate
    found = [
        _row(
            case,
            "attainment of the others",
            benches.count_attainment(load.outcomes),
            0.999,
        ),
        _row(
            case,
            "its excess over the limit",
            max(0.0, done / allowed - 1.0),
            0.1,
            most=True,
        ),
        _row(case, "its answers, of the limit", done / allowed),
    ]
    return _mark(found, policies)


def _row(
    case: str,
    figure: str,
    value: float,
    bound: float | None = None,
    most: bool = False,
) -> rows.Row:
    return rows.Row(case, figure, float(value), bound, most)


def _mark(found: list[rows.Row], policies: str) -> list[rows.Row]:
    return [msgspec.structs.replace(row, policies=policies) for row in found]
