"""Counts of requests in the admin view of a host."""

import collections

from chervilshore import ids
from chervilshore import results


class RequestCounts:
    """Counts requests by pipeline, and refusals by result code."""

    def __init__(self) -> None:
        self._pipelines: collections.Counter = collections.Counter()
        self._refusals: collections.Counter = collections.Counter()

    def count(self, pipeline: ids.PipelineName, code: results.Code) -> None:
        """Count a request that has ended.

        Parameters
        ----------
        pipeline : PipelineName
            A pipeline of the rules, as counting arbitrary names from callers
            would use unbounded memory; empty when there is none.
        code : Code
            The result of the request.
        """
        if pipeline:
            self._pipelines[pipeline] += 1
        if code.value.family is not results.Family.DONE:
            self._refusals[str(code.value.number)] += 1

    def describe_pipelines(self) -> dict[str, int]:
        """Return the number of requests by pipeline."""
        return dict(self._pipelines)

    def describe_refusals(self) -> dict[str, int]:
        """Return the number of refusals by number of the result code."""
        return dict(self._refusals)
