"""Runs a case: its record, its exit status and its time limit."""

import asyncio
from collections import abc as collections_abc
import json
import os
import pathlib
import sys
import tempfile
import time
import traceback

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses."""

LIMIT_SECONDS = 110.0


class Record:
    """The record of a run: what was sent, answered and run.

    Parameters
    ----------
    path : Path
        The file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def add(self, event: str, **fields) -> None:
        """Write a line."""
        at = round(time.monotonic() - self._started, 3)
        line = json.dumps({"at": at, "event": event} | fields)
        print(line, file=self._file, flush=True)


Case = collections_abc.Callable[
    [pathlib.Path, Record, bool], collections_abc.Awaitable[list[str]]
]
"""Runs a case in a folder, with trouble or without, and returns how the rule
was broken."""


def main(case: Case, path: pathlib.Path, with_trouble: bool) -> None:
    """Run a case, write its record to a path, and exit with its status."""
    record = Record(path)
    try:
        with tempfile.TemporaryDirectory() as temporary:
            # A folder that is named keeps the logs of the hosts.
            folder = os.environ.get("KEEP", temporary)
            broken = asyncio.run(
                _run(case, pathlib.Path(folder), record, with_trouble)
            )
    except Exception:
        traceback.print_exc()
        record.add("not run", error=traceback.format_exc())
        sys.exit(NOT_RUN)
    for line in broken:
        print(line)
        record.add("broken", rule=line)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)


async def _run(
    case: Case, folder: pathlib.Path, record: Record, with_trouble: bool
) -> list[str]:
    async with asyncio.timeout(LIMIT_SECONDS):
        return await case(folder, record, with_trouble)
