"""Roll-outs of good and bad versions amid trouble of other kinds.

Each seed makes a pool, its traffic, a version and one trouble. Prints how
often the exposure was exceeded, a good version was rolled back or was late,
and a bad one was completed. Time advances in steps; nothing is sent over a
network. A few hosts get all reports and the others hear of what these decide,
which is the slowest way in which the phases may spread.

Usage: python -m lab.rollout_schedules [SCHEDULES] [FIRST_SEED]
"""

import collections
import heapq
import math
import random
import sys

import msgspec

from chervilshore.decisions.rollouts import evidence as evidences
from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore.decisions.rollouts import rollout
from chervilshore import ids
from chervilshore import records
from lab import rollout_plans

STEP_MS = 250.0
REPORT_MS = 500.0
OBSERVERS = 4
TOUCH_MS = 4000.0
LATE_MS = 30_000.0
POOL = ids.PoolName("pool")
OLD = ids.SoftwareVersion("41")
NEW = ids.SoftwareVersion("42")
Phase = rollout_records.Phase
State = rollout_records.RolloutState


class Result(msgspec.Struct):
    """How it ended."""

    plan: rollout_plans.Plan
    state: State = State.RUNNING
    ended_ms: float = math.inf
    reason: str = ""
    requests: int = 0
    exposed: int = 0
    bad_answers: int = 0
    late_sends: int = 0
    report_bytes: int = 0
    largest_report: int = 0
    played_ms: float = 0.0

    @property
    def is_good(self) -> bool:
        return self.plan.fault is rollout_plans.Fault.GOOD

    @property
    def breaks_share(self) -> bool:
        return not self.is_good and self.exposed > 0.1 * self.requests + 50

    @property
    def findings(self) -> list[str]:
        """Return what the table counts."""
        found = []
        if self.breaks_share:
            found.append("share")
        if not self.is_good and self.late_sends:
            found.append("late sends")
        if self.is_good and self.state is State.ROLLED_BACK:
            found.append("wrongly rolled back")
        if self.is_good and self.state is not State.ROLLED_BACK:
            if self.ended_ms > self.plan.duration_ms:
                found.append("late")
        if not self.is_good and self.state is not State.ROLLED_BACK:
            found.append("missed")
        return found


class Simulation:
    """One schedule that is played."""

    def __init__(self, seed: int, plan: rollout_plans.Plan) -> None:
        self.rng = random.Random(seed)
        self.plan = plan
        self.result = Result(plan)
        self.order = rollout_records.RolloutOrder(
            POOL, NEW, plan.duration_ms, 7
        )
        self.names = [f"host{number:03}" for number in range(plan.hosts)]
        self.weights = [self.rng.uniform(0.3, 1.7) for _ in self.names]
        if plan.trouble is rollout_plans.Trouble.HALF:
            self.weights[0] = sum(self.weights[1:])
        self.endpoints = {
            version: [
                records.EndpointRecord(
                    f"{version}-{number}",
                    POOL,
                    "abc"[number % 3],
                    "",
                    version=version,
                    slots=8,
                )
                for number in range(plan.endpoints)
            ]
            for version in (OLD, NEW)
        }
        self.running = collections.Counter()
        self.old_running = collections.Counter()
        self.gone: set[str] = set()
        # The pool is loaded to a half whatever its size.
        self.base_ms = 4.0 * plan.endpoints * 1000.0 / plan.rate
        self.victims = {
            version: set(
                self.rng.sample(
                    range(plan.endpoints), max(1, plan.endpoints // 10)
                )
            )
            for version in (OLD, NEW)
        }
        self.cut = set()
        if plan.trouble is rollout_plans.Trouble.CUT:
            count = max(1, plan.hosts // 10)
            self.cut = set(self.rng.sample(self.names, count))
        self.observers = self.names[-OBSERVERS:]
        self.runs: dict[str, rollout.Rollout] = {}
        self.started_at = dict.fromkeys(self.names, -math.inf)
        self.generation = dict.fromkeys(self.names, 0)
        for name in self.names:
            self.start(name, True)
        self.ends: list[tuple] = []
        self.fiftieth_at = math.inf

    def start(self, name: str, has_memory: bool) -> None:
        self.generation[name] += 1
        self.runs[name] = rollout.Rollout(
            self.order,
            name,
            self.generation[name],
            rollout_records.ExposureLimits(),
            0.0,
            random.Random(self.rng.random()),
            self.plan.hosts,
            has_memory,
        )

    def is_troubled(self, now: float) -> bool:
        begins, ends = self.plan.trouble_ms
        return begins <= now < ends

    def is_cut(self, name: str, now: float) -> bool:
        return name in self.cut and self.is_troubled(now)

    def play(self) -> Result:
        now = 0.0
        while now < self.plan.duration_ms + LATE_MS:
            self.step(now)
            if self.result.state is not State.RUNNING:
                if now >= self.plan.duration_ms:
                    break
                if self.is_settled(now):
                    self.fill(now)
                    break
            now += STEP_MS
            self.result.played_ms = now
        return self.result

    def is_settled(self, now: float) -> bool:
        """Return whether all hosts know the state and the rest is alike."""
        if now < self.result.ended_ms + 6000.0 or self.is_troubled(now):
            return False
        return all(
            run.state is self.result.state for run in self.runs.values()
        )

    def fill(self, now: float) -> None:
        """Count the requests until the deadline without playing them."""
        left = int((self.plan.duration_ms - now) / 1000.0 * self.plan.rate)
        self.result.requests += left
        if self.result.state is State.COMPLETED:
            self.result.exposed += left

    def step(self, now: float) -> None:
        plan = self.plan
        begins = plan.trouble_ms[0]
        if (
            plan.trouble is rollout_plans.Trouble.RESTART
            and begins <= now < begins + 250
        ):
            for name in self.names:
                self.start(name, False)
                self.started_at[name] = now
            self.old_running.clear()
        while self.ends and self.ends[0][0] <= now:
            self.end(*heapq.heappop(self.ends)[2:], now)
        self.tell(now)
        rate = plan.rate
        if plan.trouble is rollout_plans.Trouble.BURST and self.is_troubled(
            now
        ):
            rate *= 2.0
        mean = rate * STEP_MS / 1000.0
        count = int(mean) + (self.rng.random() < mean % 1.0)
        for name in self.rng.choices(self.names, self.weights, k=count):
            self.send(name, now)

    def list_ready(self, version: str) -> list[records.EndpointRecord]:
        return [
            record
            for record in self.endpoints[version]
            if record.endpoint not in self.gone
        ]

    def tell(self, now: float) -> None:
        """Let hosts decide, and exchange what they have seen."""
        new, old = self.list_ready(NEW), self.list_ready(OLD)
        hosts = frozenset(self.names)
        phase = int(now / STEP_MS)
        every = int(REPORT_MS / STEP_MS)
        for number, name in enumerate(self.names):
            if (number + phase) % every:
                continue
            run = self.runs[name]
            if not self.is_cut(name, now):
                run.set_state(self.result.state, now)
            view = rollout_records.RolloutView(
                tuple(new), tuple(old), hosts, self.old_running[name], 6000.0
            )
            state = run.decide(view, now)
            if self.is_cut(name, now):
                continue
            if (
                state is not State.RUNNING
                and self.result.state is State.RUNNING
            ):
                self.result.state = state
                self.result.ended_ms = now
                self.result.reason = run.reason
            evidence = run.make_evidence()
            self.count_bytes(evidence)
            targets = self.observers
            if name in self.observers and run.phase is not Phase.CANARY:
                targets = self.names
            for target in targets:
                if target != name and not self.is_cut(target, now):
                    if evidence is not None:
                        self.runs[target].absorb(evidence, now)

    def count_bytes(self, evidence: evidences.HostEvidence | None) -> None:
        if evidence is not None:
            size = len(msgspec.msgpack.encode(evidence))
            self.result.report_bytes += size
            self.result.largest_report = max(self.result.largest_report, size)

    def send(self, name: str, now: float) -> None:
        run = self.runs[name]
        pipeline = self.rng.choices(rollout_plans.PIPELINES, (0.2, 0.5, 0.3))[
            0
        ]
        self.result.requests += now < self.plan.duration_ms
        versions = [OLD, NEW]
        if run.prefers_new(pipeline, now):
            versions.reverse()
        for version in versions:
            ready = self.list_ready(version)
            if version is NEW:
                canaries = run.choose_canaries(now)
                ready = [one for one in ready if one.endpoint in canaries]
            if ready and run.allows(version, pipeline, now):
                break
        else:
            return
        pair = self.rng.choices(ready, k=2)
        record = min(pair, key=lambda one: self.running[one.endpoint])
        run.record_sent(version, pipeline, record.endpoint, now)
        if version is NEW:
            in_touch = now - self.started_at[name] > TOUCH_MS and not (
                name in self.cut and self.is_troubled(now)
            )
            if in_touch:
                self.result.exposed += now < self.plan.duration_ms
                self.result.late_sends += now > self.fiftieth_at + 5000.0
        else:
            self.old_running[name] += 1
        self.running[record.endpoint] += 1
        self.serve(name, run, pipeline, record, now)

    def serve(self, name, run, pipeline, record, now: float) -> None:
        """Draw how a request will end."""
        plan, rng = self.plan, self.rng
        load = self.running[record.endpoint] / record.slots
        millis = self.base_ms * rng.lognormvariate(0.0, 0.35)
        millis *= 1.0 + max(0.0, load - 0.6)
        failed = rng.random() < 0.002
        bad = (
            record.version == NEW
            and plan.fault is not rollout_plans.Fault.GOOD
            and now >= plan.begins_ms
            and plan.pipeline in ("", pipeline)
            and load >= plan.load * 0.5
            and rng.random() < plan.fraction
        )
        if bad:
            failed |= plan.fault is rollout_plans.Fault.FAILS
            millis *= plan.factor
        if self.is_troubled(now):
            number = int(record.endpoint.partition("-")[2])
            hit = number in self.victims[record.version]
            trouble = plan.trouble
            if trouble is rollout_plans.Trouble.SLOW_ENDPOINTS and hit:
                millis *= 4.0
            elif trouble is rollout_plans.Trouble.FAILING_ENDPOINT and hit:
                # Ejected for most of the time.
                failed |= rng.random() < 0.3
            elif (
                trouble is rollout_plans.Trouble.DOMAIN
                and record.domain == "b"
            ):
                failed |= rng.random() < 0.3
                millis *= rng.choice((1.0, 3.0))
            elif (
                trouble is rollout_plans.Trouble.CALLERS
                and rng.random() < 0.05
            ):
                failed = True
            elif trouble is rollout_plans.Trouble.CUT and name in self.cut:
                failed |= rng.random() < 0.5
            elif (
                trouble is rollout_plans.Trouble.CRASH
                and hit
                and rng.random() < 0.05
            ):
                self.gone.add(record.endpoint)
        if record.endpoint in self.gone:
            failed = True
        item = (run, pipeline, record, failed, bad, millis, name)
        heapq.heappush(self.ends, (now + millis, rng.random(), *item))

    def end(
        self, run, pipeline, record, failed, bad, millis, name, now
    ) -> None:
        self.running[record.endpoint] -= 1
        if bad:
            self.result.bad_answers += 1
            if self.result.bad_answers == 50:
                self.fiftieth_at = now
        if run is not self.runs[name]:
            return
        if record.version == OLD:
            self.old_running[name] -= 1
        outcome = records.Outcome.REJECTED if failed else records.Outcome.OK
        run.record_end(
            record.version, pipeline, record.endpoint, outcome, millis, now
        )


def play(seed: int) -> Result:
    """Play the schedule of a seed."""
    return Simulation(seed, rollout_plans.make_plan(seed)).play()


def main(arguments: list[str]) -> None:
    """Print the findings of each schedule, and a table."""
    numbers = [int(argument) for argument in arguments]
    count, first = (numbers + [1000, 0][len(numbers) :])[:2]
    counts = collections.defaultdict(collections.Counter)
    for seed in range(first, first + count):
        result = play(seed)
        kind = "good" if result.is_good else "bad"
        row = counts[result.plan.hosts, kind]
        row["all"] += 1
        row["ms"] += result.played_ms
        row["bytes"] += result.report_bytes
        row["largest"] = max(row["largest"], result.largest_report)
        row.update(result.findings)
        if result.findings:
            print(seed, result.findings, result)
    columns = (
        "all",
        "share",
        "late sends",
        "missed",
        "wrongly rolled back",
        "late",
    )
    names = (*columns, "bytes a second to a host", "largest report")
    print("| hosts | version |", " | ".join(names), "|")
    for (hosts, kind), row in sorted(counts.items()):
        cells = " | ".join(str(row[column]) for column in columns)
        per_second = row["bytes"] * 1000.0 / row["ms"]
        cells += f" | {per_second:.0f} | {row['largest']}"
        print(f"| {hosts} | {kind} | {cells} |")


if __name__ == "__main__":
    main(sys.argv[1:])
