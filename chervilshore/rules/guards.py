"""Guards against changes that look like mistakes, and their overrides."""

from collections import abc
import enum

import msgspec

from chervilshore import ids
from chervilshore import records
from chervilshore.rules import checks
from chervilshore.rules import model

MAX_LIMIT_FACTOR = 10.0
"""The factor by which one change may raise or lower a limit."""

MAX_DROPPED_FRACTION = 0.2
"""Fraction of the rules that one change may remove."""


class Guard(enum.Enum):
    """A check of a change; its value is the name of the override."""

    LAST_DOMAIN = "last-domain"
    IN_USE = "in-use"
    LIMIT_JUMP = "limit-jump"
    MANY_DROPPED = "many-dropped"
    NEVER_MATCHES = "never-matches"
    CONTRADICTION = "contradiction"
    UNREADABLE = "unreadable"

    @property
    def text(self) -> str:
        """A description of the changes that need the override."""
        return _TEXTS[self]


_TEXTS = {
    Guard.LAST_DOMAIN: "Taking out the last serving failure domain, or the "
    "last one that holds a pool's endpoints.",
    Guard.IN_USE: "Removing a pool that has endpoints, or a pipeline or "
    "service that was asked for or may have been.",
    Guard.LIMIT_JUMP: "Changing a limit of a team or pool, or a deadline, "
    "by over ten times.",
    Guard.MANY_DROPPED: "Dropping over a fifth of the rules.",
    Guard.NEVER_MATCHES: "A route that can never match.",
    Guard.CONTRADICTION: "Two rules that contradict each other: routes with "
    "the same conditions, a route to a pool of another kind or only to "
    "domains that are out, one path that may and may not be repeated.",
    Guard.UNREADABLE: "Changing rules of which a part is lost or changed in "
    "the platform; the newest readable ones stand in for them.",
}


class Danger(msgspec.Struct, frozen=True):
    """A part of a change that looks like a mistake."""

    guard: Guard
    reason: str

    def __str__(self) -> str:
        """Return the reason and the option that overrides the guard."""
        return f"{self.reason} (if it is meant: --allow {self.guard.value})"


class Usage(msgspec.Struct, frozen=True):
    """The endpoints and pipelines that are in use.

    Parameters
    ----------
    endpoints : tuple of EndpointRecord
        The endpoints of the host list.
    pipelines : frozenset of PipelineName or None
        The pipelines that hosts have served. None if a host has not
        reported, so that any pipeline may be in use.
    """

    endpoints: tuple[records.EndpointRecord, ...] = ()
    pipelines: frozenset[ids.PipelineName] | None = None


def find_dangers(
    before: model.Rules, after: model.Rules, usage: Usage
) -> tuple[Danger, ...]:
    """Return what looks like a mistake in a change.

    Rules that are unusable or contradict each other count only if they were
    not so before the change.

    Parameters
    ----------
    before, after : Rules
        The active rules and the new ones.
    usage : Usage
        The endpoints and pipelines in use.
    """
    known = set(_find_inconsistencies(before))
    new = [
        danger
        for danger in _find_inconsistencies(after)
        if danger not in known
    ]
    return (
        *_find_lost_domains(before, after, usage),
        *_find_removed_in_use(before, after, usage),
        *_find_limit_jumps(before, after),
        *_find_many_dropped(before, after),
        *new,
    )


def _find_lost_domains(
    before: model.Rules, after: model.Rules, usage: Usage
) -> abc.Iterator[Danger]:
    if _is_all_out(after):
        if _is_all_out(before):
            return
        yield Danger(
            Guard.LAST_DOMAIN,
            f"all failure domains are out: {', '.join(sorted(after.domains))}",
        )
        return
    served = _list_served_pools(after, usage)
    for pool in sorted(_list_served_pools(before, usage)):
        if pool in after.pools and pool not in served:
            yield Danger(
                Guard.LAST_DOMAIN,
                f"pool {pool!r} has endpoints only in domains that are out",
            )


def _is_all_out(rules: model.Rules) -> bool:
    return bool(rules.domains) and all(map(rules.is_out, rules.domains))


def _list_served_pools(rules: model.Rules, usage: Usage) -> set[ids.PoolName]:
    return {
        record.pool
        for record in usage.endpoints
        if record.state is records.EndpointState.LIVE
        and not rules.is_out(rules.domain_of(record))
    }


def _find_removed_in_use(
    before: model.Rules, after: model.Rules, usage: Usage
) -> abc.Iterator[Danger]:
    for name in before.pools.keys() - after.pools.keys():
        count = sum(record.pool == name for record in usage.endpoints)
        if count:
            reason = f"pool {name!r} is removed and has {count} endpoints"
            yield Danger(Guard.IN_USE, reason)
    for name in before.pipelines.keys() - after.pipelines.keys():
        if usage.pipelines is None:
            reason = f"pipeline {name!r} is removed and may be in use"
            yield Danger(Guard.IN_USE, reason)
        elif name in usage.pipelines:
            reason = f"pipeline {name!r} is removed and was asked for"
            yield Danger(Guard.IN_USE, reason)


def _find_limit_jumps(
    before: model.Rules, after: model.Rules
) -> abc.Iterator[Danger]:
    limits = (
        ("team", before.teams, after.teams, ("rate", "burst", "concurrency")),
        ("pool", before.pools, after.pools, ("cold", "most")),
        ("pipeline", before.pipelines, after.pipelines, ("deadline_ms",)),
    )
    for kind, old_rules, new_rules, fields in limits:
        for name, new in new_rules.items():
            old = old_rules.get(name)
            if old is None or old == new:
                continue
            for field in fields:
                old_limit, new_limit = getattr(old, field), getattr(new, field)
                if max(old_limit, new_limit) > MAX_LIMIT_FACTOR * min(
                    old_limit, new_limit
                ):
                    yield Danger(
                        Guard.LIMIT_JUMP,
                        f"{kind} {name!r}: {field} goes from {old_limit:g} to "
                        f"{new_limit:g}, over ten times",
                    )


def _find_many_dropped(
    before: model.Rules, after: model.Rules
) -> abc.Iterator[Danger]:
    total = checks.count_rules(before)
    dropped = len(checks.list_names(before) - checks.list_names(after))
    if total and dropped > MAX_DROPPED_FRACTION * total:
        yield Danger(
            Guard.MANY_DROPPED,
            f"{dropped} of {total} rules are dropped, over a fifth",
        )


def _find_inconsistencies(rules: model.Rules) -> abc.Iterator[Danger]:
    yield from _find_shadowed_routes(rules)
    yield from _find_useless_routes(rules)
    yield from _find_contradictory_services(rules)


def _find_shadowed_routes(rules: model.Rules) -> abc.Iterator[Danger]:
    # An earlier route takes all requests of a later one only if its conditions
    # are the same or a subset.
    for index, route in enumerate(rules.routes):
        for earlier in rules.routes[:index]:
            if not _covers(earlier, route):
                continue
            same = _conditions(earlier) == _conditions(route)
            differ = (earlier.pool, earlier.domains) != (
                route.pool,
                route.domains,
            )
            guard = Guard.NEVER_MATCHES
            if same and differ:
                guard = Guard.CONTRADICTION
            yield Danger(
                guard,
                f"route {route.name!r} never matches: route "
                f"{earlier.name!r} before it takes all that it would",
            )
            break


def _find_useless_routes(rules: model.Rules) -> abc.Iterator[Danger]:
    for route in rules.routes:
        matching = _list_matching_pipelines(rules, route)
        if not matching:
            reason = f"route {route.name!r} never matches: no pipeline of "
            reason += f"class {route.class_name!r} fits it"
            yield Danger(Guard.NEVER_MATCHES, reason)
        if route.domains and all(map(rules.is_out, route.domains)):
            reason = f"route {route.name!r} allows only domains that are out"
            yield Danger(Guard.CONTRADICTION, reason)
        for pipeline in matching if route.pool else ():
            yield from _find_kind_mismatches(rules, route, pipeline)


def _find_kind_mismatches(
    rules: model.Rules, route: model.Route, pipeline: model.Pipeline
) -> abc.Iterator[Danger]:
    new = rules.pools.get(route.pool)
    for stage in pipeline.stages:
        old = rules.pools.get(stage.pool)
        if route.stage not in ("", stage.name) or None in (old, new):
            continue
        if old.kind is not new.kind:
            yield Danger(
                Guard.CONTRADICTION,
                f"route {route.name!r} sends stage {stage.name!r} of "
                f"{pipeline.name!r} to pool {new.name!r}, which is of kind "
                f"{new.kind.value}, not {old.kind.value}",
            )


def _find_contradictory_services(rules: model.Rules) -> abc.Iterator[Danger]:
    seen: dict[tuple[str, str], model.Pipeline] = {}
    for pipeline in rules.pipelines.values():
        if not pipeline.path:
            continue
        call_target = (pipeline.stages[0].pool, pipeline.path)
        first = seen.setdefault(call_target, pipeline)
        if first.repeatable is not pipeline.repeatable:
            yield Danger(
                Guard.CONTRADICTION,
                f"services {first.name!r} and {pipeline.name!r} call the "
                f"same path {pipeline.path!r} of pool {call_target[0]!r}, and "
                f"only one of them says that it may be repeated",
            )


def _list_matching_pipelines(
    rules: model.Rules, route: model.Route
) -> list[model.Pipeline]:
    return [
        pipeline
        for pipeline in rules.pipelines.values()
        if route.pipeline in ("", pipeline.name)
        and route.class_name in ("", pipeline.class_name)
    ]


def _conditions(route: model.Route) -> tuple[str, ...]:
    return route.pipeline, route.team, route.class_name, route.stage


def _covers(earlier: model.Route, later: model.Route) -> bool:
    pairs = zip(_conditions(earlier), _conditions(later))
    return all(one in ("", other) for one, other in pairs)
