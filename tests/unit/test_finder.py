"""Other places, as the finder builds them from load reports."""

from __future__ import annotations

import random

from cassiashore._internal.peers.membership import Membership
from cassiashore._internal.peers.messages import DomainDigest, Gateway, Identity, ServiceLoad
from cassiashore._internal.routing.domains import DomainTable
from cassiashore._internal.routing.finder import CACHE_SECONDS, PlaceFinder
from cassiashore._internal.routing.outstanding import REFUSAL_SECONDS
from tests.lib import builders
from tests.lib.steering_builders import Clock

SLOTS = 8


def identity(domain: str) -> Identity:
    return Identity(f"entry-{domain}", f"run-{domain}", domain, "127.0.0.1:8000", "127.0.0.1:8001")


def digest(domain: str, *loads: ServiceLoad) -> DomainDigest:
    gateway = Gateway(identity(domain), key_slot=0, ready=True, leaving=False)
    return DomainDigest(domain, 1, 0, [gateway], list(loads))


def test_a_place_that_refused_is_skipped_until_the_refusal_expires() -> None:
    """Guards against sending requests to a full place because its report is outdated.

    The digest of erie-b still reports a free slot, so without the refusal each request would be
    sent there first and refused again.
    """
    clock = Clock()
    own = identity("erie-a")
    domains = DomainTable("erie-a")
    finder = PlaceFinder(own, Membership(own, 1.0), domains, clock, random.Random(1))
    catalogue = builders.catalogue()
    for domain in ("erie-b", "huron-a"):
        domains.merge(digest(domain, ServiceLoad("orders", 1, SLOTS, 0, 1.0)), clock.now)

    def places_with_free_slots() -> set[str]:
        places = finder.other_places("orders", catalogue, "erie", "erie-a")
        return {place.name for place in places if place.free > 0}

    assert places_with_free_slots() == {"erie-b", "huron-a"}
    finder.outstanding.record_refusal("erie-b", "orders")
    assert places_with_free_slots() == {"huron-a"}
    clock.now += CACHE_SECONDS * 2
    assert places_with_free_slots() == {"huron-a"}
    clock.now += REFUSAL_SECONDS
    assert places_with_free_slots() == {"erie-b", "huron-a"}


def test_requests_included_in_a_report_are_not_counted_twice() -> None:
    """Half of the slots of huron-a are in use, all by this instance, as its digest reports."""
    clock = Clock()
    own = identity("erie-a")
    domains = DomainTable("erie-a")
    finder = PlaceFinder(own, Membership(own, 1.0), domains, clock, random.Random(1))
    catalogue = builders.catalogue()

    def free_slots() -> int:
        clock.now += CACHE_SECONDS * 2
        places = finder.other_places("orders", catalogue, "erie", "erie-a")
        return next(place.free for place in places if place.name == "huron-a")

    for _ in range(SLOTS // 2):
        finder.outstanding.begin("huron-a", "orders")
        finder.outstanding.begin("huron-a", "stock")
    clock.now += 1.0
    half = ServiceLoad("orders", SLOTS // 2, SLOTS, 0, 1.0)
    domains.merge(digest("huron-a", half), clock.now)
    assert free_slots() == SLOTS // 2
    finder.outstanding.begin("huron-a", "orders")
    assert free_slots() == SLOTS // 2 - 1
    for _ in range(SLOTS // 2 + 1):
        finder.outstanding.end("huron-a", "orders")
    assert free_slots() == SLOTS
