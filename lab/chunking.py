"""Compares chunk sizes by what the change of one team sends and writes."""

from chervilshore import edits
from chervilshore import ids
from chervilshore.rules import generations
from measure import spread

TEAMS = 26_000


def measure_buckets(buckets: int) -> tuple[int, int, int]:
    """Measure the change of one team with a number of buckets.

    Returns
    -------
    tuple of int
        Bytes of the head, bytes of the changed chunks, and the number of
        writes.
    """
    packed = []
    for rate in (10, 11):
        text = spread.make_rules_text(TEAMS, rate)
        document = edits.parse(text, "lab")
        packed.append(generations.pack(document, buckets))
    before, after = packed
    head = generations.Head(
        ids.Generation(2),
        ids.ChangeId("0" * 16),
        ids.ChangeId("0" * 16),
        "author",
        "reason",
        1e12,
        after.main,
        after.buckets,
    )
    new = after.chunks.keys() - before.chunks.keys()
    changed = sum(len(after.chunks[digest]) for digest in new)
    # Writes: the head, its copy in the history and the changed chunks.
    return len(generations.encode_head(head)), changed, 2 + len(new)


def main() -> None:
    """Print a row for each number of buckets."""
    generations.MIN_RULES_PER_BUCKET, generations.MAX_RULES_PER_BUCKET = (
        0,
        TEAMS,
    )
    print("buckets  head  changed chunk  to each host  writes")
    for power in range(0, 15, 2):
        head, changed, writes = measure_buckets(2**power)
        total = head + changed
        print(f"{2**power:7} {head:6} {changed:13} {total:13} {writes:7}")


if __name__ == "__main__":
    main()
