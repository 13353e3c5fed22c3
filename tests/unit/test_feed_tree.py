"""Selection of the sources of store changes, with hundreds of instances."""

from __future__ import annotations

from collections import Counter

import msgspec
import pytest

from cassiashore._internal.mirror.feed_tree import FeedTree
from cassiashore._internal.mirror.instances import InstanceRecord, InstanceTable, encode_record
from cassiashore._internal.peers.messages import Identity

MIN_READERS = 2


def deployment(regions: int, domains: int, members: int) -> list[InstanceRecord]:
    """Return ``members`` instances in each of ``domains`` failure domains of each region."""
    records = []
    for region in range(regions):
        for domain in range(domains):
            for member in range(members):
                name = f"{region}-{domain}-{member}"
                peer_address = f"127.0.0.1:{100 + len(records)}"
                identity = Identity(
                    name, f"run-{name}", f"d-{region}-{domain}", "127.0.0.1:1", peer_address
                )
                records.append(InstanceRecord(identity, f"r-{region}", 1.0))
    return records


def sources_by_instance(records: list[InstanceRecord]) -> dict[str, list[InstanceRecord]]:
    """Return the sources of all instances that are no readers, each from its own table."""
    found = {}
    for own in records:
        table = InstanceTable(own)
        for record in records:
            table.apply_registration(record.identity.incarnation, encode_record(record))
        readers = table.store_readers(MIN_READERS)
        if own in readers:
            continue
        tree = FeedTree.of(readers, table.fallback_readers(MIN_READERS))
        found[own.identity.incarnation] = tree.sources_of(
            own, lambda region, near=own.region: 0.0 if region == near else 0.04
        )
    return found


@pytest.mark.parametrize(
    ("regions", "domains", "members"), [(1, 1, 3), (1, 1, 9), (3, 2, 1), (3, 3, 8), (2, 4, 20)]
)
def test_senders_serve_only_their_failure_domain_and_one_instance_of_each_other(
    regions: int, domains: int, members: int
) -> None:
    sources = sources_by_instance(deployment(regions, domains, members))
    senders = Counter(found[0].identity.incarnation for found in sources.values())
    assert max(senders.values()) <= members + regions * domains
    standbys = Counter(f[1].identity.incarnation for f in sources.values() if len(f) > 1)
    assert max(standbys.values()) <= members + regions * domains


@pytest.mark.parametrize(("regions", "domains", "members"), [(1, 1, 9), (3, 3, 8), (2, 4, 20)])
def test_every_source_is_at_most_two_hops_from_a_reader(
    regions: int, domains: int, members: int
) -> None:
    """Instances that follow each other in a circle would never receive changes."""
    sources = sources_by_instance(deployment(regions, domains, members))

    def hops(incarnation: str) -> int:
        if incarnation not in sources:
            return 0
        return 1 + max(hops(found.identity.incarnation) for found in sources[incarnation])

    assert max(hops(incarnation) for incarnation in sources) <= 2


def test_both_sources_of_an_instance_are_in_different_failure_domains() -> None:
    for found in sources_by_instance(deployment(3, 3, 8)).values():
        assert found[0].identity.failure_domain != found[1].identity.failure_domain


def test_an_unregistered_instance_follows_the_readers() -> None:
    records = deployment(3, 3, 4)
    unregistered = InstanceRecord(
        Identity("x", "run-x", "d-9", "127.0.0.1:1", "127.0.0.1:2"), "r-0", 1
    )
    table = InstanceTable(unregistered)
    for record in records:
        table.apply_registration(record.identity.incarnation, encode_record(record))
    readers = table.store_readers(MIN_READERS)
    tree = FeedTree.of(readers, table.fallback_readers(MIN_READERS))
    found = tree.sources_of(unregistered, lambda region: 0.0 if region == "r-0" else 0.04)
    assert found[0].region == "r-0"
    assert {record.identity.incarnation for record in found} == {
        reader.identity.incarnation for reader in readers
    }


def test_earlier_runs_at_the_same_address_are_not_selected() -> None:
    """The earlier run stays registered until its lease expires, at the address of the new run."""
    records = deployment(1, 1, 3)
    for record in records:
        identity = msgspec.structs.replace(
            record.identity, incarnation="run-new", peer_address="127.0.0.1:9"
        )
        own = msgspec.structs.replace(record, identity=identity)
        earlier = msgspec.structs.replace(
            record, identity=msgspec.structs.replace(identity, incarnation="run-old")
        )
        table = InstanceTable(own)
        for known in (earlier, *records):
            table.apply_registration(known.identity.incarnation, encode_record(known))
        listed = [*table.store_readers(MIN_READERS), *table.fallback_readers(MIN_READERS)]
        assert earlier not in listed and len(listed) == len(records)
