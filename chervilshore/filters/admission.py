"""Admission control: admits a request or refuses it without waiting."""

from chervilshore import clock as clocks
from chervilshore.decisions import limits as team_limits
from chervilshore.decisions import shedding as load_shedding
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore.filters import pools
from chervilshore import results
from chervilshore.rules import model


class AdmissionFilter(base.Filter):
    """Enforces the limits of teams and sheds load of this host.

    A refused request does not wait here, and does not count towards the
    rate and concurrency of its team.

    Parameters
    ----------
    clock : Clock
        Provides the time for rates and durations.
    limits : TeamLimits
        Limits the rate and concurrency of each team.
    shedding : Shedding
        Limits the concurrency of this host.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        limits: team_limits.TeamLimits,
        shedding: load_shedding.Shedding,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._shedding = shedding

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Admit a request and count it until it ends; see `Filter.handle`."""
        started = self._clock.now()
        needed = pools.list_pools(exchange)
        priority = exchange.rules.class_of(exchange.pipeline).priority
        self._admit_team(exchange, started)
        self._admit_host(exchange, needed, priority, started)
        try:
            return await proceed(exchange)
        finally:
            now = self._clock.now()
            self._shedding.release(needed, priority, now - started, now)
            self._limits.release(exchange.team, now - started, now)

    def _admit_team(self, exchange: base.Exchange, now: float) -> None:
        team = exchange.rules.teams.get(exchange.team)
        rule = team or model.Team(exchange.team)
        retry_after_ms = self._limits.admit(rule, now)
        if retry_after_ms:
            raise exceptions.RefusalError(
                results.Code.TEAM_LIMIT,
                f"team {exchange.team}",
                retry_after_ms,
            )

    def _admit_host(
        self,
        exchange: base.Exchange,
        needed: load_shedding.Pools,
        priority: int,
        now: float,
    ) -> None:
        retry_after_ms = self._shedding.admit(needed, priority, now)
        if retry_after_ms:
            self._limits.refund(exchange.team)
            raise exceptions.RefusalError(
                results.Code.OVERLOADED, f"priority {priority}", retry_after_ms
            )
