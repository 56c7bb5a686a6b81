"""Counts of requests that operators ask a host for."""

import collections

from chervilshore import ids
from chervilshore import results


class Tallies:
    """Counts requests by pipeline, and refused ones by result code."""

    def __init__(self) -> None:
        self._pipelines: collections.Counter = collections.Counter()
        self._refusals: collections.Counter = collections.Counter()

    def count(self, pipeline: ids.PipelineName, code: results.Code) -> None:
        """Count a request that has ended.

        Parameters
        ----------
        pipeline : PipelineName
            A pipeline of the rules, since names that callers make up would
            fill the memory; empty when there is none.
        code : Code
            How it has ended.
        """
        if pipeline:
            self._pipelines[pipeline] += 1
        if code.value.family is not results.Family.DONE:
            self._refusals[str(code.value.number)] += 1

    def describe_pipelines(self) -> dict[str, int]:
        """Tell the requests by pipeline."""
        return dict(self._pipelines)

    def describe_refusals(self) -> dict[str, int]:
        """Tell the refused requests by number of the result code."""
        return dict(self._refusals)
