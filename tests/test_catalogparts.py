"""Snapshots that pass between hosts in parts."""

from testtools import assertions
from testtools import matchers

from chervilshore import catalogmessages
from chervilshore import clock as clocks
from chervilshore.controllers import catalogparts
from chervilshore import ids

PEER = ids.Address("10.0.0.1:1")


class Kinds:
    """Makes snapshots of a kind that changes."""

    def __init__(self):
        self.revision = 1

    def make(self, kind):
        content = str(self.revision).encode() * (2 * catalogparts.PART_BYTES)
        return catalogmessages.KindSnapshot(
            kind, self.revision, (("main", self.revision, content),)
        )


def request(sender, revision=0, offset=0):
    message = catalogmessages.PartRequest("config", revision, offset)
    return sender.handle_request(PEER, message)


# Guards against a copy of two versions, and against hosts that get an older
# one for as long as others read it.
def test_parts_are_of_one_revision_while_the_kind_changes():
    clock = clocks.ManualClock()
    kinds = Kinds()
    sender = catalogparts.PartSender(kinds.make, clock)
    first = request(sender)
    kinds.revision = 2
    later = request(sender, 1, len(first.content))
    newest = request(sender)
    assertions.assert_that(
        (first.revision, later.revision, newest.revision),
        matchers.Equals((1, 1, 2)),
    )
    assertions.assert_that(set(later.content), matchers.Equals({ord("1")}))


def test_snapshots_that_nobody_reads_are_dropped():
    clock = clocks.ManualClock()
    kinds = Kinds()
    sender = catalogparts.PartSender(kinds.make, clock)
    first = request(sender)
    clock.set(catalogparts.KEEP_MS + 1.0)
    gone = request(sender, first.revision, len(first.content))
    assertions.assert_that(gone, matchers.Equals(catalogmessages.PartReply()))


def test_few_snapshots_are_kept():
    kinds = Kinds()
    sender = catalogparts.PartSender(kinds.make, clocks.ManualClock())
    for revision in range(1, catalogparts.MAX_KEPT + 2):
        kinds.revision = revision
        request(sender)
    assertions.assert_that(
        [bool(request(sender, one).content) for one in (1, 2)],
        matchers.Equals([False, True]),
    )
