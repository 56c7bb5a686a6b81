"""Objects of the store through outages, gaps and reordered word."""

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
    state = objectcache.ObjectCache()
    state.replace(listing(9, make_object("a", 9)), 0.0)
    state.replace(listing(5), 1.0)
    assertions.assert_that(list(state.objects), matchers.Equals(["a"]))
    assertions.assert_that(state.revision, matchers.Equals(9))


def test_an_older_change_does_not_bring_an_object_back():
    state = objectcache.ObjectCache()
    state.replace(listing(9, make_object("a", 9, b"new")), 0.0)
    state.merge(changes(10, (make_object("a", 4, b"old"), False)), 1.0)
    assertions.assert_that(state.objects["a"].content, matchers.Equals(b"new"))


def test_a_removal_in_calm_counts_at_once():
    state = objectcache.ObjectCache(lapse_ms=1600.0)
    state.replace(listing(1, make_object("a", 1)), 0.0)
    state.merge(changes(2, (make_object("a", 2), True)), 1.0)
    assertions.assert_that(state.objects, matchers.Equals({}))


def test_what_lapsed_in_an_outage_counts_until_it_had_time_to_return():
    state = objectcache.ObjectCache(lapse_ms=1600.0)
    state.replace(listing(1, make_object("a", 1), make_object("b", 1)), 0.0)
    state.recovered_at = 5000.0
    state.merge(
        changes(3, (make_object("a", 2), True), (make_object("b", 3), True)),
        5000.0,
    )
    state.merge(changes(4, (make_object("a", 4), False)), 6000.0)
    assertions.assert_that(state.expire(6500.0), matchers.Is(False))
    assertions.assert_that(state.expire(6600.0), matchers.Is(True))
    assertions.assert_that(list(state.objects), matchers.Equals(["a"]))
