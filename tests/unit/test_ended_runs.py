"""All instances end and start again while their earlier runs are still registered."""

from __future__ import annotations

import asyncio
import random
import time

import pytest
from result import Ok

from cassiashore._internal.mirror.feed_health import REPORT_TTL_SECONDS, FeedHealth
from cassiashore._internal.mirror.follower import StoreFollower
from cassiashore._internal.mirror.instances import InstanceRecord, InstanceTable, encode_record
from cassiashore._internal.mirror.relay import HEARTBEAT_INTERVAL_SECONDS
from cassiashore._internal.peers.messages import Identity
from cassiashore._internal.store.events import Change, ChangeBatch, Snapshot
from tests.lib.platform_builders import free_port, wait_until
from tests.lib.steering_builders import Clock
from tests.unit.test_relay import Peer, keep_current, run

MIN_READERS = 2
REGIONS = ("erie", "huron", "superior")


def record_of(number: int, run_name: str) -> InstanceRecord:
    """Return the registration of a run of instance ``number``; names sort by their start."""
    identity = Identity(
        f"i-{number}", f"{run_name}-{number}", f"d-{number % 6}", "", f"127.0.0.1:{number + 1}"
    )
    return InstanceRecord(identity, REGIONS[number % 3], 1.0)


def table_of(own: InstanceRecord, *registered: InstanceRecord) -> InstanceTable:
    table = InstanceTable(own)
    for record in registered:
        table.apply_registration(record.identity.incarnation, encode_record(record))
    return table


def reader_runs(table: InstanceTable) -> set[str]:
    return {record.identity.incarnation for record in table.store_readers(MIN_READERS)}


@pytest.mark.parametrize("count", [3, 10, 195])
def test_all_instances_choose_the_same_readers_among_their_latest_runs(count: int) -> None:
    """Earlier runs were chosen, whose successors do not read the store."""
    earlier = [record_of(number, "run-1") for number in range(count)]
    latest = [record_of(number, "run-2") for number in range(count)]
    tables = [table_of(own, *earlier, *latest) for own in latest]
    chosen = [reader_runs(table) for table in tables]
    assert chosen[0] <= {record.identity.incarnation for record in latest}
    assert all(readers == chosen[0] for readers in chosen)


@pytest.mark.parametrize("is_met_first", [False, True])
def test_a_run_that_is_met_ends_the_earlier_one_at_its_address(is_met_first: bool) -> None:
    own, earlier, latest = record_of(0, "run-2"), record_of(1, "run-1"), record_of(1, "run-2")
    table = table_of(own, own)
    if is_met_first:
        table.record_met(latest.identity)
    table.apply_registration(earlier.identity.incarnation, encode_record(earlier))
    table.record_met(latest.identity)
    assert reader_runs(table) == {"run-2-0"}
    table.apply_registration(latest.identity.incarnation, encode_record(latest))
    assert reader_runs(table) == {"run-2-0", "run-2-1"}


def test_a_run_whose_clock_was_set_back_ends_the_earlier_one_when_it_is_met() -> None:
    own, earlier, latest = record_of(0, "run-2"), record_of(1, "run-2"), record_of(1, "run-1")
    table = table_of(own, own, earlier, latest)
    table.record_met(latest.identity)
    assert reader_runs(table) == {"run-2-0", "run-1-1"}


def test_a_run_that_starts_after_the_met_one_is_a_reader_again() -> None:
    own, met, later = record_of(0, "run-1"), record_of(1, "run-1"), record_of(1, "run-2")
    table = table_of(own, own, met)
    table.record_met(met.identity)
    table.apply_registration(later.identity.incarnation, encode_record(later))
    assert reader_runs(table) == {"run-1-0", "run-2-1"}


def test_only_one_of_two_fallback_readers_leaves_reading_to_the_other() -> None:
    """Both stopped, so that no instance read the store until their reports had expired."""
    clock = Clock()
    first, second = FeedHealth(clock), FeedHealth(clock)
    first.record_current("10.0.0.2:1", is_direct=True, is_fallback=True)
    second.record_current("10.0.0.1:1", is_direct=True, is_fallback=True)
    assert not first.has_reader_before("10.0.0.1:1")
    assert second.has_reader_before("10.0.0.2:1")
    first.record_current("10.0.0.3:1", is_direct=True)
    assert first.has_reader_before("10.0.0.1:1")
    clock.now += REPORT_TTL_SECONDS + 0.1
    assert not second.has_reader_before("10.0.0.2:1")


def test_instances_do_not_follow_each_other_by_registrations_of_their_earlier_runs() -> None:
    """Each was the source of the other, and both left the instance that reads the store."""

    async def test() -> None:
        reader = await Peer("reader", []).start()
        reader.mirror.replace(Snapshot(5, [Change("a", 3, b"1")]))
        refresh_task = asyncio.create_task(keep_current(reader))
        followers = [Peer(name, [reader.address]) for name in ("a", "b")]
        for follower in followers:
            for other in followers:
                identity = other.record.identity
                name = f"0-ended-{identity.instance}"
                ended = Identity("x", name, identity.failure_domain, "", identity.peer_address)
                record = InstanceRecord(ended, f"region-of-{identity.instance}", 1.0)
                follower.instances.apply_registration(name, encode_record(record))
            await follower.start()
        await wait_until(lambda: all(f.mirror.revision == 5 for f in followers))
        await asyncio.sleep(4 * HEARTBEAT_INTERVAL_SECONDS)
        reader.mirror.apply(ChangeBatch(5, 6, [Change("b", 6, b"2")]))
        await wait_until(lambda: all(f.mirror.revision == 6 for f in followers))
        refresh_task.cancel()
        for peer in (reader, *followers):
            peer.stop()

    run(test)


def test_a_source_is_left_only_for_one_that_is_connected() -> None:
    """Instances that know only runs that have ended left the seed from which they had started."""

    async def test() -> None:
        reader = await Peer("reader", []).start()
        reader.mirror.replace(Snapshot(5, [Change("a", 3, b"1")]))
        refresh_task = asyncio.create_task(keep_current(reader))
        follower = await Peer("follower", [reader.address]).start()
        await wait_until(lambda: follower.mirror.revision == 5)
        ended = Identity("x", "ended", "erie-x", "", f"127.0.0.1:{free_port()}")
        follower.instances.apply_registration(
            "ended", encode_record(InstanceRecord(ended, "huron", 1.0))
        )
        await asyncio.sleep(3 * HEARTBEAT_INTERVAL_SECONDS)
        reader.mirror.apply(ChangeBatch(5, 6, [Change("b", 6, b"2")]))
        await wait_until(lambda: follower.mirror.revision == 6)
        refresh_task.cancel()
        reader.stop()
        follower.stop()

    run(test)


class AnsweringStore:
    """A store without changes, which answers each call."""

    async def watch(self, after: int, wait_seconds: float) -> Ok[ChangeBatch]:
        await asyncio.sleep(0.01)
        return Ok(ChangeBatch(after, after, []))


def test_a_reader_goes_on_until_another_instance_reads_the_store() -> None:
    """A reader that leaves stopped at once, since its followers passed its own reports back.

    Its successors could not reach the store, and a draining target got requests for 2.6 s.
    """

    async def test() -> None:
        peer = Peer("a", [])
        peer.mirror.replace(Snapshot(5, []))
        feed = FeedHealth(time.monotonic)
        own_key, own_value = peer.record.identity.incarnation, encode_record(peer.record)
        peer.instances.apply_registration(own_key, own_value)
        follower = StoreFollower(
            AnsweringStore(),  # type: ignore[arg-type]
            peer.mirror,
            peer.instances,
            feed,
            False,
            random.Random(1),
        )
        task = asyncio.create_task(follower.run())
        await wait_until(lambda: follower.has_store_access and not follower.is_fallback_reader)
        successor = Peer("b", [])
        peer.instances.apply_registration(
            successor.record.identity.incarnation, encode_record(successor.record)
        )
        feed.record_current(str(successor.address), is_direct=False)
        peer.instances.apply_registration(own_key, None)
        await wait_until(lambda: follower.is_fallback_reader)
        assert follower.has_store_access
        feed.record_current(str(successor.address), is_direct=True)
        await wait_until(lambda: not follower.is_reading)
        task.cancel()

    run(test)
