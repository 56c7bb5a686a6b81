"""Plays the case in a folder and exits with its result.

1: the rule was broken, 0: it held, 2: the case could not be played.
"""

import asyncio
import os
import pathlib
import runpy
import sys
import tempfile
import traceback

from review.harness import deployment

LIMIT_SECONDS = 115.0


async def play(folder: pathlib.Path, record_path: pathlib.Path) -> int:
    """Play the case of a folder; return the exit status."""
    run = runpy.run_path(str(folder / "case.py"))["run"]
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = deployment.Record(record_path)
    record.add(f"trouble: {'yes' if trouble else 'no'}")
    with tempfile.TemporaryDirectory(prefix="review-") as scratch:
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                broken = await run(pathlib.Path(scratch), record, trouble)
        except Exception:
            record.add(f"cannot run: {traceback.format_exc()}")
            traceback.print_exc()
            return 2
        finally:
            await deployment.stop_all()
    text = "the rule was broken" if broken else "the rule held"
    record.add(text)
    print(text)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(play(*map(pathlib.Path, sys.argv[1:3]))))
