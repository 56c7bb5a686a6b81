"""Writes docs/DAYS.md from the journal of replayed days."""

import pathlib

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
PAGE_PATH = ROOT / "docs" / "DAYS.md"

INTRODUCTION = """\
# Days on the users' platform

The latest full score of each site in the journal; `python -m measure.days`
writes this page. The score of a day is the position of its worth between two
reference values of the site; prices are fractions of that worth. The largest
price and the weakest part limit a day. Below each table stands the command
that plays its weakest day again with the logs of all hosts; SITE is the path
of the site's file.
"""


def find_latest() -> dict[str, dict]:
    """Return the newest score of each site, full runs before quick ones."""
    latest: dict[str, dict] = {}
    for path in sorted(JOURNAL.glob("*.json")):
        entry = msgspec.json.decode(path.read_bytes(), type=dict)
        if entry.get("cmd") != "score" or not entry.get("days"):
            continue
        known = latest.get(entry["site"])
        if known is None or is_whole(entry) or not is_whole(known):
            latest[entry["site"]] = entry
    return latest


def is_whole(entry: dict) -> bool:
    """Return whether a score has all days of a site at their full size."""
    return entry.get("mode") != "quick" and "--small" not in entry["argv"]


def format_table(site: str, entry: dict) -> str:
    """Return the section of one site with the table of its days."""
    kind = "whole" if is_whole(entry) else "quick"
    if "--small" in entry["argv"]:
        kind = "small twins of some days"
    lines = [
        f"## {site}",
        "",
        f"Entry {entry['id']} ({kind}), score {entry['score']}.",
        "",
        "| day | score | worth | served | refused | largest prices "
        "| weakest part |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for day in entry["days"]:
        prices = sorted(day["prices"], key=lambda one: -one[2])[:2]
        largest = ", ".join(f"{name} {cost:.3f}" for name, _, cost in prices)
        weakest = min(day["parts"], key=lambda one: one[2])
        broken = f" BROKEN {day['rules']}" if day["rules"] else ""
        lines.append(
            f"| {day['name']}{broken} | {day['score']:.2f} | {day['G']:.3f} "
            f"| {day['served']:.3f} | {day['refused']:.3f} | {largest} "
            f"| {weakest[0]} {weakest[2]:.2f} |"
        )
    return "\n".join([*lines, "", format_replay(entry["days"])])


def format_replay(days: list[dict]) -> str:
    """Return the command that plays the day of the least worth again."""
    name = min(days, key=lambda day: day["G"])["name"]
    # A day drawn for one score is known by its entry in the journal only.
    verb = "replay" if name.startswith("fresh-") else "run"
    return f"Weakest day: `fleetbench {verb} SITE {name} --log all`"


def main() -> None:
    """Write docs/DAYS.md."""
    tables = [
        format_table(site, entry)
        for site, entry in sorted(find_latest().items())
    ]
    PAGE_PATH.write_text("\n\n".join([INTRODUCTION.rstrip(), *tables]) + "\n")


if __name__ == "__main__":
    main()
