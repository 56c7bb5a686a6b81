"""Checks of what callers and workers have seen, by the rules of the users."""

import collections

from soak import callers
from soak import deployment as deployments


def find_violations(
    tracker: callers.RequestTracker, deployment: deployments.Deployment
) -> list[str]:
    """Return what callers found and what the runs at the workers show.

    Each line ends with what faulty workers did on the request's connections.
    """
    violations = (
        tracker.violations
        + _check_runs(tracker, deployment.runs)
        + _check_failures(tracker, deployment.failures)
    )
    violations = [
        _add_cause(violation, deployment.disturbed) for violation in violations
    ]
    violations += [
        f"BUDGET {service}: {excess} repeated arrivals too many"
        for service, excess in measure_budgets(tracker, deployment).items()
        if excess > 0
    ]
    return violations


def count_disturbed(
    deployment: deployments.Deployment,
) -> collections.Counter[str]:
    """Count requests by what faulty workers did on their connections."""
    return collections.Counter(
        label for labels in deployment.disturbed.values() for label in labels
    )


def measure_budgets(
    tracker: callers.RequestTracker, deployment: deployments.Deployment
) -> dict[str, float]:
    """Return by how much each retry budget is exceeded at most."""
    return {
        service: round(find_excess(arrivals, tracker.sent[service]), 1)
        for service, arrivals in deployment.arrivals.items()
        if service in deployments.SLOTS
    }


def _add_cause(violation: str, disturbed: dict[str, set[str]]) -> str:
    attempt = violation.split()[1].strip(":")
    causes = " ".join(sorted(disturbed.get(attempt, ())))
    return f"{violation} [{causes}]"


def _check_runs(
    tracker: callers.RequestTracker, runs: collections.Counter[str]
) -> list[str]:
    violations = []
    for attempt, count in runs.items():
        kind = tracker.kinds.get(attempt)
        if kind is None:
            violations.append(f"UNASKED {attempt} ran but was never sent")
        elif kind.at_most_once and count > 1:
            violations.append(f"TWICE {attempt} ran {count} times")
        if kind and kind.at_most_once and attempt in tracker.refused:
            violations.append(f"REFUSED {attempt} has run")
    return violations


def _check_failures(
    tracker: callers.RequestTracker, failures: set[tuple[str, int]]
) -> list[str]:
    return [
        f"MIXED {attempt}: no worker gave status {status} with a stamp"
        for attempt, status in tracker.stamped_failures
        if (attempt, status) not in failures
    ]


def find_repeats(arrivals: list[tuple[float, str]]) -> list[float]:
    """Return when requests arrived that had arrived before, in order.

    Parameters
    ----------
    arrivals : list of tuple
        Time in seconds and attempt id of each arrival.
    """
    seen: set[str] = set()
    repeated = []
    for now, attempt in sorted(arrivals):
        if attempt in seen:
            repeated.append(now)
        seen.add(attempt)
    return repeated


def find_excess(arrivals: list[tuple[float, str]], sent: list[float]) -> float:
    """Return by how much the retry budget of a service is exceeded at most.

    Parameters
    ----------
    arrivals : list of tuple
        Time in seconds and attempt id of each arrival.
    sent : list of float
        When requests for the service were sent, in seconds.

    Returns
    -------
    float
        Arrivals beyond the first of each request in a window, less those
        allowed; the largest of all windows.
    """
    window = deployments.RETRY_WINDOW_SECONDS
    most = -float(deployments.RETRY_SLACK)
    repeated = find_repeats(arrivals)
    for now in repeated:
        requests = max(
            sum(end - window < one <= end for one in sent)
            for end in (now, now - window / 2, now - window)
        )
        count = sum(now - window < one <= now for one in repeated)
        allowed = deployments.RETRY_RATIO * requests + deployments.RETRY_SLACK
        most = max(most, count - allowed)
    return most
