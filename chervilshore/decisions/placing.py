"""Where forwarded requests go: by shared prompts, load and failures."""

from collections import abc as collections_abc
import random

from chervilshore.decisions import ejection as ejections
from chervilshore.decisions import rendezvous
from chervilshore.decisions import routing
from chervilshore import ids
from chervilshore import passages
from chervilshore import records

AFFINITY_LOAD = 2.0
"""Times the mean load up to which an endpoint is chosen for its prompt."""

AFFINITY_SPARE = 4.0
"""Requests above that which do not count as load yet."""

FAR_LOAD = 1.0
"""Requests in flight that an endpoint of another domain counts more."""


class AffinityRouter(routing.Router):
    """Sends prompts that share parts to the same endpoint while it bears it.

    All hosts choose alike without talking to each other: the session, as
    the last part of a prompt, is placed by a rendezvous hash. Others go to
    the endpoint with the fewest requests of this host. Endpoints that fail
    are left out and probed.

    Parameters
    ----------
    domain : DomainId
        This host's failure domain.
    generator : random.Random
        Breaks ties.
    ejection : Ejection
        Judges endpoints.
    """

    def __init__(
        self,
        domain: ids.DomainId,
        generator: random.Random,
        ejection: ejections.Ejection,
    ) -> None:
        self._domain = domain
        self._random = generator
        self._ejection = ejection

    def rank(
        self,
        need: routing.Need,
        candidates: list[routing.Candidate],
        now: float,
    ) -> list[routing.Candidate]:
        """Order the candidates; see `Router.rank`."""
        usable = [one for one in candidates if need.allows(one.record)]
        views = self._ejection.judge(
            [one.record.endpoint for one in usable], now
        )
        standing = ejections.Standing
        good, due, rest = [], [], []
        for one in usable:
            kind = views[one.record.endpoint].standing
            if kind is standing.IN:
                good.append(one)
            elif kind is standing.PROBE:
                due.append(one)
            else:
                rest.append(one)
        good.sort(key=self._weigh)
        rest.sort(key=self._weigh)
        if need.parts:
            self._prefer_session(need, good)
        # Those left out still beat a refusal when nothing else is there.
        return self._start_probe(due, need.deadline - now, now) + good + rest

    def note(
        self,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Learn how an attempt ended; see `Router.note`."""
        self._ejection.note(endpoint, outcome, millis, now)

    def describe(self, now: float) -> dict[str, float]:
        """Tell the milliseconds for which endpoints stay left out."""
        return self._ejection.describe(now)

    def _weigh(self, one: routing.Candidate) -> float:
        far = one.record.domain != self._domain
        return one.in_flight + FAR_LOAD * far + self._random.random()

    def _prefer_session(
        self, need: routing.Need, good: list[routing.Candidate]
    ) -> None:
        if not good:
            return
        mean = sum(one.in_flight for one in good) / len(good)
        most = AFFINITY_LOAD * mean + AFFINITY_SPARE
        fitting: collections_abc.Mapping = {
            one.record.endpoint: one for one in good if one.in_flight <= most
        }
        chosen = rendezvous.choose(fitting, find_session(need))
        if chosen is not None:
            good.remove(fitting[chosen])
            good.insert(0, fitting[chosen])

    def _start_probe(
        self, due: list[routing.Candidate], left: float, now: float
    ) -> list[routing.Candidate]:
        for one in due:
            if self._ejection.start_probe(one.record.endpoint, left, now):
                return [one]
        return []


def find_session(need: routing.Need) -> str:
    """Tell the last shared part of a prompt, or its only one.

    The last part belongs to the request alone.
    """
    return _name_session(need.parts)


def _name_session(
    parts: collections_abc.Sequence[passages.PromptPart],
) -> str:
    return parts[-2 if len(parts) > 1 else -1].name


def choose_home(
    parts: collections_abc.Sequence[passages.PromptPart],
    endpoints: collections_abc.Iterable[records.EndpointRecord],
) -> ids.DomainId:
    """Tell the domain in which a prompt will be read, most likely.

    Parameters
    ----------
    parts : sequence of PromptPart
        The prompt.
    endpoints : iterable of EndpointRecord
        The endpoints that may read it.

    Returns
    -------
    DomainId
        The domain; empty when nothing can be said.
    """
    live = {
        record.endpoint: record
        for record in endpoints
        if record.state is records.EndpointState.LIVE
    }
    if not parts or not live:
        return ids.DomainId("")
    return live[rendezvous.choose(live, _name_session(parts))].domain
