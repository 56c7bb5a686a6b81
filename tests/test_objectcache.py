"""The local copy of stored objects: outages, gaps and reordered changes."""

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import objectcache
from chervilshore import objects


def make_object(name, revision, content=b"{}"):
    return objects.StoredObject(name, revision, content)


def listing(revision, *found):
    return objects.Listing(found, revision)


def changes(revision, *found):
    return objects.Changes(
        tuple(objects.Change(one, removed) for one, removed in found),
        revision,
    )


def test_an_older_listing_changes_nothing():
    cache = objectcache.ObjectCache()
    cache.replace(listing(9, make_object("a", 9)), 0.0)
    cache.replace(listing(5), 1.0)
    assertions.assert_that(list(cache.objects), matchers.Equals(["a"]))
    assertions.assert_that(cache.revision, matchers.Equals(9))


def test_an_older_change_does_not_bring_an_object_back():
    cache = objectcache.ObjectCache()
    cache.replace(listing(9, make_object("a", 9, b"new")), 0.0)
    cache.merge(changes(10, (make_object("a", 4, b"old"), False)), 1.0)
    assertions.assert_that(cache.objects["a"].content, matchers.Equals(b"new"))


# Guards against DRAIN: a worker that has left is used for good, as the answer
# to an earlier watch comes after a copy of a peer that no longer lists it.
def test_a_late_answer_does_not_bring_a_removed_object_back():
    cache = objectcache.ObjectCache()
    cache.replace(listing(3), 0.0)
    cache.replace(listing(8, make_object("b", 4)), 1.0)
    cache.merge(changes(5, (make_object("a", 5), False)), 2.0)
    assertions.assert_that(list(cache.objects), matchers.Equals(["b"]))
    assertions.assert_that(cache.revision, matchers.Equals(8))


def test_a_late_answer_does_not_end_the_removal_of_an_object():
    cache = objectcache.ObjectCache(removal_grace_ms=1600.0)
    cache.replace(listing(5, make_object("a", 5)), 0.0)
    cache.recovered_at = 1000.0
    cache.merge(changes(7, (make_object("a", 6), True)), 1000.0)
    cache.merge(changes(5, (make_object("a", 5), False)), 1100.0)
    assertions.assert_that(cache.expire(2600.0), matchers.Is(True))
    assertions.assert_that(cache.objects, matchers.Equals({}))


def test_only_what_is_new_of_a_late_answer_is_applied():
    cache = objectcache.ObjectCache()
    cache.replace(listing(8, make_object("b", 4)), 0.0)
    late = (make_object("a", 5), make_object("b", 9), make_object("c", 10))
    cache.merge(changes(10, *((one, False) for one in late)), 1.0)
    assertions.assert_that(
        {name: one.revision for name, one in cache.objects.items()},
        matchers.Equals({"b": 9, "c": 10}),
    )


def test_a_removal_without_an_outage_applies_immediately():
    cache = objectcache.ObjectCache(removal_grace_ms=1600.0)
    cache.replace(listing(1, make_object("a", 1)), 0.0)
    cache.merge(changes(2, (make_object("a", 2), True)), 1.0)
    assertions.assert_that(cache.objects, matchers.Equals({}))


def test_an_object_that_expired_in_an_outage_is_kept_until_the_grace_ends():
    cache = objectcache.ObjectCache(removal_grace_ms=1600.0)
    cache.replace(listing(1, make_object("a", 1), make_object("b", 1)), 0.0)
    cache.recovered_at = 5000.0
    cache.merge(
        changes(3, (make_object("a", 2), True), (make_object("b", 3), True)),
        5000.0,
    )
    cache.merge(changes(4, (make_object("a", 4), False)), 6000.0)
    assertions.assert_that(cache.expire(6500.0), matchers.Is(False))
    assertions.assert_that(cache.expire(6600.0), matchers.Is(True))
    assertions.assert_that(list(cache.objects), matchers.Equals(["a"]))
